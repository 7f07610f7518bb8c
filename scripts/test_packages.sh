#!/usr/bin/env bash
# Tests packages: test_packages.sh FLAGS PACKAGE... . Tests that KNOWN-RED.txt lists are passed over, each in its own package alone: -skip
# goes by the name, so a package with a listed test is tested by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
read -ra flags <<<"$1"
shift
listed=$(bash scripts/known_red.sh)
whole=()
for package in "$@"; do
	if grep -qxF -- "$package" <<<"$listed"; then
		go test "${flags[@]}" -skip "$(bash scripts/known_red.sh "$package")" "$package"
	else
		whole+=("$package")
	fi
done
[ ${#whole[@]} -eq 0 ] || go test "${flags[@]}" "${whole[@]}"
