package retry

import "time"

// MaxDispatches limits the dispatches of one request, including those to
// upstreams that could not be connected to.
const MaxDispatches = 5

// Cause is why another attempt is considered.
type Cause string

// Causes of another attempt.
const (
	CauseFailed      Cause = "failed"      // the attempt failed, broke off or its outcome is unknown
	CauseRefused     Cause = "refused"     // the upstream has not run the request and will not
	CauseUnreachable Cause = "unreachable" // no byte was sent to the upstream
	CauseAbandoned   Cause = "abandoned"   // the idle timeout of the attempt has passed
	CauseEscalated   Cause = "escalated"   // the answer is dropped for that of a larger model
	CauseHedged      Cause = "hedged"      // the first answer is late, and its attempt goes on
)

// isNotRun reports whether the attempt that led to the cause has not run.
func (c Cause) isNotRun() bool { return c == CauseRefused || c == CauseUnreachable }

// Verdict is the result of a decision: [Allowed], or the limit that forbids the
// attempt.
type Verdict string

// Verdicts.
const (
	Allowed       Verdict = "allowed"
	CallerGone    Verdict = "callerGone"
	PastDeadline  Verdict = "pastDeadline"
	RunsOnce      Verdict = "runsOnce"
	NoAttemptLeft Verdict = "noAttemptLeft"
	NotResumable  Verdict = "notResumable"
	NoBudget      Verdict = "noBudget"
	NotLate       Verdict = "notLate"
	NotLearned    Verdict = "notLearned"
	NotStated     Verdict = "notStated"
	InRollout     Verdict = "inRollout"
	UnderPressure Verdict = "underPressure"
	AlreadyHedged Verdict = "alreadyHedged"
)

// Request is the state of a request when another attempt is considered.
type Request struct {
	// IsRepeatable is set if the request may run more than once.
	IsRepeatable bool
	// MayHaveRun is set if an attempt before the last one may have run it.
	MayHaveRun   bool
	IsCallerGone bool
	Remaining    time.Duration // until the deadline
	// Attempts are the dispatches that reached an upstream or are under way.
	Attempts    int
	MaxAttempts int // values below 1 count as 1
	// Dispatches includes those whose connection failed.
	Dispatches int
	// HasBegun is set if bytes of the response were sent to the caller, and
	// CanContinue if another upstream can go on after them.
	HasBegun    bool
	CanContinue bool
}

// Decide reports whether another attempt may be made. take takes it from the
// retry budget; an upstream that received nothing costs none.
func Decide(q Request, cause Cause, take func() bool) Verdict {
	switch {
	case q.IsCallerGone:
		return CallerGone
	case q.Remaining <= 0:
		return PastDeadline
	case !q.IsRepeatable && (q.MayHaveRun || !cause.isNotRun()):
		return RunsOnce
	case q.Attempts >= max(q.MaxAttempts, 1) || q.Dispatches >= MaxDispatches:
		return NoAttemptLeft
	case q.HasBegun && (!q.CanContinue || cause == CauseHedged):
		return NotResumable
	case cause != CauseUnreachable && !take():
		return NoBudget
	}
	return Allowed
}
