#!/bin/sh
# Plays the case; see claim.txt.  TROUBLE=0 leaves the disruption out.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
exec python3 review/rig2/main.py "review/$(basename "$case")"
