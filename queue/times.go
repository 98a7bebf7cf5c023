package queue

import (
	"sort"
	"time"
)

const (
	// timesKept is the number of service times from which a quantile is taken.
	timesKept = 64
	// highQuantile is the share of requests that must end within the estimate.
	highQuantile = 0.9
	// meanWeight is the weight of a new service time in the mean.
	meanWeight = 1.0 / 16
	// quantileEvery is the number of service times after which the quantile is
	// computed again.
	quantileEvery = 8
)

// times learns the service time: from the grant to the end of the answer.
type times struct {
	kept    []time.Duration // ring
	next    int
	average time.Duration
	quant   time.Duration
	since   int
}

func (t *times) observe(took time.Duration) {
	took = max(took, time.Millisecond)
	if len(t.kept) == 0 {
		t.average = took
	}
	t.average += time.Duration(meanWeight * float64(took-t.average))
	if len(t.kept) < timesKept {
		t.kept = append(t.kept, took)
	} else {
		t.kept[t.next] = took
		t.next = (t.next + 1) % timesKept
	}
	if t.since++; t.since >= quantileEvery || t.quant == 0 {
		t.since = 0
		sorted := append([]time.Duration(nil), t.kept...)
		sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
		t.quant = sorted[int(highQuantile*float64(len(sorted)-1))]
	}
}

// mean is the usual service time, or an assumed one.
func (t *times) mean() time.Duration {
	if t.average == 0 {
		return assumedTime
	}
	return t.average
}

// high is the time that nine in ten requests stay under; 0 before any was measured.
func (t *times) high() time.Duration { return t.quant }
