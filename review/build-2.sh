#!/bin/sh
# Prepares the stand-ins of review/6 to review/10. They are Python programs (tests/rig/standins.py,
# review/rig-2), which need no build; this checks that the interpreter has what they use and that
# each of them compiles.
cd "$(dirname "$0")/.." || exit 1
PYTHON=/usr/bin/python3
[ -x "$PYTHON" ] || PYTHON=python3
exec "$PYTHON" -B - tests/rig/standins.py review/rig-2/*.py review/[6-9]/*.py review/10/*.py <<'EOF'
import os, sys, tomllib
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
EOF
