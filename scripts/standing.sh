#!/usr/bin/env bash
# Runs the operators' standing test against a clean clone of HEAD and exits with the gate's verdict: 0 passed, 1 failed, 2 usage
# error, 3 if the kit is missing and nothing was run. See docs/operate/standing.md. CI does not call it.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
case "${1:-}" in
QUICK) how=--quick ;;
FULL) how= ;;
*) how=wrong ;;
esac
why=${2:-}
if [ "$how" = wrong ] || [ -z "$why" ] || [ ${#why} -ge 120 ]; then
	echo "usage: standing.sh QUICK|FULL 'one plain sentence under 120 characters that names the change'" >&2
	exit 2
fi
kit=$root/../given/kit
bench=$kit/more/mass/bin/lbreal
if [ ! -x "$bench" ]; then
	echo "no kit beside this tree: nothing was played"
	exit 3
fi
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT
ln -s "$(cd "$kit/.." && pwd)" "$place/given"
git clone -q "$root" "$place/clone"
(cd "$place/clone" && ../given/kit/more/mass/bin/lbreal score ../given/kit/sites/conteo-central.toml $how --why "$why") |
	tee "$place/out" || true
cp -rn "$place/clone/journal/." journal/
git add journal
if ! grep -q '^GATE ' "$place/out"; then
	echo "no verdict: the test was not played to its end"
	exit 1
fi
grep -q '^GATE passed' "$place/out"
