package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
	"jackdawbarrow/pace"
)

// speedsPeriod is the time between two records of the speeds in metrics, and
// speedsLogPeriod that between two log lines.
const (
	speedsPeriod    = time.Second
	speedsLogPeriod = 10 * time.Second
)

// escalatedName separates the durations of escalations, which have a lower
// priority at the upstreams.
const escalatedName = "escalated"

// isPlain reports whether the request has no prompt: its time depends on slots
// instead of tokens.
func (q *pickRequest) isPlain() bool { return q.prefix == 0 && q.work == promptWork{} }

// firstName names the durations until the first event.
func firstName(isEscalated bool) string {
	if isEscalated {
		return escalatedName
	}
	return ""
}

// paceOf returns a new state of the speed of an upstream.
func (p *picker) paceOf(u *fleet.Upstream) pace.Upstream {
	s := p.services[u.Service]
	if s == nil {
		s = pace.NewService(pace.Config{})
		p.services[u.Service] = s
	}
	return s.NewUpstream()
}

// othersAt returns the work of other VMs that counts for the request. Requests
// without a prompt end before other VMs get the report, which would send all of
// them to the same upstream; those of services with reports are spread by
// [pace.Choose].
func (p *picker) othersAt(q pickRequest, hasReports bool) jdaw.Backlog {
	if p.backlogs == nil || q.prefix == 0 && !hasReports {
		return nil
	}
	return p.backlogs.Others()
}

// inFlight returns the requests of all VMs at the upstream.
func (s *upstreamState) inFlight(at time.Time, others jdaw.UpstreamLoad) float64 {
	return s.pace.InFlight(at, s.inUse+int(others.Running))
}

// restrict notes that a restriction of the upstream may last until a time.
func (s *upstreamState) restrict(until time.Time) {
	if until.After(s.restrictedUntil) {
		s.restrictedUntil, s.isRestricted = until, true
	}
}

// serviceView holds the states of the upstreams of a service in the order of
// the list that it was made for.
type serviceView struct {
	list   []fleet.Upstream
	states []*upstreamState
}

// statesOf returns the states of the upstreams of a service, in their order.
func (p *picker) statesOf(st *fleet.State, service string) []*upstreamState {
	list := st.Upstreams[service]
	v := p.views[service]
	if len(list) == 0 || len(v.list) == len(list) && &v.list[0] == &list[0] {
		return v.states
	}
	v = serviceView{list: list}
	for i := range list {
		v.states = append(v.states, p.stateOf(&list[i]))
	}
	p.views[service] = v
	return v.states
}

// choose returns the index of the candidate to pick, or -1 if none is free.
func (p *picker) choose(q pickRequest) int {
	if q.isPlain() && p.hasReports {
		return pace.Choose(q.salt, p.options)
	}
	return p.chooser.Choose(q.prefix, p.candidates)
}

// report records the load that an upstream stated.
func (s *upstreamState) report(at time.Time, res *reservation, info jdaw.Answer) {
	res.load = info.Load
	s.pace.Report(at, info.Load, info.NotRun)
}

// observe adds a duration of the request to the speed of its upstream. A cold
// upstream is slow for a short time only.
func (res *reservation) observe(at time.Time, x pace.Sample) {
	s := res.p.upstreams[res.ID]
	if s == nil || s.startedAt != res.Born || !s.pace.Service().Reports(at) || res.p.isCold(at, &res.Upstream, s) {
		return
	}
	x.Slowdown = res.load.Slowdown
	x.Running = res.load.Running
	s.pace.Observe(at, x)
}

// sawFirst observes the time to the first event of a stream.
func (res *reservation) sawFirst(at time.Time) {
	res.p.mu.Lock()
	defer res.p.mu.Unlock()
	res.observe(at, pace.Sample{Kind: pace.KindFirst, Name: firstName(res.isEscalated), Amount: res.tokens, Took: at.Sub(res.sentAt)})
}

// sawEvents observes the time between two events of a stream, 0 if it isn't
// known.
func (res *reservation) sawEvents(at time.Time, took time.Duration) {
	if took <= 0 {
		return
	}
	res.p.mu.Lock()
	defer res.p.mu.Unlock()
	res.observe(at, pace.Sample{Kind: pace.KindEvents, Amount: 1, Took: took})
}

