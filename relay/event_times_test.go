package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a median estimate that outliers distort: the speed of a canary
// version is relative to it.
func TestUsualPaceIsTheMedian(t *testing.T) {
	p := newEventTimesByKind()
	rng := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		d := 30 * time.Millisecond
		if rng.IntN(5) == 0 {
			d *= 20
		}
		p.observe("k", d)
	}
	if got := p.of("k").median; got < 20*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("the median is %v, want about 30 ms", got)
	}
	if got := p.of("other"); got != (eventTimes{}) || got.isSlow(time.Hour) {
		t.Errorf("an unknown kind has the estimates %v", got)
	}
}

// Guards against a quartile estimate that rises while upstreams are busy: nearly
// all responses of a version that is three times slower must still count as
// slow, and half of the others not.
func TestSlowAnswers(t *testing.T) {
	p := newEventTimesByKind()
	rng := rand.New(rand.NewPCG(2, 1))
	unloaded := func() time.Duration { return time.Duration(25+25*rng.Float64()) * time.Millisecond }
	busy := func() time.Duration { return time.Duration(25+100*rng.Float64()) * time.Millisecond }
	for range 100 {
		p.observe("k", unloaded())
	}
	slow, n := 0, 60
	for range n {
		d := busy()
		p.observe("k", d)
		if p.of("k").isSlow(d) {
			slow++
		}
	}
	if slow > n/2 {
		t.Errorf("%d of %d responses of busy upstreams are slow", slow, n)
	}
	for _, d := range []time.Duration{110, 130} {
		if !p.of("k").isSlow(d * time.Millisecond) {
			t.Errorf("%d ms an event is not slow: %+v", d, p.of("k"))
		}
	}
}
