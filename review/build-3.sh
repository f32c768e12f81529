#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 and on, without any crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/stand-3/main.rs
