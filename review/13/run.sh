#!/usr/bin/env bash
# Plays the case and writes record.txt. Build before: the build line of deploy/system.toml and
# review/build-3.sh. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleylever ] && [ -x target/review3 ] || exit 2
exec target/review3 moved-key review/13/record.txt
