package guard

import (
	"math"
	"time"
)

// Constants of the speed test.
const (
	// minTimed is the least number of timed answers per version for the test.
	minTimed = 8
	// minSpeedDrop is the drop of the mean speed to be detected. A version
	// that is twice as slow drops by 0.17 from a speed of 0.5.
	minSpeedDrop = 0.15
	// manyTimed is the number of timed answers from which on a drop by
	// manySpeedDrop is enough: when upstreams are busy and speeds low, a version
	// that is twice as slow drops by 0.13 only.
	manyTimed     = 24
	manySpeedDrop = 0.11
	// speedErrors is the number of standard errors by which the drop must exceed
	// chance. A small fleet has some 15 answers by the deadline and evaluates
	// them 10 times; 3 keeps the false alarms of all evaluations near 1 %.
	speedErrors = 3
	// minReviewTimed is the least number of timed answers of a version that is
	// completed, and from which on it isn't if it seems slow.
	minReviewTimed = 3
	// reviewErrors replaces speedErrors and slowErrors in the single evaluation
	// before a completion, which cannot be undone. Chance alone exceeds it in 1 of
	// 160 evaluations of healthy versions.
	reviewErrors = 2.5
	// reviewChance is the same as a probability, for answers that are too few for a
	// standard error.
	reviewChance = 1.0 / 160
	// minSlowRise is the rise of the share of slow answers to be detected.
	minSlowRise = 0.35
	// slowErrors is speedErrors for the share of slow answers: a few answers are
	// all slow by chance more often than in a normal distribution.
	slowErrors = 4
	// leastSlowShare is the lower bound of the stable share in the standard
	// error; at a share of 0, one slow answer would exceed any error.
	leastSlowShare = 0.1
)

// Speed turns a duration into a number in 0..1 that grows with speed. usual is
// the typical duration of the kind of answer, which gets 0.5, so that answers of
// different kinds can be compared by their mean.
func Speed(d, usual time.Duration) float64 {
	if d <= 0 || usual <= 0 {
		return 0.5
	}
	return float64(usual) / float64(usual+d)
}

// speeds sums up the speeds of timed answers.
type speeds struct {
	ratings
	slow float64 // see Counts.Slow
}

func (s speeds) plus(o speeds) speeds {
	return speeds{ratings: s.ratings.plus(o.ratings), slow: s.slow + o.slow}
}

func (s speeds) variance() float64 {
	mean := s.mean()
	return max(s.squares/s.n-mean*mean, 0)
}

func (s speeds) slowShare() float64 { return s.slow / s.n }

// isSlower reports whether a version's answers are far slower than the stable
// one's.
func isSlower(version, stable speeds) bool {
	if version.n < minTimed || stable.n < minTimed {
		return false
	}
	least := minSpeedDrop
	if version.n >= manyTimed {
		least = manySpeedDrop
	}
	return dropExceeds(version, stable, least, speedErrors) || slowRiseExceeds(version, stable, slowErrors)
}

// dropExceeds reports whether the mean speed is lower by least, and by a number
// of standard errors. A few answers may have similar speeds by chance, so
// the version's variance is taken as at least that of the stable one.
func dropExceeds(version, stable speeds, least, errors float64) bool {
	drop := stable.mean() - version.mean()
	variance := max(version.variance(), stable.variance())
	return drop >= least && drop >= errors*math.Sqrt(variance/version.n+stable.variance()/stable.n)
}

// slowRiseExceeds does the same for the share of slow answers. It detects a
// version all of whose answers are slow while the stable version's upstreams are
// busy or degraded, so that the means are close: 0.35 and 0.39 in a fault test
// in which the new version's fastest answer took 88 ms per event and a quarter
// of the stable one's under 31 ms.
func slowRiseExceeds(version, stable speeds, errors float64) bool {
	rise := version.slowShare() - stable.slowShare()
	share := max(stable.slowShare(), leastSlowShare)
	return rise >= minSlowRise && rise >= errors*math.Sqrt(share*(1-share)*(1/version.n+1/stable.n))
}

// seemsSlower reports whether the timed answers of a version are slow, even if
// not significantly.
func seemsSlower(version, stable speeds) bool {
	if version.n < minReviewTimed || stable.n < minTimed {
		return false
	}
	if version.n < minTimed {
		return stable.mean()-version.mean() >= minSpeedDrop || slowChance(version, stable) <= reviewChance
	}
	return dropExceeds(version, stable, manySpeedDrop, reviewErrors) || slowRiseExceeds(version, stable, reviewErrors)
}

// slowChance returns the probability that at least as many answers of the version
// are slow by chance if the stable version's share of slow answers applies.
func slowChance(version, stable speeds) float64 {
	share := max(stable.slowShare(), leastSlowShare)
	chance := 0.0
	for k := version.slow; k <= version.n; k++ {
		chance += binomial(version.n, k) * math.Pow(share, k) * math.Pow(1-share, version.n-k)
	}
	return chance
}

// binomial returns the number of ways to choose k of n.
func binomial(n, k float64) float64 {
	ways := 1.0
	for i := 1.0; i <= k; i++ {
		ways *= (n - k + i) / i
	}
	return ways
}

func (c Counts) speeds() speeds {
	return speeds{ratings: ratings{n: float64(c.Timed), sum: c.SpeedSum, squares: c.SpeedSquareSum}, slow: float64(c.Slow)}
}
