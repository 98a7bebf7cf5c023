// Package wire holds the messages and the gRPC services between VMs.
//
// The files *.pb.go are generated from the *.proto files and committed,
// so that the build needs no generator.
//
// # Usage
//
// A VM serves [PeerServer] on its peer address and calls others through
// [PeerClient]. Every message carries a [Header]. A VM that relays requests
// serves [FeedServer] and [LoadsServer].
//
// After a change of a .proto file run tools/generate.sh, which needs protoc.
package wire
