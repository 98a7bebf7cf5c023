package spread

import (
	"bytes"
	"compress/gzip"
	"context"
	"hash/maphash"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/wire"
)

const (
	storeReadTimeout  = time.Second
	storeWriteTimeout = 2 * time.Second
	// watchWait is the time of one blocking query.
	watchWait = 30 * time.Second
	// watchRetry is the pause after a failed or empty query.
	watchRetry  = 500 * time.Millisecond
	pullTimeout = time.Second
	// hintWait is the time that a Hint waits for the adoption. It is below
	// the caller's timeout, so that the answer arrives in either case.
	hintWait = 1200 * time.Millisecond
	// maxUnpackedBytes bounds a document pulled from another VM.
	maxUnpackedBytes = 8 << 20
)

// Peers is what Node needs of package peers.
type Peers interface {
	Client(addr string) (wire.PeerClient, error)
	Header() *wire.Header
	Observe(h *wire.Header)
	View() *jdaw.View
	SetAdopted(r jdaw.Revision, suspensions uint64)
}

// Config configures a Node.
type Config struct {
	Self  jdaw.VMID
	Peers Peers
	Store jdaw.Store
	// Post sends an event to the loop. It is not called before Execute, a
	// gRPC handler, Submit or Suspend.
	Post  func(jdaw.Event)
	Clock jdaw.Clock
	Log   logrus.FieldLogger
	Seed  uint64 // of the machine's random generator; 0 for a random one
}

// Node executes the actions of its Machine, serves Hint and Pull and submits
// changes.
type Node struct {
	cfg      Config
	machine  *Machine
	snapshot atomic.Pointer[config.Snapshot]
	packed   atomic.Pointer[packedDocument]

	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex // guards the fields below and adding to wg
	closed    bool
	adopted   chan struct{} // closed at the next adoption
	stopWatch context.CancelFunc
	wg        conc.WaitGroup
}

// packedDocument is the document as Pull sends it.
type packedDocument struct {
	revision jdaw.Revision
	gzip     []byte
}

// New returns a Node with its Machine. It starts no goroutine.
func New(cfg Config) *Node {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		cfg.Log = quiet
	}
	if cfg.Seed == 0 {
		cfg.Seed = maphash.String(maphash.MakeSeed(), string(cfg.Self))
	}
	n := &Node{cfg: cfg, machine: NewMachine(cfg.Self, cfg.Seed), adopted: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Machine returns the machine, for the loop.
func (n *Node) Machine() jdaw.Machine { return n.machine }

// Snapshot implements config.Source; nil until a document is known.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot.Load() }

// Close ends the watch and the calls in progress.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// Execute carries out an action of the machine. It reports whether the action
// was one; it does not block.
func (n *Node) Execute(a jdaw.Action) bool {
	switch a := a.(type) {
	case config.Adopted:
		n.adopt(a.Snapshot)
	case ReadStore:
		n.start(n.readOnce)
	case SetWatch:
		n.setWatch(a.On)
	case SendPull:
		n.start(func() { n.cfg.Post(n.pull(n.ctx, a.VM, a.Addr)) })
	case SendHint:
		for _, addr := range a.Addrs {
			n.start(func() { _, _ = n.sendHint(n.ctx, addr, a.Suspensions) })
		}
	case Fold:
		n.start(func() { n.foldAll(a.Suspensions) })
	case Answer:
		a.Reply()
	default:
		return false
	}
	return true
}

// AwaitRevision returns when this VM has adopted the revision. It pulls from
// the VM at fromAddr until then and fails with CodeBehind when ctx ends.
func (n *Node) AwaitRevision(ctx context.Context, r jdaw.Revision, fromAddr string) error {
	for n.revision() < r {
		if ev := n.pull(ctx, "", fromAddr); ev.OK {
			n.cfg.Post(ev)
		}
		waitCtx, cancel := context.WithTimeout(ctx, confirmRetry)
		n.awaitLocal(waitCtx, r)
		cancel()
		if ctx.Err() != nil && n.revision() < r {
			return jdaw.Fail(jdaw.CodeBehind, "revision %d is needed and this VM has revision %d", r, n.revision())
		}
	}
	return nil
}

// Hint implements wire.PeerServer. It answers when the revision in the header
// is in force, so that the answer's header confirms it.
func (n *Node) Hint(ctx context.Context, req *wire.HintRequest) (*wire.HintReply, error) {
	h := req.GetHeader()
	n.cfg.Peers.Observe(h)
	err := n.tell(ctx, HintReceived{
		Sender:      jdaw.VMID(h.GetVm()),
		Revision:    jdaw.Revision(h.GetRevision()),
		Suspensions: fromWire(req.GetSuspensions()),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, hintWait)
	defer cancel()
	n.awaitLocal(ctx, jdaw.Revision(h.GetRevision()))
	return &wire.HintReply{Header: n.cfg.Peers.Header()}, nil
}

// Pull implements wire.PeerServer.
func (n *Node) Pull(_ context.Context, req *wire.PullRequest) (*wire.PullReply, error) {
	n.cfg.Peers.Observe(req.GetHeader())
	reply := &wire.PullReply{Header: n.cfg.Peers.Header()}
	snap := n.Snapshot()
	if snap == nil {
		return reply, nil
	}
	reply.Suspensions = toWire(snap.Suspensions)
	if snap.Revision() > jdaw.Revision(req.GetHeader().GetRevision()) {
		packed, err := n.pack(snap)
		if err != nil {
			return nil, err
		}
		reply.Document = packed
	}
	return reply, nil
}

func (n *Node) start(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.wg.Go(f)
	}
}

// adopt puts the snapshot in force before the header announces it, because the
// header counts as confirmation.
func (n *Node) adopt(snap *config.Snapshot) {
	n.snapshot.Store(snap)
	n.cfg.Peers.SetAdopted(snap.Revision(), hashSuspensions(snap.Suspensions))
	n.mu.Lock()
	close(n.adopted)
	n.adopted = make(chan struct{})
	n.mu.Unlock()
	n.cfg.Log.WithFields(logrus.Fields{"revision": snap.Revision(), "suspensions": len(snap.Suspensions)}).Info("configuration adopted")
}

func (n *Node) revision() jdaw.Revision {
	if snap := n.Snapshot(); snap != nil {
		return snap.Revision()
	}
	return 0
}

// awaitLocal waits until the revision is in force here.
func (n *Node) awaitLocal(ctx context.Context, r jdaw.Revision) bool {
	for {
		n.mu.Lock()
		adopted := n.adopted
		n.mu.Unlock()
		if n.revision() >= r {
			return true
		}
		select {
		case <-adopted:
		case <-ctx.Done():
			return false
		case <-n.ctx.Done():
			return false
		}
	}
}

// tell posts a hint and waits until the machine has handled it.
func (n *Node) tell(ctx context.Context, ev HintReceived) error {
	done := make(chan struct{}, 1)
	ev.Reply = func() { done <- struct{}{} }
	n.cfg.Post(ev)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return n.ctx.Err()
	}
}

