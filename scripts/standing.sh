#!/usr/bin/env bash
# Runs the operators' standing test against a clean clone of HEAD and exits with the gate's verdict: 0 passed, 1 failed, 2 usage
# error, 3 if the kit is missing and nothing was run. See docs/operate/standing.md. CI does not call it.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
case "${1:-}" in
QUICK) mode=--quick ;;
FULL) mode= ;;
*) mode=wrong ;;
esac
reason=${2:-}
if [ "$mode" = wrong ] || [ -z "$reason" ] || [ ${#reason} -ge 120 ]; then
	echo "usage: standing.sh QUICK|FULL 'one plain sentence under 120 characters that names the change'" >&2
	exit 2
fi
kit=$root/../given/kit
bench=$kit/more/mass/bin/lbreal
if [ ! -x "$bench" ]; then
	echo "no kit beside this tree: nothing was played"
	exit 3
fi
workdir=$(mktemp -d)
trap 'rm -rf "$workdir"' EXIT
ln -s "$(cd "$kit/.." && pwd)" "$workdir/given"
git clone -q "$root" "$workdir/clone"
(cd "$workdir/clone" && ../given/kit/more/mass/bin/lbreal score ../given/kit/sites/conteo-central.toml $mode --why "$reason") |
	tee "$workdir/out" || true
cp -rn "$workdir/clone/journal/." journal/
git add journal
if ! grep -q '^GATE ' "$workdir/out"; then
	echo "no verdict: the test was not played to its end"
	exit 1
fi
grep -q '^GATE passed' "$workdir/out"
