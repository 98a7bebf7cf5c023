package queue

import (
	"math"
	"slices"
	"sort"
	"time"

	"jackdawbarrow"
)

const (
	// placesPerSlot keeps upstreams from being idle between two requests.
	placesPerSlot = 1.5
	// useDecay is the time in which the weight of demand and use falls to a third. It
	// spans several exchanges between VMs.
	useDecay = 2 * time.Second
	// partMargin times a VM's part of the places is what it may have in flight while
	// demand exceeds the slots: requests don't come evenly.
	partMargin = 2
	// busyShare is the share of the slots from which on they count as taken while
	// demand exceeds them. Reports of other VMs are late, and what they say varies.
	busyShare = 0.5
	// assumedTime is the service time before any was measured.
	assumedTime = 20 * time.Millisecond
	// maxFlows bounds the workspaces for which a VM keeps demand.
	maxFlows = 4096
	// firstSweep is the number of workspaces from which idle ones are dropped.
	firstSweep = 128
	// minUse is the demand, in milliseconds, under which a workspace is idle.
	minUse = 1
	// honouredShare is the share of the time left up to which callers honour
	// Retry-After.
	honouredShare = 1.0 / 3
	// returnSpread is the share of a Retry-After by which returns are spread.
	returnSpread = 0.25
	// minReturn is the shortest Retry-After.
	minReturn = 50 * time.Millisecond
)

// Room is what a VM knows about the slots of a service.
type Room struct {
	Slots  int // of the usable upstreams
	Others int // requests that other VMs have in flight at them
}

// Request is a request that asks for a place.
type Request struct {
	Workspace jdaw.WorkspaceID
	Rank      int // 0 is the most urgent
	Deadline  time.Time
	// Target is the time until which the answer is worth most; zero if not stated.
	Target time.Time
	// ShareDraw and ReturnDraw are uniform in 0..1. The first decides about the part
	// of a request that a share has room for, the second spreads Retry-After.
	ShareDraw  float64
	ReturnDraw float64
}

// verdict is the decision about a request.
type verdict string

const (
	waiting  verdict = "waiting"
	granted  verdict = "granted"
	rejected verdict = "rejected"
	left     verdict = "left" // the caller is gone
	ended    verdict = "ended"
)

// ticket is one request at a service.
type ticket struct {
	Request
	flow      *flow
	seq       uint64 // order of arrival
	verdict   verdict
	arrivedAt time.Time
	grantedAt time.Time
	charged   float64 // milliseconds added to the use of the workspace so far
	rejection Rejection
}

// precedes orders the requests of one workspace.
func (t *ticket) precedes(other *ticket) bool {
	switch {
	case t.Rank != other.Rank:
		return t.Rank < other.Rank
	case !t.Deadline.Equal(other.Deadline):
		return t.Deadline.Before(other.Deadline)
	}
	return t.seq < other.seq
}

// decayed is a sum whose terms lose weight with their age.
type decayed struct {
	value float64
	at    time.Time
}

func (d decayed) valueAt(at time.Time) float64 {
	if since := at.Sub(d.at); since > 0 {
		return d.value * math.Exp(-since.Seconds()/useDecay.Seconds())
	}
	return d.value
}

func (d decayed) with(at time.Time, more float64) decayed {
	if at.Before(d.at) {
		at = d.at
	}
	return decayed{value: max(d.valueAt(at)+more, 0), at: at}
}

// flow is the requests of one workspace.
type flow struct {
	key      jdaw.DemandKey
	waiting  []*ticket // in order
	inFlight int
	asked    decayed // milliseconds of slots, of this VM
	served   decayed
	// use is the work that all VMs did for the workspace, in milliseconds, as of the
	// last decision.
	use float64
	// returnAt is the time for which the last rejected request was asked to return.
	returnAt time.Time
}

func (f *flow) insert(t *ticket) {
	i := sort.Search(len(f.waiting), func(i int) bool { return t.precedes(f.waiting[i]) })
	f.waiting = append(f.waiting, nil)
	copy(f.waiting[i+1:], f.waiting[i:])
	f.waiting[i] = t
}

