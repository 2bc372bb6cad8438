#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, besides the daemon, which the deploy file builds. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
export GOWORK="$PWD/go.work" GOFLAGS="${GOFLAGS:--buildvcs=false}" GOPROXY=off
mkdir -p target
go build -o target/ ./cmd/...
