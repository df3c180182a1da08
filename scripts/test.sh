#!/usr/bin/env bash
# Runs the linters and all tests, then those of the packages with goroutines under
# the race detector, passing over just what KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/lint.sh
red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
if [[ -n $red ]]; then
	echo "known red, passed over:"
	cat KNOWN-RED.txt
fi
go test ${red:+-skip "^($red)\$"} -count=1 work
# loadtest/experiment and policy are left out: no goroutines meet there.
go test -race ${red:+-skip "^($red)\$"} -count=1 ./entry/... ./link/... ./platform/... ./operator/... ./standin/... ./loadtest ./loadtest/load ./loadtest/processes
