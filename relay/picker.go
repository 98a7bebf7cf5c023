package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
	"jackdawbarrow/pace"
	"jackdawbarrow/route"
)

const (
	// failuresToEject consecutive failures eject an upstream for firstEject, and
	// for twice as long each further time up to lastEject. Some services fail one
	// in seven requests when healthy.
	failuresToEject = 3
	firstEject      = 700 * time.Millisecond
	lastEject       = 4 * time.Second
	// queueFactor times the slots limits the requests of this VM at one upstream.
	// Upstreams queue a few requests beyond their slots and reject the rest.
	queueFactor = 4
	// shedTime is the ejection time of an upstream that rejected a request as full.
	shedTime = 150 * time.Millisecond
	// replacedTime is the time for which an upstream gets no requests after
	// another one answered at its address. Its entry expires after three missed
	// heartbeats.
	replacedTime = 4 * time.Second
	// reprefillFactor weights the shared prompt prefix at upstreams other than the
	// affinity upstream: they prefill it again, evict other prefixes, and the
	// pending work of other VMs there is known late. With 1, the users' large
	// deployments prefilled shared prefixes twice as often. First steps of cascades
	// don't wait for escalations, so their affinity can be stronger.
	reprefillFactor      = 3
	firstReprefillFactor = 4
	// escalatedShare is the share of the pending work of escalations that counts
	// for first steps: these have priority and wait only for the prompt chunk in
	// progress.
	escalatedShare = 0.2
	// runningTokens is the work that a running request adds to an upstream: its
	// decoding is interleaved with the prefill of others.
	runningTokens = 150
)

// outcome is the result of one attempt, used for later picks.
type outcome string

const (
	outcomeOK          outcome = "ok"
	outcomeFailed      outcome = "failed"      // error response or broken connection
	outcomeShed        outcome = "shed"        // rejected as full
	outcomeUnreachable outcome = "unreachable" // connection failed
	outcomeReplaced    outcome = "replaced"    // another upstream answered at its address
	outcomeNeutral     outcome = "neutral"     // doesn't indicate health
)

// upstreamState is this VM's state of one upstream.
type upstreamState struct {
	// The fields that collect reads of all upstreams are next to each other.
	key             jdaw.UpstreamKey
	hash            uint64 // of the id
	startedAt       int64
	inUse           int
	pendingTokens   float64 // of this VM's requests without a first event
	escalatedTokens float64 // the part of pendingTokens that belongs to escalations
	// lessUrgentTokens is the part of escalatedTokens that is not of the most
	// urgent rank.
	lessUrgentTokens float64
	// restrictedUntil is not before the end of any notice, ejection or cold time
	// that this VM learned of: it is the only one to check of most upstreams.
	restrictedUntil time.Time
	isRestricted    bool // restrictedUntil was set
	pace            pace.Upstream

	service       string
	coldSent      []time.Time // within coldWindow
	coldUntil     time.Time   // may have been restarted
	ejectedUntil  time.Time   // gets requests only as a last resort
	replacedUntil time.Time   // gets no requests
	ejectTime     time.Duration
	failures      int // consecutive
	recent        recentOutcomes
	notices       notices
	// quota is this VM's share of the cold rate for the members in quotaOf.
	quota   int
	quotaOf *fleet.State
}

// work is the pending and running work of this VM at the upstream.
func (s *upstreamState) work() float64 { return s.pendingTokens + runningTokens*float64(s.inUse) }

// ahead is the work of all VMs that the upstream processes before a new request.
func (s *upstreamState) ahead(others jdaw.UpstreamLoad, q *pickRequest) float64 {
	work := s.work() + float64(others.Tokens)
	switch {
	case !q.isEscalated:
		work -= (1 - escalatedShare) * (s.escalatedTokens + float64(others.Later))
	case q.isUrgent:
		work -= (1 - escalatedShare) * (s.lessUrgentTokens + float64(others.LessUrgent))
	}
	return work
}

