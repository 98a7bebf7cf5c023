package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	// staleReportAge is the age from which a load report is ignored. Untracked
	// work would otherwise take up slots forever.
	staleReportAge = 3 * time.Second
	// clockTolerance covers the difference between the clock of an upstream
	// and that of the owner when own credits are compared with a report.
	clockTolerance = 50 * time.Millisecond
	// maxClockStep is the difference from which an older measurement time
	// means that the upstream's clock was set, not that the report is late.
	maxClockStep = time.Minute
	// uptimeTolerance covers rounding in reported uptimes.
	uptimeTolerance = 500 * time.Millisecond
	// maxFailedPolls is the number of failed polls in a row after which an
	// upstream gets no credits while others of its pool can be reached.
	maxFailedPolls = 3
	// loadBuckets divides the loads of an upstream into ranges within which
	// first-token times are compared.
	loadBuckets = 4
	// minFirstTokenSamples is the number of first-token times that a bucket
	// needs before jumps are detected.
	minFirstTokenSamples = 8
	// jumpFactor is the ratio to the mean first-token time that counts as a
	// jump.
	jumpFactor = 3
	// minJump keeps scheduling noise of very fast upstreams from counting.
	minJump = 50 * time.Millisecond
	// jumpsToCold is the number of jumps in a row that return an upstream to
	// its cold limit. A single long prompt must not do so.
	jumpsToCold = 2
	// refusalsToCold is the same for refusals.
	refusalsToCold = 2
	// firstTokenWeight is the weight of a new first-token time in the mean.
	firstTokenWeight = 0.1
	// defaultFirstTokenTarget is the longest first-token time that counts as
	// a success for a model without a configured one.
	defaultFirstTokenTarget = 1100 * time.Millisecond
	// leavingHold is the time for which the leaving flag of a result takes
	// precedence over load reports without it.
	leavingHold = 2 * time.Second
	// arrivalTimeout is the time after which a credit counts as arrived at
	// the upstream. A request arrives within milliseconds, and a restart
	// breaks connections as quickly; engines with a late first token must
	// not be throttled for the whole prefill.
	arrivalTimeout = 250 * time.Millisecond
	// maxPastIncarnations bounds the stored incarnations. Results and load
	// reports from before a restart arrive within seconds.
	maxPastIncarnations = 8
	// historySize bounds the stored changes of the own count.
	historySize = 128
)

// firstTokenMean is the mean first-token time in one range of loads.
type firstTokenMean struct {
	mean    float64 // nanoseconds
	samples int
}

// ownCount is the number of own credits since a time.
type ownCount struct {
	at  time.Time
	own int
}

// upstream is the owner's state of one upstream.
type upstream struct {
	cfg  config.Upstream
	pool *pool
	pos  int // index in the pool
	hash uint64

	limit     int
	capacity  int // from the load report; 0 if it states none
	successes int // in time, since the limit changed
	refusals  int // in a row
	jumps     int // in a row
	coldSince time.Time
	// limitToRestore is the limit once a suspected restart has been ruled
	// out; 0 if none is suspected.
	limitToRestore int
	suspectedAt    time.Time
	// coldUntil is the end of the time in which the limit does not grow.
	coldUntil time.Time

	credits     []*credit // in order of grant
	unconfirmed int       // credits that are not known to have reached the upstream
	untracked   int       // work that a load report shows beyond own credits
	// untrackedSeenAt is the arrival of the last report that certainly
	// showed untracked work.
	untrackedSeenAt time.Time
	history         [historySize]ownCount
	changes         int // number of entries ever written to history

	incarnation string
	// pastIncarnations are the previous incarnations, whose late results and
	// reports must not count as those of a new process.
	pastIncarnations [maxPastIncarnations]string
	incarnations     int // number ever written to pastIncarnations
	incarnationAt    time.Time
	uptime           time.Duration
	measuredAt       time.Time
	reportedAt       time.Time // arrival
	reported         int       // running and queued
	failedPolls      int
	nextPoll         time.Time
	versions         []int16

	reportedVersions []jdaw.ModelVersion

	reportLeaving     bool
	leavingReportedAt time.Time
	inService         bool
	isFree            bool // counted in pool.free
	firstTokens       [loadBuckets]firstTokenMean
	prefixes          prefixRing
}

