#!/usr/bin/env bash
# Runs the experiments, which check their results against limits, and the
# micro-benchmarks, and measures the overhead of the router: the same load is sent
# directly to an engine and through an entry instance.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -count=1 ./loadtest/experiment | grep -v 'total assertions\|^\.*$'
go test -run '^$' -bench . ./policy/... | grep -E '^(Benchmark|FAIL)'
. scripts/stack.sh
trap stop_all EXIT
engine_flags="-first-token-ms 5 -token-ms 2 -slots 512 -warm-after 0"
start_stack
export FOXTAILBRIDGE_OPERATOR_KEY=example-key-operator
bin/operator ticket publish examples/ticket-1.yaml >/dev/null
bin/loadtest run examples/load-routed.yaml >/dev/null
for round in 1 2 3; do
	bin/loadtest run -out "$run_dir/direct.json" examples/load-direct.yaml
	before=$(entry_cpu)
	bin/loadtest run -out "$run_dir/routed.json" examples/load-routed.yaml
	echo "entry instance: $(($(entry_cpu) - before)) ticks of 10 ms of CPU for $(grep -o '"sent": [0-9]*' "$run_dir/routed.json" | tr -dc 0-9) requests of 20 tokens"
	bin/loadtest compare -added-us 500 "$run_dir/direct.json" "$run_dir/routed.json"
done
