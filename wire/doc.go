// Package wire holds the messages and the gRPC service between VMs.
//
// peer.pb.go and peer_grpc.pb.go are generated from peer.proto and committed,
// so that the build needs no generator.
//
// # Usage
//
// A VM serves [PeerServer] on its peer address and calls others through
// [PeerClient]. Every message carries a [Header].
//
// After a change of peer.proto run tools/generate.sh, which needs protoc.
package wire
