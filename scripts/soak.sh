#!/usr/bin/env bash
# Plays seeds of the fault soak with real processes, four at a time.
#
#   scripts/soak.sh FIRST..END     e.g. 1..51; by default 50 seeds drawn from the clock
set -euo pipefail
cd "$(dirname "$0")/.."
first=$(($(date +%s) % 1000000 * 100))
export SOAK_SEEDS="${1:-$first..$((first + 50))}"
cargo build --workspace --release --locked
exec cargo test --release --locked -p rosemaryusher-platform --test soak -- --nocapture
