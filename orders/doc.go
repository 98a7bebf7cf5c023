// Package orders makes engines load and unload model versions according to the
// placement in the configuration.
//
// One VM per region issues orders. It holds a lease in the key-value service;
// every order carries the fencing token of the lease. An order states the
// desired state, and its effect is read back from the engine's load report.
//
// # Engines that ignore fencing tokens
//
// For these engines, two issuers must not overlap in time. By its own monotonic
// clock, the issuer stops a margin before its lease can expire, counted from
// when the renewal was sent. A new issuer sends such an engine no order until
// the lease time plus the order timeout has passed since it took over. An
// engine that checks fencing tokens receives orders immediately.
//
// # The weight store
//
// Loads fetch weights from a store that supports only a few loads per minute.
// The issuer rate-limits them with a token bucket, which starts empty after a
// change of issuer so that two issuers together stay within the rate.
//
// # Usage
//
//	n := orders.New(orders.Config{Self: vm, Region: region, Store: kv, Post: post})
//	l := loop.New(loop.Config{Machines: []jdaw.Machine{n.Machine()}, Execute: func(a jdaw.Action) { n.Execute(a) }})
package orders
