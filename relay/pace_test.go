package relay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
	"jackdawbarrow/route"
)

// plainModel is a model of an upstream with slots and a queue that shares its
// machine with others.
type plainModel struct {
	speed     float64
	slots     int
	queueSize int
	running   []plainJob
	queue     []plainJob
	slowUntil time.Time
	slowdown  float64 // until slowUntil
	stated    func(at time.Time, r jdaw.LoadReport) jdaw.LoadReport
}

// plainJob is a request at a plainModel.
type plainJob struct {
	left float64 // milliseconds at speed 1
	done func(at time.Time, r jdaw.LoadReport)
}

func (m *plainModel) slowdownAt(at time.Time) float64 {
	if at.Before(m.slowUntil) {
		return m.slowdown
	}
	return 1
}

func (m *plainModel) report(at time.Time) jdaw.LoadReport {
	r := jdaw.LoadReport{Running: len(m.running), Waiting: len(m.queue), Slots: m.slots, Slowdown: m.slowdownAt(at)}
	if m.stated != nil {
		return m.stated(at, r)
	}
	return r
}

// send queues a request, or returns false if the queue is full.
func (m *plainModel) send(j plainJob) bool {
	if len(m.running) < m.slots {
		m.running = append(m.running, j)
		return true
	}
	if len(m.queue) >= m.queueSize {
		return false
	}
	m.queue = append(m.queue, j)
	return true
}

// step runs the requests for one millisecond.
func (m *plainModel) step(at time.Time) {
	progress := m.speed / m.slowdownAt(at)
	ended := m.running
	m.running = nil
	var done []plainJob
	for _, j := range ended {
		if j.left -= progress; j.left > 0 {
			m.running = append(m.running, j)
		} else {
			done = append(done, j)
		}
	}
	for len(m.queue) > 0 && len(m.running) < m.slots {
		m.running, m.queue = append(m.running, m.queue[0]), m.queue[1:]
	}
	for _, j := range done {
		j.done(at, m.report(at))
	}
}

// delayedBacklogs exchanges the backlogs of several pickers each period.
type delayedBacklogs struct {
	backlogs
	self int
	told *[]jdaw.Backlog
}

func (b delayedBacklogs) Others() jdaw.Backlog {
	total := jdaw.Backlog{}
	for vm, told := range *b.told {
		if vm == b.self {
			continue
		}
		for key, load := range told {
			total[key] = total[key].With(load)
		}
	}
	return total
}

// newPickers returns pickers that exchange their backlogs when exchange is called.
func newPickers(vms int) (pickers []*picker, exchange func(at time.Time)) {
	told := make([]jdaw.Backlog, vms)
	for vm := range vms {
		pickers = append(pickers, newPicker(jdaw.VMID(fmt.Sprintf("vm%d", vm)), delayedBacklogs{self: vm, told: &told}))
	}
	return pickers, func(at time.Time) {
		for vm, p := range pickers {
			told[vm] = p.backlog(at)
		}
	}
}

// exchangePeriod is the time between two exchanges of a data centre of 24 VMs.
const exchangePeriod = 300 * time.Millisecond

// unevenLoad sends plain requests of 30 ms to three upstreams of uneven speed
// through the pickers of thirty VMs. The demand waves between a tenth and eight tenths
// of what the upstreams can serve.
type unevenLoad struct {
	chooser route.Name // that of the picker if empty
	// stated changes the reports of all upstreams, or of the fast one only.
	stated   func(at time.Time, r jdaw.LoadReport) jdaw.LoadReport
	fastOnly bool
	seed     uint64
}

type unevenResult struct {
	total, inAim, refused int
	shares                [3]int
	p95                   time.Duration
}

func (r unevenResult) String() string {
	return fmt.Sprintf("%.3f of %d in aim, %d refused, p95 %s, by upstream %v",
		r.aimShare(), r.total, r.refused, r.p95, r.shares)
}

func (r unevenResult) aimShare() float64 { return float64(r.inAim) / float64(r.total) }

// statesNothing hides the reports of an upstream.
func statesNothing(time.Time, jdaw.LoadReport) jdaw.LoadReport { return jdaw.LoadReport{} }

