package owner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/strict"
	"jackdawbarrow/wire"
)

// callTimeout bounds the calls between VMs, except for Acquire, which waits in
// the owner's queue.
const callTimeout = 500 * time.Millisecond

// NodeConfig configures a Node. All fields but HTTP, Log, Clock and Outcomes
// are required.
type NodeConfig struct {
	Self    jdaw.VMID
	Views   jdaw.ViewSource
	Configs config.Source
	// Client returns a client for the VM at a peer address. It must not wait
	// for the connection.
	Client func(addr string) (wire.PeerClient, error)
	// Header returns a new header of this VM.
	Header func() *wire.Header
	// AwaitRevision returns when this VM has adopted the revision, after
	// pulling it from the VM at fromAddr.
	AwaitRevision func(ctx context.Context, rev jdaw.Revision, fromAddr string) error
	// Post sends an event to the control loop and does not block.
	Post func(ev jdaw.Event)
	// Outcomes receives counts for this VM as an evaluator, including its
	// own.
	Outcomes func(in *wire.OutcomesRequest)
	HTTP     *http.Client // for load reports
	Log      logrus.FieldLogger
	Clock    jdaw.Clock
}

// Node executes the actions of a [Machine] and serves its gRPC calls. The
// methods Acquire, ReleaseCredits, Renew, Outstanding and Outcomes are those
// of wire.PeerServer.
type Node struct {
	cfg    NodeConfig
	holder *Holder
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	stats  atomic.Pointer[[]PoolStats]

	mu      sync.Mutex
	closed  bool
	ticket  uint64
	waiting map[uint64]chan jdaw.Action
}

