// Package serve builds one entry VM's process out of the slices.
//
// The control loop owns the member table, the distribution of the
// configuration, the pools that this VM owns, the judgement of roll-outs and
// the estimates of cascades. Traffic goroutines serve callers and read what
// control publishes through atomic pointers.
//
// # Usage
//
//	p, err := serve.New(serve.Config{Settings: settings, Log: log})
//	...
//	p.Drain(ctx) // on SIGTERM: refuse new work after a while, finish the rest
//	p.Close()
package serve
