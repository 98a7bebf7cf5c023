package peers

import (
	"sync/atomic"
	"time"

	"jackdawbarrow"
)

// maxClockAhead bounds how far a message may move the hybrid logical clock
// ahead of the own clock. Without it, one VM with a wrong clock would move the
// clocks of all others.
const maxClockAhead = 10 * time.Second

// hybridClock is a hybrid logical clock. It is lock-free because traffic
// goroutines read it for each message.
type hybridClock struct {
	clock jdaw.Clock
	last  atomic.Pointer[stamp]
}

type stamp struct {
	wall    int64
	logical uint32
}

func newHybridClock(clock jdaw.Clock) *hybridClock {
	c := &hybridClock{clock: clock}
	c.last.Store(&stamp{})
	return c
}

// now returns a stamp that is higher than each stamp seen before.
func (c *hybridClock) now() stamp {
	for {
		last := c.last.Load()
		next := stamp{wall: c.clock.Now().UnixNano()}
		if next.wall <= last.wall {
			next = stamp{wall: last.wall, logical: last.logical + 1}
		}
		if c.last.CompareAndSwap(last, &next) {
			return next
		}
	}
}

// observe moves the clock past a stamp from another VM.
func (c *hybridClock) observe(s stamp) {
	if s.wall > c.clock.Now().Add(maxClockAhead).UnixNano() {
		return
	}
	for {
		last := c.last.Load()
		if s.wall < last.wall || (s.wall == last.wall && s.logical <= last.logical) {
			return
		}
		if c.last.CompareAndSwap(last, &s) {
			return
		}
	}
}
