#!/usr/bin/env bash
# Tests packages: test_packages.sh FLAGS PACKAGE... . Tests listed in KNOWN-RED.txt are skipped in their own package only: -skip matches
# by name, so a package with a listed test gets its own go test.
set -euo pipefail
cd "$(dirname "$0")/.."
read -ra flags <<<"$1"
shift
listed=$(bash scripts/known_red.sh)
unlisted=() pids=()
for package in "$@"; do
	if grep -qxF -- "$package" <<<"$listed"; then
		go test "${flags[@]}" -skip "$(bash scripts/known_red.sh "$package")" "$package" & # in parallel with the others, as without an entry
		pids+=($!)
	else
		unlisted+=("$package")
	fi
done
failed=0
[ ${#unlisted[@]} -eq 0 ] || go test "${flags[@]}" "${unlisted[@]}" || failed=1
for pid in "${pids[@]}"; do
	wait "$pid" || failed=1
done
exit $failed
