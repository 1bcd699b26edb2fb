#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10. The build line of the deploy file
# builds the gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2 ./review/standin2
