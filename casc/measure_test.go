package casc_test

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/replay"
)

var update = flag.Bool("update", false, "write the trace in replay/testdata")

// The generator draws requests of five tasks. A request has a difficulty; the
// rating of an answer falls by the amount by which the difficulty exceeds the
// skill of the model, so rejections of one request are correlated. Durations
// follow the number of tokens, with a log-normal spread.
type task struct {
	name       string
	share      float64
	difficulty float64 // mean; the standard deviation is 0.2
	tokens     float64
	wait       time.Duration
}

type engine struct {
	name       string
	skill      float64
	cost       float64
	firstToken time.Duration
	perToken   time.Duration
}

var (
	tasks = []task{
		{"question", 0.35, 0.30, 80, 6 * time.Second},
		{"blurb", 0.20, 0.40, 120, 8 * time.Second},
		{"briefing", 0.15, 0.50, 300, 20 * time.Second},
		{"summary", 0.15, 0.75, 500, 25 * time.Second},
		{"catalogue", 0.15, 0.50, 800, 60 * time.Second},
	}
	engines = []engine{
		{"small", 0.35, 0.15, 150 * time.Millisecond, 4 * time.Millisecond},
		{"medium", 0.55, 0.60, 300 * time.Millisecond, 10 * time.Millisecond},
		{"large", 0.80, 3.00, 600 * time.Millisecond, 20 * time.Millisecond},
	}
)

const (
	measureTarget    = 0.80
	measureRequests  = 10000
	measureWorkspace = 10
	requestGap       = 50 * time.Millisecond
)

// scenario sets the behaviour of the rating service and the callers' deadlines.
type scenario struct {
	name      string
	missing   float64 // share of ratings that never come or come after the answer
	down      bool    // no ratings for the middle half of the run
	waitTimes time.Duration
}

// result holds means per request; worst is the lowest accepted share of a task.
type result struct {
	cost, rating, accepted, worst, misses float64
}

// drawn is one request; the same draw is given to each planner.
type drawn struct {
	task       task
	difficulty float64
	tokens     [3]int
	duration   [3]time.Duration
	rating     [3]float64
	missing    [3]bool
	workspace  jdaw.WorkspaceID
}

func draw(r *rand.Rand, missing float64) drawn {
	d := drawn{task: tasks[len(tasks)-1], workspace: jdaw.WorkspaceID(fmt.Sprint("w", r.IntN(measureWorkspace)))}
	pick := r.Float64()
	for _, tk := range tasks {
		if pick -= tk.share; pick < 0 {
			d.task = tk
			break
		}
	}
	d.difficulty = d.task.difficulty + 0.2*r.NormFloat64()
	for i, e := range engines {
		d.tokens[i] = max(1, int(d.task.tokens*math.Exp(0.3*r.NormFloat64())))
		mean := float64(e.firstToken) + float64(e.perToken)*float64(d.tokens[i])
		d.duration[i] = time.Duration(mean * math.Exp(0.15*r.NormFloat64()))
		rating := 0.95 - max(0, d.difficulty-e.skill) + 0.05*r.NormFloat64()
		d.rating[i] = min(max(rating, 0), 1)
		d.missing[i] = r.Float64() < missing
	}
	return d
}

// play runs one request through the planner and learns its steps.
func play(p jdaw.Planner, d drawn, down bool, learn func(jdaw.StepOutcome)) result {
	q := jdaw.PlanRequest{
		Workspace: d.workspace, Task: d.task.name, Models: models,
		Costs: []float64{engines[0].cost, engines[1].cost, engines[2].cost}, Target: measureTarget, Remaining: d.task.wait,
	}
	res := result{}
	best := 0.0
	escalated := false
	for i, more := p.Start(q), true; more; {
		q.Remaining -= d.duration[i]
		rated := !down && !d.missing[i]
		res.cost += engines[i].cost * float64(d.tokens[i]) / 1000
		// The caller gets the best rated answer, or the last if it is unrated.
		if best = max(best, d.rating[i]); !rated {
			best = d.rating[i]
		}
		learn(jdaw.StepOutcome{
			Workspace: d.workspace, Task: d.task.name, Model: models[i], Rated: rated, Rating: d.rating[i],
			Accepted: rated && d.rating[i] >= measureTarget, Escalated: escalated, Duration: d.duration[i], Tokens: d.tokens[i],
		})
		escalated = true
		i, more = p.Next(q, i, rated, d.rating[i])
	}
	res.rating = best
	if best >= measureTarget {
		res.accepted = 1
	}
	if q.Remaining < 0 {
		res.misses = 1
	}
	return res
}

