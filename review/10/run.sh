#!/bin/sh
# Plays the case; exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 2; }
exec .venv/bin/python "$folder/case.py"
