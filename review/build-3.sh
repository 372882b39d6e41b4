#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-in-3/Cargo.toml --target-dir target/review-3
