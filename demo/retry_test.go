package demo_test

import (
	"testing"

	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

const (
	// retryRequests are sent by the callers while half of the calls fail.
	retryRequests = 2000
	// retryBudget is the share of retries, and poolReserve the number that a
	// quiet pool may grant at once.
	retryBudget = 0.10
	poolReserve = 10
	// unusedShare covers first credits that a loaded machine uses too late:
	// they count for the budget, and their requests get another one.
	unusedShare = 0.01
)

// TestRetryAmplification guards against retries that multiply the load on
// upstreams that fail already. Half of the calls of all versions fail; the
// engines' logs tell how many calls there were for each request id. Run with
// -v -seeds 5 for the table of docs/measurements.md.
func TestRetryAmplification(t *testing.T) {
	for _, shape := range []demo.Shape{demo.Authority(), demo.Consorcio()} {
		t.Run(shape.Name, func(t *testing.T) {
			for seed := 1; seed <= *seeds; seed++ {
				s := start(t, shape, uint64(seed), "")
				model := shape.Models[0].Name
				stable := model + "@v1"
				fail := map[string]float64{}
				for _, v := range shape.VersionNames() {
					fail[v] = 0.5
				}
				for _, e := range s.standIns.Engines {
					e.SetFault(fakes.EngineFault{FailShare: fail})
				}
				warm := len(s.runsOf(stable))
				sent := s.sent.Load()
				stop := s.load(4, model)
				s.await("the requests", func() bool { return s.sent.Load() >= sent+retryRequests })
				stop()
				runs := s.runsOf(stable)
				ids := map[string]int{}
				most := 0
				for _, r := range runs {
					ids[r.RequestID]++
					most = max(most, ids[r.RequestID])
				}
				calls, requests := len(runs), len(ids)
				byCaller := float64(calls-warm) / float64(s.sent.Load()-sent)
				t.Logf("seed %d: %d calls for %d requests that reached an engine, %.3f each, at most %d for one; %.3f for each of %d requests of a caller, who repeats once; %d answered",
					seed, calls, requests, float64(calls)/float64(requests), most, byCaller, s.sent.Load()-sent, s.answered.Load())
				allowed := float64(requests)*(1+retryBudget+unusedShare) + float64(poolReserve*len(shape.DataCentres))
				if float64(calls) > allowed {
					t.Errorf("seed %d: %d calls for %d requests, want at most %.0f", seed, calls, requests, allowed)
				}
				if most > 3 {
					t.Errorf("seed %d: %d calls for one request, want at most 3", seed, most)
				}
				s.stop()
				s.standIns.Close()
			}
		})
	}
}
