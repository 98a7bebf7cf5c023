// Package bench measures what the control of a deployment costs and what the
// path through an entry VM adds to a request. It has no code of its own; the
// benchmarks are in its test files, and docs/CAPACITY.md and
// docs/measurements-overhead.md give their results.
//
// # Usage
//
//	go test ./bench -run NONE -bench CapacityMachine
//	go test ./bench -run NONE -bench CapacitySeal
//	go test ./bench -run NONE -bench CapacityIdle
//	go test ./bench -run NONE -bench CapacityChange
//	go test ./bench -run NONE -bench CapacityRequests
//	go test ./bench -run NONE -bench CapacityHeld
//	go test ./bench -run NONE -bench CapacityMemory
//	go test ./bench -run NONE -bench CapacityOwner
//	go test ./bench -run NONE -bench 'Overhead$'
//	go test ./bench -run NONE -bench OverheadMemory
//
// Each command takes about two minutes or less and uses loopback only.
package bench
