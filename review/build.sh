#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with its stand-ins of clients, runners and
# the operator. The store's stand-in is a subcommand of the binary that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