func (n *Node) foldAll(suspensions []jdaw.Suspension) {
	err := n.fold(suspensions)
	if err != nil {
		n.cfg.Log.WithError(err).Debug("suspensions not folded")
	}
	n.cfg.Post(Folded{OK: err == nil})
}

// pull asks another VM for its document and suspensions.
func (n *Node) pull(ctx context.Context, vm jdaw.VMID, addr string) Pulled {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	ev := Pulled{From: vm}
	client, err := n.cfg.Peers.Client(addr)
	if err != nil {
		return ev
	}
	reply, err := client.Pull(ctx, &wire.PullRequest{Header: n.cfg.Peers.Header()})
	if err != nil {
		return ev
	}
	n.cfg.Peers.Observe(reply.GetHeader())
	if len(reply.GetDocument()) > 0 {
		doc, err := unpack(reply.GetDocument())
		if err != nil {
			n.cfg.Log.WithError(err).WithField("address", addr).Warn("pulled configuration not readable")
			return ev
		}
		ev.Doc = &doc
	}
	ev.OK = true
	ev.Suspensions = fromWire(reply.GetSuspensions())
	return ev
}

func (n *Node) pack(snap *config.Snapshot) ([]byte, error) {
	if p := n.packed.Load(); p != nil && p.revision == snap.Revision() {
		return p.gzip, nil
	}
	encoded, err := snap.Doc.Encode()
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err = w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err = w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	n.packed.Store(&packedDocument{revision: snap.Revision(), gzip: buf.Bytes()})
	return buf.Bytes(), nil
}

func unpack(b []byte) (config.Document, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return config.Document{}, errors.Wrap(err, "decompress configuration")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return config.Document{}, errors.Wrap(err, "decompress configuration")
	}
	return config.DecodeDocument(encoded)
}

func toWire(list []jdaw.Suspension) []*wire.Suspension {
	out := make([]*wire.Suspension, 0, len(list))
	for _, s := range list {
		out = append(out, &wire.Suspension{
			Id: s.ID, Kind: string(s.Kind), Name: s.Name, Operator: s.Operator, Reason: s.Reason, AtUnixNano: s.At.UnixNano(),
		})
	}
	return out
}

func fromWire(list []*wire.Suspension) []jdaw.Suspension {
	out := make([]jdaw.Suspension, 0, len(list))
	for _, w := range list {
		out = append(out, jdaw.Suspension{
			ID: w.GetId(), Kind: jdaw.SuspensionKind(w.GetKind()), Name: w.GetName(),
			Operator: w.GetOperator(), Reason: w.GetReason(), At: time.Unix(0, w.GetAtUnixNano()).UTC(),
		})
	}
	return out
}
