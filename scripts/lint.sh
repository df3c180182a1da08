#!/usr/bin/env bash
# Runs gofmt, go vet and staticcheck on every module of the Go workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=$(go list -m -f '{{.Dir}}')
unformatted=$(gofmt -l $modules)
if [[ -n $unformatted ]]; then
	echo "not formatted by gofmt:" $unformatted >&2
	exit 1
fi
go vet work
GOWORK=off go build -C tools/lint -o ../../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
bin/staticcheck -checks all,-ST1000,-ST1020,-ST1021,-ST1022 $(printf '%s/... ' $modules)
echo "lint: ok"
