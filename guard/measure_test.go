package guard_test

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/guard"
	"jackdawbarrow/replay"
)

var update = flag.Bool("update", false, "write the traces in replay/testdata")

// The simulation has one pool owner per data centre. Requests for the version
// in roll-out arrive at random pools; an owner grants one if the allowance
// permits, and reports its counts at its interval. The evaluator's suspension
// reaches the owners after a delay. Time advances in fixed steps.
const (
	step           = 5 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	messageDelay   = 5 * time.Millisecond
	spreadDelay    = 100 * time.Millisecond
	owners         = 3
)

// behaviour is that of the version in roll-out.
type behaviour struct {
	name                 string
	failRate             float64
	failAfter            time.Duration
	rating               float64 // mean; 0: not rated
	spread               float64 // ratings are uniform within mean +- spread; 0: all are 0 or 1
	ratedShare           float64
	turnsAt              int // requests before the behaviour starts
	perSecond            float64
	limit                int           // of requests before the suspension
	runFor               time.Duration // without a suspension; 0: longestRun
	evaluatorChangeEvery time.Duration // a new evaluator starts without counts; 0: never
}

const (
	stableRating    = 0.65
	stablePerSecond = 100
	okAfter         = 2 * time.Second
	longestRun      = 10 * time.Minute
)

type poolOwner struct {
	counts    guard.Counts
	confirmed guard.Counts
	stable    guard.Counts
	granted   int
	pending   []finish
}

type finish struct {
	at     time.Duration
	failed bool
	rated  bool
	rating float64
}

// simulate returns the number of requests granted after the behaviour starts
// and before all owners received the suspension, and whether it was requested.
func simulate(seed uint64, b behaviour, record func(time.Time, jdaw.Event)) (int, bool) {
	r := rand.New(rand.NewPCG(seed, 7))
	m := guard.NewMachine(guard.MachineConfig{})
	handle := func(at time.Time, ev jdaw.Event) []jdaw.Action {
		record(at, ev)
		return m.Handle(at, ev)
	}
	handle(start, adopted(document()))
	handle(start, view("vm1"))
	pools := make([]*poolOwner, owners)
	for i := range pools {
		pools[i] = newOwner(i)
	}
	granted := 0
	longest := b.runFor
	if longest == 0 {
		longest = longestRun
	}
	end := longest
	for now := time.Duration(0); now < end; now += step {
		if b.evaluatorChangeEvery > 0 && now%b.evaluatorChangeEvery == 0 {
			m = evaluating()
		}
		if now%time.Second == 0 {
			handle(start.Add(now), jdaw.Tick{Gap: time.Second})
		}
		for i, o := range pools {
			if r.Float64() < b.perSecond/owners*step.Seconds() && o.mayGrant() {
				granted++
				o.grant(now, r, b, granted)
				record(start.Add(now), replay.Request{Name: candidate.String()})
			}
			o.finish(now)
			o.serveStable(r, b)
			offset := time.Duration(i) * reportInterval / owners / step * step
			if (now-offset)%reportInterval != 0 {
				continue
			}
			at := start.Add(now + messageDelay)
			actions := append(handle(at, o.stable), handle(at, o.counts)...)
			o.confirmed = o.counts
			if len(suspensions(actions)) > 0 && end == longest {
				end = now + messageDelay + spreadDelay
			}
		}
	}
	return granted - b.turnsAt, end < longest
}

func newOwner(i int) *poolOwner {
	pool := jdaw.PoolID{Kind: "shuck-lm", DataCentre: []jdaw.DataCentre{"oban", "largs", "stranraer"}[i]}
	inc := jdaw.Incarnation(fmt.Sprint("owner", i))
	return &poolOwner{
		counts: guard.Counts{Version: candidate, Pool: pool, OwnerIncarnation: inc},
		stable: guard.Counts{Version: stable, Pool: pool, OwnerIncarnation: inc},
	}
}

func (o *poolOwner) mayGrant() bool {
	a := guard.Allowance{Pools: owners, OK: o.confirmed.OK, Failed: o.confirmed.Failed}
	return o.granted-int(o.confirmed.OK+o.confirmed.Failed) < a.Limit()
}

