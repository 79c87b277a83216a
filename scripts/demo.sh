#!/usr/bin/env bash
# Builds everything and runs the main job end to end, stand-ins included.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/setup.sh
cargo build --workspace --release --locked
exec "${CARGO_TARGET_DIR:-target}/release/rosemaryusher-standins" demo "$@"
