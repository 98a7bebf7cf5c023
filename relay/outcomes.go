package relay

import (
	"math"
	"time"

	"jackdawbarrow"
)

// outcomeDecay is the time in which the weight of an outcome falls to a third.
// A failing upstream is detected within a second, and an ejected one gets
// requests again after about twice this time.
const outcomeDecay = 2 * time.Second

// recentOutcomes counts outcomes with exponential decay.
type recentOutcomes struct {
	ended  float64
	failed float64
	at     time.Time
}

// add counts an outcome that indicates the health of the upstream. Rejections by
// a full upstream don't count: its load covers them.
func (r *recentOutcomes) add(at time.Time, o outcome) {
	switch o {
	case outcomeOK, outcomeFailed, outcomeUnreachable:
	default:
		return
	}
	r.decay(at)
	r.ended++
	if o != outcomeOK {
		r.failed++
	}
}

func (r *recentOutcomes) decay(at time.Time) {
	if since := at.Sub(r.at); since > 0 {
		weight := math.Exp(-since.Seconds() / outcomeDecay.Seconds())
		r.ended *= weight
		r.failed *= weight
		r.at = at
	}
}

// counts returns the weighted counts in units of 1/[jdaw.OutcomeUnit].
func (r *recentOutcomes) counts(at time.Time) (ended, failed uint32) {
	r.decay(at)
	return uint32(r.ended * jdaw.OutcomeUnit), uint32(r.failed * jdaw.OutcomeUnit)
}
