#!/usr/bin/env bash
# Runs all tests. Tests named in KNOWN-RED.txt are run apart: their failures
# are printed and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=""
if [ -s KNOWN-RED.txt ]; then
	skip=$(grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt | paste -sd'|' || true)
fi
if [ -z "$skip" ]; then
	go test -count=1 -timeout 20m ./...
	exit
fi
go test -count=1 -timeout 20m -skip "^($skip)\$" ./...
echo "== known failures, listed in KNOWN-RED.txt"
go test -count=1 -timeout 20m -run "^($skip)\$" ./... || true
