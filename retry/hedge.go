package retry

import "time"

// pressureShare is the share of a service's slots in use above which no hedge is
// sent: its upstream would take the slot from a first attempt.
const pressureShare = 0.7

// Hedge is what bears on a hedge besides the state of its request, in which the
// running attempt counts as used.
type Hedge struct {
	Elapsed time.Duration // since the first attempt was sent
	Latency Latency       // of the route at the service
	// IsHedged is set if a hedge of the request is running or has ended.
	IsHedged bool
	// IsStated is set if the service's upstreams state their slowdown.
	IsStated bool
	// IsInRollout is set during a roll-out of the service. Cancelled answers would
	// hide a slow version from the guard.
	IsInRollout bool
	// Occupancy is the share of the service's slots in use, 0..1.
	Occupancy float64
}

// DecideHedge reports whether a second upstream is asked while the first attempt
// goes on. take takes the hedge from the operator's share and from the retry budget.
func DecideHedge(q Request, h Hedge, take func() bool) Verdict {
	delay := h.Latency.Delay()
	switch {
	case h.IsHedged:
		return AlreadyHedged
	case !h.IsStated:
		return NotStated
	case h.IsInRollout:
		return InRollout
	case delay <= 0:
		return NotLearned
	case h.Elapsed < delay:
		return NotLate
	case q.Remaining < h.Latency.Median():
		return PastDeadline // the hedge would most likely end after it
	case h.Occupancy > pressureShare:
		return UnderPressure
	}
	return Decide(q, CauseHedged, take)
}