// addPending adds the pending work of a reservation, or subtracts it with a sign of -1.
func (s *upstreamState) addPending(res *reservation, sign float64) {
	s.pendingTokens = max(s.pendingTokens+sign*res.pendingTokens, 0)
	if res.isEscalated {
		s.escalatedTokens = max(s.escalatedTokens+sign*res.pendingTokens, 0)
		if res.isLessUrgent {
			s.lessUrgentTokens = max(s.lessUrgentTokens+sign*res.pendingTokens, 0)
		}
	}
}

// Backlogs provides the pending work of other VMs at upstreams.
type Backlogs interface {
	// Others returns the known work of all other VMs.
	Others() jdaw.Backlog
	// Outliers returns the upstreams that are outliers by the counts of all VMs.
	Outliers() map[jdaw.UpstreamKey]bool
}

// picker picks upstreams. It is safe for concurrent use.
type picker struct {
	self     jdaw.VMID
	chooser  route.Chooser
	backlogs Backlogs // nil if VMs don't exchange backlogs

	mu        sync.Mutex
	upstreams map[jdaw.UpstreamID]*upstreamState
	services  map[string]*pace.Service
	views     map[string]serviceView
	// speedsAt and speedsLoggedAt are the times of the last records of speeds.
	speedsAt, speedsLoggedAt time.Time
	// The following are set by collect; the slices are reused.
	candidates    []route.Candidate
	matches       []*fleet.Upstream
	relativeTimes []float64     // of candidates; see pace
	options       []pace.Option // candidates for a plain request, if hasReports
	hasReports    bool          // upstreams of the service state their slowdown
	affinity      int           // index of the affinity upstream in candidates, or -1
}

func newPicker(self jdaw.VMID, backlogs Backlogs) *picker {
	return &picker{
		self: self, chooser: route.NewLeastWork(), backlogs: backlogs,
		upstreams: map[jdaw.UpstreamID]*upstreamState{}, services: map[string]*pace.Service{}, views: map[string]serviceView{},
	}
}

// pickRequest describes the request to pick an upstream for.
type pickRequest struct {
	service     string
	name        string       // of the route
	sample      fleet.Sample // selects the version during a roll-out
	prefix      uint64       // hash of the prompt prefix and model; 0 for none
	salt        uint64       // tie-breaker if there is no prefix
	exclude     []jdaw.UpstreamID
	work        promptWork
	isEscalated bool // an escalation
	// isUrgent and isLessUrgent tell escalations of the most urgent rank from
	// others; neither is set where escalations aren't ranked.
	isUrgent, isLessUrgent bool
}

// reprefillTokens is the penalty of upstreams that haven't cached the shared prefix.
func (q *pickRequest) reprefillTokens() float64 {
	if q.isEscalated {
		return reprefillFactor * q.work.shared
	}
	return firstReprefillFactor * q.work.shared
}

// promptWork is the prefill work of a request in prompt tokens of the largest
// model.
type promptWork struct {
	own    float64
	shared float64 // only at an upstream that hasn't cached the shared prefix
}

// reservation is a picked upstream whose slot is in use; release must be called once.
type reservation struct {
	fleet.Upstream
	p *picker
	// inUse is the number of requests of this VM at the upstream before this
	// one, and candidates the number of upstreams to pick from.
	inUse         int
	candidates    int
	queue         queue
	isEscalated   bool
	isLessUrgent  bool
	pendingTokens float64 // its part of the upstream's pendingTokens
	name          string
	isPlain       bool
	relativeTime  float64 // of the upstream; see pace
	sentAt        time.Time
	tokens        float64         // of the queue, without regard to the upstream's speed
	load          jdaw.LoadReport // stated in the response
}

// queue is the work before the first event of a request, in tokens.
type queue struct {
	ahead       float64 // pending at the upstream, in tokens of one with speed 1
	own         float64 // of the request, with the shared prefix if it isn't cached
	hasAffinity bool    // the affinity upstream was picked
}

