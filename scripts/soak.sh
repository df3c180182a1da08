#!/usr/bin/env bash
# Runs many randomized fault schedules. The first seed is SEED, or else the current time,
# and is printed so that a run can be repeated; SEEDS is the number of schedules.
set -euo pipefail
cd "$(dirname "$0")/.."
export FOXTAILBRIDGE_FIRST_SEED=${SEED:-$(date +%s)} FOXTAILBRIDGE_SEEDS=${SEEDS:-500}
echo "seeds: $FOXTAILBRIDGE_FIRST_SEED and the next $((FOXTAILBRIDGE_SEEDS - 1))"
go test -count=1 -timeout 1h -run 'TestSchedules' ./entry/promises | grep -v 'total assertions\|^\.*$'
