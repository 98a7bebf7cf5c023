package retry

import "time"

const (
	// hedgeQuantile is the quantile of durations after which an answer is late.
	hedgeQuantile = 0.95
	// latencyStep is the relative step of both estimates per answer. The estimates
	// follow a change within some dozens of answers and keep no history.
	latencyStep = 0.08
	// warmUpSamples is the number of answers over which the steps shrink to their
	// final size, and warmUpStretch the largest factor. Without it, the quantile of
	// a long tail is too low at first.
	warmUpSamples = 30
	warmUpStretch = 3
	// minLatencySamples is the number of answers required for a delay: one in
	// twenty is above the quantile.
	minLatencySamples = 40
)

// Latency estimates the median and a high quantile of the durations of one kind of
// answer. The zero value has seen none. It is immutable.
type Latency struct {
	median  time.Duration
	high    time.Duration
	samples int
}

// With returns the estimate after a whole answer that took d.
func (l Latency) With(d time.Duration) Latency {
	if l.samples == 0 {
		return Latency{median: d, high: d, samples: 1}
	}
	size := latencyStep * min(max(warmUpSamples/float64(l.samples), 1), warmUpStretch)
	return Latency{
		median: step(l.median, d, size/2, size/2),
		high:   step(l.high, d, size*hedgeQuantile, size*(1-hedgeQuantile)), samples: l.samples + 1,
	}
}

// WithCancelled returns the estimate after an attempt that was cancelled at d and
// would have taken longer. Without these, the estimates would fall with each hedge.
func (l Latency) WithCancelled(d time.Duration) Latency {
	if l.samples == 0 {
		return l
	}
	if d >= l.median {
		l.median = step(l.median, d+1, latencyStep/2, 0)
	}
	if d >= l.high {
		l.high = step(l.high, d+1, latencyStep*hedgeQuantile, 0)
	}
	l.samples++
	return l
}

// step moves an estimate by one relative step towards d. At the quantile p, the
// steps up and down balance if they relate as p to 1-p.
func step(estimate, d time.Duration, up, down float64) time.Duration {
	if d > estimate {
		return time.Duration(float64(estimate)*(1+up)) + 1
	}
	return time.Duration(float64(estimate) / (1 + down))
}

// Median returns the estimated median.
func (l Latency) Median() time.Duration { return l.median }

// Delay returns the duration after which an answer is late, or 0 while too few
// answers are known.
func (l Latency) Delay() time.Duration {
	if l.samples < minLatencySamples {
		return 0
	}
	return max(l.high, l.median)
}