// pick reserves an upstream, or returns false if none is available.
func (p *picker) pick(at time.Time, st *fleet.State, q pickRequest) (reservation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.find(at, st, q)
	if i < 0 {
		return reservation{}, false
	}
	u := p.matches[i]
	s := p.stateOf(u)
	res := reservation{
		Upstream: *u, p: p, inUse: s.inUse, candidates: len(p.candidates), queue: p.queueAt(i, q), isEscalated: q.isEscalated, isLessUrgent: q.isLessUrgent,
		name: q.name, isPlain: q.isPlain(), relativeTime: p.relativeTimes[i], sentAt: at,
	}
	res.tokens = res.queue.ahead/res.relativeTime + res.queue.own
	res.pendingTokens = res.queue.own
	s.inUse++
	s.pace.Sent()
	s.addPending(&res, 1)
	if p.isCold(at, u, s) {
		s.coldSent = append(s.coldSent, at)
	}
	return res, true
}

// find returns the index of the candidate to pick, or -1 if none is available.
func (p *picker) find(at time.Time, st *fleet.State, q pickRequest) int {
	spec := st.Table.Services[q.service]
	for _, strict := range []bool{true, false} {
		p.collect(at, st, spec, q, strict)
		if i := p.choose(q); i >= 0 {
			return i
		}
	}
	return -1
}

// peek returns the queue at the upstream that pick would return, or false if
// there is none.
func (p *picker) peek(at time.Time, st *fleet.State, q pickRequest) (queue, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collect(at, st, st.Table.Services[q.service], q, true)
	i := p.choose(q)
	if i < 0 {
		return queue{}, false
	}
	return p.queueAt(i, q), true
}

// canPick reports whether pick would return an upstream.
func (p *picker) canPick(at time.Time, st *fleet.State, q pickRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collect(at, st, st.Table.Services[q.service], q, false)
	return p.choose(q) >= 0
}

// queueAt returns the queue at a candidate.
func (p *picker) queueAt(i int, q pickRequest) queue {
	relative := p.relativeTimes[i]
	at := queue{ahead: p.candidates[i].Work - q.work.own*relative, own: q.work.own, hasAffinity: i == p.affinity}
	if !at.hasAffinity {
		at.ahead -= q.reprefillTokens() * relative
		at.own += q.work.shared
	}
	return at
}

// collect fills the candidates. Ejected upstreams and outliers are included
// only if not strict.
func (p *picker) collect(at time.Time, st *fleet.State, spec config.ServiceSpec, q pickRequest, strict bool) {
	candidates, matches, relativeTimes := slices.Grow(p.candidates[:0], len(st.Upstreams[q.service])), p.matches[:0], p.relativeTimes[:0]
	p.options = p.options[:0]
	p.hasReports = p.services[q.service].Reports(at)
	others := p.othersAt(q, p.hasReports)
	f := p.filterFor(at, st, spec, &q, strict)
	isPlain, reprefill := q.isPlain(), q.reprefillTokens()
	states, hasReports := p.statesOf(st, q.service), p.hasReports
	list := st.Upstreams[q.service]
	for i := range list {
		u, s := &list[i], states[i]
		if s.startedAt != u.Born {
			s = p.stateOf(u)
			states[i] = s
		}
		if f.exclusionOf(u, s) != notExcluded {
			continue
		}
		var load jdaw.UpstreamLoad
		if others != nil {
			load = others[s.key]
		}
		relative := 1.0
		switch {
		case hasReports && isPlain:
			relative = s.pace.RelativeTime(at, load)
		case hasReports:
			relative = s.pace.BaseTime(load) // a prompt outlasts a slowdown
		}
		hash := s.hash
		if q.prefix == 0 {
			// Without the salt, all VMs would prefer the same idle upstream.
			hash ^= q.salt
		}
		matches = append(matches, u)
		// Written in place, since a copy of each candidate would cost a tenth of a
		// decision.
		candidates = candidates[:len(candidates)+1]
		c := &candidates[len(candidates)-1]
		c.Hash, c.InUse, c.Limit, c.Usable = hash, s.inUse, max(u.Slots, 1)*queueFactor, true
		c.Work = (s.ahead(load, &q) + q.work.own + reprefill) * relative
		relativeTimes = append(relativeTimes, relative)
		if hasReports && isPlain {
			p.options = append(p.options, pace.Option{
				RelativeTime: relative, InFlight: s.inFlight(at, load), Slots: u.Slots, IsFree: c.IsFree(),
			})
		}
	}
	p.candidates, p.matches, p.relativeTimes = candidates, matches, relativeTimes
	p.affinity = -1
	if !hasReports || !isPlain {
		p.affinity = route.TopRanked(q.prefix, p.candidates)
	}
	if p.affinity >= 0 {
		p.candidates[p.affinity].Work -= reprefill * p.relativeTimes[p.affinity]
	}
}

