#!/bin/sh
# Plays the case against target/redwing-node: 1 = the rule was broken, 0 = it held, 2 = the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/redwing-node ] || { echo "not run: build target/ and review/bin first"; exit 2; }
exec review/bin/standin dropped-route "$folder"
