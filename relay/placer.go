package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
	"jackdawbarrow/route"
)

const (
	// coldShare is the part of a cold upstream's rate that all VMs together
	// use. The rest covers VMs that count each other differently.
	coldShare = 0.8
	// coldWindow is the time in which a VM sends its share of cold requests;
	// it exceeds the second that the rate is stated for by the jitter of links.
	coldWindow = 1100 * time.Millisecond
	// suspectTime is the time for which an upstream that refused a connection
	// counts as cold: by then its entry tells whether it was restarted.
	suspectTime = 2500 * time.Millisecond
	// failuresToEject in a row take an upstream out for firstEject, and for
	// twice as long each further time up to lastEject. Some services fail one
	// in seven requests when they are well.
	failuresToEject = 3
	firstEject      = 700 * time.Millisecond
	lastEject       = 4 * time.Second
	// queueFactor times its slots is what this VM alone has at one upstream at
	// most; upstreams queue a few requests beyond their slots and refuse the rest.
	queueFactor = 4
	// shedTime is the time for which an upstream that was full is avoided.
	shedTime = 150 * time.Millisecond
	// replacedTime is the time for which an upstream gets nothing after another
	// one has answered at its address. Its entry lapses after three missed
	// heartbeats.
	replacedTime = 4 * time.Second
	// rereadFactor times the shared parts of a prompt count against upstreams
	// other than its home: they are read there anew, take the room of others in
	// its cache, and what other VMs have waiting there is known late. With 1, the
	// users' large deployments read shared parts twice as often. First steps of
	// cascades do not wait for later ones and can be truer to their home.
	rereadFactor      = 3
	firstRereadFactor = 4
	// laterShare is the part of the waiting work of later steps that counts for
	// first ones: they are admitted before it, and wait for the chunk of a prompt
	// that is being read.
	laterShare = 0.2
	// runningTokens is the work that a request adds to an upstream while it runs:
	// its tokens are made between the prompts of others.
	runningTokens = 150
)

// outcome is the result of one attempt, for the choice of later ones.
type outcome string

const (
	outcomeOK          outcome = "ok"
	outcomeFailed      outcome = "failed"      // answered an error, or broke off
	outcomeShed        outcome = "shed"        // was full
	outcomeUnreachable outcome = "unreachable" // took no connection
	outcomeReplaced    outcome = "replaced"    // another upstream has its address
	outcomeNeutral     outcome = "neutral"     // says nothing of the upstream
)

// upstreamState is what this VM has seen of one upstream.
type upstreamState struct {
	key       jdaw.UpstreamKey
	inUse     int
	waiting   float64     // work of this VM's requests without a first event, in tokens
	later     float64     // the part of waiting that is of later steps of cascades
	coldSent  []time.Time // within coldWindow
	suspect   time.Time   // end of the suspicion of a restart
	ejected   time.Time   // end of the time without requests, but as a last resort
	replaced  time.Time   // end of the time without any requests
	ejectTime time.Duration
	failures  int // in a row
	recent    recentOutcomes
	born      int64
	// quota is this VM's part of the cold rate by the members of quotaOf.
	quota   int
	quotaOf *fleet.State
}

// work is the work of this VM that is left at the upstream.
func (s *upstreamState) work() float64 { return s.waiting + runningTokens*float64(s.inUse) }

// ahead is the work of all VMs before which a request would not be read.
func (s *upstreamState) ahead(others jdaw.UpstreamLoad, isLater bool) float64 {
	work := s.work() + float64(others.Tokens)
	if !isLater {
		work -= (1 - laterShare) * (s.later + float64(others.Later))
	}
	return work
}

// wait adds the waiting work of a place, or takes it away with a sign of -1.
func (s *upstreamState) wait(pl *place, sign float64) {
	s.waiting = max(s.waiting+sign*pl.waiting, 0)
	if pl.isLater {
		s.later = max(s.later+sign*pl.waiting, 0)
	}
}

// Backlogs gives what other VMs have waiting at upstreams.
type Backlogs interface {
	// Others returns the work of all other VMs, as far as it is known.
	Others() jdaw.Backlog
	// IsSuspect reports whether an upstream fails more requests than others, by
	// the counts of all VMs.
	IsSuspect(key jdaw.UpstreamKey) bool
}

// placer chooses upstreams. It is safe for concurrent use.
type placer struct {
	self     jdaw.VMID
	chooser  route.Chooser
	backlogs Backlogs // nil if VMs do not exchange their work

	mu        sync.Mutex
	upstreams map[jdaw.UpstreamID]*upstreamState
	// candidates, places and home are those of the last collect; the slices are
	// kept between choices.
	candidates []route.Candidate
	places     []*fleet.Upstream
	home       int // index of the candidate that has the shared parts, or -1
}

