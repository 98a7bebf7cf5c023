package relay

import (
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
)

// Guards against a hedge that goes to an upstream without room, and against one that
// is sent although most slots are in use.
func TestHedgeRoom(t *testing.T) {
	cases := map[string]struct {
		change    func(st *fleet.State, p *picker, s *upstreamState) // of u0
		unfit     bool
		occupancy float64
	}{
		"idle":        {func(*fleet.State, *picker, *upstreamState) {}, false, 0},
		"half in use": {func(_ *fleet.State, _ *picker, s *upstreamState) { s.inUse = 4 }, false, 0.25},
		"full":        {func(_ *fleet.State, _ *picker, s *upstreamState) { s.inUse = 8 }, true, 0.5},
		"over-full":   {func(_ *fleet.State, _ *picker, s *upstreamState) { s.inUse = 20 }, true, 0.5},
		"cold":        {func(_ *fleet.State, _ *picker, s *upstreamState) { s.coldUntil = now.Add(time.Second) }, true, 0},
		"ejected":     {func(_ *fleet.State, _ *picker, s *upstreamState) { s.ejectedUntil = now.Add(time.Second) }, true, 0.5},
		"paused": {func(_ *fleet.State, _ *picker, s *upstreamState) {
			s.notices, _ = s.notices.with(now, jdaw.Answer{Pause: time.Second})
		}, true, 0.5},
		"refused lately": {func(st *fleet.State, p *picker, _ *upstreamState) {
			res := reservation{Upstream: st.Upstreams["drafts"][0], p: p}
			p.mu.Unlock()
			defer p.mu.Lock()
			res.release(now, outcomeShed)
		}, true, 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := testState(2, 1)
			p := newPicker("vm0", nil)
			p.mu.Lock()
			c.change(st, p, p.stateOf(&st.Upstreams["drafts"][0]))
			p.mu.Unlock()
			unfit, occupancy := p.hedgeRoom(now, st, drafts)
			if slices.Contains(unfit, "u0") != c.unfit || slices.Contains(unfit, "u1") || occupancy != c.occupancy {
				t.Errorf("unfit %v, occupancy %.2f; want u0 %t, %.2f", unfit, occupancy, c.unfit, c.occupancy)
			}
		})
	}
	if _, occupancy := newPicker("vm0", nil).hedgeRoom(now, testState(0, 1), drafts); occupancy != 1 {
		t.Errorf("occupancy %.2f without upstreams, want 1", occupancy)
	}
}
