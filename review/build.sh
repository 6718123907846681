#!/usr/bin/env bash
# The stand-ins of the cases need only Python's standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standin