// sawWhole observes the duration of a plain request. One that seems to have
// waited for a slot says nothing of the speed.
func (res *reservation) sawWhole(at time.Time) {
	if res.isPlain && res.load.IsKnown() && res.load.Waiting == 0 {
		res.observe(at, pace.Sample{Kind: pace.KindWhole, Name: res.name, Amount: 1, Took: at.Sub(res.sentAt)})
	}
}

// estimate returns when the answer of a request would be there if it were given
// to an upstream now, or false if too little is known. events is the expected
// number of events of a stream.
func (p *picker) estimate(at time.Time, st *fleet.State, q pickRequest, events int) (pace.Estimate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collect(at, st, st.Table.Services[q.service], q, true)
	i := p.choose(q)
	if i < 0 || !p.hasReports {
		return pace.Estimate{}, false
	}
	s := p.stateOf(p.matches[i])
	others := p.othersAt(q, true)[s.key]
	w := pace.Work{Name: q.name, InFlight: s.inFlight(at, others), Slots: p.matches[i].Slots}
	if !q.isPlain() {
		at := p.queueAt(i, q)
		w.Name, w.Events = firstName(q.isEscalated), events
		w.Tokens = at.ahead/p.relativeTimes[i] + at.own
	}
	return s.pace.Estimate(at, others, w)
}

// backlog returns this VM's work and recent outcomes at all upstreams.
func (p *picker) backlog(at time.Time) jdaw.Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := jdaw.Backlog{}
	for _, s := range p.upstreams {
		load := jdaw.UpstreamLoad{Tokens: uint32(s.work()), Later: uint32(s.escalatedTokens), LessUrgent: uint32(s.lessUrgentTokens)}
		load.Ended, load.Failed = s.recent.counts(at)
		s.addPace(at, &load)
		if load != (jdaw.UpstreamLoad{}) {
			b[s.key] = load
		}
	}
	return b
}

// addPace adds what other VMs need of the speed and the requests in flight.
// Messages of services without reports stay as short as before.
func (s *upstreamState) addPace(at time.Time, load *jdaw.UpstreamLoad) {
	if s.pace.Service().Reports(at) {
		load.Running = uint32(s.inUse)
		load.Timed, load.Speed = s.pace.Samples(at)
	}
}

// serviceSpeeds are the learned speeds of the upstreams of a service.
type serviceSpeeds struct {
	slowest, fastest jdaw.UpstreamID
	min, max         float64 // base speeds
	maxSlowdown      float64 // stated lately
	upstreams        int
}

// speeds returns the speeds of the services with reports, or nil if the last
// call is less than speedsPeriod ago. isLogged is set for each tenth.
func (p *picker) speeds(at time.Time) (all map[string]serviceSpeeds, isLogged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Sub(p.speedsAt) < speedsPeriod {
		return nil, false
	}
	p.speedsAt = at
	if isLogged = at.Sub(p.speedsLoggedAt) >= speedsLogPeriod; isLogged {
		p.speedsLoggedAt = at
	}
	var others jdaw.Backlog
	if p.backlogs != nil {
		others = p.backlogs.Others()
	}
	all = map[string]serviceSpeeds{}
	for id, s := range p.upstreams {
		if !s.pace.Service().Reports(at) {
			continue
		}
		base, slowdown := s.pace.Base(others[s.key]), s.pace.Slowdown(at)
		x, ok := all[s.service]
		if !ok || base < x.min {
			x.min, x.slowest = base, id
		}
		if !ok || base > x.max {
			x.max, x.fastest = base, id
		}
		x.maxSlowdown = max(x.maxSlowdown, slowdown)
		x.upstreams++
		all[s.service] = x
	}
	return all, isLogged
}

// recordSpeeds records the speeds of upstreams in metrics and in the log.
func (x *Relay) recordSpeeds(at time.Time) {
	all, isLogged := x.picker.speeds(at)
	for service, v := range all {
		x.cfg.Metrics.speeds(service, v)
		if isLogged {
			x.cfg.Log.WithFields(logrus.Fields{
				"service": service, "upstreams": v.upstreams, "slowest": v.slowest, "minSpeed": v.min,
				"fastest": v.fastest, "maxSpeed": v.max, "maxSlowdown": v.maxSlowdown,
			}).Info("speeds of upstreams")
		}
	}
}

// reports reports whether upstreams of the service state their slowdown.
func (p *picker) reports(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[service].Reports(time.Now())
}
