#!/bin/sh
# Builds the stand-ins: they are plain Python without dependencies, so this checks that
# the interpreter can run them.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'EOF'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
EOF
