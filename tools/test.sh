#!/usr/bin/env bash
# Runs all tests: those of package proof, the soak and the crowds of package
# platform, which start processes and check bounds, by themselves and without the
# race detector; all others with it.
# Tests named in KNOWN-RED.txt run apart: they are printed and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1

known=""
if [ -s KNOWN-RED.txt ]; then
	known=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt | sort -u | paste -sd'|' - || true)
fi
skip=()
if [ -n "$known" ]; then
	skip=(-skip "^($known)\$")
fi

# The race detector needs a C compiler, which a machine with only Go lacks.
race=()
if command -v "$(go env CC)" >/dev/null; then
	race=(-race)
else
	echo "no C compiler: the race detector is left out"
fi

packages=$(go list ./... | grep -v '/proof$')
go test ${race[@]+"${race[@]}"} -count=1 -timeout 20m -skip "^(TestRelaySoak|TestCrowdOf[A-Za-z]+${known:+|$known})\$" $packages
go test -count=1 -timeout 10m -run '^TestRelaySoak$' ./platform
go test -count=1 -timeout 10m -run '^TestCrowdOf' ${skip[@]+"${skip[@]}"} ./platform
go test -count=1 -timeout 30m ${skip[@]+"${skip[@]}"} ./proof
if [ -n "$known" ]; then
	echo "== known failures, listed in KNOWN-RED.txt"
	go test -count=1 -timeout 20m -run "^($known)\$" ./... || true
fi
