package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
	queues "jackdawbarrow/queue"
)

// Results of a request for a place, beside the causes of rejections.
const (
	resultGranted = "granted"
	resultGone    = "callerGone" // or the VM stopped
)

// admission queues plain requests for the slots of their service.
type admission struct {
	queue *queues.Queue
}

// admitted is what the queue decided about a request.
type admitted struct {
	place     *queues.Place     // nil if the queue is off for the service
	rejection *queues.Rejection // nil if there was none
}

func newAdmission(cfg Config, p *picker) *admission {
	a := &admission{}
	isOn := cfg.IsOn
	if isOn == nil {
		isOn = p.reports
	}
	a.queue = queues.New(queues.Config{
		Room: func(service string) queues.Room {
			st := cfg.Fleet.State()
			if st == nil {
				return queues.Room{}
			}
			return p.room(time.Now(), st, service)
		},
		Others: cfg.Demand, IsOn: isOn, Limit: cfg.MaxWaiting,
	})
	return a
}

// Demand returns the demand of this VM's callers at queued services.
func (x *Relay) Demand() jdaw.Demand { return x.admission.queue.Demand() }

// room returns the slots of the upstreams that can take requests, and what other VMs
// have in flight there. If all of them are ejected, they count: pick uses them then.
func (p *picker) room(at time.Time, st *fleet.State, service string) queues.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others jdaw.Backlog
	var outliers map[jdaw.UpstreamKey]bool
	if p.backlogs != nil {
		others, outliers = p.backlogs.Others(), p.backlogs.Outliers()
	}
	// Both sides of a roll-out hold slots.
	_, isRollout := st.Rollouts[service]
	for _, strict := range []bool{true, false} {
		room := queues.Room{}
		list := st.Upstreams[service]
		for i := range list {
			u := &list[i]
			if u.Leaving || st.Out[u.DataCentre] || !isRollout && !st.WantsVersion(service, u.Version, fleet.Sample{}) {
				continue
			}
			s := p.stateOf(u)
			if s.notices.forbidsRequests(at) || at.Before(s.replacedUntil) || strict && (at.Before(s.ejectedUntil) || outliers[s.key]) {
				continue
			}
			room.Slots += max(u.Slots, 1)
			room.Others += int(others[s.key].Running)
		}
		if room.Slots > 0 {
			return room
		}
	}
	return queues.Room{}
}

// admit waits for a place at the service of a plain request.
func (c *call) admit() error {
	r := c.queueRequest(rand.Float64(), rand.Float64())
	place, err := c.x.admission.queue.Admit(c.ctx, c.service, r)
	c.admitted.place = place
	var rejection *queues.Rejection
	switch {
	case errors.As(err, &rejection):
		c.admitted.rejection = rejection
		c.x.cfg.Metrics.decided(c.service, string(rejection.Cause), rejection.Waiting, 0)
		return rejectionError(rejection)
	case err != nil:
		c.x.cfg.Metrics.decided(c.service, resultGone, c.x.admission.queue.Waiting(c.service), 0)
		if c.x.stopped.Err() != nil {
			return jdaw.Fail(jdaw.CodeDraining, "this VM is shutting down, and the request still waits")
		}
		return jdaw.Fail(jdaw.CodeNoCapacity, "the time ended before there was room at the service")
	case place == nil:
		return nil
	}
	c.x.cfg.Metrics.decided(c.service, resultGranted, place.Waiting, place.Waited)
	return nil
}

// queueRequest returns the request for a place.
func (c *call) queueRequest(shareDraw, returnDraw float64) queues.Request {
	r := queues.Request{Workspace: c.workspace, Rank: c.rank(), Deadline: c.deadline, ShareDraw: shareDraw, ReturnDraw: returnDraw}
	if c.route.Target > 0 {
		r.Target = c.startedAt.Add(c.route.Target)
	}
	return r
}

// rejectionError returns the error for a request that the queue rejected.
func rejectionError(r *queues.Rejection) error {
	if r.Cause == queues.CauseDraining {
		return jdaw.Fail(jdaw.CodeDraining, "%s", r)
	}
	return jdaw.Fail(jdaw.CodeNoCapacity, "%s", r)
}

// leaveQueue frees the request's place. isServed is set if an upstream answered. A
// caller that reads slowly holds no place.
func (c *call) leaveQueue(isServed bool) { c.admitted.place.Release(isServed) }

// queueFields are the log fields of a request that was queued.
func (c *call) queueFields() logrus.Fields {
	if r := c.admitted.rejection; r != nil {
		return logrus.Fields{
			"queueCause": r.Cause, "queueWaiting": r.Waiting, "queueInFlight": r.InFlight, "queuePlaces": r.Places,
			"queueOthers": r.Others, "queueSlots": r.Slots, "queueWaitMs": r.Wait.Milliseconds(),
			"queueServiceMs": r.ServiceTime.Milliseconds(), "retryAfterMs": r.RetryAfter.Milliseconds(),
		}
	}
	if p := c.admitted.place; p != nil && p.Waited > 0 {
		return logrus.Fields{"queueWaiting": p.Waiting, "queuedMs": p.Waited.Milliseconds()}
	}
	return nil
}
