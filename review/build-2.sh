#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-fleet2 ./review/fleet2
