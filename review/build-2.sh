#!/usr/bin/env bash
# Builds the program with the stand-ins and the cases 6 to 10 into target/review-2/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/lab-2/platform"
GOWORK=off GOTOOLCHAIN=local GOFLAGS= go build -buildvcs=false -o ../../../target/review-2/reviewlab .
