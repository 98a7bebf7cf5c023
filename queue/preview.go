package queue

import (
	"maps"
	"slices"
	"time"
)

// Preview is what the queue would decide about a request.
type Preview struct {
	IsOn     bool
	Waiting  int // requests at this VM
	InFlight int // of this VM
	Places   int // of this VM
	// Wait is estimated; 0 if the request would get a place at once.
	Wait time.Duration
	// Rejection is nil unless the request would be rejected on arrival.
	Rejection *Rejection
}

// Preview returns what Admit would decide about a request that arrives now. It
// decides on a copy of the service's queue, and changes nothing.
func (q *Queue) Preview(at time.Time, name string, room Room, r Request) Preview {
	if !q.cfg.IsOn(name) {
		return Preview{}
	}
	others := q.cfg.Others()
	q.mu.Lock()
	isDraining := q.isDraining
	s := newService(name, q.cfg.Limit)
	if w := q.services[name]; w != nil {
		s = w.clone()
	}
	q.mu.Unlock()
	s.others = others
	p := Preview{IsOn: true, Waiting: s.waiting, InFlight: s.inFlight, Places: s.places(at, room)}
	t, _ := s.arrive(at, room, r)
	if t.verdict == waiting {
		p.Wait = s.estimate(at, room, t)
		if isDraining {
			s.reject(at, room, t, CauseDraining)
		}
	}
	if t.verdict == rejected {
		p.Wait, p.Rejection = t.rejection.Wait, &t.rejection
	}
	return p
}

// clone returns a copy that shares no state that a decision changes.
func (s *service) clone() *service {
	c := *s
	c.flows = maps.Clone(s.flows)
	copies := make(map[*flow]*flow, len(s.flows))
	for id, f := range s.flows {
		g := *f
		g.waiting = make([]*ticket, 0, len(f.waiting))
		for _, t := range f.waiting {
			copied := *t
			copied.flow = &g
			g.waiting = append(g.waiting, &copied)
		}
		c.flows[id], copies[f] = &g, &g
	}
	c.active = make([]*flow, 0, len(s.active))
	for _, f := range s.active {
		c.active = append(c.active, copies[f])
	}
	// Decisions about arrivals read the running requests, and change none.
	c.running = slices.Clone(s.running)
	c.times.kept = slices.Clone(s.times.kept)
	return &c
}
