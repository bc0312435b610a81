#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start, after the build
# of the deploy file: the stand-ins are Python and need no library.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
python3 -m compileall -q standins review/lib3
python3 -c 'import standins.users_documents, standins.users_platform, standins.ports'
