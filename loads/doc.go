// Package loads shares the pending work at each upstream between VMs.
//
// One VM of many sees too few requests to tell which upstreams are busy. Each
// VM therefore sends its own backlog to the aggregator of its data centre and gets the
// sum of all others in reply. The aggregators exchange the sums of their data centres.
// A VM sends one message in each period, whatever the size of the fleet; an aggregator
// answers the VMs of its data centre, and the period grows with their number.
//
// The aggregator is the first live VM by rendezvous hash. While VMs disagree
// about it, each has only a part of the backlog. That makes picks worse, but
// breaks no limit: none depends on these values.
//
// # Usage
//
//	n := loads.New(loads.Config{Self: member, State: node.State, Own: relay.Backlog, Log: log})
//	defer n.Close()
//	wire.RegisterLoadsServer(server, n)
//	b := n.Others() // nil if the last report is stale
package loads