func newUpstream(at time.Time, p *pool, cfg config.Upstream) *upstream {
	u := &upstream{cfg: cfg, pool: p, hash: xxhash.Sum64String(string(cfg.ID))}
	u.limit = u.coldLimit()
	u.coldUntil = at.Add(u.coldTime())
	u.setVersions()
	return u
}

func parseVersions(names []string) []jdaw.ModelVersion {
	out := make([]jdaw.ModelVersion, 0, len(names))
	for _, n := range names {
		out = append(out, jdaw.ParseModelVersion(n))
	}
	return out
}

func (u *upstream) maxLimit() int {
	limit := max(u.cfg.MaxConcurrent, 1)
	if u.capacity > 0 {
		limit = min(limit, u.capacity)
	}
	return limit
}

func (u *upstream) coldLimit() int {
	return min(max(u.cfg.ColdConcurrent, 1), u.maxLimit())
}

// coldTime is the time after a start in which the upstream can take no more
// than its cold limit, even if all requests succeed.
func (u *upstream) coldTime() time.Duration {
	return time.Duration(u.cfg.ColdMillis) * time.Millisecond
}

// inUse is the number of credits that count against the limit.
func (u *upstream) inUse() int { return len(u.credits) + u.untracked }

// setVersions sets the versions from the configuration or, if it has none, from
// the load report.
func (u *upstream) setVersions() {
	versions := u.reportedVersions
	if len(u.cfg.Versions) > 0 {
		versions = parseVersions(u.cfg.Versions)
	}
	u.versions = u.versions[:0]
	for _, v := range versions {
		u.versions = append(u.versions, u.pool.versionID(v))
	}
}

func (u *upstream) offers(version int16) bool {
	if version == anyVersion {
		return true
	}
	for _, v := range u.versions {
		if v == version {
			return true
		}
	}
	return false
}

// sync updates the upstream's candidate for the chooser.
func (u *upstream) sync() {
	c := &u.pool.candidates[u.pos]
	c.InUse = u.occupied()
	c.Limit = u.limit
	u.countFree()
}

// countFree updates the pool's count of upstreams that can take a request.
func (u *upstream) countFree() {
	isFree := u.inService && u.occupied() < u.limit
	if isFree == u.isFree {
		return
	}
	u.isFree = isFree
	if isFree {
		u.pool.free++
	} else {
		u.pool.free--
	}
}

// occupied is the part of the limit that cannot be granted now.
func (u *upstream) occupied() int {
	if u.isThrottled() {
		return max(u.inUse(), u.limit)
	}
	return u.inUse()
}

// isThrottled reports whether as many credits as a cold process can take are
// not known to have reached the upstream. If it restarts without notice, all
// others end with their connections and only these reach the new process.
func (u *upstream) isThrottled() bool { return u.unconfirmed >= u.coldLimit() }

// started handles the start of the upstream's response for a credit.
func (u *upstream) started(at time.Time, c *credit, incarnation string) {
	u.confirmArrival(c)
	u.sync()
	if u.isNewIncarnation(incarnation) && !u.isPastIncarnation(incarnation) {
		u.setIncarnation(at, incarnation)
		u.uptime = 0
		u.returnToCold(at)
	}
}

func (u *upstream) confirmArrival(c *credit) {
	if c.isUnconfirmed {
		c.isUnconfirmed = false
		u.unconfirmed--
	}
}

// confirmOverdue counts credits as arrived after arrivalTimeout.
func (u *upstream) confirmOverdue(at time.Time) {
	if u.unconfirmed == 0 {
		return
	}
	for _, c := range u.credits {
		if at.Sub(c.grantedAt) >= arrivalTimeout {
			u.confirmArrival(c)
		}
	}
	u.sync()
}

func (u *upstream) add(at time.Time, c *credit) {
	if c.isUnconfirmed {
		u.unconfirmed++
	}
	u.credits = append(u.credits, c)
	u.countChanged(at)
}

func (u *upstream) remove(at time.Time, c *credit) {
	u.confirmArrival(c)
	for i, other := range u.credits {
		if other == c {
			u.credits = append(u.credits[:i], u.credits[i+1:]...)
			break
		}
	}
	u.countChanged(at)
}

func (u *upstream) countChanged(at time.Time) {
	u.history[u.changes%historySize] = ownCount{at: at, own: len(u.credits)}
	u.changes++
	u.sync()
}