func (o *poolOwner) grant(now time.Duration, r *rand.Rand, b behaviour, n int) {
	o.granted++
	f := finish{at: now + time.Duration(float64(okAfter)*math.Exp(0.3*r.NormFloat64())), rating: drawRating(r, stableRating, b)}
	if n > b.turnsAt {
		f.failed = r.Float64() < b.failRate
		f.rating = drawRating(r, b.rating, b)
	}
	if f.failed {
		f.at = now + b.failAfter
	}
	f.rated = !f.failed && b.rating > 0 && r.Float64() < b.ratedShare
	o.pending = append(o.pending, f)
}

func drawRating(r *rand.Rand, mean float64, b behaviour) float64 {
	if b.spread > 0 {
		return mean + b.spread*(2*r.Float64()-1)
	}
	if r.Float64() < mean {
		return 1
	}
	return 0
}

func (o *poolOwner) finish(now time.Duration) {
	o.pending = slices.DeleteFunc(o.pending, func(f finish) bool {
		if f.at > now {
			return false
		}
		if f.failed {
			o.counts.Failed++
			return true
		}
		o.counts.OK++
		if f.rated {
			rate(&o.counts, f.rating)
		}
		return true
	})
}

func (o *poolOwner) serveStable(r *rand.Rand, b behaviour) {
	if r.Float64() > stablePerSecond/owners*step.Seconds() {
		return
	}
	o.stable.OK++
	if b.rating > 0 && r.Float64() < b.ratedShare {
		rate(&o.stable, drawRating(r, stableRating, b))
	}
}

func rate(c *guard.Counts, rating float64) {
	c.Rated++
	c.RatingSum += rating
	c.RatingSquareSum += rating * rating
}

// TestMeasureExposure guards against a version that fails half its requests and
// gets more than 50 of them, or is rated 0.10 lower and gets more than 400.
// Rows without a limit have no target in the design and are printed only.
func TestMeasureExposure(t *testing.T) {
	const seeds = 200
	rows := []behaviour{
		{name: "half fail after 20 ms, 50/s", failRate: 0.5, failAfter: 20 * time.Millisecond, perSecond: 50, limit: 50},
		{name: "half fail after 2 s, 50/s", failRate: 0.5, failAfter: 2 * time.Second, perSecond: 50, limit: 50},
		{name: "half fail after 30 s, 50/s", failRate: 0.5, failAfter: 30 * time.Second, perSecond: 50, limit: 50},
		{name: "half fail after 2 s, 2/s", failRate: 0.5, failAfter: 2 * time.Second, perSecond: 2, limit: 50},
		{name: "half fail after 2 s, 50/s, new evaluator each 1 s", failRate: 0.5, failAfter: 2 * time.Second, perSecond: 50, evaluatorChangeEvery: time.Second, limit: 50},
		{name: "all fail after 20 ms, 50/s", failRate: 1, failAfter: 20 * time.Millisecond, perSecond: 50, limit: 50},
		{name: "one in five fails, 50/s", failRate: 0.2, failAfter: 2 * time.Second, perSecond: 50},
		{name: "half fail after 500 good, 10/s", failRate: 0.5, failAfter: 2 * time.Second, perSecond: 10, turnsAt: 500},
		{name: "rated 0.10 lower, sd 0.12, 10/s", rating: 0.55, spread: 0.2, ratedShare: 1, perSecond: 10, limit: 400},
		{name: "rated 0.10 lower, sd 0.20, 10/s", rating: 0.55, spread: 0.35, ratedShare: 1, perSecond: 10, limit: 400},
		{name: "rated 0.10 lower, sd 0.20, 50/s", rating: 0.55, spread: 0.35, ratedShare: 1, perSecond: 50, limit: 400},
		{name: "same with 70 % rated", rating: 0.55, spread: 0.35, ratedShare: 0.7, perSecond: 10},
		{name: "rated 0.10 lower, ratings 0 or 1, 10/s", rating: 0.55, ratedShare: 1, perSecond: 10},
	}
	t.Logf("%-40s %6s %6s %6s %6s %6s", "version", "mean", "sd", "p95", "p99", "most")
	for _, b := range rows {
		var got []float64
		for seed := range uint64(seeds) {
			n, ok := simulate(seed, b, func(time.Time, jdaw.Event) {})
			if !ok {
				t.Errorf("%s, seed %d: not suspended within %s", b.name, seed, longestRun)
			}
			got = append(got, float64(n))
		}
		slices.Sort(got)
		mean, sd := spreadOf(got)
		most := got[seeds-1]
		t.Logf("%-40s %6.0f %6.1f %6.0f %6.0f %6.0f", b.name, mean, sd, got[seeds*95/100], got[seeds*99/100], most)
		if b.limit > 0 && most > float64(b.limit) {
			t.Errorf("%s: up to %.0f requests before the suspension, want at most %d", b.name, most, b.limit)
		}
	}
}

