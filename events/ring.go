// Package events records the timeline of a process and merges those of all
// processes.
//
// Each process holds a bounded ring buffer of events, each stamped with the
// hybrid logical clock of package peers. Every message between VMs
// carries the clock, so sorting by it orders a cause before its effect even with
// clock skew between VMs.
//
// # Usage
//
//	ring := events.NewRing(events.Config{VM: "entry1", Size: 8192, Stamp: node.Stamp})
//	ring.Record(jdaw.TimelineEvent{Name: "dispatched", RequestID: id})
//	merged := events.Merge(ringA.Last(0), ringB.Last(0))
//	events.WriteText(os.Stdout, events.Filter{Request: id}.Apply(merged))
package events

import (
	"sync"

	"jackdawbarrow"
)

// Config configures a Ring.
type Config struct {
	VM   jdaw.VMID
	Size int
	// Stamp reads the hybrid logical clock.
	Stamp func() (wall int64, logical uint32)
	// Incarnation returns the current incarnation of the process.
	Incarnation func() jdaw.Incarnation
}

// Ring is a bounded buffer of events; the oldest are overwritten.
type Ring struct {
	cfg Config

	mu    sync.Mutex
	slots []jdaw.TimelineEvent
	next  uint64 // number of events recorded so far
}

// NewRing makes a ring.
func NewRing(cfg Config) *Ring {
	return &Ring{cfg: cfg, slots: make([]jdaw.TimelineEvent, 0, cfg.Size)}
}

// Record implements jdaw.Recorder.
func (r *Ring) Record(e jdaw.TimelineEvent) {
	e.VM = r.cfg.VM
	if r.cfg.Incarnation != nil {
		e.Incarnation = r.cfg.Incarnation()
	}
	e.Wall, e.Logical = r.cfg.Stamp()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.slots) < r.cfg.Size {
		r.slots = append(r.slots, e)
	} else {
		r.slots[r.next%uint64(r.cfg.Size)] = e
	}
	r.next++
}

// Last returns the newest n events in the order of recording; 0 means all.
func (r *Ring) Last(n int) []jdaw.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := len(r.slots)
	if n == 0 || n > held {
		n = held
	}
	out := make([]jdaw.TimelineEvent, 0, n)
	for i := r.next - uint64(n); i < r.next; i++ {
		out = append(out, r.slots[i%uint64(r.cfg.Size)])
	}
	return out
}
