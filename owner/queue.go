package owner

import (
	"math"
	"sort"
	"time"

	"jackdawbarrow"
)

// waiter is a request that waits for a credit.
type waiter struct {
	req      AcquireRequested
	arrived  time.Time
	deadline time.Time
	flow     *flow
	// key is equal for requests that the same upstreams can serve, so that a
	// failed choice is not repeated for each of them.
	key uint64
}

// before orders waiters of one workspace.
func (w *waiter) before(o *waiter) bool {
	if w.req.Priority != o.req.Priority {
		return w.req.Priority > o.req.Priority
	}
	return w.deadline.Before(o.deadline)
}

// flow is the queue of one workspace.
type flow struct {
	workspace jdaw.WorkspaceID
	weight    float64
	start     float64 // start tag of the request to be served next
	finish    float64 // finish tag of the request served last
	waiters   []*waiter
	tried     bool // in the current round of grants
}

// queue orders waiters by start-time fair queueing over workspaces. Virtual
// time is the start tag of the request served last; a workspace that was idle
// starts there, so its idle time gives it neither an advantage nor a penalty.
type queue struct {
	flows       []*flow
	byID        map[jdaw.WorkspaceID]*flow
	virtualTime float64
	length      int
}

func (q *queue) flow(id jdaw.WorkspaceID, weight float64) *flow {
	if weight <= 0 {
		weight = 1
	}
	f := q.byID[id]
	if f == nil {
		f = &flow{workspace: id}
		q.byID[id] = f
		q.flows = append(q.flows, f)
	}
	f.weight = weight
	return f
}

func (q *queue) push(w *waiter) {
	f := w.flow
	if len(f.waiters) == 0 {
		f.start = max(q.virtualTime, f.finish)
	}
	i := sort.Search(len(f.waiters), func(i int) bool { return w.before(f.waiters[i]) })
	f.waiters = append(f.waiters, nil)
	copy(f.waiters[i+1:], f.waiters[i:])
	f.waiters[i] = w
	q.length++
}

// remove takes out a waiter that is not served.
func (q *queue) remove(w *waiter) {
	for i, other := range w.flow.waiters {
		if other != w {
			continue
		}
		w.flow.waiters = append(w.flow.waiters[:i], w.flow.waiters[i+1:]...)
		q.length--
		return
	}
}

// serve takes out a waiter that got a credit and charges its workspace.
func (q *queue) serve(w *waiter) {
	q.remove(w)
	q.charge(w.flow)
}

// charge accounts for one request of the workspace.
func (q *queue) charge(f *flow) {
	q.virtualTime = max(q.virtualTime, f.start)
	f.finish = f.start + 1/f.weight
	f.start = f.finish
}

// chargeIdle accounts for a request that was served without waiting.
func (q *queue) chargeIdle(f *flow) {
	f.start = max(q.virtualTime, f.finish)
	q.charge(f)
}

// beginRound makes all workspaces eligible for next again.
func (q *queue) beginRound() {
	for _, f := range q.flows {
		f.tried = false
	}
}

// next returns the workspace with the lowest start tag that has waiters and
// was not tried in this round, or nil. Among equal tags the shorter queue is
// first: its workspace has become active most recently.
func (q *queue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiters) == 0 || f.tried {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow) before(o *flow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return len(f.waiters) < len(o.waiters)
}

// countBefore estimates how many requests are served before the one at position
// pos of the flow: those before it, and the fair share of each other workspace
// while they are served.
func (q *queue) countBefore(f *flow, pos int) int {
	n := pos
	for _, o := range q.flows {
		if o == f || len(o.waiters) == 0 {
			continue
		}
		share := math.Ceil(float64(pos+1) * o.weight / f.weight)
		n += int(min(float64(len(o.waiters)), share))
	}
	return n
}

// position returns where w would be inserted.
func (f *flow) position(w *waiter) int {
	return sort.Search(len(f.waiters), func(i int) bool { return w.before(f.waiters[i]) })
}
