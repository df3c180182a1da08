#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/lab"
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../bin/lab .
