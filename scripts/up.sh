#!/usr/bin/env bash
# Starts the demo's processes and keeps them up until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/stack.sh
trap stop_all EXIT
start_stack
FOXTAILBRIDGE_OPERATOR_KEY=example-key-operator bin/operator ticket publish examples/ticket-1.yaml
echo "up: callers 127.0.0.1:8101 and 8102, administration 127.0.0.1:8301 and 8302, logs in $run_dir; Ctrl-C stops"
sleep infinity &
wait $!