// run plays all requests of one seed. Every planner learns with its own machine.
func run(seed uint64, sc scenario, build func(*casc.Planner) jdaw.Planner) result {
	r := rand.New(rand.NewPCG(seed, 1))
	m := casc.NewMachine(casc.MachineConfig{})
	learning := casc.NewPlanner(casc.PlannerConfig{})
	p := build(learning)
	sum := result{worst: 1}
	requests, accepted := map[string]float64{}, map[string]float64{}
	at := start
	for n := range measureRequests {
		at = at.Add(requestGap)
		down := sc.down && n > measureRequests/4 && n < measureRequests*3/4
		d := draw(r, sc.missing)
		d.task.wait *= sc.waitTimes
		res := play(p, d, down, func(o jdaw.StepOutcome) { m.Handle(at, casc.Outcome{StepOutcome: o}) })
		for _, a := range m.Handle(at, jdaw.Tick{}) {
			learning.Use(a.(casc.Publish).Snapshot)
		}
		requests[d.task.name]++
		accepted[d.task.name] += res.accepted
		sum.cost += res.cost
		sum.rating += res.rating / measureRequests
		sum.accepted += res.accepted / measureRequests
		sum.misses += res.misses / measureRequests
	}
	for name, n := range requests {
		sum.worst = min(sum.worst, accepted[name]/n)
	}
	return sum
}

// TestMeasureCost guards against a planner that costs more than 70 % of always
// using the costliest model, or more than the cheapest first where that
// baseline reaches the same quality and misses no more deadlines.
func TestMeasureCost(t *testing.T) {
	const seeds = 5
	planners := []struct {
		name  string
		build func(*casc.Planner) jdaw.Planner
	}{
		{"costliest", func(*casc.Planner) jdaw.Planner { return casc.Costliest{} }},
		{"cheapFirst", func(*casc.Planner) jdaw.Planner { return casc.CheapFirst{} }},
		{"cheapFirstP95", func(p *casc.Planner) jdaw.Planner { return casc.CheapFirst{Estimates: p} }},
		{"planner", func(p *casc.Planner) jdaw.Planner { return p }},
	}
	scenarios := []scenario{
		{"all rated", 0, false, 1},
		{"all rated, four times the wait", 0, false, 4},
		{"30 % missing or late", 0.3, false, 1},
		{"30 % missing or late, four times the wait", 0.3, false, 4},
		{"rating service down for half the run", 0, true, 1},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			mean := map[string]result{}
			var base [seeds]float64
			t.Logf("%-14s %7s %15s %7s %9s %11s %7s", "planner", "cost", "of costliest", "rating", "accepted", "worst task", "misses")
			for _, pl := range planners {
				low, top := math.Inf(1), 0.0
				s := result{}
				for seed := range base {
					res := run(uint64(seed), sc, pl.build)
					if pl.name == "costliest" {
						base[seed] = res.cost
					}
					low, top = min(low, res.cost/base[seed]), max(top, res.cost/base[seed])
					s.cost += res.cost / seeds
					s.rating += res.rating / seeds
					s.accepted += res.accepted / seeds
					s.worst += res.worst / seeds
					s.misses += res.misses / seeds
				}
				mean[pl.name] = s
				t.Logf("%-14s %7.0f  %.3f to %.3f %7.3f %9.3f %11.3f %7.4f", pl.name, s.cost, low, top, s.rating, s.accepted, s.worst, s.misses)
			}
			checkCost(t, mean)
		})
	}
}

