// Package retry decides whether another attempt of a request may be made, and
// when a second upstream is asked before the first has answered.
//
// Every path to another attempt asks [Decide]: after a failure, a refusal, a
// lost connection or an idle timeout, before an escalation to a larger model,
// and before a hedge. It holds the limits in one place: what may run once is not
// run again, no request exceeds its attempts, nothing is sent after the deadline
// or after the caller has left, and the retry budget of the service is respected.
//
// The package reads no clock, random source or network. Times are arguments, and
// budgets are functions that Decide calls last, only if everything else allows
// the attempt.
//
// # Usage
//
//	q := retry.Request{IsRepeatable: true, Remaining: left, Attempts: 1, MaxAttempts: 3}
//	if retry.Decide(q, retry.CauseFailed, budget.take) == retry.Allowed {
//		// send it once more
//	}
package retry
