#!/usr/bin/env bash
# Regenerates wire/*.pb.go from wire/*.proto. Needs protoc on the PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
PATH="$bin:$PATH" protoc --go_out=. --go_opt=module=jackdawbarrow --go-grpc_out=. --go-grpc_opt=module=jackdawbarrow wire/*.proto
