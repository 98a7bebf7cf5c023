// Package peers implements cluster membership and failure detection.
//
// Membership follows SWIM: each period a VM probes one member, through other
// members if the direct probe fails. A member that answers neither becomes
// suspect and, unless it refutes that with a higher incarnation number, dead a
// second later. Updates are piggybacked on probes and their replies. The cost
// per VM does not depend on the number of VMs.
//
// [Machine] holds the member table and makes all decisions; it does no I/O.
// [Node] sends the probes, serves the gRPC methods Probe, ProbeFor and Join,
// reads the VM list and caches the connections to other VMs.
//
// # Usage
//
//	var l *loop.Loop
//	ready := make(chan struct{}) // the loop may act before New has returned
//	n := peers.New(peers.Config{
//		Self:    jdaw.Member{VM: "entry1", Incarnation: inc, DataCentre: "oban", ...},
//		ListURL: "http://127.0.0.1:7900",
//		Post:    func(ev jdaw.Event) { <-ready; l.Post(ev) },
//	})
//	l = loop.New(loop.Config{
//		Machines: []jdaw.Machine{n.Machine()},
//		Execute:  func(a jdaw.Action) { n.Execute(a) },
//	})
//	close(ready)
//
// Messages to other VMs are sent with [Node.Client] and carry [Node.Header];
// the header of each received message is passed to [Node.Observe].
//
// # Precedence of updates
//
// An update with a higher incarnation number replaces the member's row; with an
// equal number, dead replaces suspect and suspect replaces alive. Only the
// member itself increments its number. Numbers start at the process start time,
// so that a restarted VM supersedes its previous incarnation. Draining is
// separate from the state because suspicion must not make a draining VM appear
// to accept work.
package peers
