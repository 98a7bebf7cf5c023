package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a delay that most answers exceed, and against one so long that no
// slow answer is cut short.
func TestLatencyFindsTheQuantile(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	cases := map[string]func() time.Duration{
		"even":       func() time.Duration { return time.Duration(100+100*draw.Float64()) * time.Millisecond },
		"long tail":  func() time.Duration { return time.Duration(50*(1+draw.ExpFloat64())) * time.Millisecond },
		"two speeds": func() time.Duration { return time.Duration(100+300*draw.IntN(2)) * time.Millisecond },
	}
	for name, next := range cases {
		t.Run(name, func(t *testing.T) {
			var l Latency
			late, n := 0, 0
			for i := range 4000 {
				d := next()
				if i >= 400 {
					n++
					if d > l.Delay() {
						late++
					}
				}
				l = l.With(d)
			}
			if share := float64(late) / float64(n); share < 0.01 || share > 0.10 {
				t.Errorf("%.3f of the answers exceed the delay %v, want about 0.05", share, l.Delay())
			}
		})
	}
}

// Guards against a delay that shrinks with each hedge, because the attempts that
// were cancelled are not counted.
func TestLatencyCountsCancelledAttempts(t *testing.T) {
	draw := rand.New(rand.NewPCG(3, 4))
	var l Latency
	hedged, n := 0, 0
	for i := range 4000 {
		d := time.Duration(50*(1+draw.ExpFloat64())) * time.Millisecond
		if delay := l.Delay(); delay > 0 && d > delay {
			l = l.WithCancelled(delay + time.Millisecond)
			if i >= 400 {
				hedged++
			}
		} else {
			l = l.With(d)
		}
		if i >= 400 {
			n++
		}
	}
	if share := float64(hedged) / float64(n); share < 0.01 || share > 0.10 {
		t.Errorf("%.3f of the requests are late, want about 0.05; delay %v", share, l.Delay())
	}
}

// Guards against hedges from a guess.
func TestLatencyNeedsSamples(t *testing.T) {
	var l Latency
	for i := range minLatencySamples {
		if l.Delay() != 0 {
			t.Fatalf("delay %v after %d answers", l.Delay(), i)
		}
		l = l.With(10 * time.Millisecond).WithCancelled(0)
		l.samples = i + 1
	}
	if l.Delay() < 9*time.Millisecond {
		t.Errorf("delay %v after %d answers of 10ms", l.Delay(), minLatencySamples)
	}
}
