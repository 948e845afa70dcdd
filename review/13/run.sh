#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -f ../harness_3.py ] && [ -d ../../target/deps/gentianfold ] || exit 2
python3 -c 'import asyncio; asyncio.timeout' || exit 2
exec python3 case.py
