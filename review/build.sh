#!/usr/bin/env bash
# Builds the test programs of the review; needs the Rust toolchain and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review review/harness/main.rs
