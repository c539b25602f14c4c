#!/bin/sh
# Plays the case against target/redwing-node: 1 = the rule was broken, 0 = it held, 2 = the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt beside this file, in each of the three cases.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$folder/record.txt"
echo "case many-ends, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
cd "$folder/../.." || exit 2
if [ ! -x review/bin/standin ] || [ ! -x target/redwing-node ]; then
	echo "not run: build target/ and review/bin first" | tee -a "$record"
	exit 2
fi
exec review/bin/standin many-ends "$record"
