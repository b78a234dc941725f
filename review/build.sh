#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs the Rust toolchain only, and no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -D warnings -o target/review/standins review/standins/main.rs
