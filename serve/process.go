package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/engine"
	"jackdawbarrow/entry"
	"jackdawbarrow/events"
	"jackdawbarrow/guard"
	"jackdawbarrow/ledger"
	"jackdawbarrow/loop"
	"jackdawbarrow/orders"
	"jackdawbarrow/owner"
	"jackdawbarrow/peers"
	"jackdawbarrow/replay"
	"jackdawbarrow/spread"
	"jackdawbarrow/store"
)

// incarnationBytes makes incarnations unique without coordination.
const incarnationBytes = 8

// Config configures a Process.
type Config struct {
	Settings config.Settings
	Log      *logrus.Logger
}

// Process is one running entry VM.
type Process struct {
	settings config.Settings
	log      *logrus.Entry

	loop    *loop.Loop
	looping chan struct{} // closed when loop is assigned
	// draining is closed when the platform or an operator takes this VM out.
	draining chan struct{}
	drained  bool // only the loop's goroutine uses it

	peers  *peers.Node
	spread *spread.Node
	owner  *owner.Node
	guard  *guard.Node
	casc   *casc.Node
	orders *orders.Node
	ledger *ledger.Ledger
	engine *engine.Client
	entry  *entry.Entry
	ring   *events.Ring
	store  jdaw.Store

	// lastStates and lastIsolated are what the time line knows of the member
	// table; only the loop's goroutine uses them.
	lastStates   map[jdaw.VMID]jdaw.MemberState
	lastIsolated bool

	trace *trace // nil unless the settings ask for one

	grpc    *grpc.Server
	servers []*http.Server
	wg      conc.WaitGroup
}

// New starts a process. It returns when all addresses are being listened on;
// the entry answers noConfiguration until a configuration has been read.
func New(ctx context.Context, cfg Config) (*Process, error) {
	if cfg.Log == nil {
		cfg.Log = logrus.New()
	}
	p := &Process{settings: cfg.Settings, looping: make(chan struct{}), draining: make(chan struct{})}
	p.log = cfg.Log.WithField("vm", string(cfg.Settings.VM))
	l, err := p.listen()
	if err != nil {
		return nil, err
	}
	if err := p.build(); err != nil {
		l.close()
		return nil, err
	}
	if err := p.start(ctx, l); err != nil {
		l.close()
		return nil, err
	}
	return p, nil
}

// Settings returns the settings with the ports that were chosen.
func (p *Process) Settings() config.Settings { return p.settings }

// build makes the slices and connects them. The order follows their needs:
// peers before whatever sends messages, the ledger and the owner before the
// entry.
func (p *Process) build() error {
	s := p.settings
	kv, err := store.New(store.Config{Addresses: s.Store.Addresses})
	if err != nil {
		return err
	}
	p.store = kv
	inc := jdaw.Incarnation(config.RandomHex(incarnationBytes))
	if err := p.buildPeers(inc); err != nil {
		return err
	}
	p.ring = events.NewRing(events.Config{VM: s.VM, Size: s.Limits.Events, Stamp: p.peers.Now, Incarnation: p.peers.Incarnation})
	p.buildControl()
	p.ledger = ledger.New(ledger.Config{
		VM: s.VM, Incarnation: inc, Store: kv, Views: p.peers, Config: p.spread,
		Client: p.peers.Client, Header: p.peers.Header, Recorder: p.ring, Log: p.log,
		Renew: p.renewIncarnation,
	})
	if err := p.buildEntry(); err != nil {
		return err
	}
	return p.buildLoop(inc)
}

// renewIncarnation is called when the journal of this process was sealed while
// it was paused or cut off.
func (p *Process) renewIncarnation(old jdaw.Incarnation) jdaw.Incarnation {
	inc := jdaw.Incarnation(config.RandomHex(incarnationBytes))
	p.log.WithFields(logrus.Fields{"old": old, "new": inc}).Warn("the journal was sealed by another VM; the process takes a new incarnation")
	p.peers.SetIncarnation(inc)
	return inc
}

// post sends an event to the loop. It waits for the loop to be assigned, since
// the loop's goroutine executes actions before loop.New has returned.
func (p *Process) post(ev jdaw.Event) {
	<-p.looping
	p.loop.Post(ev)
}

func (p *Process) buildControl() {
	s := p.settings
	p.spread = spread.New(spread.Config{
		Self: s.VM, Peers: p.peers, Store: p.store, Post: p.post, Log: p.log,
	})
	p.orders = orders.New(orders.Config{Self: s.VM, Region: s.Region, Store: p.store, Post: p.post, Log: p.log})
	p.guard = guard.New(guard.Config{Suspend: p.suspend})
	p.casc = casc.New(casc.Config{Post: p.post})
	p.owner = owner.NewNode(owner.NodeConfig{
		Self: s.VM, Views: p.peers, Configs: p.spread, Client: p.peers.Client, Header: p.peers.Header,
		AwaitRevision: p.spread.AwaitRevision, Post: p.post, Outcomes: p.judgeCounts, Log: p.log,
	})
}

