#!/bin/sh
# Runs the case of this folder; TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
exec .venv/bin/python -B "$here/case.py"
