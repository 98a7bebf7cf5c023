package guard

import "math"

// Unlimited is the limit of a version that passed all allowance steps.
const Unlimited = math.MaxInt

// failurePenalty is the number of successes that one failure offsets. At the
// failure rate to be detected, 0.20, the score does not grow.
const failurePenalty = 4

// allowanceStep is the limit that applies from a score on.
type allowanceStep struct {
	score, limit int
}

// allowanceSteps grow slowly until a lower rating would have been detected,
// which takes about 200 outcomes, and then double with each doubling of the
// score.
var allowanceSteps = []allowanceStep{
	{0, 8}, {20, 16}, {80, 32}, {320, 64}, {640, 128}, {1280, 256}, {2560, 512}, {5120, Unlimited},
}

// Allowance limits how many requests of a version in roll-out may be pending in
// the pool of an owner. A request is pending from the grant of its credit until
// its outcome is part of counts that the evaluator has confirmed. Outcomes that
// have not reached the evaluator are included because a version that fails
// within milliseconds would otherwise get hundreds of requests between two
// reports.
type Allowance struct {
	// Pools is the number of pools that may run the version. Each owner gets
	// an equal share, without knowing the counts of the others.
	Pools int
	// OK and Failed are the outcomes in this pool that the evaluator has confirmed.
	OK, Failed uint64
}

// Limit returns the largest number of pending requests. It is at least 1, so
// that each pool contributes outcomes.
func (a Allowance) Limit() int {
	pools := max(a.Pools, 1)
	score := float64(a.OK) - failurePenalty*float64(a.Failed)
	limit := allowanceSteps[0].limit
	for _, s := range allowanceSteps {
		if score*float64(pools) >= float64(s.score) {
			limit = s.limit
		}
	}
	if limit == Unlimited {
		return limit
	}
	return max(limit/pools, 1)
}
