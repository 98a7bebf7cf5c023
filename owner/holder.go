package owner

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/wire"
)

const (
	// creditValidity is the time within which a credit must be used. It must
	// be shorter than takeoverWait.
	creditValidity = time.Second
	// releaseInterval is the time for which releases are batched.
	releaseInterval = 20 * time.Millisecond
	// releaseRetry is the pause before a release is sent again.
	releaseRetry = 200 * time.Millisecond
	// maxReleaseAttempts bounds the attempts; after them the owner frees the
	// credit at the next renewal, without its outcome.
	maxReleaseAttempts = 8
	// renewInterval is the period of renewals.
	renewInterval = time.Second
	// idleRenewTime is the time for which pools without held credits are still
	// renewed, so that an owner frees a credit whose grant was lost.
	idleRenewTime = 5 * time.Second
	// acquireSlack is the time that a call may take beyond the wait at the owner.
	acquireSlack = 500 * time.Millisecond
	// ownerCheckInterval is the period at which a waiting call checks its owner.
	ownerCheckInterval = 100 * time.Millisecond
	// maxRevisionRetries bounds the retries after a stale configuration.
	maxRevisionRetries = 2
)

// pendingRelease is a release that no owner has confirmed yet.
type pendingRelease struct {
	r        Released
	attempts int
}

// Holder is the requester's side. It implements jdaw.Credits.
type Holder struct {
	n      *Node
	wake   chan struct{}
	urgent chan struct{}

	mu      sync.Mutex
	held    map[string]Held
	order   []string // ids in held, in order of grant, with ids that have ended
	pending []pendingRelease
	recent  map[jdaw.PoolID]time.Time // last request
}

func newHolder(n *Node) *Holder {
	h := &Holder{
		n:      n,
		wake:   make(chan struct{}, 1),
		urgent: make(chan struct{}, 1),
		held:   map[string]Held{},
		recent: map[jdaw.PoolID]time.Time{},
	}
	n.wg.Go(h.runReleases)
	n.wg.Go(h.runRenewals)
	return h
}

// Acquire implements jdaw.Credits. If it returns an error, nothing has run.
func (h *Holder) Acquire(ctx context.Context, q jdaw.CreditRequest) (jdaw.Credit, error) {
	for attempt := 0; ; attempt++ {
		c, source, err := h.acquire(ctx, q)
		if source == nil || attempt >= maxRevisionRetries {
			return c, err
		}
		if source.addr == "" {
			continue // the snapshot was replaced while the request was under way
		}
		if err := h.n.cfg.AwaitRevision(ctx, source.revision, source.addr); err != nil {
			return jdaw.Credit{}, jdaw.Fail(jdaw.CodeBehind, "revision %d could not be fetched: %v", source.revision, err)
		}
	}
}

// revisionSource is the VM from which to fetch the revision that an owner
// requires.
type revisionSource struct {
	revision jdaw.Revision
	addr     string // empty if this VM is the owner
}

func (h *Holder) acquire(ctx context.Context, q jdaw.CreditRequest) (jdaw.Credit, *revisionSource, error) {
	view, snap := h.n.cfg.Views.View(), h.n.cfg.Configs.Snapshot()
	if snap == nil {
		return jdaw.Credit{}, nil, jdaw.Fail(jdaw.CodeNoConfiguration, "this VM has no configuration yet")
	}
	if view == nil || view.Isolated {
		return jdaw.Credit{}, nil, jdaw.Fail(jdaw.CodeIsolated, "this VM is isolated: it can reach no other VM")
	}
	m, ok := Of(view, snap, q.Pool)
	if !ok {
		return jdaw.Credit{}, nil, jdaw.Fail(jdaw.CodeNoOwner, "no live VM can own pool %s", q.Pool)
	}
	// The time before the call is a lower bound for the time of the grant.
	start := h.n.cfg.Clock.Now()
	h.mu.Lock()
	h.recent[q.Pool] = start
	h.mu.Unlock()
	ctx, stop := h.watchOwner(ctx, m, q.Pool)
	defer stop()
	if m.VM == h.n.cfg.Self {
		return h.acquireLocal(ctx, start, snap, q)
	}
	return h.acquireRemote(ctx, start, snap, m, q)
}