// NewNode makes a Node and starts the goroutines of its [Holder].
func NewNode(cfg NodeConfig) *Node {
	if cfg.HTTP == nil {
		cfg.HTTP = newPollClient()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.Outcomes == nil {
		cfg.Outcomes = func(*wire.OutcomesRequest) {}
	}
	n := &Node{cfg: cfg, waiting: map[uint64]chan jdaw.Action{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.holder = newHolder(n)
	return n
}

func newPollClient() *http.Client {
	return &http.Client{Transport: strict.New(strict.Config{Base: &http.Transport{
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     5 * pollInterval,
	}})}
}

// Holder returns the requester's side.
func (n *Node) Holder() *Holder { return n.holder }

// Stats returns the last published statistics of the pools that this VM owns.
func (n *Node) Stats() []PoolStats {
	if s := n.stats.Load(); s != nil {
		return *s
	}
	return nil
}

// Close sends the last releases and stops all goroutines.
func (n *Node) Close() {
	n.holder.close()
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
	n.cfg.HTTP.CloseIdleConnections()
}

// spawn runs f outside the loop's goroutine.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.wg.Go(func() { f(n.ctx) })
}

// Execute executes an action of the machine. It returns false for actions of
// other packages.
func (n *Node) Execute(a jdaw.Action) bool {
	switch a := a.(type) {
	case Grant:
		n.answerGrant(a)
	case Refuse:
		n.answer(a.Ticket, a)
	case RenewAnswer:
		n.answer(a.Ticket, a)
	case PollLoad:
		n.spawn(func(ctx context.Context) { n.poll(ctx, a) })
	case AskOutstanding:
		n.askOutstanding(a)
	case PullRevision:
		n.pull(a)
	case SendCounts:
		n.spawn(func(ctx context.Context) { n.sendCounts(ctx, a) })
	case PublishStats:
		n.stats.Store(&a.Pools)
	default:
		return false
	}
	return true
}

// newTicket makes a ticket whose answer arrives on the channel.
func (n *Node) newTicket() (uint64, chan jdaw.Action) {
	ch := make(chan jdaw.Action, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticket++
	n.waiting[n.ticket] = ch
	return n.ticket, ch
}

// takeTicket removes the ticket; it returns nil if it was answered or abandoned.
func (n *Node) takeTicket(ticket uint64) chan jdaw.Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	ch := n.waiting[ticket]
	delete(n.waiting, ticket)
	return ch
}

func (n *Node) answer(ticket uint64, a jdaw.Action) bool {
	ch := n.takeTicket(ticket)
	if ch == nil {
		return false
	}
	ch <- a
	return true
}

// answerGrant gives the credit to the waiting handler, or returns it to the
// machine if no handler waits.
func (n *Node) answerGrant(a Grant) {
	if n.answer(a.Ticket, a) {
		return
	}
	n.giveBack(a)
}

func (n *Node) giveBack(a Grant) {
	n.cfg.Post(CreditsReleased{From: n.cfg.Self, Releases: []Released{{
		Credit: a.Credit, Pool: a.Pool, Upstream: a.Upstream, Outcome: jdaw.OutcomeUnused,
	}}})
}

// await waits for the answer to a ticket. A request that has ended gets no
// credit, even if the grant arrived first: select picks at random when both are
// ready, and a cancelled caller would keep the credit without using it.
func (n *Node) await(ctx context.Context, ticket uint64, ch chan jdaw.Action) (jdaw.Action, error) {
	select {
	case a := <-ch:
		if ctx.Err() == nil {
			return a, nil
		}
		n.discard(a)
		return nil, context.Cause(ctx)
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	if n.takeTicket(ticket) != nil {
		n.cfg.Post(AcquireCancelled{Ticket: ticket})
		return nil, context.Cause(ctx)
	}
	// The answer arrived concurrently.
	n.discard(<-ch)
	return nil, context.Cause(ctx)
}

// discard returns the credit of an answer that nobody waits for.
func (n *Node) discard(a jdaw.Action) {
	if a, ok := a.(Grant); ok {
		n.giveBack(a)
	}
}

// request sends a request to the machine and waits for its decision.
func (n *Node) request(ctx context.Context, ev AcquireRequested) (jdaw.Action, error) {
	ticket, ch := n.newTicket()
	ev.Ticket = ticket
	n.cfg.Post(ev)
	a, err := n.await(ctx, ticket, ch)
	if a == nil && err == nil {
		err = context.Canceled // the process is closing
	}
	return a, err
}

// Acquire serves another VM's request for a credit.
func (n *Node) Acquire(ctx context.Context, in *wire.AcquireRequest) (*wire.AcquireReply, error) {
	a, err := n.request(ctx, n.acquireEvent(in))
	if err != nil {
		return nil, err
	}
	reply := &wire.AcquireReply{Header: n.cfg.Header()}
	switch a := a.(type) {
	case Grant:
		reply.Code = uint32(jdaw.CodeOK)
		reply.Credit = a.Credit
		reply.Upstream = string(a.Upstream)
		reply.Address = a.Address
		reply.Version = a.Version.String()
		reply.WaitedMicros = a.Waited.Microseconds()
	case Refuse:
		reply.Code = uint32(a.Code)
		reply.Message = a.Message
		reply.RetryAfterMillis = uint32(a.RetryAfter.Milliseconds())
	}
	return reply, nil
}

func (n *Node) acquireEvent(in *wire.AcquireRequest) AcquireRequested {
	from := jdaw.VMID(in.GetHeader().GetVm())
	ev := AcquireRequested{
		From:        from,
		Incarnation: jdaw.Incarnation(in.GetHeader().GetIncarnation()),
		Revision:    jdaw.Revision(in.GetHeader().GetRevision()),
		Pool:        jdaw.ParsePoolID(in.GetPool()),
		Workspace:   jdaw.WorkspaceID(in.GetWorkspace()),
		RequestID:   jdaw.RequestID(in.GetRequestId()),
		Versions:    parseVersions(in.GetVersions()),
		Prefix:      in.GetPrefix(),
		Wait:        time.Duration(in.GetWaitMillis()) * time.Millisecond,
		Priority:    jdaw.Priority(in.GetPriority()),
		Prefer:      jdaw.UpstreamID(in.GetPrefer()),
	}
	for _, u := range in.GetExclude() {
		ev.Exclude = append(ev.Exclude, jdaw.UpstreamID(u))
	}
	if view := n.cfg.Views.View(); view != nil {
		m, _ := view.Member(from)
		ev.FromAddr = m.PeerAddr
	}
	return ev
}

// ReleaseCredits serves the end of credits.
func (n *Node) ReleaseCredits(_ context.Context, in *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	ev := CreditsReleased{From: jdaw.VMID(in.GetHeader().GetVm())}
	for _, r := range in.GetReleases() {
		ev.Releases = append(ev.Releases, releasedFromWire(r))
	}
	n.cfg.Post(ev)
	return &wire.ReleaseReply{Header: n.cfg.Header()}, nil
}

func releasedFromWire(r *wire.Release) Released {
	return Released{
		Credit:              r.GetCredit(),
		Pool:                jdaw.ParsePoolID(r.GetPool()),
		Upstream:            jdaw.UpstreamID(r.GetUpstream()),
		Outcome:             jdaw.Outcome(r.GetOutcome()),
		Version:             jdaw.ParseModelVersion(r.GetVersion()),
		FirstToken:          time.Duration(r.GetFirstTokenMicros()) * time.Microsecond,
		Duration:            time.Duration(r.GetDurationMicros()) * time.Microsecond,
		Rated:               r.GetRated(),
		Rating:              r.GetRating(),
		Leaving:             r.GetLeaving(),
		Prefix:              r.GetPrefix(),
		UpstreamIncarnation: r.GetUpstreamIncarnation(),
	}
}

// Renew serves the renewal of credits.
func (n *Node) Renew(ctx context.Context, in *wire.RenewRequest) (*wire.RenewReply, error) {
	ticket, ch := n.newTicket()
	n.cfg.Post(CreditsRenewed{
		Ticket:      ticket,
		From:        jdaw.VMID(in.GetHeader().GetVm()),
		Incarnation: jdaw.Incarnation(in.GetHeader().GetIncarnation()),
		Held:        heldFromWire(in.GetHeld()),
	})
	select {
	case a := <-ch:
		answer, _ := a.(RenewAnswer)
		return &wire.RenewReply{Header: n.cfg.Header(), Unknown: answer.Unknown}, nil
	case <-ctx.Done():
		n.takeTicket(ticket)
		return nil, ctx.Err()
	case <-n.ctx.Done():
		n.takeTicket(ticket)
		return nil, n.ctx.Err()
	}
}

func heldFromWire(in []*wire.HeldCredit) []Held {
	var out []Held
	for _, h := range in {
		out = append(out, Held{
			Credit:    h.GetCredit(),
			Pool:      jdaw.ParsePoolID(h.GetPool()),
			Upstream:  jdaw.UpstreamID(h.GetUpstream()),
			Workspace: jdaw.WorkspaceID(h.GetWorkspace()),
		})
	}
	return out
}

func heldToWire(in []Held) []*wire.HeldCredit {
	var out []*wire.HeldCredit
	for _, h := range in {
		out = append(out, &wire.HeldCredit{
			Credit:    h.Credit,
			Pool:      h.Pool.String(),
			Upstream:  string(h.Upstream),
			Workspace: string(h.Workspace),
		})
	}
	return out
}

// Outstanding reports to a new owner which credits of its pool this VM holds.
func (n *Node) Outstanding(_ context.Context, in *wire.OutstandingRequest) (*wire.OutstandingReply, error) {
	held := n.holder.Held(jdaw.ParsePoolID(in.GetPool()))
	return &wire.OutstandingReply{Header: n.cfg.Header(), Held: heldToWire(held)}, nil
}

// Outcomes receives outcome counts for this VM as an evaluator.
func (n *Node) Outcomes(_ context.Context, in *wire.OutcomesRequest) (*wire.OutcomesReply, error) {
	n.cfg.Outcomes(in)
	return &wire.OutcomesReply{Header: n.cfg.Header()}, nil
}

func (n *Node) poll(ctx context.Context, a PollLoad) {
	doc, err := FetchLoad(ctx, n.cfg.HTTP, a.Address)
	if err != nil {
		n.cfg.Log.WithError(err).WithField("upstream", a.Upstream).Debug("load report not received")
		n.cfg.Post(LoadReported{Pool: a.Pool, Upstream: a.Upstream, Failed: true})
		return
	}
	n.cfg.Post(doc.event(a))
	if len(doc.CacheEvents) > 0 {
		n.cfg.Post(CacheReported{Pool: a.Pool, Upstream: a.Upstream, Changes: doc.CacheEvents})
	}
}

func (n *Node) askOutstanding(a AskOutstanding) {
	if a.VM == n.cfg.Self {
		n.cfg.Post(OutstandingReported{
			Pool: a.Pool, From: a.VM, Held: n.holder.Held(a.Pool),
			Incarnation: jdaw.Incarnation(n.cfg.Header().GetIncarnation()),
		})
		return
	}
	n.spawn(func(ctx context.Context) {
		ev := OutstandingReported{Pool: a.Pool, From: a.VM, Failed: true}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if client, err := n.cfg.Client(a.Addr); err == nil {
			reply, err := client.Outstanding(ctx, &wire.OutstandingRequest{Header: n.cfg.Header(), Pool: a.Pool.String()})
			if err == nil {
				ev.Failed = false
				ev.Incarnation = jdaw.Incarnation(reply.GetHeader().GetIncarnation())
				ev.Held = heldFromWire(reply.GetHeld())
			}
		}
		n.cfg.Post(ev)
	})
}

// pull fetches a newer configuration. A request of this process with a newer
// revision than the machine's needs no pull: config.Adopted is already queued.
func (n *Node) pull(a PullRevision) {
	if a.FromAddr == "" {
		return
	}
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, maxPullWait)
		defer cancel()
		if err := n.cfg.AwaitRevision(ctx, a.Revision, a.FromAddr); err != nil {
			n.cfg.Log.WithError(err).WithField("revision", a.Revision).Warn("pull of a newer configuration failed")
			n.cfg.Post(RevisionPullFailed{Revision: a.Revision})
		}
	})
}

func (n *Node) sendCounts(ctx context.Context, a SendCounts) {
	header := n.cfg.Header()
	// This process may have adopted a newer revision since.
	header.Revision = uint64(a.Revision)
	in := &wire.OutcomesRequest{Header: header}
	for _, c := range a.Counts {
		in.Counts = append(in.Counts, &wire.VersionCounts{
			Version:          c.Version.String(),
			Pool:             c.Pool.String(),
			OwnerIncarnation: c.Counter,
			Ok:               c.OK,
			Failed:           c.Failed,
			Rated:            c.Rated,
			RatingSum:        c.RatingSum,
			RatingSquareSum:  c.RatingSquareSum,
		})
	}
	if a.Evaluator == n.cfg.Self {
		n.cfg.Outcomes(in)
		n.cfg.Post(CountsConfirmed{Counts: a.Counts})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := n.cfg.Client(a.Addr)
	if err == nil {
		_, err = client.Outcomes(ctx, in)
	}
	if err != nil {
		n.cfg.Log.WithError(err).WithField("vm", a.Evaluator).Debug("outcome counts not delivered, will be resent")
		return
	}
	n.cfg.Post(CountsConfirmed{Counts: a.Counts})
}
