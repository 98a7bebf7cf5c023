package relay

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawbarrow"
)

// The upstream model in this file prefills one prompt at a time, in the order of
// priorities, and caches the shared prefixes.

// job is a prompt at an upstream.
type job struct {
	rank   int
	order  int
	prefix uint64
	work   promptWork
	read   func(at time.Time)
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return j[a].rank < j[b].rank || j[a].rank == j[b].rank && j[a].order < j[b].order
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	*j = (*j)[:last]
	return x
}

// reader is an upstream model.
type reader struct {
	queue  jobs
	cached map[uint64]bool
	busy   float64 // tokens left of the prompt that is read
	done   func(at time.Time)
}

// step prefills some tokens.
func (r *reader) step(at time.Time, tokens float64) {
	for tokens > 0 {
		if r.done == nil {
			if len(r.queue) == 0 {
				return
			}
			next := heap.Pop(&r.queue).(job)
			r.busy, r.done = next.work.own, next.read
			if !r.cached[next.prefix] {
				r.busy += next.work.shared
				r.cached[next.prefix] = true
			}
		}
		part := min(tokens, r.busy)
		tokens -= part
		r.busy -= part
		if r.busy <= 0 {
			done := r.done
			r.done = nil
			done(at)
		}
	}
}

// cascadeLoad plays a load of prompts of 17,000 tokens at eight upstreams that
// read 18,700 tokens of the largest model a second. The smaller model takes a
// fifteenth of the time and is unsure of half of the answers.
type cascadeLoad struct {
	perSecond float64
	fitsQueue func(wait, left time.Duration) bool
}

// cascadeResult counts requests.
type cascadeResult struct {
	asked, inTime     int
	unsure, escalated int
}

func (l cascadeLoad) play() cascadeResult {
	const (
		step      = 5 * time.Millisecond
		duration  = 30 * time.Second
		target    = 4 * time.Second
		upstreams = 8
		readPerMs = 18.7
		smallPart = 1.0 / 15
		subjects  = 60
	)
	st := testState(upstreams, 1)
	p, rate, rng := newPicker("vm0", nil), newPrefillRates(), rand.New(rand.NewPCG(1, 1))
	readers := map[jdaw.UpstreamID]*reader{}
	for _, u := range st.Upstreams["drafts"] {
		readers[u.ID] = &reader{cached: map[uint64]bool{}}
	}
	result, order := cascadeResult{}, 0
	send := func(at time.Time, q pickRequest, rank int, first func(at time.Time, q queue)) {
		pl, ok := p.pick(at, st, q)
		if !ok {
			return // a request that is refused is not in time
		}
		order++
		heap.Push(&readers[pl.ID].queue, job{rank: rank, order: order, prefix: q.prefix, work: q.work, read: func(at time.Time) {
			pl.started()
			pl.release(at, outcomeOK)
			first(at, pl.queue)
		}})
	}
	answer := func(started, at time.Time) {
		if at.Sub(started) <= target {
			result.inTime++
		}
	}
	ask := func(started time.Time) {
		result.asked++
		subject := rng.Uint64N(subjects)
		small := pickRequest{
			service: "drafts", prefix: 2*subject + 1000, salt: rng.Uint64(), work: promptWork{own: 3700 * smallPart, shared: 13_300 * smallPart},
		}
		large := small
		large.prefix, large.isEscalated, large.work = small.prefix+1, true, promptWork{own: 3700, shared: 13_300}
		isUnsure := rng.IntN(2) == 0
		send(started, small, 0, func(at time.Time, _ queue) {
			if !isUnsure {
				answer(started, at)
				return
			}
			result.unsure++
			q, ok := p.peek(at, st, large)
			if !ok || !l.fitsQueue(rate.predict(at, "drafts", q.ahead), target-at.Sub(started)) {
				answer(started, at)
				return
			}
			result.escalated++
			send(at, large, escalatedPriority, func(first time.Time, q queue) {
				rate.observe(first, "drafts", q, first.Sub(at))
				answer(started, first)
			})
		})
	}
	for d := time.Duration(0); d < duration+2*target; d += step {
		at := now.Add(d)
		if d < duration && rng.Float64() < l.perSecond*step.Seconds() {
			ask(at)
		}
		for _, u := range st.Upstreams["drafts"] {
			readers[u.ID].step(at, readPerMs*float64(step.Milliseconds()))
		}
	}
	return result
}

