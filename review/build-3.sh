#!/bin/sh
# Builds the stand-ins of the review's scripts; they need only the standard library.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline \
    --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
