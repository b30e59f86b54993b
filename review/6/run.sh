#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Run review/build-2.sh and the build of the deploy file first.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/stand-2/stand2 ] && [ -x target/bluebellsail-platformd ] || exit 2
exec review/stand-2/stand2 -case evacuation -root . -record review/6/record.txt
