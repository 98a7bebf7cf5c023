package guard

import "math"

// evidence is a sequential test against the hypothesis that the version is
// healthy. It is a mixture of likelihood ratios over all points k at which the
// version may have become bad, with weight 1/(k(k+1)):
//
//	E(n) = sum over k<=n of w(k)*L(k..n) + sum over k>n of w(k)
//
// The weights add up to one, so under the hypothesis E is a martingale that
// starts at 1 and exceeds 1/a with a probability of at most a, however long the
// run is and however often it is evaluated. A plain ratio test has the same
// bound but accumulates so much evidence from good requests that it takes
// hundreds of failures to detect a version that becomes bad late. Here a change
// at request k raises the threshold by ln(k(k+1)) instead.
//
// Counts arrive in batches; a change is possible at the start of each batch.
type evidence struct {
	n      float64 // observations so far
	logSum float64 // log of the first sum; undefined while n is 0
}

// add adds a batch of n observations with the given log likelihood ratio.
func (e *evidence) add(n, logRatio float64) {
	if n <= 0 {
		return
	}
	// The weights of the batch add up to 1/(k) - 1/(k+n) for k = e.n+1.
	k := e.n + 1
	started := math.Log(1/k - 1/(k+n))
	if e.n > 0 {
		started = logAdd(started, e.logSum)
	}
	e.logSum = started + logRatio
	e.n += n
}

// log returns log E.
func (e *evidence) log() float64 {
	if e.n == 0 {
		return 0
	}
	return logAdd(e.logSum, -math.Log(e.n+1))
}

// logAdd returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	high, low := max(a, b), min(a, b)
	return high + math.Log1p(math.Exp(low-high))
}

// Hypotheses of the failure test.
const (
	soundFailureRate = 0.02
	badFailureRate   = 0.20
)

var (
	failedRatio = math.Log(badFailureRate / soundFailureRate)
	okRatio     = math.Log((1 - badFailureRate) / (1 - soundFailureRate))
)

// healthyLog is the log likelihood ratio below which a version counts as healthy;
// a version that fails 20 % reaches it with a probability of at most 0.01.
var healthyLog = math.Log(0.01)

// Constants of the rating test.
const (
	// minStableRated is the least number of ratings of the stable version for
	// its mean to be used.
	minStableRated = 50
	// minDrop is the tolerated drop; the test is designed to detect 0.10.
	minDrop = 0.01
	// stableErrors is the number of standard errors by which the stable mean
	// may exceed the true mean by chance.
	stableErrors = 2.5
)

// betExponents are the exponents of the rating test, which averages over them.
// The first is nearly optimal for standard deviations of ratings up to 0.3, the
// second for ratings that are mostly 0 or 1.
var betExponents = [...]float64{0.5, 0.25}

// ratingEvidence is the average of one test per exponent.
type ratingEvidence [len(betExponents)]evidence

// add adds a batch of ratings; least is the lowest mean of a healthy version,
// guess its expected mean.
func (e *ratingEvidence) add(r ratings, least, guess float64) {
	for i, b := range betExponents {
		e[i].add(r.n, ratingRatio(r, least, guess, b))
	}
}

// log returns log E.
func (e *ratingEvidence) log() float64 {
	sum := e[0].log()
	for i := 1; i < len(e); i++ {
		sum = logAdd(sum, e[i].log())
	}
	return sum - math.Log(float64(len(e)))
}

// ratings are sums over ratings.
type ratings struct {
	n, sum, squares float64
}

func (r ratings) plus(o ratings) ratings {
	return ratings{n: r.n + o.n, sum: r.sum + o.sum, squares: r.squares + o.squares}
}

func (r ratings) mean() float64 {
	if r.n == 0 {
		return 0
	}
	return r.sum / r.n
}

// leastMean returns the lowest mean that a healthy version may have.
func (r ratings) leastMean() float64 {
	mean := r.mean()
	variance := max(r.squares/r.n-mean*mean, 0)
	return mean - max(minDrop, stableErrors*math.Sqrt(variance/r.n))
}

// ratingRatio returns the log of a factor with an expectation of at most 1 if
// the ratings x in r have a mean of at least least. With the loss y = 1 - x,
// an exponent b in 0..1 and any guess g made beforehand, the factor is
//
//	exp(b*(y - (1-least)) - (-log(1-b) - b)*(y - g)^2)
//
// (Fan, Grama and Liu, 2015). It assumes nothing about the distribution but
// the range 0..1 and uses only the sums that owners report.
func ratingRatio(r ratings, least, guess, bet float64) float64 {
	shortfall := r.n*least - r.sum
	spread := r.squares - 2*guess*r.sum + r.n*guess*guess
	penalty := -math.Log(1-bet) - bet
	return bet*shortfall - penalty*spread
}
