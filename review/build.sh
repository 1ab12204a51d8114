#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/harness .
