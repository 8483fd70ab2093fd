#!/bin/sh
# Prepares the scripts of the cases 6 to 10 after the build of the deploy file. The stand-ins are
# Python files in lib2/ and need no build step; this checks that they and the node are there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
from pathlib import Path

for path in [*Path("review/lib2").glob("*.py"), *Path("review").glob("[0-9]*/case.py")]:
    compile(path.read_text(), str(path), "exec")
END
test -x target/boragetrackd
