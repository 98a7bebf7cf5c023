// Package jdaw holds the values, the interfaces and the result codes that the
// slices of jackdawbarrow share.
//
// Jackdawbarrow is a model-aware request router: it stands between callers and
// model engines or plain services and picks, for each request, the model, the
// version and the upstream. The packages below this one implement one duty
// each; they meet only through the types declared here and through the
// messages in package wire.
//
// # Usage
//
// Control state is written as a [Machine]: a type that takes events, each with
// its time, and returns the actions to carry out. It reads no clock and does
// no I/O, so a recorded trace of events replays to the same decisions:
//
//	actions := m.Handle(at, ev)
//
// Refusals and failures that a caller can see are made from a [Code]:
//
//	return jdaw.Fail(jdaw.CodeModelNotAllowed, "workspace %q may not use model %q", w, model)
//
// The outcome of any error is read back with [CodeOf].
package jdaw
