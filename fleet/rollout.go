package fleet

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/guard"
)

// step is a share of the new version. It ends when a part of the roll-out's
// time has passed, or at a time before the deadline.
type step struct {
	share     float64 // of requests without a session
	session   float64 // of sessions
	until     float64 // part of the time; 0 if beforeEnd counts
	beforeEnd time.Duration
}

// steps keep what an undetected bad version gets under the exposure that is
// allowed until the deadline (12 % on the largest deployment), because some
// faults show only under load: the new version gets most requests in the last
// seconds alone. VMs see a step up to 0.4 s late. A session that is active when
// its share begins changes its version, which must stay rare in the first half.
// In the last step all VMs leave the old version, whose upstreams are stopped
// when the roll-out is completed.
var steps = []step{
	{share: 0.08, session: 0.02, until: 0.51},
	{share: 0.08, session: fromExposure, beforeEnd: 1250 * time.Millisecond},
	{share: 1, session: 1, beforeEnd: 850 * time.Millisecond},
}

// fromExposure stands for the share that uses the exposure left by the other
// steps.
const fromExposure = -1

// sessionShare returns the share of sessions in a step of a roll-out.
func sessionShare(index int, duration time.Duration, exposure float64) float64 {
	if steps[index].session != fromExposure {
		return steps[index].session
	}
	rest, own, from := exposure-exposureMargin, 0.0, time.Duration(0)
	for i, s := range steps {
		until := s.end(duration)
		if i == len(steps)-1 {
			until = duration
		}
		part := float64(until-from) / float64(duration)
		from = until
		if i == index {
			own = part
			continue
		}
		rest -= part * s.session
	}
	return min(max(rest/own, steps[0].session), maxTrialShare)
}

// exposureMargin is reserved for bursts in the last step, which may exceed
// twice the usual request rate. With last steps of 2 s, 1361 of 9527 requests
// reached the new version where 1173 were allowed.
const exposureMargin = 0.04

// reviewLeadTime is the time before the last step at which the guard reviews the
// version; its response must arrive before the next tick.
const reviewLeadTime = 250 * time.Millisecond

// rewriteInterval is the time after which the evaluator repeats the write
// that ends a roll-out. It is longer than the evaluator's pause between two watches, and leaves
// time for a second write before the deadline.
const rewriteInterval = 450 * time.Millisecond

// maxTrialShare bounds the requests that an undecided version gets; one whose
// completion is held past its deadline gets as many.
const maxTrialShare = 0.2

const (
	// holdTime is the time from a review that found too few answers to the next.
	holdTime = 250 * time.Millisecond
	// maxHolds times the duration of a roll-out is the age at which a version that
	// is still held is rolled back: its upstreams answer hardly anything.
	maxHolds = 2
)

// seenTime is the time in which all VMs see a step.
const seenTime = 400 * time.Millisecond

// end returns the time from the order to the end of the step.
func (s step) end(duration time.Duration) time.Duration {
	if s.beforeEnd > 0 {
		return duration - s.beforeEnd
	}
	return time.Duration(s.until * float64(duration))
}

// rollout is the machine's state of one roll-out.
type rollout struct {
	Rollout
	requestedState RolloutState // last state that this VM requested to write
	requestedAt    time.Time
	stable         string // the version that it replaces; empty until known
	isReviewed     bool   // the guard was asked to review it before completion
	reportedAt     uint64 // revision of the last report
	// heldUntil is the time of the next review, if the last one found too few
	// answers, and lastStepAt the time at which this VM saw the last step.
	heldUntil  time.Time
	lastStepAt time.Time
	// The order was written after notBefore, and before notAfter.
	notBefore, notAfter time.Time
}

// setOrderWindow sets the time window in which the order was written. Its
// middle counts as the start.
func (r *rollout) setOrderWindow(notBefore, notAfter time.Time) {
	r.notBefore, r.notAfter = notBefore, notAfter
	r.StartedAt = notBefore.Add(notAfter.Sub(notBefore) / 2)
}

// upstreamStarted narrows the window: the upstreams of the new version are started
// after the order. When the store's watches return nothing, an order is read up to
// 3.5 s late, and half of that is a deadline missed by a second. The start of an
// upstream is by another clock, so it is used only within the window.
func (r *rollout) upstreamStarted(at time.Time, u *Upstream) {
	if u.Service != r.Service || u.Version != r.Version || u.Born == 0 || r.State != RolloutRunning {
		return
	}
	started := at.Add(-time.Duration(at.UnixMilli()-u.Born) * time.Millisecond)
	if started.After(r.notBefore) && started.Before(r.notAfter) {
		r.setOrderWindow(r.notBefore, started)
	}
}

// StepSeen is the step written by the evaluator.
type StepSeen struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Order     uint64 `json:"order"`
	Step      int    `json:"step"`
	StartedAt int64  `json:"startedAt"` // Unix milliseconds by the evaluator's clock
	Revision  uint64 `json:"-"`
}

// EventName implements [jdaw.Event].
func (StepSeen) EventName() string { return "stepSeen" }

