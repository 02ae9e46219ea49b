#!/bin/sh
# Builds what the cases start: their stand-ins are Python files, which are only compiled here.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review pumicenotch
