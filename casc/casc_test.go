package casc_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/loop"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

var models = []string{"small", "medium", "large"}

// history is a number of equal outcomes of one model.
type history struct {
	model     string
	rated     int // with a rating
	accepted  int // of the rated
	unrated   int
	escalated bool
	duration  time.Duration
	tokens    int
}

func learn(m *casc.Machine, hs ...history) *casc.Snapshot {
	for _, h := range hs {
		for i := range h.rated + h.unrated {
			m.Handle(start, casc.Outcome{StepOutcome: jdaw.StepOutcome{
				Workspace: "heats", Task: "briefing", Model: h.model, Rated: i < h.rated,
				Accepted: i < h.accepted, Escalated: h.escalated, Duration: h.duration, Tokens: h.tokens,
			}})
		}
	}
	for _, a := range m.Handle(start.Add(time.Minute), jdaw.Tick{}) {
		return a.(casc.Publish).Snapshot
	}
	return nil
}

func planner(s *casc.Snapshot, oneIn int) *casc.Planner {
	p := casc.NewPlanner(casc.PlannerConfig{ExploreOneIn: oneIn})
	p.Use(s)
	return p
}

func request(left time.Duration) jdaw.PlanRequest {
	return jdaw.PlanRequest{
		Workspace: "heats", Task: "briefing", Models: models,
		Costs: []float64{0.1, 0.6, 3}, Target: 0.8, Remaining: left,
	}
}

// three returns histories in which the models accept the given numbers of 100.
func three(small, medium, large int) []history {
	return []history{
		{model: "small", rated: 100, accepted: small, duration: time.Second, tokens: 400},
		{model: "medium", rated: 100, accepted: medium, duration: 2 * time.Second, tokens: 400},
		{model: "large", rated: 100, accepted: large, duration: 4 * time.Second, tokens: 400},
	}
}

func TestStart(t *testing.T) {
	down := history{model: "small", unrated: 40, duration: time.Second}
	tests := map[string]struct {
		guards string
		hs     []history
		left   time.Duration
		want   int
	}{
		"cheap model mostly accepted":       {"paying for a costly model when a cheap one is enough", three(90, 95, 99), time.Minute, 0},
		"cheap model never accepted":        {"paying for attempts that are always rejected", three(0, 95, 99), time.Minute, 1},
		"only the costliest is accepted":    {"paying for attempts that are always rejected", three(0, 0, 99), time.Minute, 2},
		"no time to escalate":               {"a poor answer because the plan counted on an escalation that cannot happen", three(50, 60, 99), 4300 * time.Millisecond, 2},
		"no time for the costliest":         {"a missed deadline for the sake of quality", three(30, 60, 99), 2500 * time.Millisecond, 1},
		"no step fits":                      {"a request without any answer, or with the slowest model", three(90, 95, 99), 300 * time.Millisecond, 0},
		"rating service down, cheap enough": {"paying for the costliest model in every outage of the rating service", append(three(99, 99, 99), down), time.Minute, 0},
		"rating service down, cheap poor":   {"relying on escalation without ratings", append(three(50, 95, 99), down), time.Minute, 1},
		"nothing learned":                   {"starting at the costliest model for lack of data", []history{{model: "other", rated: 1}}, time.Minute, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := learn(casc.NewMachine(casc.MachineConfig{}), tt.hs...)
			if got := planner(s, -1).Start(request(tt.left)); got != tt.want {
				t.Errorf("starts at %d, want %d (guards against %s)", got, tt.want, tt.guards)
			}
		})
	}
}

