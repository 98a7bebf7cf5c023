package peers

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/strict"
	"jackdawbarrow/wire"
)

const (
	probeTimeout = 250 * time.Millisecond
	// probeForTimeout covers the helper's probeTimeout and the round trip.
	probeForTimeout = 400 * time.Millisecond
	joinTimeout     = time.Second
	listTimeout     = time.Second
	maxListBytes    = 4 << 20
	// unusedConnTimeout is the idle time after which a connection to an address
	// without a member is closed.
	unusedConnTimeout = time.Minute
	// headerInterval rate-limits HeaderSeen events that repeat a known header.
	headerInterval = 500 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	// Self is this process's row; State and Revision are not used.
	Self  jdaw.Member
	Seeds []string // peer addresses to join, also when the VM list is down
	// ListURL is the address of the VM list, "http://IP:port"; empty for none.
	ListURL string
	// Post sends an event to the loop. New does not call it; Execute and the
	// gRPC handlers do.
	Post  func(jdaw.Event)
	Clock jdaw.Clock
	Log   logrus.FieldLogger
	// Seed seeds the machine's random generator; 0 chooses a random seed.
	Seed uint64
	// LocalAddr is the listen IP:port; outgoing connections bind to its IP.
	LocalAddr string
	TLS       *tls.Config // for connections to other VMs; nil for plain TCP
	// Dial connects to a peer address; nil uses TCP. Tests use it to partition
	// VMs.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Node executes the actions of its Machine and serves the gRPC methods of
// membership.
type Node struct {
	cfg            Config
	machine        *Machine
	clock          *hybridClock
	conns          *Connections
	http           *http.Client
	view           atomic.Pointer[jdaw.View]
	incarnation    atomic.Pointer[jdaw.Incarnation]
	adopted        atomic.Pointer[adoptedState]
	lastHeaders    sync.Map // jdaw.VMID to jdaw.HeaderSeen
	headerPostedAt atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // guards closed and adding to wg
	closed bool
	wg     conc.WaitGroup
}

type adoptedState struct {
	revision    jdaw.Revision
	suspensions uint64
}

// New returns a Node with its Machine. It starts no goroutine.
func New(cfg Config) *Node {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		cfg.Log = discard
	}
	if cfg.Seed == 0 {
		cfg.Seed = maphash.String(maphash.MakeSeed(), string(cfg.Self.Incarnation))
	}
	n := &Node{
		cfg:   cfg,
		clock: newHybridClock(cfg.Clock),
		conns: newConnections(cfg.Dial, cfg.LocalAddr, cfg.TLS),
		// The default client would use a proxy from the environment.
		http: &http.Client{Timeout: listTimeout, Transport: strict.New(strict.Config{Base: &http.Transport{MaxIdleConns: 1}})},
	}
	n.machine = NewMachine(MachineConfig{
		Self:    cfg.Self,
		Number:  uint64(cfg.Clock.Now().UnixMilli()),
		Seeds:   cfg.Seeds,
		HasList: cfg.ListURL != "",
		Seed:    cfg.Seed,
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.incarnation.Store(&cfg.Self.Incarnation)
	n.adopted.Store(&adoptedState{})
	n.view.Store(n.machine.view())
	return n
}

// Machine returns the state machine to run in the loop.
func (n *Node) Machine() jdaw.Machine { return n.machine }

// View implements jdaw.ViewSource.
func (n *Node) View() *jdaw.View { return n.view.Load() }

// Client returns a client for the VM at addr. Calls are not retried; a call
// without a deadline times out after a second.
func (n *Node) Client(addr string) (wire.PeerClient, error) {
	return n.conns.client(addr, n.cfg.Clock.Now())
}

// Now returns a timestamp of the hybrid logical clock.
func (n *Node) Now() (wall int64, logical uint32) {
	s := n.clock.now()
	return s.wall, s.logical
}

// Incarnation returns the current incarnation of this process.
func (n *Node) Incarnation() jdaw.Incarnation { return *n.incarnation.Load() }

// SetIncarnation announces a new incarnation, after the journal of the old one
// has been sealed.
func (n *Node) SetIncarnation(inc jdaw.Incarnation) {
	n.incarnation.Store(&inc)
	n.cfg.Post(IncarnationChanged{Incarnation: inc})
}

// SetAdopted sets the revision and the suspension hash that this process
// announces. Both must already be in force.
func (n *Node) SetAdopted(r jdaw.Revision, suspensions uint64) {
	n.adopted.Store(&adoptedState{revision: r, suspensions: suspensions})
}

// Drain announces that this process is draining.
func (n *Node) Drain() { n.cfg.Post(DrainStarted{}) }

// Header returns the header for an outgoing message.
func (n *Node) Header() *wire.Header {
	s := n.clock.now()
	a := n.adopted.Load()
	return &wire.Header{
		Vm:           string(n.cfg.Self.VM),
		Incarnation:  string(n.Incarnation()),
		Revision:     uint64(a.revision),
		Suspensions:  a.suspensions,
		ClockWall:    s.wall,
		ClockLogical: s.logical,
	}
}

// Observe processes the header of a received message. It posts an event only if
// the VM's header has changed or no event was posted for 500 ms.
func (n *Node) Observe(h *wire.Header) {
	if h == nil {
		return
	}
	n.clock.observe(timestamp{wall: h.GetClockWall(), logical: h.GetClockLogical()})
	ev := jdaw.HeaderSeen{
		VM:          jdaw.VMID(h.GetVm()),
		Incarnation: jdaw.Incarnation(h.GetIncarnation()),
		Revision:    jdaw.Revision(h.GetRevision()),
		Suspensions: h.GetSuspensions(),
	}
	if ev.VM == "" || ev.VM == n.cfg.Self.VM {
		return
	}
	now := n.cfg.Clock.Now().UnixNano()
	old, known := n.lastHeaders.Swap(ev.VM, ev)
	if known && old == ev && now-n.headerPostedAt.Load() < int64(headerInterval) {
		return
	}
	n.headerPostedAt.Store(now)
	n.cfg.Post(ev)
}

// Close cancels the calls in flight and closes the connections.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.conns.Close()
	n.wg.Wait()
}

// Execute runs an action of the machine without blocking. It returns false for
// actions of other machines.
func (n *Node) Execute(a jdaw.Action) bool {
	switch a := a.(type) {
	case SendProbe:
		n.start(func() { n.sendProbe(a) })
	case SendProbeFor:
		n.start(func() { n.sendProbeFor(a) })
	case SendJoin:
		n.start(func() { n.sendJoin(a) })
	case ReadList:
		n.start(n.readList)
	case Answer:
		a.Reply(a.Exchange)
	case jdaw.ViewChanged:
		n.storeView(a.View)
	default:
		return false
	}
	return true
}

func (n *Node) start(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.wg.Go(f)
	}
}

