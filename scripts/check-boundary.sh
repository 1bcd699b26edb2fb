#!/usr/bin/env bash
# Fails if a package outside platform/ names fields, paths or headers of the
# users' platform.
set -euo pipefail
names='kv-(txn|key|range|watch|lease|keep)|X-(Lease-Holder|Fencing-Token)|op/(config|evacuate)|bounded_staleness|max_staleness_ms|api_keys|warmup_left_ms|tx_idle_ms|target_latency_ms|BRAMLEYLEVER_SETTINGS'
if found=$(git grep -nE "$names" -- '*.go' ':!platform'); then
  printf 'names of the platform outside platform/:\n%s\n' "$found" >&2
  exit 1
fi
if found=$(git grep -nE 'bramleylever/platform"' -- '*.go' ':!platform' ':!internal/cli'); then
  printf 'imports of platform/ outside the command line:\n%s\n' "$found" >&2
  exit 1
fi
