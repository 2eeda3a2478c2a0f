#!/bin/sh
# The stand-ins of review/standins-2 are Python and need no build; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.dont_write_bytecode = True; sys.path.insert(0, "standins-2"); import deployment'
