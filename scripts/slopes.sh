#!/usr/bin/env bash
# Measures how the cost of an idle entry instance grows with the number of endpoints
# and instances: CPU time in ticks of 10 ms over SPAN seconds, and resident memory.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/stack.sh
trap stop_all EXIT
mkdir -p "$run_dir"
span=${SPAN:-8}

# settings N: writes the settings of the N-th instance.
settings() {
	sed -e "s/entry-a1/entry-$1/" -e "s/8101/$((11000 + $1))/" -e "s/127.0.0.1:8201\$/127.0.0.1:$((12000 + $1))/" \
		-e "s/8301/$((13000 + $1))/" -e 's/^peers:.*/peers: []/' -e 's/log-level: info/log-level: warn/' \
		examples/entry-a1.yaml >"$run_dir/entry-$1.yaml"
}

# listing ENDPOINTS INSTANCES: prints the directory's listing.
listing() {
	echo "instances:"
	for ((i = 0; i < $2; i++)); do
		echo "  - {id: entry-$i, zone: zone-a, peer: \"127.0.0.1:$((12000 + i))\", presence: live}"
	done
	echo "endpoints:"
	for ((i = 0; i < $1; i++)); do
		echo "  - {id: e-$i, zone: zone-a, kind: engine, url: \"http://127.0.0.1:9001\", version: returns@$((i % 20)), presence: live}"
	done
}

# measure ENDPOINTS INSTANCES: starts a fresh stack of this size and prints one row of results.
measure() {
	pids=()
	listing "$1" "$2" >"$run_dir/listing.yaml"
	start log bin/standin log -listen 127.0.0.1:7001
	start directory bin/standin directory -listen 127.0.0.1:7002 -list "$run_dir/listing.yaml"
	start rating bin/standin rating -listen 127.0.0.1:7003
	start engine bin/standin engine -listen 127.0.0.1:9001 -id e -version returns@1 -warm-after 0
	for ((i = 0; i < $2; i++)); do
		settings "$i"
		start "entry-$i" bin/entry run -settings "$run_dir/entry-$i.yaml"
		[[ $i != 0 ]] || entry_pid=${pids[-1]}
	done
	wait_for http://127.0.0.1:11000/readyz
	sleep 3
	local before
	before=$(entry_cpu)
	sleep "$span"
	echo "endpoints=$1 instances=$2 cpu-ticks=$(($(entry_cpu) - before)) over ${span} s rss-kb=$(awk '/VmRSS/{print $2}' "/proc/$entry_pid/status")"
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
}

for endpoints in 10 100 300 600; do measure "$endpoints" 1; done
for instances in 2 4 8 16; do measure 10 "$instances"; done
