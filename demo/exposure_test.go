package demo_test

import (
	"flag"
	"testing"
	"time"

	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// seeds is the number of runs per case of the measurements of this package.
var seeds = flag.Int("seeds", 1, "runs per case")

// settleRequests are sent after a suspension is in force, to see that no new
// request reaches the version.
const settleRequests = 200

// TestExposure guards against a version that is bad under real traffic and is
// suspended too late: the chain from the engines over entries, owners and evaluator
// to the suspension on all VMs. It counts in the engines' own logs. Run with
// -v -seeds 5 for the table of docs/measurements.md.
func TestExposure(t *testing.T) {
	const callersPerVM = 4
	cases := map[string]struct {
		bad   func(s *system)
		share float64
		limit int // calls of the version that the design page allows
	}{
		"half of the requests fail": {func(s *system) {
			for _, e := range s.standIns.Engines {
				e.SetFault(fakes.EngineFault{FailShare: map[string]float64{s.candidate(): 0.5}})
			}
		}, 50, 50},
		"rated 0.10 lower": {func(s *system) {
			quality := s.shape.Models[0].Quality - 0.10
			s.standIns.Rating.SetFault(fakes.RatingFault{Quality: map[string]float64{s.candidate(): quality}})
		}, 50, 400},
	}
	for name, c := range cases {
		for _, shape := range []demo.Shape{demo.Authority(), demo.Consorcio()} {
			t.Run(name+"/"+shape.Name, func(t *testing.T) {
				for seed := 1; seed <= *seeds; seed++ {
					s := start(t, shape, uint64(seed), "")
					c.bad(s)
					stop := s.load(callersPerVM, shape.Models[0].Name)
					s.startRollout(c.share)
					decided := s.awaitSuspension()
					from := s.sent.Load()
					s.await("requests after the suspension", func() bool { return s.sent.Load() >= from+settleRequests })
					stop()
					runs := s.runsOf(s.candidate())
					var last time.Time
					before := 0
					for _, r := range runs {
						if r.At.After(last) {
							last = r.At
						}
						if !r.At.After(decided) {
							before++
						}
					}
					t.Logf("seed %d: %d calls of %s (%d until the judge decided), last new one %s after the decision, %d of %d requests failed",
						seed, len(runs), s.candidate(), before, last.Sub(decided).Round(time.Millisecond), s.failed.Load(), s.sent.Load())
					if len(runs) > c.limit {
						t.Errorf("seed %d: %d calls, want at most %d", seed, len(runs), c.limit)
					}
					if n := s.failed.Load(); n > 0 {
						t.Errorf("seed %d: %d requests failed, the last with %v", seed, n, s.lastFail.Load())
					}
					s.stop()
					s.standIns.Close()
				}
			})
		}
	}
}
