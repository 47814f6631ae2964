#!/bin/sh
# Builds what the scripts in review/6 to review/10 start. Their stand-ins are Python modules that
# run from the source with the packages that the deploy file's build puts into target/deps, so there
# is only to check that they compile and find these packages.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'PY'
import ast, pathlib
import aiohttp
for path in [pathlib.Path("review/harness_2.py"), *pathlib.Path("review").glob("*/case.py")]:
    ast.parse(path.read_text(), str(path))
PY
