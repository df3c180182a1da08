#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/platform || ! -x target/lab2 ]]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/lab2 late-report review/10
