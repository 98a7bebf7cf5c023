package fleet

import (
	"testing"
	"time"

	"jackdawbarrow"
)

// Guards against a version that completes by its deadline before it has answered
// anything, against a good one that is held for long after it has, and against
// one that is held for ever.
func TestVersionWithoutAnswersIsNotCompleted(t *testing.T) {
	const duration = 20 * time.Second
	cases := map[string]struct {
		answersAt time.Duration // from when on the guard has enough answers
		want      RolloutState
		until     time.Duration // latest end
	}{
		"in time":         {5 * time.Second, RolloutCompleted, duration},
		"before the end":  {19 * time.Second, RolloutCompleted, duration + time.Second},
		"late":            {30 * time.Second, RolloutCompleted, 31500 * time.Millisecond},
		"never":           {time.Hour, RolloutRolledBack, maxHolds*duration + time.Second},
		"after the limit": {50 * time.Second, RolloutRolledBack, maxHolds*duration + time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := rolloutMachine("a")
			if !m.isEvaluator(m.rollouts[service]) {
				m = rolloutMachine("b")
			}
			r := m.rollouts[service]
			for d := time.Duration(0); d <= 60*time.Second; d += 250 * time.Millisecond {
				at := start.Add(d)
				actions := m.Handle(at, jdaw.Tick{})
				for _, a := range actions {
					if review, ok := a.(ReviewVersion); ok && d < c.answersAt {
						m.Handle(at, VersionHeld{Version: review.Version})
					}
				}
				states := applyWrites(m, at, actions)
				if share := r.SessionShare; d < c.answersAt && share > maxTrialShare {
					t.Fatalf("the version gets %g of the sessions %s after the order, without answers", share, d)
				}
				if d > duration+time.Second && d < c.answersAt && r.State == RolloutRunning && r.SessionShare != maxTrialShare {
					t.Fatalf("a held version gets %g of the sessions past its deadline", r.SessionShare)
				}
				if len(states) == 0 || states[len(states)-1] == RolloutRunning {
					continue
				}
				if got := states[len(states)-1]; got != c.want || d > c.until || got == RolloutCompleted && d < c.answersAt {
					t.Errorf("%s after %s, want %s until %s", got, d, c.want, c.until)
				}
				return
			}
			t.Error("the roll-out doesn't end")
		})
	}
}
