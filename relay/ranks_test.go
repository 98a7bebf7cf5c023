package relay

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Guards against urgent escalations that wait behind long prompts of other routes
// when the larger model is short.
func TestPriorityOfEscalations(t *testing.T) {
	const long, short = 20000, 100
	tests := map[string]struct {
		ranked      bool
		rank        int
		isEscalated bool
		tokens      float64
		want        int
	}{
		"first step":                   {true, 2, false, long, 2},
		"most urgent, short":           {true, 0, true, short, 5},
		"most urgent, long":            {true, 0, true, long, 5},
		"next rank, long":              {true, 1, true, long, 7},
		"next rank, short":             {true, 1, true, short, 8},
		"last rank within the range":   {true, 4, true, short, 9},
		"long before all, if unranked": {false, 2, true, long, 5},
		"short, if unranked":           {false, 2, true, short, 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at := time.Now()
			x := New(Config{RankEscalations: tt.ranked})
			for range minPrefillSamples {
				x.prefillRates.observe(at, "engine", queue{own: 1000}, 100*time.Millisecond)
			}
			c := &call{x: x, service: "engine", priority: -1, route: config.Route{Rank: tt.rank, Target: 2 * time.Second}}
			if tt.isEscalated {
				c.streaming = &streaming{c: c, cascade: &cascade{step: 1}}
			}
			if got := c.upstreamPriority(at, queue{own: tt.tokens}); got != tt.want {
				t.Errorf("priority = %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against urgent escalations that are left out because of a queue that
// they do not wait in.
func TestWorkAheadOfUrgentEscalations(t *testing.T) {
	s := &upstreamState{pendingTokens: 1000, escalatedTokens: 800, lessUrgentTokens: 600}
	others := jdaw.UpstreamLoad{Tokens: 2000, Later: 1600, LessUrgent: 1400}
	tests := map[string]struct {
		q    pickRequest
		want float64
	}{
		"first step":        {pickRequest{}, 3000 - 0.8*2400},
		"escalation":        {pickRequest{isEscalated: true}, 3000},
		"urgent escalation": {pickRequest{isEscalated: true, isUrgent: true}, 3000 - 0.8*2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := s.ahead(others, &tt.q); got < tt.want-1 || got > tt.want+1 {
				t.Errorf("ahead = %.0f, want %.0f", got, tt.want)
			}
		})
	}
}
