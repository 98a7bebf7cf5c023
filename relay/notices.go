package relay

import (
	"math"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
)

// noticeRetention is the time for which notices outlast the entry of their
// upstream: after an outage of the store, the entry of the same process may
// return.
const noticeRetention = 10 * time.Minute

// notices are what one process of an upstream said about itself in its responses
// to this VM. The list of upstreams may say the same later, or never.
type notices struct {
	isLeaving   bool      // until the process ends
	pausedUntil time.Time // the upstream wants no requests from this VM before
	at          time.Time // of the last notice
}

// noticeKind is a notice that changed what this VM sends to an upstream.
type noticeKind string

const (
	noticeLeaving noticeKind = "leaving"
	noticePause   noticeKind = "pause"
	noticeInvalid noticeKind = "invalid" // a malformed pause, which is ignored
)

// with returns the notices after a response, and which of them are new. A
// shorter pause doesn't end a longer one.
func (n notices) with(at time.Time, info jdaw.Answer) (notices, []noticeKind) {
	var changes []noticeKind
	if info.IsLeaving && !n.isLeaving {
		n.isLeaving, n.at = true, at
		changes = append(changes, noticeLeaving)
	}
	if until := at.Add(info.Pause); info.Pause > 0 && until.After(n.pausedUntil) {
		if !n.isPaused(at) {
			changes = append(changes, noticePause)
		}
		n.pausedUntil, n.at = until, at
	}
	if info.InvalidPause != "" {
		changes = append(changes, noticeInvalid)
	}
	return n, changes
}

// end returns the time from which the notices forbid nothing.
func (n notices) end() time.Time {
	if n.isLeaving {
		return n.at.Add(math.MaxInt64)
	}
	return n.pausedUntil
}

func (n notices) isPaused(at time.Time) bool { return at.Before(n.pausedUntil) }

// forbidsRequests reports whether the upstream must get no new requests, even if
// no other upstream can take them.
func (n notices) forbidsRequests(at time.Time) bool { return n.isLeaving || n.isPaused(at) }

// isRetained reports whether the notices are kept without an entry of the
// upstream.
func (n notices) isRetained(at time.Time) bool {
	return n.forbidsRequests(at) && at.Sub(n.at) < noticeRetention
}

// notice records the notices of a response and returns which are new. A response
// from an earlier process of the upstream changes nothing.
func (res *reservation) notice(at time.Time, info jdaw.Answer) []noticeKind {
	p := res.p
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.upstreams[res.ID]
	if s == nil || s.startedAt != res.Born {
		return nil
	}
	var changes []noticeKind
	s.notices, changes = s.notices.with(at, info)
	s.restrict(s.notices.end())
	s.report(at, res, info)
	return changes
}

// nextReturn returns the time until the first upstream that could serve the
// request ends its pause, or 0 unless all of them have paused this VM's
// requests.
func (p *picker) nextReturn(at time.Time, st *fleet.State, q pickRequest) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := time.Duration(0)
	list := st.Upstreams[q.service]
	for i := range list {
		u := &list[i]
		if !isEligible(st, u, q) {
			continue
		}
		n := p.stateOf(u).notices
		if n.isLeaving {
			continue
		}
		wait := n.pausedUntil.Sub(at)
		if wait <= 0 {
			return 0
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	return first
}
