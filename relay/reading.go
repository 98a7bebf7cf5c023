package relay

import (
	"sync"
	"time"
)

const (
	// readingKept is the part of the past that a new first event leaves in the
	// rate: about twenty of them count.
	readingKept = 0.95
	// minReadings is the number of first events from which on the rate is used.
	minReadings = 3
	// readingMaxAge is the age of the last first event at which the rate is no
	// longer used. A rate that is too slow would otherwise forbid the requests
	// that could show a better one.
	readingMaxAge = 15 * time.Second
)

// readingRate is how fast upstreams of a service read what waits there. What
// even the shortest prompt takes counts with it: a line through the figures, by
// least squares, is too flat, since what waits is known late.
type readingRate struct {
	tokens float64
	took   float64 // nanoseconds
	seen   int
	at     time.Time // of the last first event
}

// reading learns the rates of services from the first events of later steps of
// cascades. It is safe for concurrent use.
type reading struct {
	mu    sync.Mutex
	rates map[string]readingRate
}

func newReading() *reading { return &reading{rates: map[string]readingRate{}} }

// learn takes the time from the sending of a prompt to its first event.
func (r *reading) learn(at time.Time, service string, q queue, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[service]
	rate.tokens = readingKept*rate.tokens + q.ahead + q.own
	rate.took = readingKept*rate.took + float64(took)
	rate.seen++
	rate.at = at
	r.rates[service] = rate
}

// predict returns the time that upstreams take for work, or 0 if too little is
// known.
func (r *reading) predict(at time.Time, service string, tokens float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[service]
	if rate.seen < minReadings || rate.tokens <= 0 || at.Sub(rate.at) > readingMaxAge {
		return 0
	}
	return time.Duration(tokens * rate.took / rate.tokens)
}