func (n *Node) storeView(v *jdaw.View) {
	old := n.view.Swap(v)
	if old.Isolated != v.Isolated {
		n.cfg.Log.WithField("isolated", v.Isolated).Warn("isolation state changed")
	}
	keep := map[string]bool{}
	for _, m := range v.Members {
		keep[m.PeerAddr] = true
		if was, ok := old.Member(m.VM); ok && was.State != m.State {
			n.cfg.Log.WithFields(logrus.Fields{"member": m.VM, "state": m.State, "was": was.State}).Info("member state changed")
		}
	}
	n.start(func() { n.conns.prune(keep, n.cfg.Clock.Now().Add(-unusedConnTimeout)) })
}

func (n *Node) sendProbe(a SendProbe) {
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	ev := Probed{Target: a.Target, Addr: a.Addr, SentAt: a.SentAt}
	reply, err := n.callProbe(ctx, a.Addr, a.Exchange)
	if err == nil {
		ev.OK = true
		ev.Sender = jdaw.VMID(reply.GetHeader().GetVm())
		ev.Exchange = Exchange{Updates: fromWireAll(reply.GetUpdates()), List: listFromWire(reply.GetList())}
	}
	n.cfg.Post(ev)
}

func (n *Node) callProbe(ctx context.Context, addr string, x Exchange) (*wire.ProbeReply, error) {
	client, err := n.Client(addr)
	if err != nil {
		return nil, err
	}
	reply, err := client.Probe(ctx, &wire.ProbeRequest{Header: n.Header(), Updates: toWireAll(x.Updates), List: listToWire(x.List)})
	if err != nil {
		return nil, err
	}
	n.Observe(reply.GetHeader())
	return reply, nil
}

// IsRunning asks whether a VM answers at an address. The member table learns of a
// VM that is back, or has a new incarnation, with the next probe only.
func (n *Node) IsRunning(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := n.conns.Conn(addr, n.cfg.Clock.Now())
	if err != nil {
		return false
	}
	// The connection may wait after attempts that failed while the VM was away.
	conn.ResetConnectBackoff()
	reply, err := wire.NewPeerClient(conn).Probe(ctx, &wire.ProbeRequest{Header: n.Header()}, grpc.WaitForReady(true))
	if err != nil {
		return false
	}
	n.Observe(reply.GetHeader())
	return true
}