func (l unevenLoad) run(t *testing.T) unevenResult {
	t.Helper()
	const (
		vms      = 30
		duration = 40 * time.Second
		work     = 30.0
		aim      = 150 * time.Millisecond
		minRate  = 60.0
		maxRate  = 480.0
		wave     = 8 * time.Second
	)
	rng := rand.New(rand.NewPCG(l.seed, 1))
	st := testState(3, vms)
	models := map[jdaw.UpstreamID]*plainModel{}
	for i, speed := range []float64{0.7, 0.7, 1.7} {
		st.Upstreams["drafts"][i].Slots = 6
		models[st.Upstreams["drafts"][i].ID] = &plainModel{speed: speed, slots: 6, queueSize: 12}
		if !l.fastOnly || i == 2 {
			models[st.Upstreams["drafts"][i].ID].stated = l.stated
		}
	}
	pickers, exchange := newPickers(vms)
	for i, p := range pickers {
		if l.chooser == "" {
			continue
		}
		c, err := route.New(l.chooser, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		p.chooser = c
	}
	result, took := unevenResult{}, []time.Duration{}
	send := func(started time.Time) {
		result.total++
		q := pickRequest{service: "drafts", name: "orders", salt: rng.Uint64()}
		res, ok := pickers[rng.IntN(vms)].pick(started, st, q)
		if !ok {
			result.refused++
			return
		}
		m := models[res.ID]
		accepted := m.send(plainJob{left: work * (0.5 + rng.Float64()), done: func(at time.Time, r jdaw.LoadReport) {
			res.notice(at, jdaw.Answer{Load: r})
			res.release(at, outcomeOK)
			took = append(took, at.Sub(started))
			if at.Sub(started) <= aim {
				result.inAim++
			}
		}})
		if !accepted {
			result.refused++
			res.notice(started, jdaw.Answer{Load: m.report(started), NotRun: true})
			res.release(started, outcomeShed)
			return
		}
		result.shares[slices.IndexFunc(st.Upstreams["drafts"], func(u fleet.Upstream) bool { return u.ID == res.ID })]++
	}
	for d := time.Duration(0); d < duration; d += time.Millisecond {
		at := now.Add(d)
		rate := minRate + (maxRate-minRate)*(0.5-0.5*math.Cos(2*math.Pi*d.Seconds()/wave.Seconds()))
		if rng.Float64() < rate/1000 {
			send(at)
		}
		for _, u := range st.Upstreams["drafts"] {
			m := models[u.ID]
			// A burst of 300 ms about every two seconds.
			if rng.Float64() < 0.0005 && !at.Before(m.slowUntil) {
				m.slowUntil, m.slowdown = at.Add(300*time.Millisecond), 1.5+rng.Float64()
			}
			m.step(at)
		}
		if d%exchangePeriod == 0 {
			exchange(at)
		}
	}
	slices.Sort(took)
	result.p95 = took[len(took)*95/100]
	return result
}

// Guards against equal shares for uneven upstreams, which fill the slow ones
// while the fast one idles. The load is a demand that waves, at upstreams of
// speeds 0.7, 0.7 and 1.7 that slow down at times.
func TestUnevenPlainUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		paced := unevenLoad{seed: seed}.run(t)
		t.Logf("seed %d, paced: %s", seed, paced)
		if paced.aimShare() < 0.97 {
			t.Errorf("seed %d: %.3f of the requests in aim, want at least 0.97", seed, paced.aimShare())
		}
		for name, l := range map[string]unevenLoad{
			"before":            {stated: statesNothing},
			"random":            {stated: statesNothing, chooser: route.NameRandom},
			"least outstanding": {stated: statesNothing, chooser: route.NameLeastOutstanding},
		} {
			l.seed = seed
			got := l.run(t)
			t.Logf("seed %d, %s: %s", seed, name, got)
			if paced.aimShare() <= got.aimShare() || paced.p95 >= got.p95 {
				t.Errorf("seed %d: no better than %s", seed, name)
			}
		}
	}
}

