#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They need no module and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/lab3 -buildvcs=false -o ../../target/lab3 .
