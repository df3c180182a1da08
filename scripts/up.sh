#!/usr/bin/env bash
# Starts the demo's processes and keeps them running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/stack.sh
trap stop_all EXIT
start_stack
FOXTAILBRIDGE_OPERATOR_KEY=example-key-operator bin/operator ticket publish examples/ticket-1.yaml
echo "running: callers on 127.0.0.1:8101 and 8102, admin API on 127.0.0.1:8301 and 8302, logs in $run_dir; stop with Ctrl-C"
sleep infinity &
wait $!