func (n *Node) sendProbeFor(a SendProbeFor) {
	ctx, cancel := context.WithTimeout(n.ctx, probeForTimeout)
	defer cancel()
	ev := ProbedFor{Target: a.Target, Number: a.Number, SentAt: a.SentAt}
	client, err := n.Client(a.HelperAddr)
	if err == nil {
		var reply *wire.ProbeForReply
		reply, err = client.ProbeFor(ctx, &wire.ProbeForRequest{Header: n.Header(), TargetAddr: a.TargetAddr})
		if err == nil {
			n.Observe(reply.GetHeader())
			ev.OK = true
			ev.Reached = reply.GetReached()
			ev.Updates = fromWireAll(reply.GetUpdates())
		}
	}
	n.cfg.Post(ev)
}

func (n *Node) sendJoin(a SendJoin) {
	ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
	defer cancel()
	ev := Joined{Addr: a.Addr, SentAt: a.SentAt}
	client, err := n.Client(a.Addr)
	if err == nil {
		var reply *wire.JoinReply
		reply, err = client.Join(ctx, &wire.JoinRequest{Header: n.Header(), Self: toWire(a.Self)})
		if err == nil {
			n.Observe(reply.GetHeader())
			ev.OK = true
			ev.Exchange = Exchange{Updates: fromWireAll(reply.GetMembers()), List: listFromWire(reply.GetList())}
		}
	}
	n.cfg.Post(ev)
}

func (n *Node) readList() {
	list, err := n.fetchList()
	if err != nil {
		n.cfg.Log.WithError(err).Debug("failed to read VM list")
	}
	n.cfg.Post(ListRead{OK: err == nil, List: list})
}

func (n *Node) fetchList() (List, error) {
	var list List
	req, err := http.NewRequestWithContext(n.ctx, http.MethodGet, n.cfg.ListURL+"/v1/vms", nil)
	if err != nil {
		return list, errors.Wrap(err, "read VM list")
	}
	res, err := n.http.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "read VM list")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return list, errors.Newf("read VM list: unexpected status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list)
	return list, errors.Wrap(err, "read VM list")
}

// Probe implements wire.PeerServer.
func (n *Node) Probe(ctx context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	n.Observe(req.GetHeader())
	x, err := n.awaitAnswer(ctx, func(reply func(Exchange)) jdaw.Event {
		return ProbeReceived{
			Sender:   jdaw.VMID(req.GetHeader().GetVm()),
			Exchange: Exchange{Updates: fromWireAll(req.GetUpdates()), List: listFromWire(req.GetList())},
			Reply:    reply,
		}
	})
	if err != nil {
		return nil, err
	}
	return &wire.ProbeReply{Header: n.Header(), Updates: toWireAll(x.Updates), List: listToWire(x.List)}, nil
}

// ProbeFor implements wire.PeerServer.
func (n *Node) ProbeFor(ctx context.Context, req *wire.ProbeForRequest) (*wire.ProbeForReply, error) {
	n.Observe(req.GetHeader())
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probed, err := n.callProbe(probeCtx, req.GetTargetAddr(), Exchange{})
	reached := err == nil
	_, err = n.awaitAnswer(ctx, func(reply func(Exchange)) jdaw.Event {
		return IndirectProbeServed{Updates: fromWireAll(probed.GetUpdates()), Reply: reply}
	})
	if err != nil {
		return nil, err
	}
	return &wire.ProbeForReply{Header: n.Header(), Reached: reached, Updates: probed.GetUpdates()}, nil
}

// Join implements wire.PeerServer.
func (n *Node) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	n.Observe(req.GetHeader())
	x, err := n.awaitAnswer(ctx, func(reply func(Exchange)) jdaw.Event {
		return JoinReceived{Self: fromWire(req.GetSelf()), Reply: reply}
	})
	if err != nil {
		return nil, err
	}
	return &wire.JoinReply{Header: n.Header(), Members: toWireAll(x.Updates), List: listToWire(x.List)}, nil
}

// awaitAnswer posts an event to the machine and waits for its answer. The answer
// goes through the loop because a VM whose loop hangs must not appear alive.
func (n *Node) awaitAnswer(ctx context.Context, event func(reply func(Exchange)) jdaw.Event) (Exchange, error) {
	answer := make(chan Exchange, 1)
	n.cfg.Post(event(func(x Exchange) { answer <- x }))
	select {
	case x := <-answer:
		return x, nil
	case <-ctx.Done():
		return Exchange{}, ctx.Err()
	case <-n.ctx.Done():
		return Exchange{}, n.ctx.Err()
	}
}
