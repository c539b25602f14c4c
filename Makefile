SHELL := /bin/bash
.SHELLFLAGS := -o pipefail -c
SEED ?= 1

.PHONY: build test lint fmt demo prove bench race regression callers

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test ./...

# The packages in which several goroutines share state; the process tests and the long runs of the others take too long
# with the race detector.
RACE_PACKAGES := ./admission ./callerconn ./control ./daemon ./endpoint ./gang ./gateway ./httpconn ./inner ./jobs ./joblog ./leader ./lease ./membership ./node \
	./operatorapi ./infra ./platform ./request ./routing ./settings ./standin ./store ./telemetry

race:
	go test -race $(RACE_PACKAGES)

# Processes under crowds of untrusted callers. They run one at a time, because they measure the memory of each process.
callers:
	go test -tags callers -p 1 -count=1 -run '^TestUntrustedCallers' ./platform/soak ./processtest

fmt:
	@unformatted="$$(gofmt -l .)"; test -z "$$unformatted" || { echo "run gofmt -w on:"; echo "$$unformatted"; exit 1; }

lint:
	go vet ./...
	go vet -tags prove,bench,callers ./...
	go tool staticcheck ./...
	go tool staticcheck -tags prove,bench,callers ./...

demo: build
	bash scripts/demo.sh

prove:
	@bash scripts/prove.sh $(SEED)

bench:
	go test -tags bench ./scheduler -run "^TestBench" -count=1 -v

# Needs FLEETBENCH and SITES; see scripts/regression.sh.
MODE ?= quick
regression:
	@bash scripts/regression.sh $(MODE) "$(WHY)"
