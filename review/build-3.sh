#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/, beside the program itself.
set -euo pipefail
cd "$(dirname "$0")/standin3"
CGO_ENABLED=0 go build -o ../../target/review3 .
