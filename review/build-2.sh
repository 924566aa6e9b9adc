#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They need nothing but the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case-2 review/standin-2/main.rs
