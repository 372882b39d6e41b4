#!/bin/sh
# Builds the stand-ins of the second review, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --quiet \
    --manifest-path review/stand-in-2/Cargo.toml
