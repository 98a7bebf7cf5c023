package pace

import (
	"math"
	"time"

	"jackdawbarrow"
)

const (
	// minSlowdown and maxSlowdown limit the stated slowdown that is used. An
	// absurd figure must not take all requests from an upstream or draw them all.
	minSlowdown = 0.5
	maxSlowdown = 5
	// maxReported times the slots limits the stated number of requests.
	maxReported = 8
	// fullTime is the age up to which a report of full slots and queue holds.
	// Plain requests end after some tens of milliseconds.
	fullTime = 100 * time.Millisecond
)

func clampSlowdown(slowdown float64) float64 {
	return min(max(slowdown, minSlowdown), maxSlowdown)
}

// Upstream is what one VM knows of the speed and load of one process of an
// upstream. Its service has to state slowdowns; see [Service.Reports].
type Upstream struct {
	service *Service
	// base is the base speed with the samples othersTimed and othersSpeed of other
	// VMs, 0 if those of this VM have changed since. baseTime is its reciprocal.
	base, baseTime           float64
	othersTimed, othersSpeed uint32
	slowUntil                time.Time // when the stated slowdown is over
	excess                   float64   // stated slowdown above 1
	// timed and speed are the decayed number of samples and the sum of their
	// speeds.
	timed, speed float64
	reportAt     time.Time
	report       jdaw.LoadReport
	sent         int // requests of this VM since reportAt
	// fullAt is the number of requests at which the upstream refused one; 0 if it
	// never did.
	fullAt    int
	decayedAt time.Time
}

// NewUpstream returns an upstream of base speed 1.
func (s *Service) NewUpstream() Upstream { return Upstream{service: s} }

// Service returns the service of the upstream.
func (u *Upstream) Service() *Service { return u.service }

// Report records the load that the upstream stated. isRefused is set in the
// response to a request that it rejected as full.
func (u *Upstream) Report(at time.Time, r jdaw.LoadReport, isRefused bool) {
	if !r.IsKnown() {
		return
	}
	u.report, u.reportAt, u.sent = r, at, 0
	u.slowUntil, u.excess = at, 0
	if r.Slowdown > 0 {
		u.slowUntil, u.excess = at.Add(u.service.cfg.SlowdownTime), clampSlowdown(r.Slowdown)-1
		u.service.slowdownAt, u.service.hasSlowdowns = at, true
	}
	if isRefused && r.Running >= r.Slots {
		u.fullAt = min(r.Running+r.Waiting, maxReported*r.Slots)
	}
}

// Sent records a request to the upstream.
func (u *Upstream) Sent() { u.sent++ }

// Observe adds a measured duration.
func (u *Upstream) Observe(at time.Time, x Sample) {
	speed, ok := u.service.observe(x)
	if !ok {
		return
	}
	u.decay(at)
	u.timed += x.Kind.weight()
	u.speed += x.Kind.weight() * speed
	u.base = 0
}

func (u *Upstream) decay(at time.Time) {
	if since := at.Sub(u.decayedAt); since > 0 {
		weight := math.Exp2(-since.Seconds() / u.service.cfg.HalfLife.Seconds())
		u.timed *= weight
		u.speed *= weight
		u.base, u.decayedAt = 0, at
	}
}

// Samples returns the samples of this VM for other VMs, in units of
// 1/[jdaw.OutcomeUnit].
func (u *Upstream) Samples(at time.Time) (timed, speed uint32) {
	u.decay(at)
	return uint32(math.Round(u.timed * jdaw.OutcomeUnit)), uint32(math.Round(u.speed * jdaw.OutcomeUnit))
}

// Base returns the base speed relative to the other upstreams of the service.
// others are the samples of other VMs.
func (u *Upstream) Base(others jdaw.UpstreamLoad) float64 {
	if u.base == 0 || u.othersTimed != others.Timed || u.othersSpeed != others.Speed {
		cfg := &u.service.cfg
		timed := u.timed + float64(others.Timed)/jdaw.OutcomeUnit
		speed := u.speed + float64(others.Speed)/jdaw.OutcomeUnit
		u.base = min(max((cfg.PriorSamples+speed)/(cfg.PriorSamples+timed), cfg.MinSpeed), cfg.MaxSpeed)
		u.baseTime, u.othersTimed, u.othersSpeed = 1/u.base, others.Timed, others.Speed
	}
	return u.base
}

// Slowdown returns the stated slowdown, which falls to 1 as it ages.
func (u *Upstream) Slowdown(at time.Time) float64 {
	if u.excess == 0 || !at.Before(u.slowUntil) {
		return 1
	}
	return 1 + u.excess*min(float64(u.slowUntil.Sub(at))/float64(u.service.cfg.SlowdownTime), 1)
}

// BaseTime returns the time that work usually takes, relative to an upstream of
// base speed 1. It is meant for work that outlasts a slowdown.
func (u *Upstream) BaseTime(others jdaw.UpstreamLoad) float64 {
	u.Base(others)
	return u.baseTime
}

// RelativeTime returns the time that short work takes now, relative to an
// upstream of speed 1.
func (u *Upstream) RelativeTime(at time.Time, others jdaw.UpstreamLoad) float64 {
	return u.BaseTime(others) * u.Slowdown(at)
}

// stretch returns the time for work that takes d without a slowdown. Longer work
// is slowed down for a part of its time only.
func (u *Upstream) stretch(at time.Time, d time.Duration) time.Duration {
	return d + time.Duration((u.Slowdown(at)-1)*float64(min(d, max(u.slowUntil.Sub(at), 0)/2)))
}

// InFlight returns the number of requests at the upstream, given the number that
// VMs counted. The latest report replaces the count while it is fresh.
func (u *Upstream) InFlight(at time.Time, counted int) float64 {
	if !u.report.IsKnown() {
		return float64(counted)
	}
	age := at.Sub(u.reportAt)
	if age >= u.service.cfg.ReportTime {
		return float64(counted)
	}
	weight := 1 - float64(max(age, 0))/float64(u.service.cfg.ReportTime)
	stated := min(u.report.Running+u.report.Waiting, maxReported*u.report.Slots) + u.sent
	return float64(counted) + weight*float64(stated-counted)
}

// IsFull reports whether a fresh report says that the upstream holds as many
// requests as when it last refused one.
func (u *Upstream) IsFull(at time.Time) bool {
	return u.fullAt > 0 && u.report.IsKnown() && at.Sub(u.reportAt) < fullTime && u.report.Running+u.report.Waiting+u.sent >= u.fullAt
}
