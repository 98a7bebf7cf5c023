// Package proof holds the tests of the twelve invariants of docs/design.md.
//
// Each test starts entry VMs and stand-ins as processes of their own, which
// talk over TCP, and brings about the failures that the invariant must
// survive: kills, pauses, cuts between VMs, outages of the key-value service
// and racing operators. The checks read the logs of the stand-ins and of the
// key-value service and not the router's own counters.
//
// # Usage
//
//	go test ./proof -run TestInvariantBilledOnce
//	go test ./proof -run TestInvariant -repeat 20
//	go test ./proof -run TestSoak -soak 10m -seed 7
package proof