// Guards against upstreams that stop reporting or state an absurd load, all of them
// or the fast one only, and thereby get no requests, or all of them.
func TestUpstreamWithWrongReports(t *testing.T) {
	cases := map[string]func(at time.Time, r jdaw.LoadReport) jdaw.LoadReport{
		"stops reporting after 10 s": func(at time.Time, r jdaw.LoadReport) jdaw.LoadReport {
			if at.Sub(now) > 10*time.Second {
				return jdaw.LoadReport{}
			}
			return r
		},
		"absurdly slow": func(_ time.Time, r jdaw.LoadReport) jdaw.LoadReport {
			r.Slowdown = 10_000
			return r
		},
		"absurdly fast": func(_ time.Time, r jdaw.LoadReport) jdaw.LoadReport {
			r.Slowdown = 0.01
			return r
		},
		"absurdly busy": func(_ time.Time, r jdaw.LoadReport) jdaw.LoadReport {
			r.Running, r.Waiting = 1_000_000, 1_000_000
			return r
		},
		"always idle": func(_ time.Time, r jdaw.LoadReport) jdaw.LoadReport {
			r.Running, r.Waiting = 0, 0
			return r
		},
	}
	for name, stated := range cases {
		for _, fastOnly := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, fast one only: %t", name, fastOnly), func(t *testing.T) {
				got := unevenLoad{seed: 1, stated: stated, fastOnly: fastOnly}.run(t)
				t.Log(got)
				if got.aimShare() < 0.85 {
					t.Errorf("%.3f of the requests in aim, want at least 0.85", got.aimShare())
				}
				for i, n := range got.shares {
					if n < got.total/20 {
						t.Errorf("upstream %d got %d of %d requests", i, n, got.total)
					}
				}
			})
		}
	}
}

// unevenPrompts sends prompts to eight engines of uneven speed through the
// pickers of six VMs, and returns the share of first events in aim.
func unevenPrompts(seed uint64, perSecond float64, hasReports bool) (inAim float64, shares map[jdaw.UpstreamID]int) {
	const (
		vms      = 6
		step     = 5 * time.Millisecond
		duration = 60 * time.Second
		aim      = 2 * time.Second
		perMs    = 18.7 // tokens at speed 1
		subjects = 60
	)
	st := testState(8, vms)
	models := map[jdaw.UpstreamID]*upstreamModel{}
	speeds := map[jdaw.UpstreamID]float64{}
	for i, u := range st.Upstreams["drafts"] {
		models[u.ID] = &upstreamModel{cached: map[uint64]bool{}}
		speeds[u.ID] = []float64{0.7, 0.7, 0.7, 1.7}[i%4]
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	pickers, exchange := newPickers(vms)
	total, inTime, order := 0, 0, 0
	shares = map[jdaw.UpstreamID]int{}
	slowUntil := map[jdaw.UpstreamID]time.Time{}
	slowdown := func(id jdaw.UpstreamID, at time.Time) float64 {
		if at.Before(slowUntil[id]) {
			return 2.5
		}
		return 1
	}
	for d := time.Duration(0); d < duration+aim; d += step {
		at := now.Add(d)
		if d < duration && rng.Float64() < perSecond*step.Seconds() {
			total++
			q := pickRequest{
				service: "drafts", prefix: rng.Uint64N(subjects) + 1000, salt: rng.Uint64(),
				work: promptWork{own: 500 + 3000*rng.Float64(), shared: 3000},
			}
			if res, ok := pickers[rng.IntN(vms)].pick(at, st, q); ok {
				order++
				shares[res.ID]++
				started := at
				heap.Push(&models[res.ID].queue, job{order: order, prefix: q.prefix, work: q.work, onPrefilled: func(at time.Time) {
					if hasReports {
						res.notice(at, jdaw.Answer{Load: jdaw.LoadReport{Slots: 48, Slowdown: slowdown(res.ID, at)}})
					}
					res.started()
					res.sawFirst(at)
					// Events of a batch take as long as the steps of the engine.
					res.sawEvents(at, time.Duration(50*float64(time.Millisecond)*(0.7+0.6*rng.Float64())/speeds[res.ID]))
					res.release(at, outcomeOK)
					if at.Sub(started) <= aim {
						inTime++
					}
				}})
			}
		}
		for _, u := range st.Upstreams["drafts"] {
			// A burst of 300 ms about every two seconds.
			if rng.Float64() < 0.0025 && !at.Before(slowUntil[u.ID]) {
				slowUntil[u.ID] = at.Add(300 * time.Millisecond)
			}
			models[u.ID].step(at, speeds[u.ID]*perMs*float64(step.Milliseconds())/slowdown(u.ID, at))
		}
		if d%exchangePeriod == 0 {
			exchange(at)
		}
	}
	return float64(inTime) / float64(total), shares
}

// Guards against prompts that queue at slow engines while fast ones idle, at
// loads of a half and of eight tenths of what the engines can prefill.
func TestUnevenEngines(t *testing.T) {
	cases := map[string]struct {
		perSecond, inAim float64
	}{
		"half":         {30, 0.97},
		"eight tenths": {50, 0.95},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const seeds = 12
			before, got := 0.0, 0.0
			for seed := range uint64(seeds) {
				share, _ := unevenPrompts(seed, c.perSecond, false)
				before += share / seeds
				share, shares := unevenPrompts(seed, c.perSecond, true)
				got += share / seeds
				t.Logf("seed %d: %.3f in aim; by upstream %v", seed, share, shares)
			}
			t.Logf("%.4f in aim, before %.4f", got, before)
			if got < c.inAim || got < before {
				t.Errorf("%.4f in aim, want at least %.2f and the %.4f without reports", got, c.inAim, before)
			}
		})
	}
}

