#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. The build of the deploy
# file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/second/platform
