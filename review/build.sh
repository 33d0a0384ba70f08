#!/bin/sh
# Run once after the build of deploy/balancer.toml. The stand-ins are Python with its standard library alone and run in
# that build's environment: there is nothing to fetch or to compile, this only looks that they can be read.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("reads", path)
'
