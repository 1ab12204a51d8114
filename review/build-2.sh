#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -e
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/harness .
