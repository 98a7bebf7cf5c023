package serve

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/engine"
	"jackdawbarrow/entry"
	"jackdawbarrow/events"
	"jackdawbarrow/guard"
	"jackdawbarrow/ledger"
	"jackdawbarrow/loop"
	"jackdawbarrow/meter"
	"jackdawbarrow/orders"
	"jackdawbarrow/owner"
	"jackdawbarrow/replay"
	"jackdawbarrow/spread"
	"jackdawbarrow/store"
)

// incarnationBytes makes incarnations unique without coordination.
const incarnationBytes = 8

// headerTimeout bounds how long a connection may take to send its header, so
// that slow clients do not use up connections.
const headerTimeout = 10 * time.Second

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

func (p *Process) buildEntry() error {
	instruments, handler, err := meter.New()
	if err != nil {
		return err
	}
	if err := p.registerGauges(instruments); err != nil {
		return err
	}
	p.engine = engine.New(engine.Config{})
	s := p.settings
	cfg := entry.Config{
		VM: s.VM, DataCentre: s.DataCentre, Region: s.Region,
		Credits: p.owner.Holder(), Ledger: p.ledger, Claims: p.ledger,
		Engine: p.engine, Service: p.engine, Planner: p.casc, Learner: p.casc,
		Views: p.peers, Config: p.spread, Recorder: p.ring, Meter: instruments, Log: p.log,
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

// renewIncarnation is called when the journal of this process was sealed while
// it was paused or cut off.
func (p *Process) renewIncarnation(old jdaw.Incarnation) jdaw.Incarnation {
	inc := jdaw.Incarnation(config.RandomHex(incarnationBytes))
	p.log.WithFields(logrus.Fields{"old": old, "new": inc}).Warn("the journal was sealed by another VM; the process takes a new incarnation")
	p.peers.SetIncarnation(inc)
	return inc
}

// callersHandler adds /metrics to the callers' API.
func callersHandler(api, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	mux.Handle("/", api)
	return mux
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}
