#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 14 start. Run it after the build line of deploy/system.toml; it
# needs no network. The project's own stand-ins of the store and the runners are packages within the same program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-third ./review/third/standin
