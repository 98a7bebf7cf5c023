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
	"jackdawbarrow/spread"
)

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
func New(cfg Config) (*Process, error) {
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
	if err := p.start(l); err != nil {
		l.close()
		return nil, err
	}
	return p, nil
}

// Settings returns the settings with the ports that were chosen.
func (p *Process) Settings() config.Settings { return p.settings }

// post sends an event to the loop. It waits for the loop to be assigned, since
// the loop's goroutine executes actions before loop.New has returned.
func (p *Process) post(ev jdaw.Event) {
	<-p.looping
	p.loop.Post(ev)
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
	// A handler ends before the server has flushed the end of its answer, which
	// Close would cut off.
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, srv := range p.servers {
		if err := srv.Shutdown(ctx); err != nil {
			p.log.WithError(err).Warn("connections of callers were still busy at the end of the drain")
		}
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
