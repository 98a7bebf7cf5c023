package relay

import (
	"context"
	"time"

	"jackdawbarrow"
)

const (
	// unknownShare is the share of a drain in which requests of unknown duration are
	// accepted: after it only callers with kept connections still come.
	unknownShare = 0.4
	// drainMargin is left between the expected end of an answer and the end of a drain.
	drainMargin = 100 * time.Millisecond
)

// drain is the time from a stop signal to the final responses.
type drain struct {
	unknownUntil time.Time // of requests of unknown duration
	end          time.Time
}

func newDrain(start, end time.Time) drain {
	return drain{unknownUntil: start.Add(time.Duration(unknownShare * float64(end.Sub(start)))), end: end}
}

// drainRequest is what the acceptance of a request in a drain depends on.
type drainRequest struct {
	deadline     time.Time
	isRepeatable bool
	expected     time.Duration // the longest likely time to the end of the answer, 0 if unknown
}

// accepts reports whether a request that has not run yet will be answered before the
// end. It answers the load of callers that still send to a stopping VM, most of them
// on kept connections: what is refused at once runs at another VM, what is cut off
// late has cost its caller the time and an upstream the work. A request that may run
// once only is lost if it is cut off, so that its deadline decides.
func (d drain) accepts(at time.Time, q drainRequest) bool {
	switch {
	case !q.deadline.After(d.end):
		return true
	case !q.isRepeatable:
		return false
	case q.expected <= 0:
		return at.Before(d.unknownUntil)
	}
	return !at.Add(q.expected + drainMargin).After(d.end)
}

// Drain prepares the end of the process. Requests that may not be answered until end
// are refused from now on; another VM can take them whole. At end, requests in
// progress get their final response.
func (x *Relay) Drain(end time.Time) {
	d := newDrain(time.Now(), end)
	x.drain.Store(&d)
	x.admission.queue.Drain()
	time.AfterFunc(time.Until(end), x.stop)
}

// checkDrain refuses a request that this VM may have to give up after an upstream
// has run it. It is called when the request has arrived and, since the VM may be
// stopped meanwhile, before each dispatch of a request that has not run.
func (c *call) checkDrain() error {
	d := c.x.drain.Load()
	if d == nil {
		return nil
	}
	at := time.Now()
	q := drainRequest{
		deadline: c.deadline, isRepeatable: c.route.IsRepeatable(),
		expected: c.x.answerTimes.expected(at, c.route.Name, c.info.OutputTokens),
	}
	if d.accepts(at, q) {
		return nil
	}
	return jdaw.Fail(jdaw.CodeDraining, "this VM shuts down in %s and may not finish the request, which may take %s",
		max(d.end.Sub(at), 0).Round(time.Millisecond), q.longest(at).Round(time.Millisecond))
}

// longest returns the time that the request may take.
func (q drainRequest) longest(at time.Time) time.Duration {
	if q.isRepeatable && q.expected > 0 {
		return q.expected
	}
	return q.deadline.Sub(at)
}

// context returns the context of the request, which ends at the deadline, with the
// caller's connection, and at the end of a drain.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	release := context.AfterFunc(c.x.stopped, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// untilEnd returns the time until the request gets its final response: at its
// deadline, or at the end of a drain.
func (c *call) untilEnd() time.Duration {
	left := c.remaining()
	if d := c.x.drain.Load(); d != nil {
		left = min(left, time.Until(d.end))
	}
	return left
}
