#!/bin/sh
# Builds the stand-ins of the scripts of this review, without network, into target/review-3.
set -eu
cd "$(dirname "$0")/stage3"
GOPROXY=off go build -buildvcs=false -o ../../target/review-3/stage3 .