func newPlacer(self jdaw.VMID, backlogs Backlogs) *placer {
	return &placer{self: self, chooser: route.NewLeastWork(), backlogs: backlogs, upstreams: map[jdaw.UpstreamID]*upstreamState{}}
}

// placeRequest asks for an upstream.
type placeRequest struct {
	service string
	draw    fleet.Draw // decides the version during a roll-out
	prefix  uint64     // of the prompt and model; 0 for none
	salt    uint64     // decides between equal upstreams if there is no prefix
	exclude []jdaw.UpstreamID
	work    promptWork
	isLater bool // a later step of a cascade
}

// rereadWork counts against upstreams that have not cached the shared parts.
func (q *placeRequest) rereadWork() float64 {
	if q.isLater {
		return rereadFactor * q.work.shared
	}
	return firstRereadFactor * q.work.shared
}

// promptWork is what a request costs an upstream before its first event, in
// prompt tokens of the largest model.
type promptWork struct {
	own    float64
	shared float64 // only at an upstream that has not cached the shared parts
}

// place is a chosen upstream; done must be called once.
type place struct {
	fleet.Upstream
	p *placer
	// inUse and candidates are what decided: the requests of this VM at the
	// upstream before this one, and the upstreams that could take it.
	inUse      int
	candidates int
	queue      queue
	isLater    bool
	waiting    float64 // its part of the upstream's waiting work
}

// queue is the work, in tokens, before a request gets its first event.
type queue struct {
	ahead  float64 // that waits at the upstream
	own    float64 // of the request, with shared parts that must be read anew
	isHome bool    // the upstream most likely has the shared parts
}

// choose returns an upstream, or false if none may take the request now.
func (p *placer) choose(at time.Time, st *fleet.State, q placeRequest) (place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec := st.Table.Services[q.service]
	for _, strict := range []bool{true, false} {
		p.collect(at, st, spec, q, strict)
		i := p.chooser.Choose(q.prefix, p.candidates)
		if i < 0 {
			continue
		}
		u := p.places[i]
		s := p.stateOf(u)
		pl := place{
			Upstream: *u, p: p, inUse: s.inUse, candidates: len(p.candidates), queue: p.queueAt(i, q), isLater: q.isLater,
		}
		pl.waiting = pl.queue.own
		s.inUse++
		s.wait(&pl, 1)
		if p.isCold(at, u, s) {
			s.coldSent = append(s.coldSent, at)
		}
		return pl, true
	}
	return place{}, false
}

// peek returns the queue at the upstream that choose would return, or false if
// there is none.
func (p *placer) peek(at time.Time, st *fleet.State, q placeRequest) (queue, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collect(at, st, st.Table.Services[q.service], q, true)
	i := p.chooser.Choose(q.prefix, p.candidates)
	if i < 0 {
		return queue{}, false
	}
	return p.queueAt(i, q), true
}

// queueAt returns the queue at a candidate.
func (p *placer) queueAt(i int, q placeRequest) queue {
	at := queue{ahead: p.candidates[i].Work - q.work.own, own: q.work.own, isHome: i == p.home}
	if !at.isHome {
		at.ahead -= q.rereadWork()
		at.own += q.work.shared
	}
	return at
}

// collect fills the candidates. Upstreams that failed lately are left out if
// strict, and taken as a last resort otherwise.
func (p *placer) collect(at time.Time, st *fleet.State, spec config.ServiceSpec, q placeRequest, strict bool) {
	p.candidates = p.candidates[:0]
	p.places = p.places[:0]
	// Work without a prompt is over before others hear of it: on what they hear
	// they would all choose the same upstream.
	var others jdaw.Backlog
	if p.backlogs != nil && q.prefix != 0 {
		others = p.backlogs.Others()
	}
	list := st.Upstreams[q.service]
	for i := range list {
		u := &list[i]
		if u.Leaving || st.Out[u.DataCentre] || !st.WantsVersion(q.service, u.Version, q.draw) || contains(q.exclude, u.ID) {
			continue
		}
		s := p.stateOf(u)
		if at.Before(s.replaced) || strict && (at.Before(s.ejected) || p.isSuspect(s.key)) {
			continue
		}
		if p.isCold(at, u, s) && !p.mayUseCold(at, st, spec, u, s) {
			continue
		}
		hash := xxhash.Sum64String(string(u.ID))
		if q.prefix == 0 {
			// Without it all VMs would prefer the same idle upstream.
			hash ^= q.salt
		}
		p.places = append(p.places, u)
		p.candidates = append(p.candidates, route.Candidate{
			Hash: hash, InUse: s.inUse, Limit: max(u.Slots, 1) * queueFactor, Usable: true,
			Work: s.ahead(others[s.key], q.isLater) + q.work.own + q.rereadWork(),
		})
	}
	p.home = route.Home(q.prefix, p.candidates)
	if p.home >= 0 {
		p.candidates[p.home].Work -= q.rereadWork()
	}
}