func TestNext(t *testing.T) {
	tests := map[string]struct {
		guards string
		step   int
		rated  bool
		rating float64
		left   time.Duration
		want   int
		more   bool
	}{
		"target reached":        {"paying for a second answer that nobody needs", 0, true, 0.8, time.Minute, 0, false},
		"target missed":         {"delivering an answer below the target", 0, true, 0.7, time.Minute, 1, true},
		"no rating":             {"escalating every answer in an outage of the rating service", 0, false, 0, time.Minute, 0, false},
		"time for medium only":  {"starting a step that ends after the deadline", 0, true, 0.1, 2500 * time.Millisecond, 1, true},
		"no time for any":       {"starting a step that ends after the deadline", 0, true, 0.1, time.Second, 0, false},
		"last step":             {"an index past the end of the cascade", 2, true, 0.1, time.Minute, 0, false},
		"step past the cascade": {"a crash when the cascade was shortened meanwhile", 9, true, 0.1, time.Minute, 0, false},
	}
	s := learn(casc.NewMachine(casc.MachineConfig{}), append(three(50, 90, 99),
		history{model: "medium", rated: 100, accepted: 85, escalated: true})...)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, more := planner(s, -1).Next(request(tt.left), tt.step, tt.rated, tt.rating)
			if got != tt.want || more != tt.more {
				t.Errorf("goes on at %d, %v, want %d, %v (guards against %s)", got, more, tt.want, tt.more, tt.guards)
			}
		})
	}
}

// Steps without a rating must not change the acceptance, or an outage of the
// rating service would appear as a loss of quality.
func TestUnratedStepsLeaveAcceptanceUnchanged(t *testing.T) {
	m := casc.NewMachine(casc.MachineConfig{})
	key := casc.Key{Workspace: "heats", Task: "briefing", Model: "small"}
	before := learn(m, three(80, 90, 99)...).Estimate(key)
	m.Handle(start, casc.Outcome{StepOutcome: jdaw.StepOutcome{Workspace: "heats", Task: "briefing", Model: "small"}})
	for _, a := range m.Handle(start.Add(time.Hour), jdaw.Tick{}) {
		after := a.(casc.Publish).Snapshot.Estimate(key)
		if before.Accept != after.Accept || before.AcceptEscalated != after.AcceptEscalated {
			t.Errorf("acceptance changed from %v to %v", before, after)
		}
	}
}

// A workspace without observations must use those of other workspaces, or each
// new one bears the cost of learning again.
func TestEstimateFallsBack(t *testing.T) {
	s := learn(casc.NewMachine(casc.MachineConfig{}), three(5, 90, 99)...)
	tests := map[string]struct {
		key      casc.Key
		low, top float64
	}{
		"own data":        {casc.Key{Workspace: "heats", Task: "briefing", Model: "small"}, 0, 0.1},
		"other workspace": {casc.Key{Workspace: "new", Task: "briefing", Model: "small"}, 0, 0.15},
		"other task":      {casc.Key{Workspace: "new", Task: "new", Model: "small"}, 0, 0.2},
		"unknown model":   {casc.Key{Workspace: "heats", Task: "briefing", Model: "new"}, 0.7, 0.7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := s.Estimate(tt.key).Accept; got < tt.low || got > tt.top {
				t.Errorf("acceptance %.3f, want %.2f to %.2f", got, tt.low, tt.top)
			}
		})
	}
}

// Callers choose task names, so the number of keys must be bounded.
func TestKeysAreBounded(t *testing.T) {
	m := casc.NewMachine(casc.MachineConfig{MaxKeys: 50})
	for i := range 1000 {
		m.Handle(start, casc.Outcome{StepOutcome: jdaw.StepOutcome{Workspace: "w", Task: fmt.Sprint("task", i), Model: "small"}})
	}
	s := learn(m)
	if s.Len() != 50 {
		t.Errorf("%d keys, want 50", s.Len())
	}
	if w := s.Estimate(casc.Key{Model: "small"}); w.Tokens == 0 {
		t.Errorf("the key of the whole model was dropped although it was used last")
	}
}

// Exploration must detect an improved model; otherwise its old estimate never
// changes, because no request starts there.
func TestExplorationFindsAnImprovedModel(t *testing.T) {
	m := casc.NewMachine(casc.MachineConfig{})
	p := planner(learn(m, three(0, 95, 99)...), 50)
	at := start.Add(time.Hour)
	found := 0
	for n := range 10000 {
		i := p.Start(request(time.Minute))
		if i == 0 && n >= 9000 {
			found++
		}
		m.Handle(at, casc.Outcome{StepOutcome: jdaw.StepOutcome{
			Workspace: "heats", Task: "briefing", Model: models[i], Rated: true, Accepted: true, Duration: time.Second, Tokens: 400,
		}})
		at = at.Add(time.Second)
		for _, a := range m.Handle(at, jdaw.Tick{}) {
			p.Use(a.(casc.Publish).Snapshot)
		}
	}
	if found < 900 {
		t.Errorf("the improved model got %d of the last 1000 requests, want at least 900", found)
	}
}

