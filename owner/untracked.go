package owner

import "time"

// Untracked work runs at an upstream without a credit of this owner, see
// [upstream.report].

// untrackedHold is the time after the last certain evidence of untracked work
// for which inconclusive reports still count it. Requests of a partitioned VM
// run for at most the default time limit of a request.
const untrackedHold = 30 * time.Second

// ownAround returns the lowest and highest possible number of own requests at
// the upstream around time t, within clockTolerance. Credits released in this
// interval may have ended before t, even if others were granted at the same
// moment; those granted in it may have arrived before t. If t is older than the
// history, the oldest count in it is used.
func (u *upstream) ownAround(t time.Time) (least, most int) {
	from, to := t.Add(-clockTolerance), t.Add(clockTolerance)
	oldest := max(0, u.changes-historySize)
	i := u.changes - 1
	for i >= oldest && u.history[i%historySize].at.After(to) {
		i--
	}
	released := 0
	for ; i >= oldest; i-- {
		h := u.history[i%historySize]
		most = max(most, h.own)
		if !h.at.After(from) {
			return max(h.own-released, 0), most
		}
		if h.own < u.ownBefore(i, oldest) {
			released++
		}
	}
	before := u.ownBefore(oldest, oldest)
	return max(before-released, 0), max(most, before)
}

// ownBefore returns the own count before a change in the history.
func (u *upstream) ownBefore(change, oldest int) int {
	switch {
	case change > oldest:
		return u.history[(change-1)%historySize].own
	case oldest == 0:
		return 0
	}
	return u.history[oldest%historySize].own
}

func (u *upstream) untrackedIn(at time.Time, reported int, measured time.Time) int {
	least, most := u.ownAround(measured)
	atMost := max(0, reported-least)
	if reported > most {
		u.untrackedSeenAt = at
		return atMost
	}
	if !u.mayHaveUntracked(at) {
		return 0
	}
	return min(u.untracked, atMost)
}

func (u *upstream) mayHaveUntracked(at time.Time) bool {
	return at.Sub(u.untrackedSeenAt) <= untrackedHold
}

// reserveUnknown keeps the slot of a credit that was freed without a release
// until the next load report. The credit may have ended before the last report,
// which then showed untracked work in its slot.
func (u *upstream) reserveUnknown(at time.Time) {
	if u.mayHaveUntracked(at) {
		u.untracked++
	}
}

// dropStaleReport resets the untracked work if reports stopped.
func (u *upstream) dropStaleReport(at time.Time) {
	if u.untracked > 0 && at.Sub(u.reportedAt) > staleReportAge {
		u.untracked = 0
		u.sync()
	}
}