// VersionSuspended reports that the guard suspended a version.
type VersionSuspended struct {
	Version jdaw.ModelVersion
	Reason  string
}

// EventName implements [jdaw.Event].
func (VersionSuspended) EventName() string { return "versionSuspended" }

// VersionHeld reports that the guard knows too little of a version that is about
// to complete.
type VersionHeld struct {
	Version jdaw.ModelVersion
}

// EventName implements [jdaw.Event].
func (VersionHeld) EventName() string { return "versionHeld" }

// WriteRollout is the action that writes the state of a roll-out.
type WriteRollout struct {
	Service string
	Version string
	State   RolloutState
	Reason  string
	// After is the revision of the last report, which must still be the last.
	After uint64
}

// ActionName implements [jdaw.Action].
func (WriteRollout) ActionName() string { return "writeRollout" }

// ReviewVersion is the action that asks the guard about a version which is
// about to complete.
type ReviewVersion struct {
	Version jdaw.ModelVersion
}

// ActionName implements [jdaw.Action].
func (ReviewVersion) ActionName() string { return "reviewVersion" }

// WriteStep is the action that writes the step of a roll-out.
type WriteStep struct {
	Step  StepSeen
	After uint64 // as for WriteRollout
}

// ActionName implements [jdaw.Action].
func (WriteStep) ActionName() string { return "writeStep" }

func (m *Machine) rolloutOrdered(at time.Time, ev RolloutOrdered) {
	// Half of the longest time that the order may have been in the store is the
	// best estimate: the steps end early enough for the other half, and with all of
	// it the last step was 0.7 s longer.
	notBefore := at.Add(-ev.Lag)
	r := m.rollouts[ev.Service]
	if ev.Removed {
		// The version keeps its last state: without the order, an undecided version
		// must not get more requests than before.
		if r != nil && r.State == RolloutRunning {
			r.State, r.Share, r.SessionShare = RolloutRolledBack, 0, 0
			m.dirty = true
		}
		return
	}
	if m.reload != nil {
		m.reload.orders[ev.Service] = true
	}
	if r != nil && r.Order == ev.Revision {
		return
	}
	if r != nil && r.Order == 0 && r.Version == ev.Version && r.reportedAt > ev.Revision {
		// The report of this order was read first.
		r.Order, r.Duration = ev.Revision, ev.Duration
		r.setOrderWindow(notBefore, at)
		return
	}
	r = &rollout{Rollout: Rollout{
		Service: ev.Service, Version: ev.Version, State: RolloutRunning,
		Share: steps[0].share, SessionShare: steps[0].session, Order: ev.Revision, Duration: ev.Duration,
	}}
	r.setOrderWindow(notBefore, at)
	for _, u := range m.upstreams {
		r.upstreamStarted(at, u)
	}
	m.rollouts[ev.Service] = r
	m.dirty = true
}

// rolloutReported applies the state that an evaluator reported. A report
// older than the order belongs to an earlier roll-out.
func (m *Machine) rolloutReported(ev RolloutReported) {
	if ev.Removed {
		delete(m.reports, ev.Service)
		return
	}
	m.reports[ev.Service] = ev.Revision
	if m.reload != nil {
		m.reload.orders[ev.Service] = true
	}
	r := m.rollouts[ev.Service]
	if r == nil {
		r = &rollout{Rollout: Rollout{Service: ev.Service, Version: ev.Version, State: RolloutRunning}}
		m.rollouts[ev.Service] = r
	}
	if ev.Revision < r.Order || ev.Version != r.Version {
		return
	}
	r.State = ev.State
	r.reportedAt = ev.Revision
	switch ev.State {
	case RolloutCompleted:
		r.Share, r.SessionShare = 1, 1
	case RolloutRolledBack:
		r.Share, r.SessionShare = 0, 0
	}
	m.dirty = true
}

func (m *Machine) stepSeen(at time.Time, ev StepSeen) {
	m.steps[ev.Service] = ev.Revision
	r := m.rollouts[ev.Service]
	if r == nil || r.Order != ev.Order || r.State != RolloutRunning || ev.Step < 0 || ev.Step >= len(steps) {
		return
	}
	if ev.Step > r.StepIndex {
		r.StepIndex = ev.Step
		if ev.Step == len(steps)-1 {
			r.lastStepAt = at
		}
		r.Share, r.SessionShare = steps[ev.Step].share, sessionShare(ev.Step, r.Duration, m.cfg.Exposure)
		m.dirty = true
	}
	// A VM that has just started takes the age of the roll-out from the
	// timestamp; clocks may be wrong, so it only moves the start back.
	since := time.Duration(at.UnixMilli()-ev.StartedAt) * time.Millisecond
	if since > 0 && since < r.Duration && at.Add(-since).Before(r.StartedAt) {
		r.StartedAt = at.Add(-since)
	}
}

