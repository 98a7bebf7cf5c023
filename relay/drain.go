package relay

import (
	"context"
	"time"

	"jackdawbarrow"
)

// Drain prepares the end of the process. Requests that may run once only are refused
// from now on if they may last longer than until end; another VM can take them
// whole. At end, requests in progress get their final response.
func (x *Relay) Drain(end time.Time) {
	x.drainEnd.Store(&end)
	x.admission.queue.Drain()
	time.AfterFunc(time.Until(end), x.stop)
}

// checkDrain refuses a request that this VM may have to give up after an upstream
// has run it.
func (c *call) checkDrain() error {
	end := c.x.drainEnd.Load()
	if end == nil || c.route.IsRepeatable() || !c.deadline.After(*end) {
		return nil
	}
	return jdaw.Fail(jdaw.CodeDraining, "this VM is shutting down and may not finish the request")
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