func (p *Process) buildLoop(inc jdaw.Incarnation) error {
	cfg := loop.Config{
		Machines: []jdaw.Machine{
			p.peers.Machine(),
			p.spread.Machine(),
			owner.New(owner.Config{Self: p.settings.VM, Incarnation: inc}),
			p.guard.Machine(),
			p.casc.Machine(),
			p.orders.Machine(),
		},
		Execute: p.execute,
	}
	if p.settings.Record != "" {
		t, err := newTrace(p.settings.Record, replay.Process{VM: p.settings.VM, Incarnation: inc})
		if err != nil {
			return err
		}
		p.trace = t
		cfg.Record, cfg.RecordEmitted, cfg.RecordAction = t.recorder.Record, t.recorder.Record, t.recorder.RecordAction
	}
	p.loop = loop.New(cfg)
	close(p.looping)
	return nil
}

// execute gives an action to the slice that carries it out.
func (p *Process) execute(a jdaw.Action) {
	p.recordControl(a)
	p.watchDrain(a)
	if p.peers.Execute(a) || p.spread.Execute(a) || p.owner.Execute(a) || p.orders.Execute(a) {
		return
	}
	p.guard.Execute(a)
	p.casc.Execute(a)
}

// Draining is closed when the VM list marks this VM as leaving or an operator
// drains it. The caller then calls Drain, as it does on SIGTERM.
func (p *Process) Draining() <-chan struct{} { return p.draining }

func (p *Process) watchDrain(a jdaw.Action) {
	leaving := false
	switch a := a.(type) {
	case jdaw.ViewChanged:
		self, ok := a.View.Member(p.settings.VM)
		leaving = ok && self.State == jdaw.MemberDraining
	case config.Adopted:
		leaving = a.Snapshot.IsDraining(p.settings.VM)
	}
	if leaving && !p.drained {
		p.drained = true
		close(p.draining)
	}
}

// Drain refuses new work after the entry list has had time to expire, waits
// for the requests in progress and ends the process.
func (p *Process) Drain(ctx context.Context) {
	if err := p.entry.Drain(ctx); err != nil {
		p.log.WithError(err).Warn("the drain ended before the last request")
	}
	p.Close()
}

// closeTimeout bounds the last write of the journal when the key-value
// service is down; the copies on other VMs then hold what is not written.
const closeTimeout = 5 * time.Second

// Close ends the process without waiting for requests in progress.
func (p *Process) Close() {
	for _, srv := range p.servers {
		_ = srv.Close() // the listeners are closed either way
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := p.ledger.Close(ctx); err != nil {
		p.log.WithError(err).Warn("the journal could not be closed; other VMs will seal it")
	}
	p.owner.Close()
	p.orders.Close()
	p.spread.Close()
	p.grpc.Stop()
	p.loop.Close()
	p.closeTrace()
	p.peers.Close()
	p.engine.Close()
	p.wg.Wait()
}

// suspend is called on the loop's goroutine, which must not wait.
func (p *Process) suspend(s jdaw.Suspension) {
	p.log.WithFields(logrus.Fields{"kind": s.Kind, "name": s.Name, "reason": s.Reason}).Warn("suspended by the guard")
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if _, err := p.spread.Suspend(ctx, s); err != nil {
			p.log.WithError(err).Error("the suspension could not be spread")
		}
	})
}

func (p *Process) buildEntry() error {
	meter, handler, err := newMeter()
	if err != nil {
		return err
	}
	if err := p.registerGauges(meter); err != nil {
		return err
	}
	p.engine = engine.New(engine.Config{})
	s := p.settings
	cfg := entry.Config{
		VM: s.VM, DataCentre: s.DataCentre, Region: s.Region,
		Credits: p.owner.Holder(), Ledger: p.ledger, Claims: p.ledger,
		Engine: p.engine, Service: p.engine, Planner: p.casc, Learner: p.casc,
		Views: p.peers, Config: p.spread, Recorder: p.ring, Meter: meter, Log: p.log,
		IssueKey: p.ledger.IssueKey, VerifyKey: p.verifyKey, Forward: p.forward,
		OnDrain: p.peers.Drain, MaxBodyBytes: s.Limits.BodyBytes,
	}
	if s.Ratings != "" {
		cfg.Rater = engine.NewRater(p.engine, s.Ratings)
	}
	p.entry = entry.New(cfg)
	p.servers = append(p.servers, newHTTPServer(callersHandler(p.entry.Handler(), handler)), newHTTPServer(p.adminHandler()))
	return nil
}

// callersHandler adds /metrics to the callers' API.
func callersHandler(api, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	mux.Handle("/", api)
	return mux
}

// headerTimeout bounds how long a connection may take to send its header, so
// that slow clients do not use up connections.
const headerTimeout = 10 * time.Second

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}
