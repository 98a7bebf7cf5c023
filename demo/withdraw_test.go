package demo_test

import (
	"testing"
	"time"

	"jackdawbarrow/config"
	"jackdawbarrow/demo"
)

// withdrawLimit is the time within which a configuration is in force on all
// VMs.
const withdrawLimit = 6 * time.Second

// TestWithdrawal guards against a withdrawn version that goes on getting new
// work: a sound version with half of the traffic is withdrawn by an operator,
// and the engines' logs tell when they started its last request. Run with
// -v -seeds 5 for the table of docs/measurements.md.
func TestWithdrawal(t *testing.T) {
	for _, shape := range []demo.Shape{demo.Authority(), demo.Consorcio()} {
		t.Run(shape.Name, func(t *testing.T) {
			for seed := 1; seed <= *seeds; seed++ {
				s := start(t, shape, uint64(seed), "")
				stop := s.load(4, shape.Models[0].Name)
				s.startRollout(50)
				// The allowance has grown by then, so that much is under way.
				s.await("300 calls of the new version", func() bool { return len(s.runsOf(s.candidate())) >= 300 })
				ordered := time.Now()
				s.change(config.Op{Kind: config.OpWithdrawVersion, Name: s.candidate()})
				answered := time.Now()
				from := s.sent.Load()
				s.await("requests after the withdrawal", func() bool { return s.sent.Load() >= from+settleRequests })
				stop()
				var last time.Time
				before := 0
				for _, r := range s.runsOf(s.candidate()) {
					if r.At.After(last) {
						last = r.At
					}
					if r.At.After(ordered.Add(-time.Second)) && r.At.Before(ordered) {
						before++
					}
				}
				t.Logf("seed %d: %d calls of %s in the second before the order, last new one %s after it, answer after %s, %d of %d requests failed",
					seed, before, s.candidate(), last.Sub(ordered).Round(time.Millisecond), answered.Sub(ordered).Round(time.Millisecond),
					s.failed.Load(), s.sent.Load())
				if d := last.Sub(ordered); d > withdrawLimit {
					t.Errorf("seed %d: a new call %s after the order, want none after %s", seed, d, withdrawLimit)
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
