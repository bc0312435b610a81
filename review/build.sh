#!/bin/sh
# Compiles the stand-ins of the review; they need only the standard library.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
