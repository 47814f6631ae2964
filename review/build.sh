#!/bin/sh
# Builds what the scripts start besides the deploy file's build: the stand-ins are Python and use the
# packages of target/deps, so they are only compiled here, which shows early if one can't be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "
import ast, glob
import aiohttp
for path in ['review/harness.py', *sorted(glob.glob('review/[1-4]/case.py'))]:
    ast.parse(open(path).read(), path)
"
