package entry

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	maxRetries = 2 // per request
	// maxStaleCredits bounds how many credits are released because the
	// configuration changed or the credit expired before its use.
	maxStaleCredits = 4
	// maxOwnerWait exceeds the time of a change of a pool's owner, which takes
	// about 4 s.
	ownerBackoff = 100 * time.Millisecond
	maxOwnerWait = 5 * time.Second
)

// Retry budget of a pool, a token bucket in tenths of an attempt: a request
// adds one, a retry takes ten. The initial retryReserve permits retries in pools
// with little traffic.
const (
	retryCost    = 10
	retryReserve = 200
)

// retryBudget limits the retries of a pool to 10 % of its requests.
type retryBudget struct{ tenths atomic.Int64 }

func (b *retryBudget) earn() {
	for {
		n := b.tenths.Load()
		if n >= retryReserve || b.tenths.CompareAndSwap(n, n+1) {
			return
		}
	}
}

func (b *retryBudget) spend() bool {
	for {
		n := b.tenths.Load()
		if n < retryCost {
			return false
		}
		if b.tenths.CompareAndSwap(n, n-retryCost) {
			return true
		}
	}
}

func (e *Entry) budget(pool jdaw.PoolID) *retryBudget {
	if b, ok := e.budgets.Load(pool); ok {
		return b.(*retryBudget)
	}
	fresh := &retryBudget{}
	fresh.tenths.Store(retryReserve)
	b, _ := e.budgets.LoadOrStore(pool, fresh)
	return b.(*retryBudget)
}

// target describes where a request may run. Versions and allowed are evaluated
// against the current snapshot for each dispatch.
type target struct {
	kind     func(snap *config.Snapshot) string
	versions func(snap *config.Snapshot) ([]jdaw.ModelVersion, error)
	allowed  func(snap *config.Snapshot, c jdaw.Credit) error
	prefix   uint64
}

// acquire returns a credit that the current configuration permits to use.
func (r *request) acquire(t target) (jdaw.Credit, error) {
	for range maxStaleCredits {
		snap := r.e.cfg.Config.Snapshot()
		versions, err := t.versions(snap)
		if err != nil {
			return jdaw.Credit{}, err
		}
		pools := r.pools(snap, t.kind(snap))
		if len(pools) == 0 {
			return jdaw.Credit{}, jdaw.Fail(jdaw.CodeNoUpstream, "no upstream in service offers what the request needs").WithRetryAfter(1)
		}
		credit, err := r.acquireFrom(pools, jdaw.CreditRequest{
			Workspace: r.workspace, RequestID: r.id, Versions: versions, Prefix: t.prefix,
			Priority: r.outlet.Priority, Exclude: r.exclude,
		})
		if err != nil {
			return jdaw.Credit{}, err
		}
		r.e.record("credit", r.id, r.workspace, credit.Upstream, credit.Version.String())
		err = r.checkCredit(t, credit)
		if err == nil {
			return credit, nil
		}
		r.release(credit, t, jdaw.OutcomeUnused)
		if !errors.Is(err, errStaleCredit) {
			return jdaw.Credit{}, err
		}
	}
	return jdaw.Credit{}, jdaw.Fail(jdaw.CodeNoCapacity, "no credit could be used in time").WithRetryAfter(1)
}

// errStaleCredit makes acquire request another credit.
var errStaleCredit = errors.New("the credit can no longer be used")

// checkCredit checks the credit against the current snapshot: the configuration
// may have changed while the request waited for the credit.
func (r *request) checkCredit(t target, c jdaw.Credit) error {
	snap := r.e.cfg.Config.Snapshot()
	if err := t.allowed(snap, c); err != nil {
		// Other versions may still be allowed; if none is, versions returns why.
		if _, none := t.versions(snap); none != nil {
			return none
		}
		return errStaleCredit
	}
	if snap.IsOut(c.Pool.DataCentre) || snap.IsLeaving(c.Upstream) {
		return errStaleCredit
	}
	if !r.e.cfg.Clock.Now().Before(c.UseBefore) {
		return errStaleCredit
	}
	return nil
}

