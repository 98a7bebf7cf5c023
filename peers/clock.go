package peers

import (
	"sync/atomic"
	"time"

	"jackdawbarrow"
)

// maxClockSkew bounds how far a received timestamp may advance the hybrid
// logical clock beyond local time. Without the bound, one VM with a wrong clock
// would advance the clocks of all others.
const maxClockSkew = 10 * time.Second

// hybridClock is a hybrid logical clock. It is lock-free because request
// goroutines read it for every message.
type hybridClock struct {
	clock jdaw.Clock
	last  atomic.Pointer[timestamp]
}

type timestamp struct {
	wall    int64
	logical uint32
}

func newHybridClock(clock jdaw.Clock) *hybridClock {
	c := &hybridClock{clock: clock}
	c.last.Store(&timestamp{})
	return c
}

// now returns a timestamp greater than all timestamps issued or observed so far.
func (c *hybridClock) now() timestamp {
	for {
		last := c.last.Load()
		next := timestamp{wall: c.clock.Now().UnixNano()}
		if next.wall <= last.wall {
			next = timestamp{wall: last.wall, logical: last.logical + 1}
		}
		if c.last.CompareAndSwap(last, &next) {
			return next
		}
	}
}

// observe advances the clock to a timestamp received from another VM.
func (c *hybridClock) observe(s timestamp) {
	if s.wall > c.clock.Now().Add(maxClockSkew).UnixNano() {
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
