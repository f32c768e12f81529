#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-3.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
cd ../.. || exit 2
[ -x target/release/cicadalift-platform ] && [ -x target/review-3/review-3 ] || exit 2
exec target/review-3/review-3 directory "$folder"
