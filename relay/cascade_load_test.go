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

// job is a pending prompt at an upstream.
type job struct {
	priority    int
	order       int
	prefix      uint64
	work        promptWork
	onPrefilled func(at time.Time)
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return j[a].priority < j[b].priority || j[a].priority == j[b].priority && j[a].order < j[b].order
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	*j = (*j)[:last]
	return x
}

// upstreamModel is a model of an upstream.
type upstreamModel struct {
	queue     jobs
	cached    map[uint64]bool
	remaining float64 // tokens left of the prompt in progress
	done      func(at time.Time)
}

// step prefills some tokens.
func (m *upstreamModel) step(at time.Time, tokens float64) {
	for tokens > 0 {
		if m.done == nil {
			if len(m.queue) == 0 {
				return
			}
			next := heap.Pop(&m.queue).(job)
			m.remaining, m.done = next.work.own, next.onPrefilled
			if !m.cached[next.prefix] {
				m.remaining += next.work.shared
				m.cached[next.prefix] = true
			}
		}
		part := min(tokens, m.remaining)
		tokens -= part
		m.remaining -= part
		if m.remaining <= 0 {
			done := m.done
			m.done = nil
			done(at)
		}
	}
}

// cascadeLoad simulates prompts of 17,000 tokens at eight upstreams that prefill
// 18,700 tokens of the largest model per second. The smaller model takes a
// fifteenth of the time, and half of its responses have low confidence.
type cascadeLoad struct {
	perSecond float64
	fitsQueue func(queueTime, left time.Duration) bool
}

// cascadeResult has the request counts of a simulation.
type cascadeResult struct {
	total, inTime     int
	unsure, escalated int
}

func (l cascadeLoad) run() cascadeResult {
	const (
		step         = 5 * time.Millisecond
		duration     = 30 * time.Second
		target       = 4 * time.Second
		upstreams    = 8
		prefillPerMs = 18.7
		smallPart    = 1.0 / 15
		subjects     = 60
	)
	st := testState(upstreams, 1)
	p, rate, rng := newPicker("vm0", nil), newPrefillRates(), rand.New(rand.NewPCG(1, 1))
	models := map[jdaw.UpstreamID]*upstreamModel{}
	for _, u := range st.Upstreams["drafts"] {
		models[u.ID] = &upstreamModel{cached: map[uint64]bool{}}
	}
	result, order := cascadeResult{}, 0
	send := func(at time.Time, q pickRequest, priority int, first func(at time.Time, q queue)) {
		res, ok := p.pick(at, st, q)
		if !ok {
			return // a rejected request isn't in time
		}
		order++
		heap.Push(&models[res.ID].queue, job{priority: priority, order: order, prefix: q.prefix, work: q.work, onPrefilled: func(at time.Time) {
			res.started()
			res.release(at, outcomeOK)
			first(at, res.queue)
		}})
	}
	finish := func(started, at time.Time) {
		if at.Sub(started) <= target {
			result.inTime++
		}
	}
	submit := func(started time.Time) {
		result.total++
		subject := rng.Uint64N(subjects)
		small := pickRequest{
			service: "drafts", prefix: 2*subject + 1000, salt: rng.Uint64(), work: promptWork{own: 3700 * smallPart, shared: 13_300 * smallPart},
		}
		large := small
		large.prefix, large.isEscalated, large.work = small.prefix+1, true, promptWork{own: 3700, shared: 13_300}
		isUnsure := rng.IntN(2) == 0
		send(started, small, 0, func(at time.Time, _ queue) {
			if !isUnsure {
				finish(started, at)
				return
			}
			result.unsure++
			q, ok := p.peek(at, st, large)
			if !ok || !l.fitsQueue(rate.predict(at, "drafts", q.ahead), target-at.Sub(started)) {
				finish(started, at)
				return
			}
			result.escalated++
			send(at, large, escalatedPriority, func(first time.Time, q queue) {
				rate.observe(first, "drafts", q, first.Sub(at))
				finish(started, first)
			})
		})
	}
	for d := time.Duration(0); d < duration+2*target; d += step {
		at := now.Add(d)
		if d < duration && rng.Float64() < l.perSecond*step.Seconds() {
			submit(at)
		}
		for _, u := range st.Upstreams["drafts"] {
			models[u.ID].step(at, prefillPerMs*float64(step.Milliseconds()))
		}
	}
	return result
}

// Guards against congestion collapse, in which low-confidence responses escalate
// to an overloaded model until all are late, and against missing escalations
// while there is capacity. The load is less than half, nine tenths and twice the
// prefill capacity.
func TestCascadeUnderLoad(t *testing.T) {
	cases := map[string]struct {
		perSecond        float64
		inTime, escalate float64 // minimum shares of the requests and of the low-confidence responses
	}{
		"calm":       {10, 0.98, 0.98},
		"busy":       {40, 0.9, 0.6},
		"overloaded": {90, 0.9, 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := cascadeLoad{perSecond: c.perSecond, fitsQueue: fitsQueue}.run()
			if part := float64(got.inTime) / float64(got.total); part < c.inTime {
				t.Errorf("%.2f of %d requests in time, want at least %.2f", part, got.total, c.inTime)
			}
			if part := float64(got.escalated) / float64(got.unsure); part < c.escalate {
				t.Errorf("%.2f of %d low-confidence responses escalated, want at least %.2f", part, got.unsure, c.escalate)
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
	abandoned := 0
	for range 100 {
		g.refill()
		if g.take(0) {
			abandoned++
		}
	}
	if abandoned > 7 {
		t.Errorf("%d of 100 attempts may be abandoned, want 7 at most", abandoned)
	}
}

// Guards against first steps that leave their affinity upstream because of
// pending escalations, which they overtake, and against escalations that don't
// count these.
func TestPendingEscalations(t *testing.T) {
	st := testState(4, 1)
	prompt := pickRequest{service: "drafts", prefix: 77, work: promptWork{own: 500, shared: 1000}}
	affinity, ok := newPicker("vm0", nil).pick(now, st, prompt)
	if !ok {
		t.Fatal("no upstream")
	}
	cases := map[string]struct {
		pending     jdaw.UpstreamLoad
		isEscalated bool
		hasAffinity bool
	}{
		"first step, pending first steps": {jdaw.UpstreamLoad{Tokens: 15_000}, false, false},
		"first step, pending escalations": {jdaw.UpstreamLoad{Tokens: 15_000, Later: 15_000}, false, true},
		"escalation, pending escalations": {jdaw.UpstreamLoad{Tokens: 15_000, Later: 15_000}, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPicker("vm0", backlogs{others: jdaw.Backlog{affinity.ID.Key(): c.pending}})
			q := prompt
			q.isEscalated = c.isEscalated
			if got, _ := p.pick(now, st, q); (got.ID == affinity.ID) != c.hasAffinity {
				t.Errorf("picked %s, want affinity upstream %s", got.ID, affinity.ID)
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
		"escalation, short": {1, 3000, escalatedPriority + 2},
		"escalation, long":  {1, 30_000, escalatedPriority},
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
