// Package jdaw defines the values, the interfaces and the result codes that the
// packages of jackdawbarrow share.
//
// Jackdawbarrow is a model-aware request router between callers and model
// engines or plain services: for each request, it picks the model, the version
// and the upstream. The packages below this one implement one concern each; they
// depend on each other only through the types declared here and the messages in
// package wire.
//
// # Usage
//
// Control logic is written as a [Machine], a deterministic state machine: it
// takes events with timestamps and returns the actions to carry out. It reads no
// clock and does no I/O, so a recorded trace replays to the same decisions:
//
//	actions := m.Handle(at, ev)
//
// Errors that are returned to callers have a [Code]:
//
//	return jdaw.Fail(jdaw.CodeModelNotAllowed, "workspace %q may not use model %q", w, model)
//
// [CodeOf] returns the coded error of any error.
package jdaw