func checkCost(t *testing.T, mean map[string]result) {
	t.Helper()
	got := mean["planner"]
	if got.cost > 0.7*mean["costliest"].cost {
		t.Errorf("cost %.3f of always costliest, want at most 0.700", got.cost/mean["costliest"].cost)
	}
	if got.rating < measureTarget || got.accepted < measureTarget {
		t.Errorf("mean rating %.3f, accepted %.3f, want both at least %.2f", got.rating, got.accepted, measureTarget)
	}
	for _, name := range []string{"cheapFirst", "cheapFirstP95"} {
		cheap := mean[name]
		if cheap.worst < got.worst-0.01 || cheap.misses > got.misses+0.001 {
			t.Logf("cost against %s: %.3f, not at equal quality and deadline misses", name, got.cost/cheap.cost)
			continue
		}
		t.Logf("cost against %s: %.3f", name, got.cost/cheap.cost)
		if got.cost >= cheap.cost {
			t.Errorf("cost %.0f is not below %s with %.0f", got.cost, name, cheap.cost)
		}
	}
}

// TestTrace guards against a trace in replay/testdata that differs from the events
// of this simulation: 120 requests, with the rating service down for the middle
// half. Run with -update to write it.
func TestTrace(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("math.Exp rounds differently on other architectures")
	}
	const requests = 120
	const path = "../replay/testdata/casc-rating-outage.jsonl"
	r := rand.New(rand.NewPCG(1, 1))
	m := casc.NewMachine(casc.MachineConfig{})
	p := casc.NewPlanner(casc.PlannerConfig{})
	var got bytes.Buffer
	rec := replay.NewRecorder(&got, replay.Standard())
	at := start
	handle := func(ev jdaw.Event) []jdaw.Action {
		rec.Record(at, ev)
		return m.Handle(at, ev)
	}
	for n := range requests {
		at = at.Add(requestGap)
		down := n > requests/4 && n < requests*3/4
		play(p, draw(r, 0), down, func(o jdaw.StepOutcome) { handle(casc.Outcome{StepOutcome: o}) })
		for _, a := range handle(jdaw.Tick{Gap: requestGap}) {
			p.Use(a.(casc.Publish).Snapshot)
		}
	}
	if err := rec.Flush(); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got.Bytes()) {
		t.Errorf("%s differs from the simulation; run with -update", path)
	}
}

// BenchmarkStart measures one decision with a full table of keys.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{3, 6, 8} {
		b.Run(fmt.Sprint("models=", n), func(b *testing.B) {
			m := casc.NewMachine(casc.MachineConfig{})
			q := jdaw.PlanRequest{Workspace: "w1", Task: "t1", Target: 0.8, Remaining: time.Minute}
			for i := range n {
				q.Models = append(q.Models, fmt.Sprint("model", i))
				q.Costs = append(q.Costs, math.Pow(2, float64(i)))
			}
			for i := range 6000 {
				m.Handle(start, casc.Outcome{StepOutcome: jdaw.StepOutcome{
					Workspace: jdaw.WorkspaceID(fmt.Sprint("w", i%10)), Task: fmt.Sprint("t", i%50),
					Model: q.Models[i%n], Rated: true, Accepted: i%2 == 0, Duration: time.Second, Tokens: 100,
				}})
			}
			p := planner(learn(m), 0)
			b.ReportAllocs()
			for b.Loop() {
				p.Start(q)
			}
		})
	}
}

// BenchmarkLearn measures one event together with its share of the snapshots.
func BenchmarkLearn(b *testing.B) {
	m := casc.NewMachine(casc.MachineConfig{})
	at := start
	n := 0
	for b.Loop() {
		n++
		at = at.Add(10 * time.Millisecond)
		m.Handle(at, casc.Outcome{StepOutcome: jdaw.StepOutcome{
			Workspace: jdaw.WorkspaceID(fmt.Sprint("w", n%10)), Task: fmt.Sprint("t", n%70), Model: models[n%3],
			Rated: true, Accepted: true, Duration: time.Second, Tokens: 100,
		}})
		m.Handle(at, jdaw.Tick{})
	}
}
