#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs of the standard library (3.11 or later), which need no build:
# this checks that they can be loaded, and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/stand-ins-3"); import lab3'
test -x target/src/mimosastaird
