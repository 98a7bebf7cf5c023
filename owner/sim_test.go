package owner_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
)

// The simulator runs machines, requesters and upstreams on virtual time. Its
// purpose is to check the limits at the upstreams themselves, independent of
// the machines' state.

type task struct {
	at  time.Time
	seq int
	run func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// simUpstream is a simulated upstream.
type simUpstream struct {
	id          jdaw.UpstreamID
	running     int
	queued      int
	most        int // largest running so far
	incarnation string
	started     time.Time
	coldUntil   time.Time
	cache       []uint64 // least recently used first
}

// simVM is a VM with its machine and the credits it holds as a requester.
type simVM struct {
	d        *driver
	view     *jdaw.View
	held     map[string]owner.Held
	dead     bool
	paused   bool
	queued   []jdaw.Event
	lastTick time.Time
	answer   map[uint64]func(g owner.Grant, refused *owner.Refuse)
}

// holdings are sorted, so that a seed gives the same run each time.
func (vm *simVM) holdings() []owner.Held {
	var out []owner.Held
	for _, id := range slices.Sorted(maps.Keys(vm.held)) {
		out = append(out, vm.held[id])
	}
	return out
}

type sim struct {
	t         testing.TB
	rng       *rand.Rand
	now       time.Time
	seq       int
	tasks     tasks
	doc       config.Document
	snap      *config.Snapshot
	vms       []*simVM
	upstreams map[jdaw.UpstreamID]*simUpstream
	// lossRate is the probability that a release is lost.
	lossRate float64
	// reachable reports whether messages pass between two VMs.
	reachable func(a, b int) bool
	reportLag time.Duration
	firstRun  func(p *simUpstream, prefix uint64) time.Duration
	onGrant   func(g owner.Grant)
}

func newSim(t testing.TB, seed uint64, doc config.Document, vms int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, doc: doc,
		snap: config.NewSnapshot(doc, nil), upstreams: map[jdaw.UpstreamID]*simUpstream{},
		reachable: func(int, int) bool { return true },
		reportLag: 500 * time.Millisecond,
		firstRun:  func(*simUpstream, uint64) time.Duration { return 100 * time.Millisecond },
		onGrant:   func(owner.Grant) {},
	}
	for _, u := range doc.Upstreams {
		s.upstreams[u.ID] = &simUpstream{id: u.ID, incarnation: "e1", started: epoch.Add(-time.Hour)}
	}
	for i := range vms {
		vm := &simVM{
			d: newDriver(t, vmName(i)), held: map[string]owner.Held{},
			answer: map[uint64]func(owner.Grant, *owner.Refuse){}, lastTick: epoch,
		}
		s.vms = append(s.vms, vm)
	}
	for i := range vms {
		s.post(i, config.Adopted{Snapshot: s.snap})
		s.setView(i, view(vmName(i), vms))
		s.after(100*time.Millisecond, func() { s.tick(i) })
		s.after(time.Duration(i)*100*time.Millisecond, func() { s.renew(i) })
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.tasks, task{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *sim) runUntil(d time.Duration) {
	end := epoch.Add(d)
	for len(s.tasks) > 0 && !s.tasks[0].at.After(end) {
		next := heap.Pop(&s.tasks).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) tick(i int) {
	vm := s.vms[i]
	if vm.dead {
		return
	}
	if !vm.paused {
		gap := s.now.Sub(vm.lastTick)
		vm.lastTick = s.now
		s.post(i, jdaw.Tick{Gap: gap})
	}
	s.after(100*time.Millisecond, func() { s.tick(i) })
}

// resume ends the pause of a VM as loop.Loop does: first the tick, then the
// events queued during the pause.
func (s *sim) resume(i int) {
	vm := s.vms[i]
	vm.paused = false
	gap := s.now.Sub(vm.lastTick)
	vm.lastTick = s.now
	s.post(i, jdaw.Tick{Gap: gap})
	queued := vm.queued
	vm.queued = nil
	for _, ev := range queued {
		s.post(i, ev)
	}
}

func (s *sim) setView(i int, v *jdaw.View) {
	s.vms[i].view = v
	s.post(i, jdaw.ViewChanged{View: v})
}

// post handles an event at a VM and executes the actions.
func (s *sim) post(i int, ev jdaw.Event) {
	vm := s.vms[i]
	if vm.dead {
		return
	}
	if vm.paused {
		vm.queued = append(vm.queued, ev)
		return
	}
	vm.d.now = s.now
	for _, a := range vm.d.handle(ev) {
		switch a := a.(type) {
		case owner.Grant:
			if f := vm.answer[a.Ticket]; f != nil {
				delete(vm.answer, a.Ticket)
				f(a, nil)
			}
		case owner.Refuse:
			if f := vm.answer[a.Ticket]; f != nil {
				delete(vm.answer, a.Ticket)
				f(owner.Grant{}, &a)
			}
		case owner.PollLoad:
			s.poll(i, a)
		case owner.AskOutstanding:
			s.ask(i, a)
		}
	}
}

func (s *sim) poll(i int, a owner.PollLoad) {
	s.after(time.Millisecond, func() {
		p := s.upstreams[a.Upstream]
		r := owner.LoadReported{
			Pool: a.Pool, Upstream: a.Upstream, Incarnation: p.incarnation, Uptime: s.now.Sub(p.started),
			Running: p.running, Queued: p.queued, Capacity: 8, MeasuredAt: s.now,
		}
		s.after(s.reportLag, func() { s.post(i, r) })
	})
}

func (s *sim) index(vm jdaw.VMID) int {
	for i := range s.vms {
		if vmName(i) == vm {
			return i
		}
	}
	return -1
}

func (s *sim) ask(i int, a owner.AskOutstanding) {
	j := s.index(a.VM)
	s.after(2*time.Millisecond, func() {
		r := owner.OutstandingReported{Pool: a.Pool, From: a.VM, Incarnation: jdaw.Incarnation("inc-" + a.VM)}
		other := s.vms[j]
		r.Failed = other.dead || other.paused || !s.reachable(i, j)
		if !r.Failed {
			r.Held = other.holdings()
		}
		s.post(i, r)
	})
}

func (s *sim) renew(i int) {
	vm := s.vms[i]
	if vm.dead {
		return
	}
	s.after(time.Second, func() { s.renew(i) })
	m, ok := owner.Of(vm.view, s.snap, poolID)
	j := s.index(m.VM)
	if !ok || vm.paused || !s.reachable(i, j) {
		return
	}
	ev := owner.CreditsRenewed{From: vmName(i), Incarnation: jdaw.Incarnation("inc-" + vmName(i)), Held: []owner.Held{{Pool: poolID}}}
	ev.Held = append(ev.Held, vm.holdings()...)
	s.after(time.Millisecond, func() { s.post(j, ev) })
}

// request sends one request of VM i to the owner that it sees. done is called
// when the request ends, with the time to the first token.
func (s *sim) request(i int, q owner.AcquireRequested, duration time.Duration, done func(first time.Duration, refused *owner.Refuse)) {
	vm := s.vms[i]
	if vm.dead || vm.paused {
		return
	}
	m, ok := owner.Of(vm.view, s.snap, poolID)
	j := s.index(m.VM)
	if !ok || !s.reachable(i, j) {
		return
	}
	sent := s.now
	s.after(time.Millisecond, func() {
		target := s.vms[j]
		target.d.ticket++
		q.Ticket = target.d.ticket
		q.From, q.Incarnation, q.Revision = vmName(i), jdaw.Incarnation("inc-"+vmName(i)), s.doc.Revision
		q.Pool = poolID
		if q.Versions == nil {
			q.Versions = []jdaw.ModelVersion{v1}
		}
		target.answer[q.Ticket] = func(g owner.Grant, refused *owner.Refuse) {
			if refused != nil {
				done(0, refused)
				return
			}
			s.onGrant(g)
			s.after(time.Millisecond, func() { s.dispatch(i, g, sent, q.Prefix, duration, done) })
		}
		s.post(j, q)
	})
}

func (s *sim) dispatch(i int, g owner.Grant, sent time.Time, prefix uint64, duration time.Duration, done func(time.Duration, *owner.Refuse)) {
	vm := s.vms[i]
	useBefore := sent.Add(g.Waited + time.Second)
	if vm.dead || vm.paused || !s.now.Before(useBefore) {
		return // void; a later renewal does not list it
	}
	vm.held[g.Credit] = owner.Held{Credit: g.Credit, Pool: poolID, Upstream: g.Upstream}
	p := s.upstreams[g.Upstream]
	p.running++
	p.most = max(p.most, p.running)
	first := s.firstRun(p, prefix)
	waited := s.now.Sub(sent)
	s.after(time.Millisecond, func() { s.start(i, g) })
	s.after(first+duration, func() {
		p.running--
		s.after(20*time.Millisecond, func() {
			delete(vm.held, g.Credit)
			if !vm.dead && s.rng.Float64() >= s.lossRate {
				s.release(i, g, prefix, first)
			}
		})
		done(waited+first, nil)
	})
}

// start reports to the owner that the upstream responds; the message of a
// partitioned VM is lost.
func (s *sim) start(i int, g owner.Grant) {
	m, ok := owner.Of(s.vms[i].view, s.snap, poolID)
	j := s.index(m.VM)
	if !ok || s.vms[i].dead || !s.reachable(i, j) {
		return
	}
	s.post(j, owner.CreditsReleased{From: vmName(i), Releases: []owner.Released{{
		Credit: g.Credit, Pool: poolID, Upstream: g.Upstream, Version: g.Version,
		Outcome: jdaw.OutcomeStarted, UpstreamIncarnation: s.upstreams[g.Upstream].incarnation,
	}}})
}

func (s *sim) release(i int, g owner.Grant, prefix uint64, first time.Duration) {
	m, ok := owner.Of(s.vms[i].view, s.snap, poolID)
	j := s.index(m.VM)
	if !ok || !s.reachable(i, j) {
		return
	}
	s.post(j, owner.CreditsReleased{From: vmName(i), Releases: []owner.Released{{
		Credit: g.Credit, Pool: poolID, Upstream: g.Upstream, Version: g.Version, Prefix: prefix,
		Outcome: jdaw.OutcomeOK, FirstToken: first, UpstreamIncarnation: s.upstreams[g.Upstream].incarnation,
	}}})
}

// load sends requests of all VMs at the rate until the end.
func (s *sim) load(perSecond float64, end time.Duration, draw func() (int, owner.AcquireRequested, time.Duration), done func(q owner.AcquireRequested, first time.Duration, refused *owner.Refuse)) {
	var next func()
	next = func() {
		if s.now.After(epoch.Add(end)) {
			return
		}
		i, q, d := draw()
		s.request(i, q, d, func(first time.Duration, refused *owner.Refuse) { done(q, first, refused) })
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// anyVM makes requests of 0.5 to 1.5 s from random VMs.
func (s *sim) anyVM() (int, owner.AcquireRequested, time.Duration) {
	d := time.Duration((0.5 + s.rng.Float64()) * float64(time.Second))
	return s.rng.IntN(len(s.vms)), owner.AcquireRequested{Workspace: "a", Wait: 3 * time.Second}, d
}

func ignore(owner.AcquireRequested, time.Duration, *owner.Refuse) {}

// checkPlants fails if an upstream ran more than its maximum at any time.
func (s *sim) checkPlants(seed uint64, limit int) {
	s.t.Helper()
	for i := range len(s.doc.Upstreams) {
		p := s.upstreams[upstreamName(i)]
		if p.most > limit {
			s.t.Errorf("seed %d: upstream %s ran %d requests at once, limit %d", seed, p.id, p.most, limit)
		}
	}
}

// checkBusy fails if the pool did no work, which would make the test void.
func (s *sim) checkBusy(least int) {
	s.t.Helper()
	for i := range len(s.doc.Upstreams) {
		if p := s.upstreams[upstreamName(i)]; p.most < least {
			s.t.Errorf("upstream %s ran at most %d requests at once, the test needs %d", p.id, p.most, least)
		}
	}
}

// ownerIndex returns the owner in a view with n VMs, of which some are dead.
func (s *sim) ownerIndex(dead ...jdaw.VMID) int {
	m, _ := owner.Of(view("", len(s.vms), dead...), s.snap, poolID)
	return s.index(m.VM)
}

// Guards against two owners whose credits add up to more than the limit. The
// owner and two other VMs are partitioned from the other five; each side detects
// it at another time, and the requests of the three keep running. With the seeds
// of hiddenBehindOwn, load reports were inconclusive on whether these still ran,
// and the new owner granted their slots again.
func TestPartitionedOwnersStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	hiddenBehindOwn := []uint64{339, 355, 369, 420, 433, 531, 768, 805, 960, 1041, 1181, 1267, 1280, 1407, 1430, 13570}
	seeds := hiddenBehindOwn
	for seed := range uint64(40) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		s := newSim(t, seed, document(3), 8)
		old := s.ownerIndex()
		minority := map[int]bool{old: true, (old + 1) % 8: true, (old + 2) % 8: true}
		s.load(30, 60*time.Second, func() (int, owner.AcquireRequested, time.Duration) {
			i, q, d := s.anyVM()
			if minority[i] && s.rng.IntN(4) == 0 {
				d = 20 * time.Second // still runs when the new owner's limits grow
			}
			return i, q, d
		}, ignore)
		s.runUntil(30 * time.Second)
		var inMinority, inMajority []jdaw.VMID
		for i := range 8 {
			if minority[i] {
				inMinority = append(inMinority, vmName(i))
			} else {
				inMajority = append(inMajority, vmName(i))
			}
		}
		s.reachable = func(a, b int) bool { return minority[a] == minority[b] }
		for i := range 8 {
			dead := inMinority
			if minority[i] {
				dead = inMajority
			}
			notice := 1500*time.Millisecond + time.Duration(s.rng.IntN(1000))*time.Millisecond
			s.after(notice, func() { s.setView(i, view(vmName(i), 8, dead...)) })
		}
		s.runUntil(42 * time.Second)
		s.reachable = func(int, int) bool { return true }
		for i := range 8 {
			heal := time.Duration(s.rng.IntN(1000)) * time.Millisecond
			s.after(heal, func() { s.setView(i, view(vmName(i), 8)) })
		}
		s.runUntil(60 * time.Second)
		s.checkPlants(seed, 8)
		s.checkBusy(6)
	}
}

// Guards against an owner that was paused, lost its pool meanwhile and grants
// from its stale state when it resumes.
func TestFrozenOwnerThatWakesUpStaysWithinTheLimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		s := newSim(t, seed, document(3), 8)
		s.load(40, 30*time.Second, s.anyVM, ignore)
		s.runUntil(10 * time.Second)
		old := s.ownerIndex()
		s.vms[old].paused = true
		s.after(2*time.Second, func() {
			for i := range 8 {
				if i != old {
					s.setView(i, view(vmName(i), 8, vmName(old)))
				}
			}
		})
		asleep := time.Duration(1000+s.rng.IntN(9000)) * time.Millisecond
		s.after(asleep, func() { s.resume(old) })
		s.after(asleep+time.Second, func() {
			for i := range 8 {
				s.setView(i, view(vmName(i), 8))
			}
		})
		s.runUntil(40 * time.Second)
		s.checkPlants(seed, 8)
		s.checkBusy(6)
	}
}

// Guards against lost releases and dead holders that reduce the capacity, and
// against freeing credits of requests that still run.
func TestLostReleasesAndDeadHoldersKeepCapacity(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSim(t, seed, document(2), 8)
		s.lossRate = 0.2
		served := 0
		s.load(12, 60*time.Second, s.anyVM, func(_ owner.AcquireRequested, _ time.Duration, refused *owner.Refuse) {
			if refused == nil && s.now.After(epoch.Add(40*time.Second)) {
				served++
			}
		})
		s.runUntil(15 * time.Second)
		victim := (s.ownerIndex() + 1) % 8
		s.vms[victim].dead = true
		s.after(2*time.Second, func() {
			for i := range 8 {
				if i != victim {
					s.setView(i, view(vmName(i), 8, vmName(victim)))
				}
			}
		})
		s.runUntil(60 * time.Second)
		s.checkPlants(seed, 8)
		// 7 of 8 VMs send 10.5 requests/s in the last 20 s, 66 % of capacity.
		if served < 180 {
			t.Errorf("seed %d: %d requests served in the last 20 s, want at least 180 of 210", seed, served)
		}
	}
}

