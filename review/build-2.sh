#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: the stand-ins of this
# review and those of the project that it uses. They need no libraries.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q standins review/tools2 review/[6-9] review/10
