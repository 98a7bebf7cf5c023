package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func learned(d time.Duration) Latency {
	var l Latency
	for range minLatencySamples {
		l = l.With(d)
	}
	return l
}

// Guards against a hedge that takes room from other requests, hides a slow version,
// or can't end in time.
func TestDecideHedge(t *testing.T) {
	latency := learned(100 * time.Millisecond)
	late := Hedge{Elapsed: 200 * time.Millisecond, Latency: latency, IsStated: true}
	with := func(change func(*Hedge)) Hedge {
		h := late
		change(&h)
		return h
	}
	sound := Request{IsRepeatable: true, Remaining: time.Second, Attempts: 1, MaxAttempts: 2, Dispatches: 1, MayHaveRun: true}
	once, last, ending, gone := sound, sound, sound, sound
	once.IsRepeatable = false
	last.Attempts = 2
	ending.Remaining = 50 * time.Millisecond
	gone.IsCallerGone = true
	cases := map[string]struct {
		q      Request
		h      Hedge
		budget bool
		want   Verdict
	}{
		"late":                {sound, late, true, Allowed},
		"in time":             {sound, with(func(h *Hedge) { h.Elapsed = 50 * time.Millisecond }), true, NotLate},
		"no budget":           {sound, late, false, NoBudget},
		"second hedge":        {sound, with(func(h *Hedge) { h.IsHedged = true }), true, AlreadyHedged},
		"no slowdown stated":  {sound, with(func(h *Hedge) { h.IsStated = false }), true, NotStated},
		"in a roll-out":       {sound, with(func(h *Hedge) { h.IsInRollout = true }), true, InRollout},
		"few answers known":   {sound, with(func(h *Hedge) { h.Latency = Latency{}.With(time.Millisecond) }), true, NotLearned},
		"most slots busy":     {sound, with(func(h *Hedge) { h.Occupancy = 0.8 }), true, UnderPressure},
		"some slots busy":     {sound, with(func(h *Hedge) { h.Occupancy = 0.5 }), true, Allowed},
		"may run once":        {once, late, true, RunsOnce},
		"last attempt":        {last, late, true, NoAttemptLeft},
		"ends after deadline": {ending, late, true, PastDeadline},
		"caller gone":         {gone, late, true, CallerGone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			isTaken := false
			got := DecideHedge(c.q, c.h, func() bool {
				isTaken = true
				return c.budget
			})
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if isTaken && got != Allowed && got != NoBudget {
				t.Errorf("%s took from the budget", got)
			}
		})
	}
}

// end says how an attempt of the property test ends.
type end string

const (
	endAnswer  end = "answer"
	endFailure end = "failure"
	endRefusal end = "refusal"
	endCrash   end = "crash"
)

var ends = []end{endAnswer, endFailure, endRefusal, endCrash}

// run is one attempt of the property test.
type run struct {
	sent, ends time.Duration
	end        end
}

// Guards against any sequence of requests whose hedges exceed the operator's share,
// the retry budget or the attempts, run a request twice that may run once, or are
// sent after the deadline or the caller's end: both answers late, both failing, a
// crash between the two, a budget that runs out.
func TestHedgesOverSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := learned(time.Duration(rapid.IntRange(1, 200).Draw(t, "usual")) * time.Millisecond)
		share := rapid.Float64Range(0, 0.25).Draw(t, "share")
		budget := rapid.IntRange(0, 6).Draw(t, "budget")
		allowance, hedges := 0.0, 0
		takeRetry := func() bool {
			if budget == 0 {
				return false
			}
			budget--
			return true
		}
		takeHedge := func() bool {
			if allowance < 1 || !takeRetry() {
				return false
			}
			allowance--
			return true
		}
		requests := rapid.IntRange(1, 40).Draw(t, "requests")
		for n := 1; n <= requests; n++ {
			allowance += share
			p := &played{t: t, latency: latency, takeRetry: takeRetry, takeHedge: takeHedge}
			p.play()
			hedges += p.hedges
			if p.hedges > 1 {
				t.Fatalf("%d hedges of one request", p.hedges)
			}
			if float64(hedges) > share*float64(n)+1e-9 {
				t.Fatalf("%d hedges of %d requests exceed the share %.3f", hedges, n, share)
			}
		}
	})
}

// played is one request of the property test.
type played struct {
	t                    *rapid.T
	latency              Latency
	takeRetry, takeHedge func() bool

	isRepeatable   bool
	maxAttempts    int
	deadline, left time.Duration
	mayHaveRun     bool
	attempts, runs int
	hedges         int
}

func (p *played) draw(name string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(p.t, name)) * time.Millisecond
}

// send starts an attempt at a time.
func (p *played) send(at time.Duration) run {
	p.attempts++
	r := run{sent: at, ends: at + p.draw("took", 0, 600), end: rapid.SampledFrom(ends).Draw(p.t, "end")}
	if r.end != endRefusal {
		p.runs++
	}
	switch {
	case at >= p.deadline || at >= p.left:
		p.t.Fatalf("sent at %v, deadline %v, caller left at %v", at, p.deadline, p.left)
	case p.attempts > max(p.maxAttempts, 1):
		p.t.Fatalf("%d attempts of %d", p.attempts, p.maxAttempts)
	case p.runs > 1 && !p.isRepeatable:
		p.t.Fatal("a request that may run once ran again")
	}
	return r
}

func (p *played) request(at time.Duration, mayHaveRun bool) Request {
	return Request{
		IsRepeatable: p.isRepeatable, MayHaveRun: mayHaveRun, IsCallerGone: at >= p.left, Remaining: p.deadline - at,
		Attempts: p.attempts, MaxAttempts: p.maxAttempts, Dispatches: p.attempts,
	}
}

func (p *played) play() {
	p.isRepeatable = rapid.Bool().Draw(p.t, "isRepeatable")
	p.maxAttempts = rapid.IntRange(0, 4).Draw(p.t, "maxAttempts")
	p.deadline, p.left = p.draw("deadline", 1, 1500), p.draw("left", 1, 2000)
	for at := time.Duration(0); ; {
		first := p.send(at)
		running := []run{first}
		// The timer may fire late, also after the deadline.
		if asked := at + p.latency.Delay() + p.draw("timer", 0, 50); asked < first.ends {
			h := Hedge{
				Elapsed: asked - at, Latency: p.latency, IsHedged: p.hedges > 0, IsStated: true,
				Occupancy: rapid.Float64Range(0, 1).Draw(p.t, "occupancy"),
			}
			if DecideHedge(p.request(asked, true), h, p.takeHedge) == Allowed {
				if h.Occupancy > pressureShare {
					p.t.Fatalf("hedged with %.2f of the slots in use", h.Occupancy)
				}
				p.hedges++
				running = append(running, p.send(asked))
			}
		}
		last := running[0]
		isMaybeRun := p.mayHaveRun
		for _, r := range running {
			if r.end == endAnswer {
				return
			}
			if r.ends > last.ends {
				last = r
			}
		}
		for _, r := range running {
			if r != last && r.end != endRefusal {
				isMaybeRun = true
			}
			if r.end != endRefusal {
				p.mayHaveRun = true
			}
		}
		cause := CauseFailed
		if last.end == endRefusal {
			cause = CauseRefused
		}
		at = last.ends
		if Decide(p.request(at, isMaybeRun), cause, p.takeRetry) != Allowed {
			return
		}
	}
}
