#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review (6 to 10), without a network: they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
