#!/bin/bash
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/review-stand ./review/_stand
