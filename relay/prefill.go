package relay

import (
	"sync"
	"time"
)

const (
	// prefillDecay weights past samples at each new one: about twenty first
	// events count.
	prefillDecay = 0.95
	// minPrefillSamples is the number of first events required to use the rate.
	minPrefillSamples = 3
	// prefillRateMaxAge is the age of the last sample at which the rate is no
	// longer used. A rate that is too slow would otherwise prevent the requests
	// that could correct it.
	prefillRateMaxAge = 15 * time.Second
)

// prefillRate is the rate at which upstreams of a service prefill pending
// prompts. It includes the fixed time per prompt: the slope of a least-squares
// fit is too flat, since the pending work is known late.
type prefillRate struct {
	tokens  float64
	took    float64 // nanoseconds
	samples int
	at      time.Time // of the last first event
}

// prefillRates estimates the rates of services from the first events of
// escalations. It is safe for concurrent use.
type prefillRates struct {
	mu    sync.Mutex
	rates map[string]prefillRate
}

func newPrefillRates() *prefillRates { return &prefillRates{rates: map[string]prefillRate{}} }

// observe adds the time from the dispatch of a prompt to its first event.
func (r *prefillRates) observe(at time.Time, service string, q queue, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[service]
	rate.tokens = prefillDecay*rate.tokens + q.ahead + q.own
	rate.took = prefillDecay*rate.took + float64(took)
	rate.samples++
	rate.at = at
	r.rates[service] = rate
}

// predict returns the time to prefill the tokens, or 0 if there are too few
// samples.
func (r *prefillRates) predict(at time.Time, service string, tokens float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[service]
	if rate.samples < minPrefillSamples || rate.tokens <= 0 || at.Sub(rate.at) > prefillRateMaxAge {
		return 0
	}
	return time.Duration(tokens * rate.took / rate.tokens)
}
