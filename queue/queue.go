package queue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jackdawbarrow"
)

const (
	// DefaultLimit is the number of requests that may wait for one service.
	DefaultLimit = 256
	// reviewTime is the time after which waiting requests are decided again: reports
	// of other VMs and the decay of shares make room without an event at this VM.
	reviewTime = 20 * time.Millisecond
)

// Cause is the reason for a rejection.
type Cause string

// Causes of rejections.
const (
	CauseDeadline Cause = "deadline" // it can't be served by its deadline
	CauseLate     Cause = "late"     // it would be late, and make others late
	CauseFull     Cause = "full"     // too many requests wait
	CauseDraining Cause = "draining" // the VM shuts down
)

// Rejection is the error for a request that got no place. Nothing was sent.
type Rejection struct {
	Cause       Cause
	Waiting     int           // requests at this VM
	InFlight    int           // of this VM
	Places      int           // of this VM
	Others      int           // requests that other VMs have in flight
	Slots       int           // of the usable upstreams
	Wait        time.Duration // estimated
	ServiceTime time.Duration // a high quantile
	RetryAfter  time.Duration
}

// Error implements error.
func (r *Rejection) Error() string {
	switch r.Cause {
	case CauseFull:
		return fmt.Sprintf("%d requests wait for the service already", r.Waiting)
	case CauseDraining:
		return "this VM is shutting down, and the request would have to wait"
	}
	return fmt.Sprintf("the request can't be served in time: it would wait for %d ms, and the service takes %d ms",
		r.Wait.Milliseconds(), r.ServiceTime.Milliseconds())
}

// Config configures a Queue.
type Config struct {
	// Room returns the slots of a service and what other VMs have in flight there.
	Room func(service string) Room
	// Others returns the demand of other VMs; nil if VMs don't exchange demands.
	Others func() jdaw.Demand
	// IsOn reports whether the requests for a service ask for places.
	IsOn func(service string) bool
	// Limit is the number of requests that may wait for one service; 0 takes
	// DefaultLimit.
	Limit int
}

// Queue admits requests to services. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu         sync.Mutex
	services   map[string]*waitingRoom
	isDraining bool
}

// waitingRoom is the queue of a service with those who wait for decisions.
type waitingRoom struct {
	*service
	waiters map[*ticket]chan struct{}
	// isArmed is set while a review is scheduled.
	isArmed bool
}

// New returns a queue.
func New(cfg Config) *Queue {
	if cfg.Limit <= 0 {
		cfg.Limit = DefaultLimit
	}
	if cfg.Others == nil {
		cfg.Others = func() jdaw.Demand { return nil }
	}
	return &Queue{cfg: cfg, services: map[string]*waitingRoom{}}
}

// Place is a granted place. A nil place holds none.
type Place struct {
	q *Queue
	w *waitingRoom
	t *ticket
	// Waiting is the number of requests that waited when the place was granted.
	Waiting int
	// Waited is the time in the queue.
	Waited time.Duration
}

// Release frees the place. Further calls do nothing. isMeasured is set if the request
// was served, so that its time is one that the service usually takes.
func (p *Place) Release(isMeasured bool) {
	if p == nil {
		return
	}
	room, others := p.q.cfg.Room(p.w.name), p.q.cfg.Others()
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	if p.t.verdict != granted {
		return
	}
	now := time.Now()
	p.w.others = others
	p.w.end(now, p.t, isMeasured)
	p.w.notify(p.w.grantAll(now, room))
}

// Admit waits for a place at a service. It returns a [Rejection] if the request gets
// none, the error of ctx if that ends first, and a nil place if the queue is off for
// the service.
func (q *Queue) Admit(ctx context.Context, name string, r Request) (*Place, error) {
	if !q.cfg.IsOn(name) {
		return nil, nil
	}
	room, others := q.cfg.Room(name), q.cfg.Others()
	began := time.Now()
	q.mu.Lock()
	w := q.services[name]
	if w == nil {
		w = &waitingRoom{service: newService(name, q.cfg.Limit), waiters: map[*ticket]chan struct{}{}}
		q.services[name] = w
	}
	w.others = others
	t, decided := w.arrive(began, room, r)
	w.notify(decided)
	if t.verdict == waiting && q.isDraining {
		w.reject(began, room, t, CauseDraining)
	}
	var done chan struct{}
	if t.verdict == waiting {
		done = make(chan struct{})
		w.waiters[t] = done
		q.review(w)
	}
	p, err := q.result(w, t, began)
	q.mu.Unlock()
	if done == nil {
		return p, err
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	q.mu.Lock()
	if t.verdict == waiting {
		delete(w.waiters, t)
		w.leave(t)
	}
	p, err = q.result(w, t, began)
	q.mu.Unlock()
	if ctx.Err() != nil {
		p.Release(false)
		return nil, ctx.Err()
	}
	return p, err
}

func (q *Queue) result(w *waitingRoom, t *ticket, began time.Time) (*Place, error) {
	switch t.verdict {
	case granted:
		return &Place{q: q, w: w, t: t, Waiting: w.waiting, Waited: t.grantedAt.Sub(began)}, nil
	case rejected:
		rejection := t.rejection
		return nil, &rejection
	}
	return nil, nil
}

// review decides the waiting requests again after a time, while there are any.
func (q *Queue) review(w *waitingRoom) {
	if w.isArmed || w.waiting == 0 {
		return
	}
	w.isArmed = true
	time.AfterFunc(reviewTime, func() {
		room, others := q.cfg.Room(w.name), q.cfg.Others()
		q.mu.Lock()
		defer q.mu.Unlock()
		w.isArmed = false
		w.others = others
		w.notify(w.advance(time.Now(), room))
		q.review(w)
	})
}

func (w *waitingRoom) notify(decided []*ticket) {
	for _, t := range decided {
		if done := w.waiters[t]; done != nil {
			delete(w.waiters, t)
			close(done)
		}
	}
}

// Drain rejects the waiting requests, and from now on those that would have to wait:
// a planned stop isn't delayed by them, and other VMs serve them.
func (q *Queue) Drain() {
	rooms := map[string]Room{}
	q.mu.Lock()
	for name := range q.services {
		rooms[name] = Room{}
	}
	q.mu.Unlock()
	for name := range rooms {
		rooms[name] = q.cfg.Room(name)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isDraining = true
	for name, w := range q.services {
		for t := range w.waiters {
			w.reject(time.Now(), rooms[name], t, CauseDraining)
			w.notify([]*ticket{t})
		}
	}
}

// Demand returns the demand of this VM's callers.
func (q *Queue) Demand() jdaw.Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := jdaw.Demand{}
	for _, w := range q.services {
		w.demands(time.Now(), d)
	}
	return d
}

// Waiting returns the number of requests that wait for a service.
func (q *Queue) Waiting(name string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w := q.services[name]; w != nil {
		return w.waiting
	}
	return 0
}
