package entry_test

import (
	"fmt"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/entry"
	"jackdawbarrow/fakes"
)

func startRollout(h *harness, share float64) {
	h.doc.Rollouts = []config.Rollout{{Model: "small", Version: "v2", SharePercent: share, State: config.RolloutRunning}}
	h.adopt()
}

// Guards against a roll-out that makes requests fail: the stable version must
// be offered as the second choice, and a request that the new version failed
// must be retried on the stable version only.
func TestRolloutDoesNotFailRequests(t *testing.T) {
	first := map[jdaw.RequestID][]jdaw.ModelVersion{}
	h := newHarness(t, func(h *harness, _ *entry.Config) {
		h.onAcquire = func(q jdaw.CreditRequest) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if first[q.RequestID] == nil {
				first[q.RequestID] = q.Versions
			}
		}
	})
	startRollout(h, 100)
	for _, e := range h.engines {
		e.SetFault(fakes.EngineFault{FailShare: map[string]float64{"small@v2": 1}})
	}
	for i := range 5 {
		prompt := fmt.Sprint(i)
		got := h.do("POST", "/v1/chat/completions", chatBody("small", prompt, false))
		if got.status != 200 || wholeText(t, got.body) != want("small@v1", prompt) {
			t.Fatalf("status %d: %s", got.status, got.body)
		}
	}
	h.checkBooks()
	for id, versions := range first {
		if len(versions) != 2 || versions[0].Version != "v2" || versions[1].Version != "v1" {
			t.Errorf("request %s offered %v, want v2 and then v1", id, versions)
		}
	}
	if n := len(h.results); n != 10 {
		t.Errorf("%d credits for 5 requests that the new version failed, want 10", n)
	}
}

// Guards against rejecting requests outside the roll-out share of a workspace
// that may use only the new version.
func TestOnlyTheNewVersionIsAllowed(t *testing.T) {
	h := newHarness(t, nil)
	h.doc.Workspaces[0].Allow = []string{"small@v2"}
	startRollout(h, 0)
	got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", false))
	if got.status != 200 || wholeText(t, got.body) != want("small@v2", "x") {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
}

// Guards against estimates learned from the wrong population: the outcome of a
// step after a rejected answer must be marked as escalated, and an answer
// without a rating as not rated, whether the rating service is down or not
// configured.
func TestLearnedOutcomes(t *testing.T) {
	cases := map[string]struct {
		fault   fakes.RatingFault
		noRater bool
		want    []jdaw.StepOutcome // model, Rated, Accepted and Escalated
	}{
		"accepted": {fakes.RatingFault{Quality: map[string]float64{"small": 0.9}}, false, []jdaw.StepOutcome{
			{Model: "small", Rated: true, Accepted: true},
		}},
		"escalated": {fakes.RatingFault{Quality: map[string]float64{"small": 0.5, "large": 0.95}}, false, []jdaw.StepOutcome{
			{Model: "small", Rated: true}, {Model: "large", Rated: true, Accepted: true, Escalated: true},
		}},
		"rating service down": {fakes.RatingFault{Down: true}, false, []jdaw.StepOutcome{{Model: "small"}}},
		"no rating service":   {fakes.RatingFault{}, true, []jdaw.StepOutcome{{Model: "small"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(_ *harness, cfg *entry.Config) {
				if c.noRater {
					cfg.Rater = nil
				}
			})
			h.rating.SetFault(c.fault)
			if got := h.do("POST", "/v1/chat/completions", chatBody("cascade", "x", false)); got.status != 200 {
				t.Fatalf("status %d: %s", got.status, got.body)
			}
			h.checkBooks()
			h.await(func() bool { return len(h.learned) == len(c.want) })
			for i, o := range h.learned {
				got := jdaw.StepOutcome{Model: o.Model, Rated: o.Rated, Accepted: o.Accepted, Escalated: o.Escalated}
				if got != c.want[i] {
					t.Errorf("step %d learned as %+v, want %+v", i, got, c.want[i])
				}
				if r := h.results[i]; r.Rated != o.Rated || r.Rating != o.Rating {
					t.Errorf("step %d released with rated %t, %g, learned %t, %g", i, r.Rated, r.Rating, o.Rated, o.Rating)
				}
			}
		})
	}
}
