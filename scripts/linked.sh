#!/usr/bin/env bash
# Refuses a program that is not linked against the C library: benches and hosts that load a library into it find no way
# into a static one. What ldd prints is taken whole first: grep -q at the end of a pipe leaves at its first match, and on a
# busy machine ldd, a script that writes line by line, then dies of the closed pipe, which pipefail takes for "not linked".
set -euo pipefail
linked=$(ldd "$1" 2>&1 || true)
case "$linked" in
*libc.*) ;;
*)
	echo "$1 is not linked against the C library; see build in deploy/balancer.toml. ldd says: $linked"
	exit 1
	;;
esac
