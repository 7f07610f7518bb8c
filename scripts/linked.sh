#!/usr/bin/env bash
# Fails if a program is not dynamically linked against the C library: benchmarks and hosts that preload a library can't load it into
# a static program. The output of ldd is captured whole: in a pipe, grep -q exits at its first match, and on a busy machine ldd, a
# script that writes line by line, is then killed by SIGPIPE, which pipefail reports as "not linked".
set -euo pipefail
linked=$(ldd "$1" 2>&1 || true)
case "$linked" in
*libc.*) ;;
*)
	echo "$1 is not linked against the C library; see build in deploy/balancer.toml. ldd says: $linked"
	exit 1
	;;
esac
