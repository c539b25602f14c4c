#!/usr/bin/env bash
# Plays the regression runs of the users' bench on the deployments that the product is developed against.
#
# usage: regression.sh quick|score|hunt WHY
#   quick  the light days of the smallest deployment, some seconds
#   score  the standard days of all three
#   hunt   40 days on chaski-hq, 8 on each of the two with 60 VMs or more, and the days in deploy/days
#
# FLEETBENCH is the path of the bench and SITES the directory of the site files; JOBS is the number of cores to use.
set -euo pipefail
cd "$(dirname "$0")/.."

mode="${1:?usage: regression.sh quick|score|hunt WHY}"
why="${2:?say why in one line, for the journal}"
bench="${FLEETBENCH:?set FLEETBENCH to the path of the bench}"
sites="${SITES:?set SITES to the directory of the site files}"
jobs="${JOBS:-3}"

small="$sites/further/chaski-hq.toml"
grown="$sites/further-grown/chaski-hq-grown.toml"
large="$sites/large/zariste-ugljen-large.toml"

case "$mode" in
quick)
	"$bench" score "$small" --quick --jobs "$jobs" --why "$why"
	;;
score)
	for site in "$small" "$grown" "$large"; do
		"$bench" score "$site" --jobs "$jobs" --why "$why"
	done
	;;
hunt)
	"$bench" hunt "$small" --days 40 --jobs "$jobs" --why "$why"
	for site in "$grown" "$large"; do
		"$bench" hunt "$site" --days 8 --jobs "$jobs" --why "$why"
	done
	;;
*)
	echo "unknown mode $mode: use quick, score or hunt" >&2
	exit 2
	;;
esac
