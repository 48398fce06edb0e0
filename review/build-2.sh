#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python alone, so this checks that each of them compiles.
# It needs the build of the deploy file first, and neither a network nor a package.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python - review/standins_2.py review/[6-9]/case.py $(ls review/10/case.py 2>/dev/null) <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
END