func (f *flow) indexOf(t *ticket) int {
	for i, other := range f.waiting {
		if other == t {
			return i
		}
	}
	return -1
}

// service is the queue of one service at one VM. It is not safe for concurrent use.
type service struct {
	total    jdaw.DemandKey
	name     string
	limit    int // of waiting requests
	flows    map[jdaw.WorkspaceID]*flow
	active   []*flow // with waiting requests
	waiting  int
	inFlight int
	running  []*ticket // granted, in order
	asked    decayed   // of all workspaces, of this VM
	times    times
	others   jdaw.Demand // of other VMs
	level    level
	seq      uint64
	sweepAt  int
}

func newService(name string, limit int) *service {
	return &service{
		name: name, total: jdaw.TotalDemandKey(name), limit: limit, flows: map[jdaw.WorkspaceID]*flow{}, sweepAt: firstSweep,
	}
}

// arrive decides about a new request. It also returns the waiting requests that were
// decided.
func (s *service) arrive(at time.Time, room Room, r Request) (*ticket, []*ticket) {
	f := s.flowOf(at, r.Workspace)
	cost := milliseconds(s.times.mean())
	f.asked = f.asked.with(at, cost)
	s.asked = s.asked.with(at, cost)
	s.seq++
	t := &ticket{Request: r, flow: f, seq: s.seq, verdict: waiting, arrivedAt: at}
	s.enqueue(t)
	decided := s.grantAll(at, room)
	if t.verdict != waiting {
		return t, decided
	}
	s.judge(at, room, t)
	if t.verdict == waiting && s.waiting > s.limit {
		longest := f
		for _, g := range s.active {
			if len(g.waiting) > len(longest.waiting) {
				longest = g
			}
		}
		last := longest.waiting[len(longest.waiting)-1]
		s.reject(at, room, last, CauseFull)
		if last != t {
			decided = append(decided, last)
		}
	}
	return t, decided
}

// advance returns the waiting requests that were decided since the last call.
func (s *service) advance(at time.Time, room Room) []*ticket {
	decided := s.grantAll(at, room)
	for _, f := range append([]*flow(nil), s.active...) {
		for _, t := range append([]*ticket(nil), f.waiting...) {
			if s.judge(at, room, t); t.verdict != waiting {
				decided = append(decided, t)
			}
		}
	}
	return decided
}

// leave removes a request whose caller is gone.
func (s *service) leave(t *ticket) {
	if t.verdict == waiting {
		s.dequeue(t)
		t.verdict = left
	}
}

// end frees the place of a granted request. isMeasured is set if its time is one that
// a request of the service usually takes.
func (s *service) end(at time.Time, t *ticket, isMeasured bool) {
	if t.verdict != granted {
		return
	}
	t.verdict = ended
	s.inFlight--
	t.flow.inFlight--
	s.running = slices.DeleteFunc(s.running, func(other *ticket) bool { return other == t })
	took := max(at.Sub(t.grantedAt), 0)
	t.flow.served = t.flow.served.with(at, milliseconds(took)-t.charged)
	if isMeasured {
		s.times.observe(took)
	}
}

func (s *service) enqueue(t *ticket) {
	if len(t.flow.waiting) == 0 {
		s.active = append(s.active, t.flow)
	}
	t.flow.insert(t)
	s.waiting++
}

func (s *service) dequeue(t *ticket) {
	f := t.flow
	i := f.indexOf(t)
	if i < 0 {
		return
	}
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	s.waiting--
	if len(f.waiting) > 0 {
		return
	}
	for i, g := range s.active {
		if g == f {
			s.active = append(s.active[:i], s.active[i+1:]...)
			return
		}
	}
}

