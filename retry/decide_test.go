package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against another attempt past any single limit, and against one that is
// forbidden although all limits allow it.
func TestDecide(t *testing.T) {
	sound := Request{IsRepeatable: true, Remaining: time.Second, Attempts: 1, MaxAttempts: 3, Dispatches: 1}
	with := func(change func(*Request)) Request {
		q := sound
		change(&q)
		return q
	}
	once := with(func(q *Request) { q.IsRepeatable = false })
	begun := with(func(q *Request) { q.HasBegun, q.CanContinue = true, true })
	cases := map[string]struct {
		q      Request
		cause  Cause
		budget int
		want   Verdict
		left   int // of the budget
	}{
		"failed":                        {sound, CauseFailed, 1, Allowed, 0},
		"unreachable costs nothing":     {sound, CauseUnreachable, 0, Allowed, 0},
		"budget spent":                  {sound, CauseFailed, 0, NoBudget, 0},
		"refused costs budget":          {sound, CauseRefused, 0, NoBudget, 0},
		"caller gone":                   {with(func(q *Request) { q.IsCallerGone = true }), CauseUnreachable, 1, CallerGone, 1},
		"at the deadline":               {with(func(q *Request) { q.Remaining = 0 }), CauseAbandoned, 1, PastDeadline, 1},
		"all attempts used":             {with(func(q *Request) { q.Attempts = 3 }), CauseAbandoned, 1, NoAttemptLeft, 1},
		"no attempts configured":        {with(func(q *Request) { q.MaxAttempts = 0 }), CauseFailed, 1, NoAttemptLeft, 1},
		"all dispatches used":           {with(func(q *Request) { q.Dispatches = MaxDispatches }), CauseUnreachable, 1, NoAttemptLeft, 1},
		"once, failed":                  {once, CauseFailed, 1, RunsOnce, 1},
		"once, abandoned":               {once, CauseAbandoned, 1, RunsOnce, 1},
		"once, escalated":               {once, CauseEscalated, 1, RunsOnce, 1},
		"once, hedged":                  {once, CauseHedged, 1, RunsOnce, 1},
		"once, refused":                 {once, CauseRefused, 1, Allowed, 0},
		"once, unreachable":             {once, CauseUnreachable, 0, Allowed, 0},
		"once, refused after a run":     {with(func(q *Request) { q.IsRepeatable, q.MayHaveRun = false, true }), CauseRefused, 1, RunsOnce, 1},
		"begun, continued":              {begun, CauseFailed, 1, Allowed, 0},
		"begun, hedged":                 {begun, CauseHedged, 1, NotResumable, 1},
		"begun, events without ids":     {with(func(q *Request) { q.HasBegun = true }), CauseAbandoned, 1, NotResumable, 1},
		"repeatable, after another run": {with(func(q *Request) { q.MayHaveRun = true }), CauseRefused, 1, Allowed, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			budget := c.budget
			got := Decide(c.q, c.cause, func() bool {
				if budget == 0 {
					return false
				}
				budget--
				return true
			})
			if got != c.want || budget != c.left {
				t.Errorf("%s with %d of the budget left, want %s with %d", got, budget, c.want, c.left)
			}
		})
	}
}

var causes = []Cause{CauseFailed, CauseRefused, CauseUnreachable, CauseAbandoned, CauseEscalated, CauseHedged}

// Guards against a sequence of outcomes that runs a request twice which may run
// once, or that exceeds the attempts, the deadline or the budget, or that sends
// after the caller has left.
func TestDecideOverSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		isRepeatable := rapid.Bool().Draw(t, "isRepeatable")
		maxAttempts := rapid.IntRange(0, 4).Draw(t, "maxAttempts")
		deadline := time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * time.Millisecond
		left := time.Duration(rapid.IntRange(1, 1500).Draw(t, "callerLeaves")) * time.Millisecond
		budget := rapid.IntRange(0, 4).Draw(t, "budget")
		now := time.Duration(0)
		mayHaveRun, hasBegun, canContinue := false, false, true
		runs, reached, dispatches, paid := 0, 0, 0, 0
		for {
			// An attempt is sent at now.
			if now >= deadline || now >= left {
				t.Fatalf("sent at %v, deadline %v, the caller left at %v", now, deadline, left)
			}
			dispatches++
			cause := rapid.SampledFrom(causes).Draw(t, "cause")
			if cause != CauseUnreachable {
				reached++
			}
			hadRun := mayHaveRun
			if !cause.isNotRun() {
				runs++
				mayHaveRun = true
			}
			if cause == CauseFailed && rapid.Bool().Draw(t, "hasBegun") {
				hasBegun, canContinue = true, rapid.Bool().Draw(t, "canContinue")
			}
			if hasBegun && !canContinue {
				cause = CauseFailed
			}
			if runs > 1 && !isRepeatable {
				t.Fatalf("%d runs of a request that may run once", runs)
			}
			if reached > max(maxAttempts, 1) || dispatches > MaxDispatches {
				t.Fatalf("%d attempts of %d, %d dispatches", reached, maxAttempts, dispatches)
			}
			if paid > 0 && budget < 0 {
				t.Fatal("the budget is overdrawn")
			}
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
			verdict := Decide(Request{
				IsRepeatable: isRepeatable, MayHaveRun: hadRun, IsCallerGone: now >= left, Remaining: deadline - now,
				Attempts: reached, MaxAttempts: maxAttempts, Dispatches: dispatches, HasBegun: hasBegun, CanContinue: canContinue,
			}, cause, func() bool {
				if budget == 0 {
					return false
				}
				budget--
				paid++
				return true
			})
			if verdict != Allowed {
				return
			}
			if hasBegun && !canContinue {
				t.Fatal("a stream that no upstream can continue was sent again")
			}
		}
	})
}
