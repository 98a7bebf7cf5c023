// Package peers keeps the table of the VMs that work together.
//
// Membership is SWIM-style: each period one member is probed, over other
// members if the direct probe fails; a member that answers neither is suspect
// and, unless it refutes that with a higher number, dead a second later.
// Changes travel on the probes and their answers. The cost per VM does not
// depend on the number of VMs.
//
// [Machine] holds the table and decides; it does no I/O. [Node] sends the
// probes, serves the gRPC methods Probe, ProbeFor and Join, reads the VM list
// and keeps the connections to other VMs.
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
// A message to another VM is sent with [Node.Client] and carries
// [Node.Header]; the header of each message received goes to [Node.Observe].
//
// # Precedence of updates
//
// An update with a higher number replaces what is known of a member; with an
// equal number, dead replaces suspect and suspect replaces alive. Only the
// member itself raises its number. Numbers start at the process's start time,
// so that a restarted VM replaces its earlier life. Draining is kept apart
// from the state, because a suspicion must not make a draining VM appear to
// accept work.
package peers