// Guards against slow starts that add up: 8 requesters send a burst to an
// upstream that has just started.
func TestColdUpstreamWithEightRequesters(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSim(t, seed, document(1), 8)
		s.runUntil(3 * time.Second)
		for i := range 8 {
			for range 5 {
				s.request(i, owner.AcquireRequested{Workspace: "a", Wait: time.Minute}, time.Second, func(time.Duration, *owner.Refuse) {})
			}
		}
		s.runUntil(4 * time.Second)
		if most := s.upstreams[upstreamName(0)].most; most != 2 {
			t.Errorf("seed %d: the cold upstream ran %d requests at once, want its cold limit 2", seed, most)
		}
	}
}

// Guards against full load on an upstream that turned cold without notice: it
// has another incarnation, or only its first tokens show it.
func TestUpstreamTurnsColdWithoutNotice(t *testing.T) {
	t.Parallel()
	cases := map[string]bool{"new incarnation": true, "same incarnation": false}
	for name, restarts := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(t, seed, document(1), 8)
				p := s.upstreams[upstreamName(0)]
				s.firstRun = func(p *simUpstream, _ uint64) time.Duration {
					if s.now.Before(p.coldUntil) {
						return time.Second
					}
					return 100 * time.Millisecond
				}
				s.load(12, 40*time.Second, s.anyVM, ignore)
				s.runUntil(20 * time.Second)
				s.checkBusy(7)
				p.coldUntil = s.now.Add(10 * time.Second)
				if restarts {
					p.incarnation, p.started = "e2", s.now
				}
				// The first slow answers end after 2 s at the latest, and a
				// report arrives within 1.6 s; those granted until then may
				// run for 2.5 s more.
				s.runUntil(25 * time.Second)
				p.most = 0
				s.runUntil(29 * time.Second)
				if p.most > 3 {
					t.Errorf("seed %d: the cold upstream runs %d requests at once 5 s later, want at most 3", seed, p.most)
				}
			}
		})
	}
}