// flowOf returns the state of a workspace, and drops idle ones at times.
func (s *service) flowOf(at time.Time, w jdaw.WorkspaceID) *flow {
	if f := s.flows[w]; f != nil {
		return f
	}
	if len(s.flows) >= s.sweepAt {
		for _, least := range []float64{minUse, math.Inf(1)} {
			if least > minUse && len(s.flows) < maxFlows {
				break
			}
			for id, f := range s.flows {
				if len(f.waiting) == 0 && f.inFlight == 0 && f.asked.valueAt(at) < least {
					delete(s.flows, id)
				}
			}
		}
		s.sweepAt = min(max(2*len(s.flows), firstSweep), maxFlows)
	}
	f := &flow{key: jdaw.NewDemandKey(s.name, w)}
	s.flows[w] = f
	return f
}

// grantAll grants places while there are any.
func (s *service) grantAll(at time.Time, room Room) []*ticket {
	var decided []*ticket
	for _, f := range s.active {
		f.use = f.served.valueAt(at) + float64(s.others[f.key].Served)
	}
	for s.waiting > 0 {
		f := s.next(at, room)
		if f == nil {
			break
		}
		t := f.waiting[0]
		s.dequeue(t)
		t.verdict, t.grantedAt, t.charged = granted, at, milliseconds(s.times.mean())
		f.served = f.served.with(at, t.charged)
		f.use += t.charged
		f.inFlight++
		s.inFlight++
		s.running = append(s.running, t)
		decided = append(decided, t)
	}
	return decided
}

// next returns the workspace whose first request may start, or nil. Of workspaces
// within one request of each other, the one that has waited longest is next.
func (s *service) next(at time.Time, room Room) *flow {
	if room.Slots > 0 && s.inFlight >= s.places(at, room) {
		return nil
	}
	cost := milliseconds(s.times.mean())
	var best *flow
	bestUse := 0.0
	for _, f := range s.active {
		if s.isPaced(at, room, f) {
			continue
		}
		use := math.Round(f.use / cost)
		if best == nil || use < bestUse || use == bestUse && f.waiting[0].seq < best.waiting[0].seq {
			best, bestUse = f, use
		}
	}
	return best
}

// places returns the number of requests that this VM may have in flight.
func (s *service) places(at time.Time, room Room) int {
	if s.isCrowded(at, room) {
		// VMs that see the same late report would all take the free places, and all
		// leave them with the next one.
		return max(int(math.Ceil(partMargin*s.levelAt(at, room).part)), 1)
	}
	return max(int(totalPlaces(room))-room.Others, 1)
}

func totalPlaces(room Room) float64 { return math.Ceil(float64(room.Slots) * placesPerSlot) }

// isCrowded reports whether all VMs together ask for more than the slots, and the
// slots are taken as far as this VM knows.
func (s *service) isCrowded(at time.Time, room Room) bool {
	return float64(room.Others+s.inFlight) >= busyShare*float64(room.Slots) &&
		s.demand(at) > float64(room.Slots)*milliseconds(useDecay)
}

// demand returns the demand of all VMs, in milliseconds of slots.
func (s *service) demand(at time.Time) float64 {
	return s.asked.valueAt(at) + float64(s.others[s.total].Asked)
}

// isPaced reports whether the first request of a workspace waits because the
// workspace has had its share.
func (s *service) isPaced(at time.Time, room Room, f *flow) bool {
	return room.Slots > 0 && s.isCrowded(at, room) && s.paceTime(at, room, f.waiting[0], 0) > 0
}

// paceTime returns the time until a request is within the share of its workspace, if
// others of the workspace go before it.
func (s *service) paceTime(at time.Time, room Room, t *ticket, before int) time.Duration {
	share := s.share(at, room, t.flow)
	if math.IsInf(share, 1) {
		return 0
	}
	cost := milliseconds(s.times.mean())
	// A draw stands for the part of a request: the parts of many VMs are small.
	allowed := share - t.ShareDraw*cost
	if allowed <= 0 {
		return forever
	}
	wait := 0.0
	if served := t.flow.served.valueAt(at); served > allowed {
		wait = math.Log(served / allowed)
	}
	wait += float64(before) * cost / share
	return time.Duration(wait * float64(useDecay))
}

// forever is longer than any deadline.
const forever = time.Hour

