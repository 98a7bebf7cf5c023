package relay

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// exclusion is the reason why an upstream is no candidate for a request.
type exclusion string

const (
	notExcluded       exclusion = ""
	excludedVersion   exclusion = "otherVersion"
	excludedLeaving   exclusion = "leaving" // by its entry
	excludedOut       exclusion = "dataCentreOut"
	excludedAttempted exclusion = "attempted" // by the same request
	excludedOutlier   exclusion = "outlier"   // by the counts of all VMs
	excludedNotice    exclusion = "leavingNotice"
	excludedPause     exclusion = "pause"
	excludedReplaced  exclusion = "replaced"
	excludedEjected   exclusion = "ejected"
	excludedCold      exclusion = "coldQuota" // this VM's share of the cold rate is used
	excludedFull      exclusion = "full"      // by its own report
)

// filter decides which upstreams are candidates for one request.
type filter struct {
	p          *picker
	at         time.Time
	st         *fleet.State
	spec       config.ServiceSpec
	q          *pickRequest
	outliers   map[jdaw.UpstreamKey]bool
	isStrict   bool
	checksFull bool
	// version is that of the last upstream, and isWanted its result.
	version  string
	isWanted bool
}

// filterFor returns the filter for a request. Ejected upstreams, outliers and full ones
// pass only if not strict.
func (p *picker) filterFor(at time.Time, st *fleet.State, spec config.ServiceSpec, q *pickRequest, strict bool) filter {
	f := filter{
		p: p, at: at, st: st, spec: spec, q: q, isStrict: strict, checksFull: p.hasReports && strict && q.isPlain(),
		isWanted: st.WantsVersion(q.service, "", q.sample),
	}
	if p.backlogs != nil && strict {
		f.outliers = p.backlogs.Outliers()
	}
	return f
}

// exclusionOf returns why an upstream is no candidate, or notExcluded.
func (f *filter) exclusionOf(u *fleet.Upstream, s *upstreamState) exclusion {
	if u.Version != f.version {
		f.version, f.isWanted = u.Version, f.st.WantsVersion(f.q.service, u.Version, f.q.sample)
	}
	switch {
	case !f.isWanted:
		return excludedVersion
	case !isInService(f.st, u):
		if u.Leaving {
			return excludedLeaving
		}
		return excludedOut
	case len(f.q.exclude) > 0 && contains(f.q.exclude, u.ID):
		return excludedAttempted
	case len(f.outliers) > 0 && f.outliers[s.key]:
		return excludedOutlier
	}
	isRestricted := s.isRestricted && f.at.Before(s.restrictedUntil)
	if isRestricted || !u.ColdUntil.IsZero() {
		if why := f.restrictionOf(u, s, isRestricted); why != notExcluded {
			return why
		}
	}
	if f.checksFull && s.pace.IsFull(f.at) {
		return excludedFull
	}
	return notExcluded
}

// restrictionOf returns which temporary restriction of an upstream excludes it.
func (f *filter) restrictionOf(u *fleet.Upstream, s *upstreamState, isRestricted bool) exclusion {
	if isRestricted {
		switch {
		case s.notices.isLeaving:
			return excludedNotice
		case s.notices.isPaused(f.at):
			return excludedPause
		case f.at.Before(s.replacedUntil):
			return excludedReplaced
		case f.isStrict && f.at.Before(s.ejectedUntil):
			return excludedEjected
		}
	}
	if f.p.isCold(f.at, u, s) && !f.p.mayUseCold(f.at, f.st, f.spec, u, s) {
		return excludedCold
	}
	return notExcluded
}
