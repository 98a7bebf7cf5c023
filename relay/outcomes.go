package relay

import (
	"math"
	"time"

	"jackdawbarrow"
)

// outcomeDecay is the time in which the weight of an outcome falls to a third.
// An upstream that fails is found within a second, and one that was left out
// gets requests again after about two such times.
const outcomeDecay = 2 * time.Second

// recentOutcomes counts outcomes with weights that decay.
type recentOutcomes struct {
	ended  float64
	failed float64
	at     time.Time
}

// add counts an outcome that says something of the upstream. Refusals of a full
// one do not: its load does.
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

// counts returns the weights in parts of [jdaw.OutcomeUnit].
func (r *recentOutcomes) counts(at time.Time) (ended, failed uint32) {
	r.decay(at)
	return uint32(r.ended * jdaw.OutcomeUnit), uint32(r.failed * jdaw.OutcomeUnit)
}