// pools returns the pools of a kind in order of preference: the outlet's data
// centres, this VM's, the others of the region. The others are rotated, or the
// first in the configuration would get all traffic of a data centre that is out.
func (r *request) pools(snap *config.Snapshot, kind string) []jdaw.PoolID {
	all := snap.PoolsOfKind(kind)
	var out []jdaw.PoolID
	add := func(dc jdaw.DataCentre) {
		for _, p := range all {
			if p.DataCentre == dc && !containsPool(out, p) {
				out = append(out, p)
			}
		}
	}
	for _, dc := range r.outlet.DataCentres {
		add(dc)
	}
	add(r.e.cfg.DataCentre)
	var others []jdaw.PoolID
	for _, p := range all {
		if snap.Region(p.DataCentre) == r.e.cfg.Region && !containsPool(out, p) {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return out
	}
	first := int(r.e.rotation.Add(1) % uint64(len(others)))
	out = append(out, others[first:]...)
	return append(out, others[:first]...)
}

func containsPool(list []jdaw.PoolID, p jdaw.PoolID) bool {
	for _, other := range list {
		if other == p {
			return true
		}
	}
	return false
}

// acquireFrom requests a credit from each pool without waiting. If all are full
// it waits in their queues in turn; it retries during a change of owner.
func (r *request) acquireFrom(pools []jdaw.PoolID, q jdaw.CreditRequest) (jdaw.Credit, error) {
	began := r.e.cfg.Clock.Now()
	for {
		credit, full, err := r.acquireNow(pools, q)
		if err == nil {
			return credit, nil
		}
		if len(full) > 0 {
			credit, err = r.acquireWaiting(full, q)
			if err == nil || !isOwnerChange(err) {
				return credit, err
			}
			// The owner lost its pool while the request waited: maxOwnerWait
			// counts from now.
			began = r.e.cfg.Clock.Now()
		}
		waited := r.e.cfg.Clock.Now().Sub(began)
		if !isOwnerChange(err) || waited > maxOwnerWait || r.remaining() <= ownerBackoff {
			return jdaw.Credit{}, err
		}
		if !jdaw.Sleep(r.ctx, ownerBackoff) {
			return jdaw.Credit{}, r.contextError()
		}
	}
}

func isOwnerChange(err error) bool {
	code := jdaw.CodeOf(err).Code
	return code == jdaw.CodeNoOwner || code == jdaw.CodeBehind
}

// acquireNow returns the full pools if no pool has a free credit. An error due
// to a change of owner takes precedence, since it is transient.
func (r *request) acquireNow(pools []jdaw.PoolID, q jdaw.CreditRequest) (credit jdaw.Credit, full []jdaw.PoolID, err error) {
	for _, pool := range pools {
		if r.ctx.Err() != nil {
			return jdaw.Credit{}, nil, r.contextError()
		}
		q.Pool = pool
		credit, failed := r.e.cfg.Credits.Acquire(r.ctx, q)
		if failed == nil {
			return credit, nil, nil
		}
		if jdaw.CodeOf(failed).Code == jdaw.CodeNoCapacity {
			full = append(full, pool)
		}
		if err == nil || !isOwnerChange(err) {
			err = failed
		}
	}
	return jdaw.Credit{}, full, err
}

// acquireWaiting waits at each full pool for an equal part of the remaining time.
func (r *request) acquireWaiting(pools []jdaw.PoolID, q jdaw.CreditRequest) (jdaw.Credit, error) {
	var err error
	for i, pool := range pools {
		q.Pool = pool
		q.Wait = r.remaining() / time.Duration(len(pools)-i)
		if q.Wait <= 0 || r.ctx.Err() != nil {
			break
		}
		credit, failed := r.e.cfg.Credits.Acquire(r.ctx, q)
		if failed == nil {
			return credit, nil
		}
		err = failed
	}
	if err == nil {
		err = r.contextError()
	}
	return jdaw.Credit{}, err
}

// contextError returns the error for a request whose context ended before a dispatch.
func (r *request) contextError() error {
	if r.http.Context().Err() != nil {
		r.callerGone = true
	}
	return jdaw.Fail(jdaw.CodeDeadline, "the deadline passed before an upstream was found")
}

// beginDispatch must be called before the first byte is sent to an upstream.
func (r *request) beginDispatch() error {
	if r.claimed && !r.e.cfg.Claims.BeginDispatch(r.id) {
		return jdaw.Fail(jdaw.CodeKeyRunning, "another VM has taken over the idempotency key").WithRetryAfter(1)
	}
	return nil
}

func (r *request) release(c jdaw.Credit, t target, outcome jdaw.Outcome) {
	r.e.cfg.Credits.Release(jdaw.CreditResult{Credit: c, Workspace: r.workspace, Prefix: t.prefix, Outcome: outcome})
}

// outcomeOf maps the error of an attempt to the outcome of its credit.
func (r *request) outcomeOf(err error, tokens int) jdaw.Outcome {
	if err == nil {
		return jdaw.OutcomeOK
	}
	if r.ctx.Err() != nil && r.http.Context().Err() != nil {
		r.callerGone = true
		return jdaw.OutcomeCancelled
	}
	switch jdaw.CodeOf(err).Code {
	case jdaw.CodeUpstreamRefused:
		return jdaw.OutcomeRefused
	case jdaw.CodeUpstreamConnection, jdaw.CodeOutcomeUnknown, jdaw.CodeStreamBroken:
		return jdaw.OutcomeBroken
	case jdaw.CodeDeadline, jdaw.CodeKeyRunning:
		return jdaw.OutcomeUnused
	case jdaw.CodeBadField, jdaw.CodeBrokenJSON:
		return jdaw.OutcomeCancelled // the caller's fault, not the version's
	case jdaw.CodeUpstreamTimeout:
		if tokens > 0 {
			return jdaw.OutcomeCancelled // the outlet's deadline was too short for the answer
		}
	}
	return jdaw.OutcomeFailed
}

// recordAttemptError keeps the first error of an attempt that may have run.
func (r *request) recordAttemptError(err error) {
	if r.ranErr == nil && jdaw.CodeOf(err).Code.Info().Ran != jdaw.NotRun {
		r.ranErr = err
	}
}

// mayRetry reports whether a failed attempt is retried. If so, it charges the
// retry budget and excludes the failed upstream.
func (r *request) mayRetry(c jdaw.Credit, err error) bool {
	switch jdaw.CodeOf(err).Code {
	case jdaw.CodeUpstreamConnection, jdaw.CodeUpstreamRefused, jdaw.CodeUpstreamFailed, jdaw.CodeOutcomeUnknown, jdaw.CodeStreamBroken:
	default:
		return false
	}
	if r.retries >= maxRetries || r.ctx.Err() != nil || !r.e.budget(c.Pool).spend() {
		return false
	}
	r.retries++
	r.exclude = append(r.exclude, c.Upstream)
	r.e.metrics.retries.Add(r.ctx, 1)
	r.e.record("retried", r.id, r.workspace, c.Upstream, jdaw.CodeOf(err).Code.String())
	return true
}

func isLeaving(v any) bool {
	err, ok := v.(error)
	var l jdaw.LeavingReporter
	if ok {
		return errors.As(err, &l) && l.Leaving()
	}
	l, ok = v.(jdaw.LeavingReporter)
	return ok && l.Leaving()
}