// versionSuspended stops a version and writes its roll-back. The event
// occurs only on the VM that evaluates the version: only its guard decides.
func (m *Machine) versionSuspended(at time.Time, ev VersionSuspended) []jdaw.Action {
	r := m.rollouts[ev.Version.Model]
	if r == nil || r.Version != ev.Version.Version || r.State != RolloutRunning {
		return nil
	}
	r.Share, r.SessionShare = 0, 0
	m.dirty = true
	return append(m.publish(), m.decide(at, r, RolloutRolledBack, ev.Reason)...)
}

// versionHeld postpones the completion until the next review.
func (m *Machine) versionHeld(at time.Time, v jdaw.ModelVersion) {
	if r := m.rollouts[v.Model]; r != nil && r.Version == v.Version && r.State == RolloutRunning {
		r.isReviewed, r.heldUntil = false, at.Add(holdTime)
	}
}

// raiseHeld gives versions more requests whose completion is held past their
// deadline, on each VM by itself.
func (m *Machine) raiseHeld(at time.Time) {
	for _, r := range m.rollouts {
		isHeld := r.State == RolloutRunning && r.Order != 0 && at.After(r.Deadline()) && r.StepIndex < len(steps)-1
		if isHeld && r.SessionShare > 0 && r.SessionShare < maxTrialShare {
			r.Share, r.SessionShare = maxTrialShare, maxTrialShare
			m.dirty = true
		}
	}
}

// advance writes the next step of each roll-out that this VM evaluates.
func (m *Machine) advance(at time.Time) []jdaw.Action {
	var actions []jdaw.Action
	for _, r := range m.rollouts {
		if r.State != RolloutRunning || r.Order == 0 || !m.isEvaluator(r) {
			continue
		}
		if r.requestedState == RolloutRolledBack {
			actions = append(actions, m.decide(at, r, RolloutRolledBack, "")...)
			continue
		}
		actions = append(actions, m.advanceOne(at, r)...)
	}
	return actions
}

func (m *Machine) advanceOne(at time.Time, r *rollout) []jdaw.Action {
	if r.requestedState == "" {
		r.requestedState = RolloutRunning
		return []jdaw.Action{
			m.writeRollout(r, RolloutRunning, ""),
			m.writeStep(r, r.StepIndex),
		}
	}
	// The completion does not wait until the last step is seen: its round trip
	// through the store would exceed the deadline.
	last, past := len(steps)-1, at.Sub(r.StartedAt)
	left := steps[last].end(r.Duration) - past
	isReviewDue := past >= steps[last-1].end(r.Duration)-reviewLeadTime
	isHeld := !r.heldUntil.IsZero()
	switch {
	case isHeld && !r.isReviewed && past > maxHolds*r.Duration:
		return m.decide(at, r, RolloutRolledBack, "too few answers to complete the version")
	case at.Before(r.heldUntil):
		return nil
	case isReviewDue && !r.isReviewed:
		r.isReviewed = true
		return []jdaw.Action{ReviewVersion{Version: jdaw.ModelVersion{Model: r.Service, Version: r.Version}}}
	case !m.hasUpstreams(r):
		return nil
	case isHeld && r.StepIndex < last:
		return []jdaw.Action{m.writeStep(r, last)}
	case isHeld && at.Sub(r.lastStepAt) < seenTime:
		return nil
	case left <= 0:
		return m.decide(at, r, RolloutCompleted, "")
	case r.StepIndex < last && past >= steps[r.StepIndex].end(r.Duration):
		return []jdaw.Action{m.writeStep(r, r.StepIndex+1)}
	}
	return nil
}

// decide writes the end of a roll-out, and repeats the write only if it is
// not seen in time: each write is billed.
func (m *Machine) decide(at time.Time, r *rollout, state RolloutState, reason string) []jdaw.Action {
	if r.requestedState == state && at.Sub(r.requestedAt) < rewriteInterval {
		return nil
	}
	r.requestedState, r.requestedAt = state, at
	return []jdaw.Action{m.writeRollout(r, state, reason)}
}

func (m *Machine) writeRollout(r *rollout, state RolloutState, reason string) WriteRollout {
	return WriteRollout{Service: r.Service, Version: r.Version, State: state, Reason: reason, After: m.reports[r.Service]}
}

func (m *Machine) writeStep(r *rollout, index int) WriteStep {
	return WriteStep{After: m.steps[r.Service], Step: StepSeen{
		Service: r.Service, Version: r.Version, Order: r.Order, Step: index, StartedAt: r.StartedAt.UnixMilli(),
	}}
}

// hasUpstreams reports whether an upstream of the new version is in service.
func (m *Machine) hasUpstreams(r *rollout) bool {
	for _, u := range m.upstreams {
		if u.Service == r.Service && u.Version == r.Version && !u.Leaving {
			return true
		}
	}
	return false
}

func (m *Machine) isEvaluator(r *rollout) bool {
	if m.view == nil {
		return false
	}
	v := jdaw.ModelVersion{Model: r.Service, Version: r.Version}
	evaluator, ok := guard.Evaluator(m.view, m.snapshot, m.cfg.Region, v)
	return ok && evaluator.VM == m.cfg.Self
}
