#!/usr/bin/env bash
# The adapter's names stay in its folder, it stays small, and the product builds without it.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Instances\.|heartbeat(Addr|Ms)|warmupLeft|pathPrefix|datagramAddr|internalPorts|bindAddrs'
names+='|BOUNCED|finalizers|currentRev|staleOk|hasMore|waitMs|maxConns|trafficSplit|ecmpHash|fleetbench'
if git grep -nIE "$names" -- '*.rs' '*.toml' '*.sh' ':!platform' ':!deploy' ':!scripts/check-edges.sh'; then
  echo 'these names belong to the adapter: translate them in platform/' >&2
  exit 1
fi
sites='kerala|vrikshakavalu|solano|mesadita|(trouble|scale|quiet)-[0-9]'
if git grep -nIiE "$sites" -- 'crates/*/src' 'platform/src' deploy; then
  echo 'no decision may depend on a deployment or a day: take its name out of the code' >&2
  exit 1
fi
lines=$(cat platform/src/*.rs | wc -l)
if [ "$lines" -ge 1000 ]; then
  echo "platform/src has $lines lines; it translates only, so keep it under 1000" >&2
  exit 1
fi
cargo check --locked -p rosemaryusher -p rosemaryusher-agent --no-default-features