// errOwnerGone is the cause of a call that was cancelled because its owner is
// suspect or was replaced.
var errOwnerGone = jdaw.Fail(jdaw.CodeNoOwner, "the owner of the pool does not respond")

// watchOwner cancels a waiting call when the member table shows that the owner
// may have failed. A host that fails does not close its connections, so the
// call would otherwise wait until its deadline.
func (h *Holder) watchOwner(ctx context.Context, m jdaw.Member, pool jdaw.PoolID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	var timer *time.Timer
	var mu sync.Mutex
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(ownerCheckInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if !h.isOwner(m, pool) {
			cancel(errOwnerGone)
			return
		}
		timer.Reset(ownerCheckInterval)
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

func (h *Holder) isOwner(m jdaw.Member, pool jdaw.PoolID) bool {
	view, snap := h.n.cfg.Views.View(), h.n.cfg.Configs.Snapshot()
	now, ok := Of(view, snap, pool)
	if !ok || now.VM != m.VM || now.Incarnation != m.Incarnation || view.Isolated {
		return false
	}
	return now.State != jdaw.MemberSuspect
}

func (h *Holder) acquireLocal(ctx context.Context, start time.Time, snap *config.Snapshot, q jdaw.CreditRequest) (jdaw.Credit, *revisionSource, error) {
	a, err := h.n.request(ctx, AcquireRequested{
		From: h.n.cfg.Self, Incarnation: jdaw.Incarnation(h.n.cfg.Header().GetIncarnation()),
		Revision: snap.Revision(), Pool: q.Pool, Workspace: q.Workspace, RequestID: q.RequestID,
		Versions: q.Versions, Prefix: q.Prefix, Wait: q.Wait, Priority: q.Priority,
		Exclude: q.Exclude, Prefer: q.Prefer,
	})
	if err != nil {
		return jdaw.Credit{}, nil, callError(ctx, err)
	}
	switch a := a.(type) {
	case Grant:
		c, err := h.take(ctx, start, a.Waited, q, jdaw.Credit{
			ID: a.Credit, Pool: q.Pool, Upstream: a.Upstream, Address: a.Address, Version: a.Version,
		})
		return c, nil, err
	case Refuse:
		return h.refused(a.Code, a.Message, a.RetryAfter, &revisionSource{})
	}
	return jdaw.Credit{}, nil, jdaw.Fail(jdaw.CodeInternal, "unexpected answer %s", a.ActionName())
}

func (h *Holder) acquireRemote(ctx context.Context, start time.Time, snap *config.Snapshot, m jdaw.Member, q jdaw.CreditRequest) (jdaw.Credit, *revisionSource, error) {
	client, err := h.n.cfg.Client(m.PeerAddr)
	if err != nil {
		return jdaw.Credit{}, nil, jdaw.Fail(jdaw.CodeNoOwner, "the owner of pool %s cannot be reached: %v", q.Pool, err)
	}
	call, cancel := context.WithTimeout(ctx, q.Wait+acquireSlack)
	defer cancel()
	reply, err := client.Acquire(call, h.acquireRequest(snap, q))
	if err != nil {
		return jdaw.Credit{}, nil, callError(ctx, err)
	}
	if code := jdaw.Code(reply.GetCode()); code != jdaw.CodeOK {
		after := time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond
		source := &revisionSource{revision: jdaw.Revision(reply.GetHeader().GetRevision()), addr: m.PeerAddr}
		return h.refused(code, reply.GetMessage(), after, source)
	}
	c, err := h.take(ctx, start, time.Duration(reply.GetWaitedMicros())*time.Microsecond, q, jdaw.Credit{
		ID: reply.GetCredit(), Pool: q.Pool, Upstream: jdaw.UpstreamID(reply.GetUpstream()),
		Address: reply.GetAddress(), Version: jdaw.ParseModelVersion(reply.GetVersion()),
	})
	return c, nil, err
}

func (h *Holder) acquireRequest(snap *config.Snapshot, q jdaw.CreditRequest) *wire.AcquireRequest {
	header := h.n.cfg.Header()
	// The versions were chosen by this snapshot, which may be older than the
	// revision in the header.
	header.Revision = uint64(snap.Revision())
	in := &wire.AcquireRequest{
		Header: header, Pool: q.Pool.String(), Workspace: string(q.Workspace),
		Prefix: q.Prefix, WaitMillis: q.Wait.Milliseconds(), Priority: int32(q.Priority),
		RequestId: string(q.RequestID), Prefer: string(q.Prefer),
	}
	for _, v := range q.Versions {
		in.Versions = append(in.Versions, v.String())
	}
	for _, u := range q.Exclude {
		in.Exclude = append(in.Exclude, string(u))
	}
	return in
}

func callError(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); cause {
	case nil:
		return jdaw.Fail(jdaw.CodeNoOwner, "the owner of the pool cannot be reached: %v", err)
	case errOwnerGone:
		return errOwnerGone
	}
	return jdaw.Fail(jdaw.CodeDeadline, "the request ended before a credit was granted")
}

func (h *Holder) refused(code jdaw.Code, message string, after time.Duration, source *revisionSource) (jdaw.Credit, *revisionSource, error) {
	err := jdaw.Fail(code, "%s", message).WithRetryAfter(int(math.Ceil(after.Seconds())))
	if code != jdaw.CodeBehind {
		source = nil
	}
	return jdaw.Credit{}, source, err
}

// take records a credit as held. A credit that arrives expired, for instance
// from an owner that was paused, or after its request has ended, is released
// unused.
func (h *Holder) take(ctx context.Context, start time.Time, waited time.Duration, q jdaw.CreditRequest, c jdaw.Credit) (jdaw.Credit, error) {
	c.UseBefore = start.Add(waited + creditValidity)
	h.mu.Lock()
	h.held[c.ID] = Held{Credit: c.ID, Pool: c.Pool, Upstream: c.Upstream, Workspace: q.Workspace}
	h.order = append(h.order, c.ID)
	h.mu.Unlock()
	isInTime := h.n.cfg.Clock.Now().Before(c.UseBefore)
	if isInTime && ctx.Err() == nil {
		return c, nil
	}
	h.Release(jdaw.CreditResult{Credit: c, Workspace: q.Workspace, Outcome: jdaw.OutcomeUnused})
	if !isInTime {
		return jdaw.Credit{}, jdaw.Fail(jdaw.CodeNoOwner, "the credit arrived too late to be used")
	}
	return jdaw.Credit{}, callError(ctx, ctx.Err())
}

// Started implements jdaw.Credits. The report is sent along with the releases.
func (h *Holder) Started(c jdaw.Credit, upstreamIncarnation string) {
	h.mu.Lock()
	h.pending = append(h.pending, pendingRelease{r: Released{
		Credit: c.ID, Pool: c.Pool, Upstream: c.Upstream, Outcome: jdaw.OutcomeStarted,
		Version: c.Version, UpstreamIncarnation: upstreamIncarnation,
	}})
	h.mu.Unlock()
	h.wakeUp()
}

// Release implements jdaw.Credits. The credit counts as held until an owner
// has confirmed the release; otherwise a renewal that arrives before the
// release would end the credit and lose its outcome.
func (h *Holder) Release(r jdaw.CreditResult) {
	h.mu.Lock()
	h.pending = append(h.pending, pendingRelease{r: Released{
		Credit: r.Credit.ID, Pool: r.Credit.Pool, Upstream: r.Credit.Upstream, Outcome: r.Outcome,
		Version: r.Credit.Version, FirstToken: r.FirstToken, Duration: r.Duration,
		Rated: r.Rated, Rating: r.Rating, Leaving: r.Leaving, Prefix: r.Prefix,
		UpstreamIncarnation: r.UpstreamIncarnation,
	}})
	h.mu.Unlock()
	if r.Outcome == jdaw.OutcomeFailed || r.Outcome == jdaw.OutcomeBroken || r.Outcome == jdaw.OutcomeRefused || r.Leaving {
		signal(h.urgent)
	}
	h.wakeUp()
}

func (h *Holder) wakeUp() { signal(h.wake) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Held returns the credits of the pool that this VM holds, in order of grant.
func (h *Holder) Held(pool jdaw.PoolID) []Held {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Held
	for _, id := range h.order {
		if c, ok := h.held[id]; ok && c.Pool == pool {
			out = append(out, c)
		}
	}
	return out
}

func (h *Holder) runReleases() {
	for {
		select {
		case <-h.n.ctx.Done():
			return
		case <-h.wake:
		}
		select {
		case <-h.n.ctx.Done():
			return
		case <-h.urgent:
			// Until the owner receives the failure, it may grant up to the full
			// limit on an upstream that has restarted.
		case <-time.After(releaseInterval):
		}
		for _, send := range h.flush() {
			h.n.spawn(send)
		}
	}
}

// flush returns the calls that send the pending releases, one per owner.
func (h *Holder) flush() []func(ctx context.Context) {
	h.mu.Lock()
	pending := h.pending
	h.pending = nil
	h.mu.Unlock()
	batches := map[jdaw.VMID][]pendingRelease{}
	owners := map[jdaw.VMID]jdaw.Member{}
	var unowned []pendingRelease
	for _, p := range pending {
		m, ok := h.owner(p.r.Pool)
		if !ok {
			unowned = append(unowned, p)
			continue
		}
		owners[m.VM] = m
		batches[m.VM] = append(batches[m.VM], p)
	}
	var calls []func(ctx context.Context)
	if len(unowned) > 0 {
		calls = append(calls, func(ctx context.Context) { h.retry(ctx, unowned) })
	}
	for vm, batch := range batches {
		calls = append(calls, func(ctx context.Context) { h.send(ctx, owners[vm], batch) })
	}
	return calls
}

func (h *Holder) owner(pool jdaw.PoolID) (jdaw.Member, bool) {
	view, snap := h.n.cfg.Views.View(), h.n.cfg.Configs.Snapshot()
	if view == nil || snap == nil {
		return jdaw.Member{}, false
	}
	return Of(view, snap, pool)
}

func (h *Holder) send(ctx context.Context, m jdaw.Member, batch []pendingRelease) {
	if m.VM == h.n.cfg.Self {
		ev := CreditsReleased{From: m.VM}
		for _, p := range batch {
			ev.Releases = append(ev.Releases, p.r)
		}
		h.n.cfg.Post(ev)
		h.confirm(batch)
		return
	}
	in := &wire.ReleaseRequest{Header: h.n.cfg.Header()}
	for _, p := range batch {
		in.Releases = append(in.Releases, releasedToWire(p.r))
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := h.n.cfg.Client(m.PeerAddr)
	if err == nil {
		_, err = client.ReleaseCredits(call, in)
	}
	if err != nil {
		h.retry(ctx, batch)
		return
	}
	h.confirm(batch)
}

func releasedToWire(r Released) *wire.Release {
	return &wire.Release{
		Credit:              r.Credit,
		Pool:                r.Pool.String(),
		Upstream:            string(r.Upstream),
		Outcome:             string(r.Outcome),
		Version:             r.Version.String(),
		FirstTokenMicros:    r.FirstToken.Microseconds(),
		DurationMicros:      r.Duration.Microseconds(),
		Rated:               r.Rated,
		Rating:              r.Rating,
		Leaving:             r.Leaving,
		Prefix:              r.Prefix,
		UpstreamIncarnation: r.UpstreamIncarnation,
	}
}

// retry requeues releases after a pause, for the owner at that time. Those
// that reach maxReleaseAttempts are dropped.
func (h *Holder) retry(ctx context.Context, batch []pendingRelease) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(releaseRetry):
	}
	var lost []pendingRelease
	h.mu.Lock()
	for _, p := range batch {
		if p.r.Outcome == jdaw.OutcomeStarted {
			continue // the owner counts it as arrived after arrivalTimeout anyway
		}
		p.attempts++
		if p.attempts >= maxReleaseAttempts {
			lost = append(lost, p)
			continue
		}
		h.pending = append(h.pending, p)
	}
	h.mu.Unlock()
	if len(lost) > 0 {
		h.n.cfg.Log.WithField("releases", len(lost)).Warn("releases not delivered to an owner, their outcomes are lost")
		h.confirm(lost)
	}
	h.wakeUp()
}

// confirm ends the credits of a batch.
func (h *Holder) confirm(batch []pendingRelease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range batch {
		if p.r.Outcome != jdaw.OutcomeStarted {
			delete(h.held, p.r.Credit)
		}
	}
	if len(h.order) < 2*len(h.held)+16 {
		return
	}
	kept := make([]string, 0, len(h.held))
	for _, id := range h.order {
		if _, ok := h.held[id]; ok {
			kept = append(kept, id)
		}
	}
	h.order = kept
}

func (h *Holder) runRenewals() {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.n.ctx.Done():
			return
		case <-ticker.C:
			h.renew()
		}
	}
}

