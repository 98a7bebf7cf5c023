// Package gate builds the process of an entry VM that relays requests to
// upstreams registered in the key-value service.
//
// All entry VMs run it and are stateless: durable state is in the store. The
// process serves callers, the directory of VMs that callers may use, a readiness
// probe, and metrics.
//
// # Usage
//
//	p, err := gate.New(gate.Config{Settings: s, Store: store, Decoder: d, ...})
//	<-stop
//	p.Drain()
package gate
