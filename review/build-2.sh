#!/bin/sh
# Builds the program that plays the cases of the second review, with its stand-ins, to target/review-2.
set -eu
cd "$(dirname "$0")/testbed"
GOPROXY=off go build -buildvcs=false -o ../../target/review-2/ ./cmd/drill
