#!/usr/bin/env bash
# The whole check: formatting, vet, the build of deploy/balancer.toml, and the tests under the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: $unformatted"
	exit 1
fi
go vet ./...
sh -c "$(sed -n 's/^build = "\(.*\)".*$/\1/p' deploy/balancer.toml)"
bash scripts/linked.sh bin/cedarmast
go test -race -count=1 ./...
