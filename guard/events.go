package guard

import (
	"math"
	"time"

	"jackdawbarrow"
)

// Counts is the event of a report by a pool owner: the cumulative counts of one
// owner incarnation for one version in one pool.
type Counts struct {
	Version jdaw.ModelVersion `json:"version"`
	Pool    jdaw.PoolID       `json:"pool"`
	// OwnerIncarnation identifies the owner's counter. An owner that resets it,
	// for a roll-out that was restarted, uses a new incarnation.
	OwnerIncarnation jdaw.Incarnation `json:"ownerIncarnation"`
	// Revision is the configuration revision of the owner; 0 if unknown.
	Revision        jdaw.Revision `json:"revision,omitempty"`
	OK              uint64        `json:"ok"`
	Failed          uint64        `json:"failed"`
	Rated           uint64        `json:"rated"`
	RatingSum       float64       `json:"ratingSum"`
	RatingSquareSum float64       `json:"ratingSquareSum"`
	// Timed answers have a speed of 0..1, see Speed.
	Timed          uint64  `json:"timed,omitempty"`
	SpeedSum       float64 `json:"speedSum,omitempty"`
	SpeedSquareSum float64 `json:"speedSquareSum,omitempty"`
	// Slow is the number of timed answers that took far longer than quick answers
	// of the same kind.
	Slow uint64 `json:"slow,omitempty"`
}

// WithSpeed returns the counts with one more timed answer.
func (c Counts) WithSpeed(speed float64) Counts {
	c.Timed++
	c.SpeedSum += speed
	c.SpeedSquareSum += speed * speed
	return c
}

// WithSlow returns the counts with one more slow answer, which WithSpeed has
// counted.
func (c Counts) WithSlow() Counts {
	c.Slow++
	return c
}

// EventName implements [jdaw.Event].
func (Counts) EventName() string { return "versionCounts" }

// isValid reports whether ratings and speeds within 0..1 can give these sums, so
// that one corrupt report does not suspend a version.
func (c Counts) isValid() bool {
	// The sums accumulate rounding errors.
	const tolerance = 1e-6
	n := float64(c.Rated) + tolerance
	isFinite := !math.IsNaN(c.RatingSum) && !math.IsNaN(c.RatingSquareSum)
	timed := float64(c.Timed) + tolerance
	isTimed := c.Slow <= c.Timed && c.SpeedSum >= 0 && c.SpeedSum <= timed && c.SpeedSquareSum >= 0 && c.SpeedSquareSum <= c.SpeedSum+tolerance
	return isTimed && isFinite && c.RatingSum >= 0 && c.RatingSum <= n &&
		c.RatingSquareSum >= 0 && c.RatingSquareSum <= c.RatingSum+tolerance
}

// CompletionDue is the event that a roll-out is about to complete automatically.
type CompletionDue struct {
	Version jdaw.ModelVersion `json:"version"`
}

// EventName implements [jdaw.Event].
func (CompletionDue) EventName() string { return "completionDue" }

// Hold is the action that postpones the completion of a version, of which too
// little is known.
type Hold struct {
	Version jdaw.ModelVersion `json:"version"`
}

// ActionName implements [jdaw.Action].
func (Hold) ActionName() string { return "hold" }

// Suspend is the action that requests a suspension.
type Suspend struct {
	Suspension jdaw.Suspension `json:"suspension"`
}

// ActionName implements [jdaw.Action].
func (Suspend) ActionName() string { return "suspend" }

// ActionFields returns the key fields for a log of actions.
func (s Suspend) ActionFields() map[string]string {
	return map[string]string{
		"id":     s.Suspension.ID,
		"kind":   string(s.Suspension.Kind),
		"name":   s.Suspension.Name,
		"reason": s.Suspension.Reason,
	}
}

// ProposalKind is the kind of change proposed to an operator.
type ProposalKind string

// Kinds of proposals.
const (
	ProposeRaise   ProposalKind = "raise"   // the version is healthy at this share
	ProposeInspect ProposalKind = "inspect" // the roll-out makes no progress
)

// Proposal is the action that proposes a change to operators; it has no effect
// by itself.
type Proposal struct {
	Version jdaw.ModelVersion `json:"version"`
	Kind    ProposalKind      `json:"kind"`
	Text    string            `json:"text"`
}

// ActionName implements [jdaw.Action].
func (Proposal) ActionName() string { return "proposal" }

// ActionFields returns the key fields for a log of actions.
func (p Proposal) ActionFields() map[string]string {
	return map[string]string{"version": p.Version.String(), "kind": string(p.Kind), "text": p.Text}
}

// State is the state of a roll-out in the canary analysis.
type State string

// States of a roll-out.
const (
	StateTesting   State = "testing"   // not yet decided
	StateHealthy   State = "healthy"   // the failure test has accepted the version
	StateStalled   State = "stalled"   // no progress for the stall time
	StateSuspended State = "suspended" // withdrawn or suspended
	StateElsewhere State = "elsewhere" // another VM is the evaluator
)

// Status is what the administration API shows of one roll-out. The counts are
// those that this VM has received; the evaluator has all of the region.
type Status struct {
	Version      jdaw.ModelVersion `json:"version"`
	Stable       jdaw.ModelVersion `json:"stable"`
	State        State             `json:"state"`
	Judge        jdaw.VMID         `json:"judge"`
	OK           uint64            `json:"ok"`
	Failed       uint64            `json:"failed"`
	Rated        uint64            `json:"rated"`
	MeanRating   float64           `json:"meanRating"`
	StableRated  uint64            `json:"stableRated"`
	StableRating float64           `json:"stableRating"`
	Timed        uint64            `json:"timed"`
	Speed        float64           `json:"speed"` // mean, see Speed
	Slow         uint64            `json:"slow"`  // see Counts.Slow
	StableTimed  uint64            `json:"stableTimed"`
	StableSlow   uint64            `json:"stableSlow"`
	StableSpeed  float64           `json:"stableSpeed"`
	ProgressAt   time.Time         `json:"progressAt"` // last outcome or change by an operator
	Text         string            `json:"text"`
}

// Publish is the action that replaces the published statuses.
type Publish struct {
	Statuses []Status `json:"statuses"`
}

// ActionName implements [jdaw.Action].
func (Publish) ActionName() string { return "publishRollouts" }

// ActionFields returns the state of each version for a log of actions.
func (p Publish) ActionFields() map[string]string {
	fields := map[string]string{}
	for _, s := range p.Statuses {
		fields[s.Version.String()] = string(s.State)
	}
	return fields
}
