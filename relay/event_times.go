package relay

import (
	"sync"
	"time"
)

const (
	// medianStep is the relative step of the median estimate per response.
	medianStep = 0.08
	// quartileStep is the relative step of the lower-quartile estimate. It is
	// small, so that upstreams that are busy for a while don't raise the estimate.
	quartileStep = 0.06
	// slowFactor times the lower quartile is slow. This holds for two in five
	// responses of busy upstreams, and for nearly all of a version that is three
	// times slower.
	slowFactor = 2.2
	// warmUpSamples is the number of responses over which the steps of a new
	// kind shrink to their final size. In a large fleet, each VM sees few
	// responses during a roll-out.
	warmUpSamples = 6
)

// eventTimes estimates the inter-event time of one kind of response.
type eventTimes struct {
	median        time.Duration
	lowerQuartile time.Duration
	samples       int // responses
}

// isSlow reports whether d is far above the lower quartile.
func (p eventTimes) isSlow(d time.Duration) bool {
	return p.lowerQuartile > 0 && float64(d) > slowFactor*float64(p.lowerQuartile)
}

// eventTimesByKind keeps the estimates by kind. It is safe for concurrent use.
type eventTimesByKind struct {
	mu   sync.Mutex
	kind map[string]eventTimes
}

func newEventTimesByKind() *eventTimesByKind { return &eventTimesByKind{kind: map[string]eventTimes{}} }

// observe adds the time of one response.
func (p *eventTimesByKind) observe(kind string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.kind[kind]
	if !ok {
		p.kind[kind] = eventTimes{median: d, lowerQuartile: d, samples: 1}
		return
	}
	stretch := max(warmUpSamples/float64(known.samples), 1)
	p.kind[kind] = eventTimes{
		median: stepEstimate(known.median, d, stretch*medianStep, stretch*medianStep),
		// One response in four is below the quartile, so the step down is three times as large.
		lowerQuartile: stepEstimate(known.lowerQuartile, d, stretch*quartileStep/3, stretch*quartileStep),
		samples:       known.samples + 1,
	}
}

// stepEstimate moves an estimate by one relative step towards d.
func stepEstimate(estimate, d time.Duration, up, down float64) time.Duration {
	if d > estimate {
		return time.Duration(float64(estimate) * (1 + up))
	}
	return time.Duration(float64(estimate) / (1 + down))
}

// of returns the estimates of a kind, or the zero value for an unknown kind.
func (p *eventTimesByKind) of(kind string) eventTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind[kind]
}