// report handles a load report. The count in use must be the larger of the own
// and the reported count, but the report is stale: credits granted since are
// not in it, and credits ended since still are. The report is therefore compared
// with the own count at the time of the measurement. The excess is untracked
// work (of a partitioned VM or another owner), which is added to the own
// count. max(own, reported) alone would grant the same free slot repeatedly
// until the next report when most of the work is untracked.
//
// Releases arrive a little after the upstream has finished, so the own count
// at the measurement is known only within a range. Work is untracked if it
// exceeds the upper end of the range. It then counts until a report shows none
// at the lower end. Two reports that might show none are not sufficient: own
// requests that end around the measurement hide untracked ones.
func (u *upstream) report(at time.Time, r LoadReported) {
	if r.Failed {
		u.failedPolls++
		return
	}
	u.failedPolls = 0
	measured := r.MeasuredAt
	if measured.IsZero() || measured.After(at) {
		measured = at
	}
	if u.isLate(at, r.Incarnation, measured) {
		return
	}
	age := u.measuredAt.Sub(measured)
	if age > 0 && age < maxClockStep {
		return // overtaken by a later report
	}
	restarted := u.isNewIncarnation(r.Incarnation) || r.Uptime+uptimeTolerance < u.uptime
	if restarted {
		u.untracked = 0
		u.leavingReportedAt = time.Time{}
		u.returnToCold(at)
		if r.Uptime > 0 {
			u.coldUntil = at.Add(u.coldTime() - r.Uptime)
		}
	}
	if !restarted {
		u.clearSuspicion(measured)
	}
	u.setIncarnation(at, r.Incarnation)
	u.uptime = r.Uptime
	u.updateColdUntil(at, r.Uptime, measured)
	u.measuredAt, u.reportedAt = measured, at
	u.capacity = r.Capacity
	u.limit = min(u.limit, u.maxLimit())
	u.reported = r.Running + r.Queued
	u.untracked = u.untrackedIn(at, u.reported, measured)
	u.reportLeaving = r.Leaving
	if measured.Sub(u.leavingReportedAt) > leavingHold {
		u.leavingReportedAt = time.Time{}
	}
	u.reportedVersions = r.Versions
	u.setVersions()
	u.sync()
}

// updateColdUntil derives the end of the cold time from a reported uptime. The
// arrival is used instead of the time of the measurement, which is from another
// clock; the cold time thus ends later by the report's lag. A report from before
// the return to the cold limit does not end it.
func (u *upstream) updateColdUntil(at time.Time, uptime time.Duration, measured time.Time) {
	if uptime <= 0 {
		return
	}
	until := at.Add(u.coldTime() - uptime)
	if until.After(u.coldUntil) || measured.After(u.coldSince.Add(clockTolerance)) {
		u.coldUntil = until
	}
}

func (u *upstream) isNewIncarnation(inc string) bool {
	return inc != "" && u.incarnation != "" && inc != u.incarnation
}

// isLate reports whether a load report is from a past incarnation and was
// measured before a result showed the current one. If it was measured later,
// the result was the late one, of a request that a previous owner had granted.
func (u *upstream) isLate(at time.Time, inc string, measured time.Time) bool {
	return u.isPastIncarnation(inc) && measured.Before(u.incarnationAt.Add(clockTolerance)) &&
		at.Sub(u.incarnationAt) < staleReportAge
}

func (u *upstream) isPastIncarnation(inc string) bool {
	if inc == "" || inc == u.incarnation {
		return false
	}
	for _, p := range u.pastIncarnations {
		if p == inc {
			return true
		}
	}
	return false
}

func (u *upstream) setIncarnation(at time.Time, inc string) {
	if inc == "" || inc == u.incarnation {
		return
	}
	u.pastIncarnations[u.incarnations%maxPastIncarnations] = u.incarnation
	u.incarnations++
	u.incarnation = inc
	u.incarnationAt = at
}

func (u *upstream) isReachable() bool { return u.failedPolls < maxFailedPolls }

func (u *upstream) isLeaving() bool {
	return u.reportLeaving || !u.leavingReportedAt.IsZero()
}

// returnToCold resets the limit and restarts slow start.
func (u *upstream) returnToCold(at time.Time) {
	u.pool.stats.ColdReturns++
	u.limit = min(u.limit, u.coldLimit())
	u.limitToRestore = 0
	u.successes = 0
	u.refusals = 0
	u.jumps = 0
	u.coldSince = at
	u.coldUntil = at.Add(u.coldTime())
	u.prefixes.clear(u.pool.holders, u)
	u.sync()
}

