// Package owner decides which request runs on which upstream.
//
// Each pool of upstreams has one owner among the VMs, found by rendezvous hash
// ([Of]). The owner grants credits: one credit is the right to run one request
// on one upstream. Because every credit of a pool comes from one place, the
// limit of an upstream that has just started holds for all VMs together.
//
// [Machine] is the owner's state. It takes events and returns actions and
// reads no clock, no random source and no network. [Node] executes the actions
// and serves the gRPC calls of other VMs. [Holder] is the requester's side
// and implements jdaw.Credits for the goroutines that serve callers.
//
// # Usage
//
//	m := owner.New(owner.Config{Self: vm, Incarnation: inc})
//	n := owner.NewNode(owner.NodeConfig{Self: vm, Post: l.Post, ...})
//	defer n.Close()
//	l := loop.New(loop.Config{Machines: []jdaw.Machine{m}, Execute: func(a jdaw.Action) { n.Execute(a) }})
//	credit, err := n.Holder().Acquire(ctx, jdaw.CreditRequest{Pool: pool, ...})
//
// # Safety of the limits
//
// A new owner grants nothing for two seconds, which is longer than a credit of
// the old owner stays usable, and meanwhile collects the credits that the
// other VMs hold. Work that no VM reports (the VM is partitioned, or another
// owner still grants) appears in the upstream's load report and is counted as
// untracked, see upstream.go. An owner that is isolated, was paused, or sees
// less than half of its owner group alive grants nothing.
package owner