// Guards against a workspace that is served worse than another of equal weight
// because a third one sends ten times its share. 16 slots at 1.1 s each serve
// 14.5 requests/s, so the share of each workspace is 4.8; b and c send 2.9 each
// and a sends 48. A seed gives about 340 first-token times for each of b and c,
// too few to compare their p95, so the seeds are compared together.
func TestFairnessBetweenWorkspaces(t *testing.T) {
	t.Parallel()
	firsts := map[jdaw.WorkspaceID][]time.Duration{}
	for seed := range uint64(20) {
		doc := document(2)
		for i := range doc.Upstreams {
			doc.Upstreams[i].ColdConcurrent = 8
		}
		s := newSim(t, seed, doc, 8)
		served := map[jdaw.WorkspaceID][]time.Duration{}
		s.load(54, 120*time.Second, func() (int, owner.AcquireRequested, time.Duration) {
			i, q, d := s.anyVM()
			switch draw := s.rng.Float64() * 54; {
			case draw < 2.9:
				q.Workspace = "b"
			case draw < 5.8:
				q.Workspace = "c"
			}
			return i, q, d
		}, func(q owner.AcquireRequested, first time.Duration, refused *owner.Refuse) {
			if refused == nil {
				served[q.Workspace] = append(served[q.Workspace], first)
				return
			}
			if q.Workspace != "a" && s.now.After(epoch.Add(5*time.Second)) {
				t.Errorf("seed %d: a request of %s was refused: %+v", seed, q.Workspace, *refused)
			}
		})
		s.runUntil(120 * time.Second)
		for _, w := range []jdaw.WorkspaceID{"b", "c"} {
			// A burst of three waits three rounds of three slots, 0.6 s.
			if p95 := quantile(served[w], 0.95); p95 > 900*time.Millisecond {
				t.Errorf("seed %d: p95 first token %s for %s within its share, want at most 900 ms", seed, p95, w)
			}
			firsts[w] = append(firsts[w], served[w]...)
		}
	}
	b, c := quantile(firsts["b"], 0.95), quantile(firsts["c"], 0.95)
	t.Logf("p95 first token %s for b and %s for c", b, c)
	if ratio := max(float64(b)/float64(c), float64(c)/float64(b)); ratio > 1.2 {
		t.Errorf("p95 first token %s for b and %s for c, ratio %.2f, want at most 1.2", b, c, ratio)
	}
}
