// Package spread brings the configuration and the suspensions to all VMs.
//
// At most two VMs per data centre watch the document in the key-value service.
// Each VM that adopts a revision hints at it to four random members; the
// revision also travels on every message, and a VM that is behind pulls the
// document from the sender. A VM adopts only a higher revision.
//
// A suspension takes something out of service while the key-value service is
// down. It spreads in the same way and is folded into the document by one VM
// when the service is back.
//
// [Machine] decides and does no I/O. [Node] calls the other VMs and the store,
// serves the gRPC methods Hint and Pull, and submits changes.
//
// # Usage
//
//	n := spread.New(spread.Config{Self: "entry1", Peers: peersNode, Store: kv, Post: post})
//	l = loop.New(loop.Config{
//		Machines: []jdaw.Machine{peersNode.Machine(), n.Machine()},
//		Execute:  func(a jdaw.Action) { _ = peersNode.Execute(a) || n.Execute(a) },
//	})
//	snap := n.Snapshot() // nil until a document is known
//	res, err := n.Submit(ctx, spread.Change{ID: "c7", Objects: objects, Apply: apply})
//	res, err = n.Suspend(ctx, jdaw.Suspension{ID: "s1", Kind: jdaw.SuspendDataCentre, Name: "oban"})
package spread
