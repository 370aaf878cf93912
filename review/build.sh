#!/bin/sh
# Builds the programs as the deploy file does, and checks the stand-ins, which are scripts for Python 3.11 or later
# without any package.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked
python3 - <<'EOF'
import glob
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(glob.glob("review/standin/*.py") + glob.glob("review/*/case.py")):
    with open(path) as source:
        compile(source.read(), path, "exec")
EOF