// isEligible reports whether the state of the deployment lets the upstream serve
// the request.
func isEligible(st *fleet.State, u *fleet.Upstream, q pickRequest) bool {
	return isInService(st, u) && st.WantsVersion(q.service, u.Version, q.sample)
}

func isInService(st *fleet.State, u *fleet.Upstream) bool {
	return !u.Leaving && (len(st.Out) == 0 || !st.Out[u.DataCentre])
}

func contains(list []jdaw.UpstreamID, id jdaw.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

func (p *picker) stateOf(u *fleet.Upstream) *upstreamState {
	s := p.upstreams[u.ID]
	if s == nil || s.startedAt != u.Born {
		old := upstreamState{}
		if s != nil {
			old = *s
		}
		s = &upstreamState{
			key: u.ID.Key(), hash: xxhash.Sum64String(string(u.ID)), service: u.Service, pace: p.paceOf(u),
			startedAt: u.Born, inUse: old.inUse, pendingTokens: old.pendingTokens, escalatedTokens: old.escalatedTokens, lessUrgentTokens: old.lessUrgentTokens,
		}
		p.upstreams[u.ID] = s
		delete(p.views, u.Service) // may hold the replaced state
	}
	return s
}

// started clears the pending work of the request at its first event.
func (res *reservation) started() {
	res.p.mu.Lock()
	defer res.p.mu.Unlock()
	res.clearPending()
}

func (res *reservation) clearPending() {
	if s := res.p.upstreams[res.ID]; s != nil {
		s.addPending(res, -1)
	}
	res.pendingTokens = 0
}

// release frees the slot and records the outcome.
func (res *reservation) release(at time.Time, o outcome) {
	p := res.p
	p.mu.Lock()
	defer p.mu.Unlock()
	res.clearPending()
	s := p.upstreams[res.ID]
	if s == nil {
		return
	}
	s.inUse = max(s.inUse-1, 0)
	s.recent.add(at, o)
	switch o {
	case outcomeOK:
		res.sawWhole(at)
		s.failures = 0
		s.ejectTime = 0
	case outcomeShed:
		s.ejectedUntil = at.Add(shedTime)
		s.restrict(s.ejectedUntil)
	case outcomeReplaced:
		s.replacedUntil = at.Add(replacedTime)
		s.restrict(s.replacedUntil)
	case outcomeUnreachable:
		s.coldUntil = at.Add(assumedColdTime)
		s.restrict(s.coldUntil)
		s.eject(at)
	case outcomeFailed:
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(at)
		}
	}
}

// eject ejects the upstream for a time that doubles while it keeps failing.
func (s *upstreamState) eject(at time.Time) {
	s.ejectTime = min(max(2*s.ejectTime, firstEject), lastEject)
	s.ejectedUntil = at.Add(s.ejectTime)
	s.restrict(s.ejectedUntil)
	s.failures = failuresToEject - 1
}

// forget drops the state of removed upstreams without requests.
func (p *picker) forget(at time.Time, st *fleet.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.views)
	known := map[jdaw.UpstreamID]bool{}
	for _, list := range st.Upstreams {
		for i := range list {
			known[list[i].ID] = true
		}
	}
	for id, s := range p.upstreams {
		if !known[id] && s.inUse == 0 && !s.notices.isRetained(at) {
			delete(p.upstreams, id)
		}
	}
}
