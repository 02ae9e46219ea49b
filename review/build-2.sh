#!/usr/bin/env bash
# Builds what the cases 6 to 10 start: stand-ins in Python, which run in the environment of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "build-2.sh: no .venv: run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -m compileall -q review/parties-2 review/{6,7,8,9,10}
