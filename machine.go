package jdaw

import "time"

// Event is an input of a [Machine]. The name is stable and appears in traces.
type Event interface {
	EventName() string
}

// Action is an output of a [Machine]. The name is stable and appears in traces.
type Action interface {
	ActionName() string
}

// Machine is a deterministic state machine driven by one goroutine. Handle must
// not read a clock, a random source or the network; all of its input is in the
// event, so that a recorded trace replays to the same actions.
type Machine interface {
	Handle(at time.Time, ev Event) []Action
}

// Tick is sent to every machine at a fixed period. Gap is the time since the
// last tick; a gap far above the period indicates that the process was paused.
type Tick struct {
	Gap time.Duration `json:"gap"`
}

// EventName implements [Event].
func (Tick) EventName() string { return "tick" }