func spreadOf(xs []float64) (mean, sd float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		sd += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(sd)
}

// TestMeasureFalseSuspensions guards against more than 1 suspension in 100
// clean roll-outs of 2,000 requests, at the tolerated failure rate and with
// ratings like the stable version's.
func TestMeasureFalseSuspensions(t *testing.T) {
	const rollouts = 1000
	const requests = 2000
	const batch = 5
	rows := []struct {
		name                 string
		failRate             float64
		spread               float64
		stableTimes          int // requests of the stable version per request of the new one
		evaluatorChangeEvery int // batches; 0: never
	}{
		{"2 % fail, sd 0.20, share 10 %", 0.02, 0.35, 9, 0},
		{"2 % fail, sd 0.20, share 50 %", 0.02, 0.35, 1, 0},
		{"2 % fail, ratings 0 or 1, share 50 %", 0.02, 0, 1, 0},
		{"2 % fail, sd 0.20, new evaluator each 100", 0.02, 0.35, 1, 20},
	}
	t.Logf("%-40s %10s %8s %8s", "clean roll-outs", "suspended", "failures", "ratings")
	for _, row := range rows {
		suspended, byRating := 0, 0
		for seed := range uint64(rollouts) {
			r := rand.New(rand.NewPCG(seed, 11))
			m := evaluating()
			o := newOwner(0)
			b := behaviour{spread: row.spread}
			for n := range requests / batch {
				if row.evaluatorChangeEvery > 0 && n%row.evaluatorChangeEvery == 0 {
					m = evaluating()
				}
				for range batch * row.stableTimes {
					o.stable.OK++
					rate(&o.stable, drawRating(r, stableRating, b))
				}
				for range batch {
					if r.Float64() < row.failRate {
						o.counts.Failed++
						continue
					}
					o.counts.OK++
					rate(&o.counts, drawRating(r, stableRating, b))
				}
				actions := append(m.Handle(start, o.stable), m.Handle(start, o.counts)...)
				if got := suspensions(actions); len(got) > 0 {
					suspended++
					if got[0].Reason[:len("shuck-small@v2 is")] == "shuck-small@v2 is" {
						byRating++
					}
					break
				}
			}
		}
		t.Logf("%-40s %10s %8d %8d", row.name, fmt.Sprintf("%d/%d", suspended, rollouts), suspended-byRating, byRating)
		if suspended > rollouts/100 {
			t.Errorf("%s: %d of %d clean roll-outs suspended, want at most 1 in 100", row.name, suspended, rollouts)
		}
	}
}

// TestTraces guards against traces in replay/testdata that differ from the
// events of this simulation. Run with -update to write them.
func TestTraces(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("math.Exp rounds differently on other architectures")
	}
	const seed = 1
	traces := map[string]behaviour{
		"guard-half-fail":    {failRate: 0.5, failAfter: 2 * time.Second, perSecond: 50},
		"guard-lower-rating": {rating: 0.55, spread: 0.35, ratedShare: 1, perSecond: 50},
		"guard-clean":        {failRate: 0.02, failAfter: time.Second, rating: stableRating, spread: 0.35, ratedShare: 1, perSecond: 50, runFor: 15 * time.Second},
	}
	for name, b := range traces {
		t.Run(name, func(t *testing.T) {
			var got bytes.Buffer
			rec := replay.NewRecorder(&got, replay.Standard())
			simulate(seed, b, rec.Record)
			if err := rec.Flush(); err != nil || len(rec.Skipped()) > 0 {
				t.Fatalf("recording failed: %v, left out %v", err, rec.Skipped())
			}
			checkTrace(t, "../replay/testdata/"+name+".jsonl", got.Bytes())
		})
	}
}

func checkTrace(t *testing.T, path string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got) {
		t.Errorf("%s differs from the simulation; run with -update", path)
	}
}

// BenchmarkCounts measures one report at the evaluator.
func BenchmarkCounts(b *testing.B) {
	m := evaluating()
	c := counts(candidate, "a", 0, 0, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.OK++
		m.Handle(start, c)
	}
}
