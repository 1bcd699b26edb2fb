#!/usr/bin/env bash
# Fails if a package outside platform/ uses field names, paths or headers of the
# users' platform, or if one other than internal/cli imports platform/.
set -euo pipefail
names='kv-(txn|key|range|watch|lease|keep)|X-(Lease-Holder|Fencing-Token)|op/(config|evacuate)|bounded_staleness|max_staleness_ms|api_keys|warmup_left_ms|tx_idle_ms|target_latency_ms|BRAMLEYLEVER_SETTINGS'
if found=$(git grep -nE "$names" -- '*.go' ':!platform'); then
  printf 'names of the users'"'"' platform used outside platform/:\n%s\n' "$found" >&2
  exit 1
fi
if found=$(git grep -nE 'bramleylever/platform"' -- '*.go' ':!platform' ':!internal/cli'); then
  printf 'platform/ imported outside internal/cli:\n%s\n' "$found" >&2
  exit 1
fi
