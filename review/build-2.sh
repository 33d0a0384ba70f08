#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python of the standard library and of the project's own
# environment, so they are compiled as a check, and nothing else is made.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "the build of deploy/balancer.toml comes first" >&2; exit 1; }
for file in review/stand-2/*.py review/[0-9]*/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
.venv/bin/python -c 'import anyio, h11'
