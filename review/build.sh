#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripted cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
