#!/bin/sh
# Builds the stand-ins of the cases from 4 on. Run it at the root, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/review-stand2 ./review/_stand2
