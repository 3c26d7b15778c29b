#!/usr/bin/env bash
# Builds what the cases start besides the programs of the deploy file. The stand-ins are Python
# scripts without dependencies, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
if sys.version_info < (3, 8):
    sys.exit("python3 of at least version 3.8 is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
print("stand-ins are sound")
PY