// Guards against decisions that change for services whose upstreams state no
// slowdown, and against longer messages of such services.
func TestServicesWithoutReportsAreServedAsBefore(t *testing.T) {
	st := testState(4, 1)
	others := jdaw.Backlog{}
	for i, u := range st.Upstreams["drafts"] {
		others[u.ID.Key()] = jdaw.UpstreamLoad{Tokens: uint32(1000 * i), Running: 50, Timed: 800, Speed: uint32(400 * (i + 1))}
	}
	told, alone := newPicker("vm0", backlogs{others: others}), newPicker("vm0", nil)
	for salt := range uint64(50) {
		q := pickRequest{service: "drafts", salt: salt * 0x9E3779B97F4A7C15}
		got, _ := told.pick(now, st, q)
		want, _ := alone.pick(now, st, q)
		if got.ID != want.ID {
			t.Fatalf("picked %s, want %s", got.ID, want.ID)
		}
		for _, res := range []*reservation{&got, &want} {
			res.notice(now, jdaw.Answer{Load: jdaw.LoadReport{Running: 1, Slots: 8}})
			res.release(now.Add(time.Second), outcomeOK)
		}
	}
	for key, load := range told.backlog(now) {
		if load.Running+load.Timed+load.Speed > 0 {
			t.Errorf("upstream %d: %+v", key, load)
		}
	}
}

// Guards against durations of cold upstreams, of an earlier process and of
// requests that waited, which say nothing of an upstream's speed.
func TestDurationsThatDoNotCount(t *testing.T) {
	stated := jdaw.LoadReport{Running: 1, Slots: 8, Slowdown: 1}
	waiting := stated
	waiting.Waiting = 3
	cases := map[string]struct {
		load   jdaw.LoadReport
		change func(r *reservation)
		o      outcome
		counts bool
	}{
		"answered":        {stated, func(*reservation) {}, outcomeOK, true},
		"failed":          {stated, func(*reservation) {}, outcomeFailed, false},
		"waited":          {waiting, func(*reservation) {}, outcomeOK, false},
		"cold":            {stated, func(r *reservation) { r.ColdUntil = now.Add(time.Hour) }, outcomeOK, false},
		"earlier process": {stated, func(r *reservation) { r.Born = -1 }, outcomeOK, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st, p := testState(1, 1), newPicker("vm0", nil)
			for range 20 {
				res, _ := p.pick(now, st, pickRequest{service: "drafts", name: "orders"})
				res.notice(now, jdaw.Answer{Load: c.load})
				c.change(&res)
				res.release(now.Add(30*time.Millisecond), c.o)
			}
			if got := p.backlog(now)[st.Upstreams["drafts"][0].ID.Key()].Timed > 0; got != c.counts {
				t.Errorf("counted: %t, want %t", got, c.counts)
			}
		})
	}
}

