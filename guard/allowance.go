package guard

import "math"

// Unlimited is the limit of a proven version.
const Unlimited = math.MaxInt

// failurePrice is the number of good outcomes that one failure takes back. At
// the failure rate that the guard looks for, 0.20, the score does not grow.
const failurePrice = 4

// allowanceStep raises the limit at a score.
type allowanceStep struct {
	score, limit int
}

// allowanceSteps grow slowly until a lower rating would have been found, which
// takes about 200 outcomes, and then double with each doubling of the score.
var allowanceSteps = []allowanceStep{
	{0, 8}, {20, 16}, {80, 32}, {320, 64}, {640, 128}, {1280, 256}, {2560, 512}, {5120, Unlimited},
}

// Allowance tells a pool owner how many requests of a version in roll-out may
// be pending in its pool. A request is pending from the grant of its credit
// until its outcome is part of counts that the judge has confirmed. Outcomes
// that have not reached the judge are included because a version that fails
// within milliseconds would otherwise see hundreds of requests between two
// reports.
type Allowance struct {
	// Pools is the number of pools that may run the version. Each owner gets
	// an equal share, without knowing the counts of the others.
	Pools int
	// OK and Failed are the outcomes in this pool that the judge has confirmed.
	OK, Failed uint64
}

// Limit returns the largest number of pending requests. It is at least 1, so
// that each pool contributes outcomes.
func (a Allowance) Limit() int {
	pools := max(a.Pools, 1)
	score := float64(a.OK) - failurePrice*float64(a.Failed)
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
