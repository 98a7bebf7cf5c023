// Package orders has engines load and unload versions as the configuration
// places them.
//
// One VM per region issues orders. It holds a lease in the key-value service;
// the fencing number that comes with the lease stands in every order. An order
// states the wanted end state, and its effect is read back from the engine's
// load report.
//
// # Engines that ignore fencing numbers
//
// For them, two issuers must not overlap in time. The issuer stops by its own
// monotonic clock a margin before its lease can lapse, counted from when the
// renewal was sent. A new issuer gives such an engine no order until a whole
// lease and the longest order have passed since it took over. An engine that
// checks fencing numbers gets orders at once.
//
// # The weight store
//
// Loads fetch weights from a store that bears few loads a minute. The issuer
// spends tokens of a bucket, which is empty after a change of the issuer, so
// that two issuers together stay within the rate.
//
// # Usage
//
//	n := orders.New(orders.Config{Self: vm, Region: region, Store: kv, Post: post})
//	l := loop.New(loop.Config{Machines: []jdaw.Machine{n.Machine()}, Execute: func(a jdaw.Action) { n.Execute(a) }})
package orders