// Guards against an estimate that doesn't grow with the queue, and against one by
// a VM that has just started.
func TestEstimateOfThePick(t *testing.T) {
	st, p := testState(1, 1), newPicker("vm0", nil)
	q := pickRequest{service: "drafts", name: "orders"}
	if _, ok := p.estimate(now, st, q, 0); ok {
		t.Error("an estimate without data")
	}
	for range 20 {
		res, _ := p.pick(now, st, q)
		res.notice(now, jdaw.Answer{Load: jdaw.LoadReport{Slots: 8, Slowdown: 1}})
		res.release(now.Add(30*time.Millisecond), outcomeOK)
	}
	idle, ok := p.estimate(now.Add(time.Second), st, q, 0)
	if !ok || idle.First < 25*time.Millisecond || idle.First > 35*time.Millisecond {
		t.Errorf("%+v of an idle upstream, known: %t, want about 30 ms", idle, ok)
	}
	for range 15 {
		p.pick(now.Add(time.Second), st, q)
	}
	if busy, _ := p.estimate(now.Add(time.Second), st, q, 0); busy.First < 2*idle.First*9/10 {
		t.Errorf("%s with 16 requests in 8 slots, %s idle", busy.First, idle.First)
	}
}

// Guards against an upstream with full slots and queue that gets more requests
// while others have room, and against refusing when all are full.
func TestFullUpstreamIsSkipped(t *testing.T) {
	st, p := testState(2, 1), newPicker("vm0", nil)
	full := jdaw.LoadReport{Running: 8, Waiting: 4, Slots: 8, Slowdown: 1}
	q := pickRequest{service: "drafts", name: "orders"}
	fill := func(id jdaw.UpstreamID) {
		for {
			q.salt += 0x9E3779B97F4A7C15
			res, _ := p.pick(now, st, q)
			if res.ID == id {
				res.notice(now, jdaw.Answer{Load: full, NotRun: true})
				res.release(now, outcomeNeutral)
				return
			}
			res.release(now, outcomeNeutral)
		}
	}
	fill("u0")
	for range 50 {
		q.salt += 0x9E3779B97F4A7C15
		res, _ := p.pick(now, st, q)
		if res.ID == "u0" {
			t.Fatal("the full upstream got a request")
		}
		res.release(now, outcomeNeutral)
	}
	st.Upstreams["drafts"] = st.Upstreams["drafts"][:1]
	if _, ok := p.pick(now, st, q); !ok {
		t.Error("no request for the only upstream")
	}
}

// BenchmarkPick measures a decision at 600 upstreams that state their load. The
// bound is 20 microseconds.
func BenchmarkPick(b *testing.B) {
	cases := map[string]pickRequest{
		"plain":  {service: "drafts", name: "orders"},
		"prompt": {service: "drafts", prefix: 77, work: promptWork{own: 500, shared: 3000}},
	}
	for name, q := range cases {
		b.Run(name, func(b *testing.B) {
			now, st := time.Now(), testState(600, 90)
			st.Table.Services["drafts"] = config.ServiceSpec{Name: "drafts"}
			others := jdaw.Backlog{}
			for _, u := range st.Upstreams["drafts"] {
				others[u.ID.Key()] = jdaw.UpstreamLoad{Tokens: 500, Running: 3, Timed: 100, Speed: 90}
			}
			p := newPicker("vm0", backlogs{others: others})
			for range 2000 {
				q.salt += 0x9E3779B97F4A7C15
				res, _ := p.pick(now, st, q)
				res.notice(now, jdaw.Answer{Load: jdaw.LoadReport{Running: 3, Slots: 8, Slowdown: 1.5}})
				res.release(now, outcomeOK)
			}
			b.ResetTimer()
			for b.Loop() {
				q.salt += 0x9E3779B97F4A7C15
				res, ok := p.pick(now, st, q)
				if !ok {
					b.Fatal("no upstream")
				}
				res.release(now, outcomeNeutral)
			}
		})
	}
}
