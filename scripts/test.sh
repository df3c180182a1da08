#!/usr/bin/env bash
# Runs the linters and all tests, then the tests of packages that use goroutines under
# the race detector. Tests listed in KNOWN-RED.txt are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/lint.sh
red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
if grep -q '^\(test\|bench\): ' KNOWN-RED.txt; then
	echo "known failing tests, skipped, and days of the bench:"
	cat KNOWN-RED.txt
fi
go test ${red:+-skip "^($red)\$"} -count=1 work
# loadtest/experiment and policy are omitted: they don't share data between goroutines.
go test -race ${red:+-skip "^($red)\$"} -count=1 ./entry/... ./link/... ./platform/... ./operator/... ./standin/... ./loadtest ./loadtest/load ./loadtest/processes
