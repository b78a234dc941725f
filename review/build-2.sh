#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. They need the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 review/stand-ins-2/main.rs -o target/review-2/stand-ins
