#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3 ] || [ ! -x target/cicadaloom ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
exec target/review-3 -folder review/3
