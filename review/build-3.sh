#!/usr/bin/env bash
# Builds what the scripts 11 to 15 start. The stand-ins use Python's standard
# library only, and the nodes what the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "Python 3.11 is needed" >&2
  exit 1
}
[ -d target/deps ] || {
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
python3 -m compileall -q review/standin_3
PYTHONPATH=target/deps python3 -c 'import twisted, thrift'