// suspectRestart keeps an upstream whose connection broke at the cold limit
// until a load report shows that its process is the same. A restart breaks
// connections before any report shows it.
func (u *upstream) suspectRestart(at time.Time) {
	if u.limitToRestore == 0 {
		u.limitToRestore = max(u.limit/2, u.coldLimit())
	}
	u.suspectedAt = at
	u.limit = min(u.limit, u.coldLimit())
	u.successes = 0
	u.sync()
}

// clearSuspicion restores the limit after a report of the same process.
func (u *upstream) clearSuspicion(measured time.Time) {
	if u.limitToRestore == 0 || !measured.After(u.suspectedAt.Add(clockTolerance)) {
		return
	}
	u.limit = max(u.limit, min(u.limitToRestore, u.maxLimit()))
	u.limitToRestore = 0
}

func (u *upstream) halve() {
	u.limit = max(u.limit/2, u.coldLimit())
	u.successes = 0
	u.sync()
}

// end updates the limit at the end of one of the upstream's credits.
func (u *upstream) end(at time.Time, c *credit, r Released, firstTokenTarget time.Duration) {
	// A late result of a process before a restart does not apply to the
	// current process.
	if u.isPastIncarnation(r.UpstreamIncarnation) {
		return
	}
	if u.isNewIncarnation(r.UpstreamIncarnation) {
		u.setIncarnation(at, r.UpstreamIncarnation)
		u.uptime = 0
		u.returnToCold(at)
	}
	if r.Leaving {
		u.leavingReportedAt = at
	}
	switch r.Outcome {
	case jdaw.OutcomeOK:
		u.succeeded(at, c, r, firstTokenTarget)
	case jdaw.OutcomeFailed:
		u.refusals = 0
		u.halve()
	case jdaw.OutcomeBroken:
		u.refusals = 0
		u.suspectRestart(at)
	case jdaw.OutcomeRefused:
		u.refusals++
		if u.refusals >= refusalsToCold {
			u.returnToCold(at)
			return
		}
		u.halve()
	}
}

func (u *upstream) succeeded(at time.Time, c *credit, r Released, firstTokenTarget time.Duration) {
	u.refusals = 0
	if r.FirstToken > 0 && u.isJump(c, r.FirstToken) {
		u.jumps++
		if u.jumps >= jumpsToCold {
			u.returnToCold(at)
		}
		return
	}
	u.jumps = 0
	if c.grantedAt.Before(u.coldSince) || at.Before(u.coldUntil) || r.FirstToken > firstTokenTarget {
		return
	}
	u.successes++
	if u.successes < u.limit || u.limit >= u.maxLimit() {
		return
	}
	u.limit++
	u.successes = 0
	u.sync()
}

// isJump compares a first-token time with the mean of requests whose prefix is
// not cached. Cached ones do not enter the mean: compared with theirs, each
// cache miss would be a jump, and two misses in a row would return a healthy
// upstream to its cold limit. A jump enters the mean with a bound, so that an
// upstream that stays slower is not kept at its cold limit forever.
func (u *upstream) isJump(c *credit, d time.Duration) bool {
	l := &u.firstTokens[c.bucket]
	v := float64(d)
	bound := jumpFactor * l.mean
	jump := l.samples >= minFirstTokenSamples && v > bound && v > l.mean+float64(minJump)
	if !c.isMiss {
		return jump
	}
	if jump {
		v = bound
	}
	l.samples++
	weight := max(firstTokenWeight, 1/float64(l.samples))
	l.mean += weight * (v - l.mean)
	return jump
}

// bucket returns the range of loads for a request that is granted now.
func (u *upstream) bucket() int {
	return min(loadBuckets-1, u.inUse()*loadBuckets/max(u.cfg.MaxConcurrent, 1))
}

// restart sets the limit after a change of owner: the current load is known to
// fit, and only successes raise the limit. A count above the cold limit in the
// cold time is from the process before a restart.
func (u *upstream) restart(at time.Time) {
	u.limit = u.coldLimit()
	if !at.Before(u.coldUntil) {
		u.limit = min(max(u.limit, u.inUse()), u.maxLimit())
	}
	u.successes = 0
	u.coldSince = at
	u.sync()
}
