#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/fleet2