// Two planners that see the same events must take the same decisions, or a
// recorded trace cannot be replayed.
func TestSameEventsSameSnapshot(t *testing.T) {
	a := learn(casc.NewMachine(casc.MachineConfig{}), three(80, 90, 99)...)
	b := learn(casc.NewMachine(casc.MachineConfig{}), three(80, 90, 99)...)
	if a.Digest() != b.Digest() {
		t.Errorf("digests %x and %x differ", a.Digest(), b.Digest())
	}
}

// Outcomes must survive JSON encoding, or traces lose observations.
func TestOutcomeEncodesToJSON(t *testing.T) {
	want := casc.Outcome{StepOutcome: jdaw.StepOutcome{
		Workspace: "heats", Task: "briefing", Model: "small", Rated: true, Rating: 0.9,
		Accepted: true, Escalated: true, Duration: time.Second, Tokens: 7,
	}}
	b, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got casc.Outcome
	if err := json.Unmarshal(b, &got); err != nil || got != want {
		t.Errorf("read back %+v, %v, want %+v", got, err, want)
	}
}

// Requests read the snapshot while the loop replaces it; run with -race. What
// Learn posts must reach Start, or the node never learns.
func TestNodeLearnsWhileRequestsRun(t *testing.T) {
	var node *casc.Node
	var l *loop.Loop
	node = casc.New(casc.Config{
		Post:    func(ev jdaw.Event) { l.Post(ev) },
		Machine: casc.MachineConfig{Publish: time.Millisecond},
		Planner: casc.PlannerConfig{ExploreOneIn: -1},
	})
	l = loop.New(loop.Config{Machines: []jdaw.Machine{node.Machine()}, Execute: node.Execute, Tick: time.Millisecond})
	defer l.Close()
	var wg conc.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				for i, model := range models {
					node.Learn(jdaw.StepOutcome{Workspace: "heats", Task: "briefing", Model: model, Rated: true, Accepted: i > 0, Duration: time.Second, Tokens: 100})
				}
				node.Start(request(time.Minute))
			}
		})
	}
	wg.Wait()
	deadline := time.Now().Add(10 * time.Second)
	for node.Start(request(time.Minute)) != 1 {
		if time.Now().After(deadline) {
			t.Fatal("the node still starts at a model that is never accepted")
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkMemory reports the memory of the learning state and of one snapshot
// per key.
func BenchmarkMemory(b *testing.B) {
	const keys = 2048
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := casc.NewMachine(casc.MachineConfig{MaxKeys: keys})
		for i := range 3 * keys {
			m.Handle(start, casc.Outcome{StepOutcome: jdaw.StepOutcome{Workspace: "w", Task: fmt.Sprint("task", i), Model: "m", Duration: time.Second}})
		}
		s := learn(m)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(s)
		runtime.KeepAlive(m)
	}
}

// Guards against a preview that counts as a start, which explores at times, or that
// differs from a start that doesn't.
func TestPreviewCountsNoStart(t *testing.T) {
	cases := map[string]jdaw.PlanRequest{
		"none":    {},
		"one":     {Models: []string{"small"}, Costs: []float64{1}, Target: 0.7, Remaining: time.Second},
		"two":     {Models: []string{"small", "large"}, Costs: []float64{1, 10}, Target: 0.7, Remaining: time.Second},
		"no time": {Models: []string{"small", "large"}, Costs: []float64{1, 10}, Target: 0.7},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			steady := casc.NewPlanner(casc.PlannerConfig{ExploreOneIn: -1})
			asked, other := casc.NewPlanner(casc.PlannerConfig{ExploreOneIn: 3}), casc.NewPlanner(casc.PlannerConfig{ExploreOneIn: 3})
			for i := range 60 {
				if got, want := asked.Preview(q), steady.Start(q); got != want {
					t.Fatalf("the preview is %d, the start %d", got, want)
				}
				if got, want := asked.Start(q), other.Start(q); got != want {
					t.Fatalf("start %d is %d after previews, %d without", i, got, want)
				}
			}
		})
	}
}
