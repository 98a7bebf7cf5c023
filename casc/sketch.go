package casc

import (
	"math"
	"time"
)

// The buckets cover 20 ms to about 150 s in steps of 15 %.
//
// An HdrHistogram over this range takes about 10 KB per key with two digits,
// which is 20 MB for 2,048 keys and more than half of the memory that a VM may
// use for control, and it cannot be decayed. This sketch takes 264 bytes.
const (
	sketchBuckets = 64
	sketchLowest  = 20 * time.Millisecond
	sketchGrowth  = 1.15
)

// sketchHalvingWeight is the total weight at which all counts are halved, so that
// the quantiles follow a change after a few hundred samples.
const sketchHalvingWeight = 512

var sketchLogGrowth = math.Log(sketchGrowth)

// quantileShares are the points at which the distribution is published.
var quantileShares = [...]float64{0.05, 0.25, 0.50, 0.75, 0.90, 0.95, 0.99}

const (
	indexP50 = 2
	indexP95 = 5
)

// Quantiles is a latency distribution given by a few of its quantiles.
type Quantiles [len(quantileShares)]time.Duration

// P50 returns the median.
func (q *Quantiles) P50() time.Duration { return q[indexP50] }

// P95 returns the 95th percentile.
func (q *Quantiles) P95() time.Duration { return q[indexP95] }

// Share returns the share of durations that are at most d.
func (q *Quantiles) Share(d time.Duration) float64 {
	if d < q[0] {
		return 0
	}
	for i := 1; i < len(q); i++ {
		if d >= q[i] {
			continue
		}
		width := float64(q[i] - q[i-1])
		part := float64(d-q[i-1]) / width
		return quantileShares[i-1] + part*(quantileShares[i]-quantileShares[i-1])
	}
	return 1
}

// scale returns the distribution of durations f times as long.
func (q Quantiles) scale(f float64) Quantiles {
	for i := range q {
		q[i] = time.Duration(float64(q[i]) * f)
	}
	return q
}

// sketch counts durations in buckets of constant relative width.
type sketch struct {
	counts [sketchBuckets]float32
	total  float64
}

func (s *sketch) add(d time.Duration) {
	s.counts[bucketOf(d)]++
	s.total++
	if s.total < sketchHalvingWeight {
		return
	}
	for i := range s.counts {
		s.counts[i] /= 2
	}
	s.total /= 2
}

func bucketOf(d time.Duration) int {
	if d <= sketchLowest {
		return 0
	}
	i := int(math.Log(float64(d)/float64(sketchLowest)) / sketchLogGrowth)
	return min(i, sketchBuckets-1)
}

// quantiles interpolates within the buckets.
func (s *sketch) quantiles() Quantiles {
	var out Quantiles
	next := 0
	below := 0.0
	for i, n := range s.counts {
		count := float64(n)
		for next < len(out) && count > 0 && below+count >= quantileShares[next]*s.total {
			part := (quantileShares[next]*s.total - below) / count
			exponent := float64(i) + max(part, 0)
			out[next] = time.Duration(float64(sketchLowest) * math.Pow(sketchGrowth, exponent))
			next++
		}
		below += count
	}
	for ; next < len(out) && next > 0; next++ {
		out[next] = out[next-1]
	}
	return out
}