// Guards against congestion collapse, in which low-confidence answers escalate
// to an overloaded model until all are late, and against missing escalations
// while there is capacity. The load is less than half, nine tenths and twice the
// prefill capacity.
func TestCascadeUnderLoad(t *testing.T) {
	cases := map[string]struct {
		perSecond        float64
		inTime, escalate float64 // least parts of the requests and of the unsure answers
	}{
		"calm":       {10, 0.98, 0.98},
		"busy":       {40, 0.9, 0.6},
		"overloaded": {90, 0.9, 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := cascadeLoad{perSecond: c.perSecond, fitsQueue: fitsQueue}.play()
			if part := float64(got.inTime) / float64(got.asked); part < c.inTime {
				t.Errorf("%.2f of %d requests in time, want at least %.2f", part, got.asked, c.inTime)
			}
			if part := float64(got.escalated) / float64(got.unsure); part < c.escalate {
				t.Errorf("%.2f of %d unsure answers went to the larger model, want at least %.2f", part, got.unsure, c.escalate)
			}
			t.Logf("%+v", got)
		})
	}
}

// Guards against a prefill rate that is used with too few samples, mixes
// services, doesn't follow upstreams that became slower, or prevents escalations
// permanently.
func TestPrefillRate(t *testing.T) {
	r := newPrefillRates()
	check := func(what, service string, age, want time.Duration) {
		t.Helper()
		if got := r.predict(now.Add(age), service, 1000); got < want*9/10 || got > want*11/10 {
			t.Errorf("%s: predicted %s, want about %s", what, got, want)
		}
	}
	observe := func(n int, took time.Duration) {
		for range n {
			r.observe(now, "a", queue{ahead: 3000, own: 1000}, took)
		}
	}
	observe(minPrefillSamples-1, 400*time.Millisecond)
	check("too few", "a", 0, 0)
	observe(1, 400*time.Millisecond)
	check("quick", "a", time.Second, 100*time.Millisecond)
	check("another service", "b", 0, 0)
	observe(100, 2*time.Second)
	check("slower", "a", prefillRateMaxAge, 500*time.Millisecond)
	check("too old", "a", prefillRateMaxAge+1, 0)
}

// Guards against abandoning one attempt after the other when all upstreams are
// slow.
func TestAbandonBudget(t *testing.T) {
	g := newAbandonBudget()
	given := 0
	for range 100 {
		g.refill()
		if g.take(0) {
			given++
		}
	}
	if given > 7 {
		t.Errorf("%d of 100 attempts may be abandoned", given)
	}
}

// Guards against first steps that leave their affinity upstream because of
// pending escalations, which they overtake, and against escalations that don't
// count these.
func TestPendingEscalations(t *testing.T) {
	st := testState(4, 1)
	prompt := pickRequest{service: "drafts", prefix: 77, work: promptWork{own: 500, shared: 1000}}
	home, ok := newPicker("vm0", nil).pick(now, st, prompt)
	if !ok {
		t.Fatal("no upstream")
	}
	cases := map[string]struct {
		waiting     jdaw.UpstreamLoad
		isEscalated bool
		atHome      bool
	}{
		"first step, first ones wait": {jdaw.UpstreamLoad{Tokens: 15_000}, false, false},
		"first step, later ones wait": {jdaw.UpstreamLoad{Tokens: 15_000, Later: 15_000}, false, true},
		"later step, later ones wait": {jdaw.UpstreamLoad{Tokens: 15_000, Later: 15_000}, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPicker("vm0", backlogs{others: jdaw.Backlog{home.ID.Key(): c.waiting}})
			q := prompt
			q.isEscalated = c.isEscalated
			if got, _ := p.pick(now, st, q); (got.ID == home.ID) != c.atHome {
				t.Errorf("picked %s, want affinity upstream %s", got.ID, home.ID)
			}
		})
	}
}

// Guards against escalations with long prompts that queue behind short ones, which
// have more slack, and against first steps that are ordered by length.
func TestPriorityOfLongPrompts(t *testing.T) {
	x := &Relay{prefillRates: newPrefillRates()}
	for range minPrefillSamples {
		x.prefillRates.observe(now, "s", queue{own: 1000}, 50*time.Millisecond)
	}
	cases := map[string]struct {
		step   int
		tokens float64
		want   int
	}{
		"first step, long":  {0, 30_000, 2},
		"later step, short": {1, 3000, escalatedPriority + 2},
		"later step, long":  {1, 30_000, escalatedPriority},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &call{x: x, priority: 2, service: "s"}
			q.route.Target = 4 * time.Second
			q.streaming = &streaming{c: q, cascade: &cascade{step: c.step}}
			if got := q.upstreamPriority(now, queue{own: c.tokens}); got != c.want {
				t.Errorf("priority %d, want %d", got, c.want)
			}
		})
	}
}