// judge rejects a waiting request that can't be served by its deadline. While all
// VMs ask for more than the slots, one that can't be served by its target is rejected
// as well: it would make another one late.
func (s *service) judge(at time.Time, room Room, t *ticket) {
	begin := at.Add(s.estimate(at, room, t))
	switch {
	case begin.Add(s.highTime(at)).After(t.Deadline):
		s.reject(at, room, t, CauseDeadline)
	case s.isCrowded(at, room) && s.isLate(at, begin, t):
		s.reject(at, room, t, CauseLate)
	}
}

// isLate reports whether a request that begins then would miss its target only because
// it waited. If the service itself takes longer, all are late, and none makes way.
func (s *service) isLate(at, begin time.Time, t *ticket) bool {
	if t.Target.IsZero() {
		return false
	}
	for _, took := range []time.Duration{s.highTime(at), s.times.mean()} {
		if !t.arrivedAt.Add(took).After(t.Target) {
			return begin.Add(took).After(t.Target)
		}
	}
	return false
}

// highTime is the time in which nine in ten requests end, or the time for which the
// requests in flight have lasted, if the service has turned slow.
func (s *service) highTime(at time.Time) time.Duration {
	high := s.times.high()
	if n := len(s.running); n > 0 {
		high = max(high, at.Sub(s.running[n/2].grantedAt))
	}
	return high
}

// estimate returns how long a waiting request will wait.
func (s *service) estimate(at time.Time, room Room, t *ticket) time.Duration {
	mean := s.times.mean()
	before := t.flow.indexOf(t)
	ahead := before
	for _, f := range s.active {
		if f == t.flow {
			continue
		}
		// It gets what it is behind first, and then takes turns.
		behind := max(t.flow.use-f.use, 0) / milliseconds(mean)
		ahead += min(len(f.waiting), before+1+int(behind))
	}
	wait := time.Duration((float64(ahead) + 0.5) * float64(mean) / float64(s.places(at, room)))
	return max(wait, s.paceTime(at, room, t, before))
}

func (s *service) reject(at time.Time, room Room, t *ticket, cause Cause) {
	wait := s.estimate(at, room, t)
	queued := s.waiting
	s.dequeue(t)
	t.verdict = rejected
	t.rejection = Rejection{
		Cause: cause, Waiting: queued, InFlight: s.inFlight, Places: s.places(at, room), Others: room.Others, Slots: room.Slots,
		Wait: wait, ServiceTime: s.highTime(at), RetryAfter: s.retryAfter(at, room, t, wait),
	}
}

// retryAfter returns when the queue will have drained for the request, one rejected
// request of a workspace after the other. Callers don't honour more than a share of
// the time left.
func (s *service) retryAfter(at time.Time, room Room, t *ticket, wait time.Duration) time.Duration {
	limit := time.Duration(honouredShare * float64(t.Deadline.Sub(at)))
	f := t.flow
	end := at.Add(wait)
	if next := f.returnAt.Add(s.times.mean() / time.Duration(s.places(at, room))); next.After(end) {
		end = next
	}
	pause := max(end.Sub(at), minReturn)
	spread := time.Duration(t.ReturnDraw * returnSpread * float64(min(pause, limit)))
	if pause+spread > limit {
		return max(limit-spread, minReturn)
	}
	f.returnAt = end
	return pause + spread
}

// demands adds the demand and use of this VM.
func (s *service) demands(at time.Time, d jdaw.Demand) {
	served := 0.0
	for _, f := range s.flows {
		u := jdaw.WorkspaceUse{Asked: uint32(f.asked.valueAt(at)), Served: uint32(f.served.valueAt(at))}
		if u != (jdaw.WorkspaceUse{}) {
			d[f.key] = d[f.key].With(u)
			served += float64(u.Served)
		}
	}
	if u := (jdaw.WorkspaceUse{Asked: uint32(s.asked.valueAt(at)), Served: uint32(served)}); u != (jdaw.WorkspaceUse{}) {
		d[s.total] = d[s.total].With(u)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