func (p *placer) isSuspect(key jdaw.UpstreamKey) bool {
	return p.backlogs != nil && p.backlogs.IsSuspect(key)
}

func contains(list []jdaw.UpstreamID, id jdaw.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

func (p *placer) stateOf(u *fleet.Upstream) *upstreamState {
	s := p.upstreams[u.ID]
	if s == nil || s.born != u.Born {
		old := upstreamState{}
		if s != nil {
			old = *s
		}
		s = &upstreamState{key: u.ID.Key(), born: u.Born, inUse: old.inUse, waiting: old.waiting, later: old.later}
		p.upstreams[u.ID] = s
	}
	return s
}

func (p *placer) isCold(at time.Time, u *fleet.Upstream, s *upstreamState) bool {
	return u.IsCold(at) || at.Before(s.suspect)
}

// mayUseCold bounds the requests that all VMs send to a cold upstream without
// a message between them: its rate is divided among the VMs in their order by
// rendezvous hash, so that different upstreams are open to different VMs.
func (p *placer) mayUseCold(at time.Time, st *fleet.State, spec config.ServiceSpec, u *fleet.Upstream, s *upstreamState) bool {
	if spec.ColdRate <= 0 {
		return true
	}
	if s.quotaOf != st {
		s.quotaOf = st
		s.quota = coldQuota(int(spec.ColdRate*coldShare), u.ID, p.self, st.VMs())
	}
	kept := s.coldSent[:0]
	for _, t := range s.coldSent {
		if at.Sub(t) < coldWindow {
			kept = append(kept, t)
		}
	}
	s.coldSent = kept
	return len(kept) < s.quota
}

// coldQuota returns how many of rate requests the VM may send to an upstream
// in one window.
func coldQuota(rate int, id jdaw.UpstreamID, self jdaw.VMID, vms []jdaw.VMID) int {
	rate = max(rate, 1)
	for i, vm := range jdaw.Rendezvous("cold/"+string(id), vms) {
		if vm == self {
			return (rate + len(vms) - 1 - i) / len(vms)
		}
	}
	return 0
}

// began notes the first event: nothing of the request waits any more.
func (pl *place) began() {
	pl.p.mu.Lock()
	defer pl.p.mu.Unlock()
	pl.endWaiting()
}

func (pl *place) endWaiting() {
	if s := pl.p.upstreams[pl.ID]; s != nil {
		s.wait(pl, -1)
	}
	pl.waiting = 0
}

// backlog returns this VM's work at all upstreams, and what became of its
// requests there.
func (p *placer) backlog(at time.Time) jdaw.Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := jdaw.Backlog{}
	for _, s := range p.upstreams {
		load := jdaw.UpstreamLoad{Tokens: uint32(s.work()), Later: uint32(s.later)}
		load.Ended, load.Failed = s.recent.counts(at)
		if load != (jdaw.UpstreamLoad{}) {
			b[s.key] = load
		}
	}
	return b
}

// done ends the use of a place.
func (pl *place) done(at time.Time, o outcome) {
	p := pl.p
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.endWaiting()
	s := p.upstreams[pl.ID]
	if s == nil {
		return
	}
	s.inUse = max(s.inUse-1, 0)
	s.recent.add(at, o)
	switch o {
	case outcomeOK:
		s.failures = 0
		s.ejectTime = 0
	case outcomeShed:
		s.ejected = at.Add(shedTime)
	case outcomeReplaced:
		s.replaced = at.Add(replacedTime)
	case outcomeUnreachable:
		s.suspect = at.Add(suspectTime)
		s.eject(at)
	case outcomeFailed:
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(at)
		}
	}
}

// eject takes the upstream out for a time that doubles while it goes on failing.
func (s *upstreamState) eject(at time.Time) {
	s.ejectTime = min(max(2*s.ejectTime, firstEject), lastEject)
	s.ejected = at.Add(s.ejectTime)
	s.failures = failuresToEject - 1
}

// forget drops the state of upstreams that are gone and idle.
func (p *placer) forget(st *fleet.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[jdaw.UpstreamID]bool{}
	for _, list := range st.Upstreams {
		for i := range list {
			known[list[i].ID] = true
		}
	}
	for id, s := range p.upstreams {
		if !known[id] && s.inUse == 0 {
			delete(p.upstreams, id)
		}
	}
}
