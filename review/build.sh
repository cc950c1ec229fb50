#!/bin/sh
# Builds the stand-ins of the cases. Needs the Rust tool chain, no network and no dependency.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
