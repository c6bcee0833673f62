#!/usr/bin/env bash
# Builds the programs that the scripts under review/ start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for play in review/[0-9]*/play; do
	[ -d "$play" ] || continue
	number=$(basename "$(dirname "$play")")
	go build -o "target/review-$number" "./$play"
done
