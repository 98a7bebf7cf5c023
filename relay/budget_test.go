package relay

import "testing"

// Guards against more retries, summed over all VMs, than a service tolerates, and
// against broken streams that aren't resumed after an upstream crash.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		vms      int
		requests int     // of one VM in 10 s
		slack    float64 // of all VMs
	}{
		"8 VMs":  {8, 33, 56},
		"79 VMs": {79, 31, 198},
		"90 VMs": {90, 32, 220},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newRetryBudget()
			spent := 0
			for range c.requests {
				b.refill("s")
				for b.take("s", 0) {
					spent++
				}
			}
			allowed := 0.9*float64(c.requests) + c.slack/float64(c.vms)
			if float64(spent) > allowed {
				t.Errorf("%d repeats, allowed %.1f", spent, allowed)
			}
			if spent < c.requests/2 {
				t.Errorf("%d repeats of %d requests: cascades need one in two", spent, c.requests)
			}
		})
	}
	b := newRetryBudget()
	atOnce := 0
	for b.take("s", 0) {
		atOnce++
	}
	if atOnce < 8 {
		t.Errorf("%d repeats at once, want 8", atOnce)
	}
}
