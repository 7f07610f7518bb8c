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
# The router has to be linked against the C library: benches and hosts that load a library into it find no way into a static one.
if ! ldd bin/cedarmast | grep -q 'libc\.'; then
	echo "bin/cedarmast is not linked against the C library; see build in deploy/balancer.toml"
	exit 1
fi
go test -race -count=1 ./...
