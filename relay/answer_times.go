package relay

import (
	"sync"
	"time"
)

// answerWindow is the time for which the longest answer of a route counts, at least.
// It spans several times the longest answer.
const answerWindow = 30 * time.Second

// peak is the longest duration seen lately.
type peak struct {
	current, previous time.Duration // of the window that began at since, and of the one before
	since             time.Time
}

func (p peak) withSample(at time.Time, d time.Duration) peak {
	switch age := at.Sub(p.since); {
	case age >= 2*answerWindow:
		p = peak{since: at}
	case age >= answerWindow:
		p = peak{previous: p.current, since: at}
	}
	p.current = max(p.current, d)
	return p
}

// at returns the duration, or 0 if the last sample is too old.
func (p peak) at(at time.Time) time.Duration {
	if at.Sub(p.since) >= 2*answerWindow {
		return 0
	}
	return max(p.current, p.previous)
}

// answerDuration is how long one whole answer took.
type answerDuration struct {
	whole time.Duration // from the arrival of the request
	// first is the time to the first event and tokens the size that the caller
	// announced; both are 0 for an answer that isn't a stream of tokens.
	first  time.Duration
	tokens int
}

// answerTime bounds the durations of a route's answers.
type answerTime struct {
	whole, first, perToken peak
}

func (t answerTime) withAnswer(at time.Time, d answerDuration) answerTime {
	t.whole = t.whole.withSample(at, d.whole)
	if d.tokens > 0 {
		t.first = t.first.withSample(at, d.first)
		t.perToken = t.perToken.withSample(at, (d.whole-d.first)/time.Duration(d.tokens))
	}
	return t
}

// expected returns the longest time that an answer of tokens is likely to take, 0 if
// it isn't known.
func (t answerTime) expected(at time.Time, tokens int) time.Duration {
	if perToken := t.perToken.at(at); tokens > 0 && perToken > 0 {
		return t.first.at(at) + time.Duration(tokens)*perToken
	}
	return t.whole.at(at)
}

// answerTimes keeps the durations of answers by route. It is safe for concurrent use.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]answerTime
}

func newAnswerTimes() *answerTimes { return &answerTimes{routes: map[string]answerTime{}} }

func (t *answerTimes) observe(at time.Time, route string, d answerDuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes[route] = t.routes[route].withAnswer(at, d)
}

func (t *answerTimes) expected(at time.Time, route string, tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes[route].expected(at, tokens)
}

// forget drops the routes without a recent answer.
func (t *answerTimes) forget(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route, known := range t.routes {
		if known.whole.at(at) == 0 {
			delete(t.routes, route)
		}
	}
}

// observeAnswer records a whole answer; first is the time of its first event, zero if
// it isn't a stream.
func (c *call) observeAnswer(at, first time.Time) {
	d := answerDuration{whole: at.Sub(c.startedAt)}
	if !first.IsZero() {
		d.first, d.tokens = first.Sub(c.startedAt), c.info.OutputTokens
	}
	c.x.answerTimes.observe(at, c.route.Name, d)
}
