#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: plain Python, whose sources are compiled.
cd "$(dirname "$0")" && python3 -m compileall -q harness-2 4 5 6 7 8
