// Package poison finds prompts and prompt parts that crash upstreams ("queries of
// death") and keeps them from the upstreams that are left.
//
// The health of upstreams doesn't help against such a part: each crash only
// moves its requests to the next upstream. A [Detector] therefore collects, from
// all VMs, the requests that an upstream had not answered to the end when its
// process crashed: an upstream may crash at any event of an answer. A part is
// quarantined if attempts with it, each of them sent after the one before had
// ended, crashed several processes, and no upstream has answered a request with it
// to the end lately. Sound parts that happen to be at the same upstreams are
// answered elsewhere, which clears them. The last part of a prompt stands for the
// prompt as a whole.
//
// # Usage
//
//	d := poison.New(poison.Config{Log: log})
//	d.Crashed(now, crash)                      // an upstream's process ended
//	d.Answered(now, service, parts)            // a complete answer
//	q, ok := d.Find(now, service, parts)       // before a request is sent
//
// Package loads carries the evidence between VMs, and the VM that decides
// writes a quarantine to the store, which keeps it if all VMs are lost. The
// detector reads no clock and no network.
package poison
