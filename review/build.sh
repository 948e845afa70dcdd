#!/usr/bin/env bash
# Builds the stand-ins of the review cases: they need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile harness.py ./*/case.py