// renew sends each owner the credits that this VM holds of its pools. An
// entry without credit marks a pool whose list is complete.
func (h *Holder) renew() {
	now := h.n.cfg.Clock.Now()
	h.mu.Lock()
	lists := map[jdaw.PoolID][]Held{}
	for pool, last := range h.recent {
		if now.Sub(last) > idleRenewTime {
			delete(h.recent, pool)
			continue
		}
		lists[pool] = []Held{{Pool: pool}}
	}
	for _, id := range h.order {
		c, ok := h.held[id]
		if !ok {
			continue
		}
		if lists[c.Pool] == nil {
			lists[c.Pool] = []Held{{Pool: c.Pool}}
		}
		lists[c.Pool] = append(lists[c.Pool], c)
	}
	h.mu.Unlock()
	owners := map[jdaw.VMID]jdaw.Member{}
	messages := map[jdaw.VMID][]Held{}
	for pool, list := range lists {
		m, ok := h.owner(pool)
		if !ok {
			continue
		}
		owners[m.VM] = m
		messages[m.VM] = append(messages[m.VM], list...)
	}
	for vm, list := range messages {
		h.n.spawn(func(ctx context.Context) { h.sendRenewal(ctx, owners[vm], list) })
	}
}

func (h *Holder) sendRenewal(ctx context.Context, m jdaw.Member, list []Held) {
	header := h.n.cfg.Header()
	if m.VM == h.n.cfg.Self {
		h.n.cfg.Post(CreditsRenewed{From: m.VM, Incarnation: jdaw.Incarnation(header.GetIncarnation()), Held: list})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := h.n.cfg.Client(m.PeerAddr)
	if err == nil {
		_, err = client.Renew(ctx, &wire.RenewRequest{Header: header, Held: heldToWire(list)})
	}
	if err != nil {
		h.n.cfg.Log.WithError(err).WithField("vm", m.VM).Debug("renewal of credits failed, retrying with the next renewal")
	}
}

// close sends the pending releases once, before the context is cancelled.
func (h *Holder) close() {
	var wg conc.WaitGroup
	for _, send := range h.flush() {
		wg.Go(func() { send(h.n.ctx) })
	}
	wg.Wait()
}
