package relay

import (
	"testing"
	"time"
)

// Guards against a stopping VM that accepts requests which it will have to cut off,
// and against one that refuses requests which it could still answer.
func TestRequestsThatADrainCanAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	end := start.Add(7200 * time.Millisecond)
	cases := map[string]struct {
		after        time.Duration // since the start of the drain
		left         time.Duration // to the deadline
		isRepeatable bool
		expected     time.Duration
		want         bool
	}{
		"its deadline comes before the end":             {5 * time.Second, 2 * time.Second, true, 0, true},
		"once, and its deadline comes before the end":   {5 * time.Second, 2 * time.Second, false, 0, true},
		"once, and its deadline comes after the end":    {time.Second, 25 * time.Second, false, time.Millisecond, false},
		"a long stream, early":                          {time.Second, 25 * time.Second, true, 5 * time.Second, true},
		"a long stream, late":                           {3500 * time.Millisecond, 25 * time.Second, true, 5 * time.Second, false},
		"a longer stream, early":                        {100 * time.Millisecond, 25 * time.Second, true, 8 * time.Second, false},
		"a short stream, late":                          {5 * time.Second, 25 * time.Second, true, time.Second, true},
		"a short stream, at the end":                    {7 * time.Second, 25 * time.Second, true, 200 * time.Millisecond, false},
		"of unknown duration, early":                    {2 * time.Second, 25 * time.Second, true, 0, true},
		"of unknown duration, late":                     {3100 * time.Millisecond, 25 * time.Second, true, 0, false},
		"expected past its deadline, which comes first": {5 * time.Second, 2 * time.Second, true, 9 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			at := start.Add(c.after)
			q := drainRequest{deadline: at.Add(c.left), isRepeatable: c.isRepeatable, expected: c.expected}
			if got := newDrain(start, end).accepts(at, q); got != c.want {
				t.Errorf("accepted: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against durations that ignore the size of an answer, and against those of
// long ago that keep requests from a stopping VM.
func TestExpectedAnswerTime(t *testing.T) {
	at := time.Unix(1000, 0)
	x := newAnswerTimes()
	x.observe(at, "stream", answerDuration{whole: 2 * time.Second, first: time.Second, tokens: 10})
	x.observe(at.Add(time.Second), "stream", answerDuration{whole: 2 * time.Second, first: 500 * time.Millisecond, tokens: 30})
	x.observe(at, "plain", answerDuration{whole: 30 * time.Millisecond})
	x.observe(at, "plain", answerDuration{whole: 20 * time.Millisecond})
	cases := map[string]struct {
		route  string
		after  time.Duration
		tokens int
		want   time.Duration
	}{
		"a small stream":            {"stream", 2 * time.Second, 10, 2 * time.Second},
		"a large stream":            {"stream", 2 * time.Second, 60, 7 * time.Second},
		"a stream of unknown size":  {"stream", 2 * time.Second, 0, 2 * time.Second},
		"a plain answer":            {"plain", 2 * time.Second, 0, 30 * time.Millisecond},
		"after a while":             {"plain", answerWindow + time.Second, 0, 30 * time.Millisecond},
		"long ago":                  {"plain", 2 * answerWindow, 0, 0},
		"a route without an answer": {"other", 0, 10, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := x.expected(at.Add(c.after), c.route, c.tokens); got != c.want {
				t.Errorf("expected %s, want %s", got, c.want)
			}
		})
	}
	// A later answer ends the longer ones before it in time.
	x.observe(at.Add(answerWindow), "plain", answerDuration{whole: 10 * time.Millisecond})
	x.observe(at.Add(2*answerWindow), "plain", answerDuration{whole: 5 * time.Millisecond})
	if got := x.expected(at.Add(2*answerWindow), "plain", 0); got != 10*time.Millisecond {
		t.Errorf("expected %s after shorter answers, want 10ms", got)
	}
	x.forget(at.Add(2 * answerWindow))
	if _, isKept := x.routes["stream"]; isKept || len(x.routes) != 1 {
		t.Errorf("kept %v", x.routes)
	}
}
