#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need no package, so no network.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
