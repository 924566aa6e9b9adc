#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O --crate-name standin -o target/review/standin review/standin/main.rs
