#!/usr/bin/env bash
# Runs TestProve, a randomised run, of each package that has one, all with the same seed. Prints the sum of their violations
# in the last line. Exits 0 only if every package reported a result and the sum is 0.
set -uo pipefail
cd "$(dirname "$0")/.."

seed="${1:?usage: prove.sh SEED}"
packages=(configlog gateway scheduler control)

output="$(mktemp)"
trap 'rm -f "$output"' EXIT
PROVE_SEED="$seed" go test -tags prove -count=1 -timeout 45s -run '^TestProve$' -v "${packages[@]/#/./}" >"$output" 2>&1
status=$?

total=0
missing=0
for package in "${packages[@]}"; do
	line="$(grep -E "^ *${package}: violations: [0-9]+" "$output" | head -1)"
	if [ -z "$line" ]; then
		echo "${package}: no result"
		missing=1
		continue
	fi
	echo "seed ${seed}: ${line}"
	total=$((total + $(sed -E 's/.*violations: ([0-9]+).*/\1/' <<<"$line")))
done
if [ "$total" -gt 0 ] || [ "$missing" -gt 0 ] || [ "$status" -ne 0 ]; then
	cat "$output"
fi
if [ "$missing" -gt 0 ] || { [ "$status" -ne 0 ] && [ "$total" -eq 0 ]; }; then
	total=$((total + 1))
fi
echo "violations: ${total}"
[ "$total" -eq 0 ]
