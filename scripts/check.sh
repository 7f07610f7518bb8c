#!/usr/bin/env bash
# The whole check: formatting, vet, the linter on the delivery network, the build of deploy/balancer.toml, and the tests under the race detector.
# Tests that KNOWN-RED.txt lists, one a line as `package.Test: cause, issue`, are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: $unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck -checks all ./internal/cdn/... ./cmd/edge ./cmd/registry ./cmd/configstore ./cmd/localnet
sh -c "$(sed -n 's/^build = "\(.*\)".*$/\1/p' deploy/balancer.toml)"
bash scripts/linked.sh bin/cedarmast
known_red=$(bash scripts/known_red.sh)
# The simulation of the control side is one goroutine a run: the race detector would find nothing there, and takes it ten times as long.
simulation=cedarmast/internal/cdn/simulation
go test -race -count=1 -skip "$known_red" $(go list ./... | grep -v "^$simulation\$")
GOGC=400 go test -count=1 -skip "$known_red" "$simulation"
if [ -f KNOWN-RED.txt ]; then
	echo "passed over, known to fail:"
	cat KNOWN-RED.txt
fi
