// Package fleet holds one VM's view of the deployment: the routes in force,
// the registered upstreams, the data centres out of service, the other VMs,
// and the roll-outs with their traffic shares.
//
// The view is built from the revisioned change stream of the key-value
// service, so VMs need no agreement protocol of their own. [Machine] is the state; [Node]
// follows the stream, registers this VM under a lease and carries out the
// machine's writes.
//
// # Usage
//
//	m := fleet.NewMachine(fleet.MachineConfig{Self: vm})
//	n := fleet.New(fleet.Config{Machine: m, Store: s, Decoder: d, Post: l.Post})
//	defer n.Close()
//	st := n.State() // immutable; nil until the first read
//
// # Roll-outs
//
// One VM, the first by rendezvous hash, is the evaluator of a roll-out. It
// raises the share of the new version step by step and writes each step
// conditionally, so that two VMs that both act as evaluator cannot overwrite
// each other. Package guard receives the outcomes of all VMs through the
// store.
package fleet
