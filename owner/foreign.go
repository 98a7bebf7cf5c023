package owner

import "time"

// Foreign work runs at an upstream without a credit of this owner, see
// [upstream.report].

// foreignHold is the time after the last certain sign of foreign work for
// which it counts on reports that leave it open. Requests of a cut-off VM
// run for at most the default time limit of a request.
const foreignHold = 30 * time.Second

// ownAround returns how many own requests ran at the upstream at the least and
// at the most around time t. Credits that were released in this span may have
// ended before t, also when others were granted in the same moment; those that
// were granted in it may have arrived before t. If t is older than the history,
// the oldest count in it stands for those before.
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

func (u *upstream) foreignIn(at time.Time, reported int, measured time.Time) int {
	least, most := u.ownAround(measured)
	atMost := max(0, reported-least)
	if reported > most {
		u.foreignSeen = at
		return atMost
	}
	if !u.mayHaveForeign(at) {
		return 0
	}
	return min(u.foreign, atMost)
}

func (u *upstream) mayHaveForeign(at time.Time) bool { return at.Sub(u.foreignSeen) <= foreignHold }

// reserveUnknown keeps the place of a credit whose end nobody has reported until
// the next load report. It may have ended before the last one, which then showed
// foreign work in its place.
func (u *upstream) reserveUnknown(at time.Time) {
	if u.mayHaveForeign(at) {
		u.foreign++
	}
}

// dropStaleReport forgets foreign work if reports stopped.
func (u *upstream) dropStaleReport(at time.Time) {
	if u.foreign > 0 && at.Sub(u.reportedAt) > staleReport {
		u.foreign = 0
		u.sync()
	}
}
