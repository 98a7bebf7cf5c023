package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/dial"
	"jackdawbarrow/feed"
	"jackdawbarrow/fleet"
	"jackdawbarrow/guard"
	"jackdawbarrow/intake"
	"jackdawbarrow/loads"
	"jackdawbarrow/loop"
	"jackdawbarrow/meter"
	"jackdawbarrow/peers"
	"jackdawbarrow/poison"
	"jackdawbarrow/relay"
	"jackdawbarrow/wire"
)

const (
	// loopInterval is the interval of the control loop. Its shortest period, a step
	// of a roll-out, takes several seconds.
	loopInterval = 250 * time.Millisecond
	// acceptShare is the share of the grace time in which new requests are accepted,
	// from callers with a stale list of VMs.
	acceptShare = 0.35
	// answerShare is the share of the grace time after which requests in flight get
	// their final response.
	answerShare = 0.9
	// shutdownShare is the share of the grace time after which callers' connections are
	// closed, and probeShare that for the connections of probes.
	shutdownShare = 0.92
	probeShare    = 0.94
	// maxHeaderBytes and maxHeaderTime limit the header of a request, whatever the
	// configuration allows.
	maxHeaderBytes = 256 << 10
	maxHeaderTime  = 30 * time.Second
	// probeTimeout limits the time to read a directory request or probe, and
	// probeHeaderBytes its header.
	probeTimeout     = 3 * time.Second
	probeHeaderBytes = 4 << 10
	// auxWriteTimeout limits the time to write the response of the directory, the
	// probe and the metrics.
	auxWriteTimeout = 15 * time.Second
	// handshakeTimeout limits the time in which another VM begins to speak gRPC,
	// peerHeaderBytes the header of its calls and peerCalls the calls in progress on one
	// connection; further ones wait at the other VM.
	handshakeTimeout = 5 * time.Second
	peerHeaderBytes  = 16 << 10
	peerCalls        = 64
)

// Directory encodes the list of VMs for callers.
type Directory interface {
	// Paths returns the paths of the directory and of the readiness probe.
	Paths() (directory, ready string)
	EncodeAddresses(addresses []string, ttl time.Duration) ([]byte, error)
}

// Config configures a Process.
type Config struct {
	Settings  config.RelaySettings
	Store     jdaw.ChangeStore
	Decoder   jdaw.ChangeDecoder
	Encoder   fleet.RolloutEncoder
	Protocol  jdaw.CallProtocol
	Directory Directory
	Log       *logrus.Logger
}

// Process is one entry VM.
type Process struct {
	cfg        Config
	loop       *loop.Loop
	node       *fleet.Node
	guard      *guard.Node
	casc       *casc.Node
	pool       *dial.Pool
	relay      *relay.Relay
	intake     *intake.Account
	callers    *http.Server
	auxServers []*http.Server
	conns      map[*http.Server]*serverConns
	feed       *feed.Feed
	loads      *loads.Node
	poison     *poison.Detector
	peers      *grpc.Server
	draining   atomic.Bool
	wg         conc.WaitGroup
	inFlight   atomic.Int64
	whereMu    sync.Mutex // held while a question of where is answered
}

// New starts the process of an entry VM.
func New(cfg Config) (*Process, error) {
	s := cfg.Settings
	p := &Process{cfg: cfg, pool: dial.New(dial.Config{MaxFDs: s.MaxFDs}), poison: poison.New(poison.Config{Log: cfg.Log}), conns: map[*http.Server]*serverConns{}}
	machine := fleet.NewMachine(fleet.MachineConfig{Self: s.VM, Region: s.Region, DataCentres: s.DataCentres, Exposure: s.Exposure})
	post := func(ev jdaw.Event) { p.loop.Post(ev) }
	p.guard = guard.New(guard.Config{
		Suspend: func(sus jdaw.Suspension) {
			post(fleet.VersionSuspended{Version: jdaw.ParseModelVersion(sus.Name), Reason: sus.Reason})
		},
		Hold: func(v jdaw.ModelVersion) {
			cfg.Log.WithFields(logrus.Fields{"service": v.Model, "version": v.Version}).Info("roll-out held: too few answers of the new version")
			post(fleet.VersionHeld{Version: v})
		},
	})
	p.casc = casc.New(casc.Config{Post: post})
	ready := make(chan struct{})
	p.loop = loop.New(loop.Config{
		Machines: []jdaw.Machine{machine, p.guard.Machine(), p.casc.Machine()},
		Execute: func(a jdaw.Action) {
			<-ready
			p.execute(a)
		},
		Tick: loopInterval,
	})
	p.feed = feed.New(feed.Config{
		IsCurrent: func() bool { return p.node.ReadsStore() }, Writer: func() feed.Writer { return p.node },
	})
	self := fleet.Member{
		VM: s.VM, DataCentre: s.DataCentre, Region: s.Region, Address: s.Listen.Callers, Peers: s.Listen.Peers,
		Start: time.Now().UTC().Format("150405.000000"),
	}
	p.node = fleet.New(fleet.Config{
		Self: self, Store: cfg.Store, Decoder: cfg.Decoder, Encoder: cfg.Encoder, Post: post, Feed: p.feed, ApplyWithin: s.ApplyWithin(), Log: cfg.Log,
	})
	instruments, metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	observed, err := relay.NewMetrics(instruments)
	if err != nil {
		return nil, err
	}
	if err := p.observeStore(instruments); err != nil {
		return nil, err
	}
	if err := p.observePool(instruments); err != nil {
		return nil, err
	}
	p.intake = intake.New(intake.Config{
		MaxFDs: s.MaxFDs, MemoryBytes: int64(s.MemoryMB) << 20, Rules: intakeRules(s.Intake), Log: cfg.Log,
	})
	if err := p.intake.Observe(instruments); err != nil {
		return nil, err
	}
	p.loads = loads.New(loads.Config{
		Self: self, State: p.node.State, Poison: p.poison, Quarantine: p.node.Quarantine, Log: cfg.Log,
		Own: func() jdaw.Backlog {
			<-ready
			return p.relay.Backlog()
		},
		Demand: func() jdaw.Demand {
			<-ready
			return p.relay.Demand()
		},
	})
	p.relay = relay.New(relay.Config{
		Self: s.VM, Fleet: p.node, Protocol: cfg.Protocol, Pool: p.pool, Planner: p.casc, Learner: p.casc, Backlogs: p.loads, Poison: p.poison,
		QualityTarget: s.QualityTarget, RankEscalations: s.RankEscalations, BodyMemory: bodyMemory(s.MemoryMB), HedgeShare: s.Hedging.ExtraShare,
		Demand: p.loads.OthersDemand, MaxWaiting: s.MaxWaiting, Metrics: observed, Log: cfg.Log,
	})
	close(ready)
	return p, p.listen(metrics)
}

func intakeRules(s config.IntakeSettings) intake.Rules {
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	return intake.Rules{
		ConnShare: s.ConnectionShare, HeaderShare: s.HeaderShare, BodyRate: s.BodyRate, BodyWindow: seconds(s.BodyWindowSeconds),
		BodyTime: seconds(s.BodySeconds), UnreadTime: seconds(s.UnreadSeconds),
	}
}

// callCounter is implemented by stores that count their calls by kind.
type callCounter interface{ Calls() map[string]int64 }

// observeStore serves the calls to the store and its malformed entries.
func (p *Process) observeStore(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("store_rejected_entries",
		metric.WithDescription("entries of the store that were rejected as malformed"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(p.node.RejectedEntries())
			return nil
		}))
	if err != nil {
		return errors.Wrap(err, "create store_rejected_entries")
	}
	counter, ok := p.cfg.Store.(callCounter)
	if !ok {
		return nil
	}
	_, err = m.Int64ObservableCounter("store_calls", metric.WithDescription("calls to the store by kind"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for kind, n := range counter.Calls() {
				o.Observe(n, metric.WithAttributes(attribute.String("kind", kind)))
			}
			return nil
		}))
	return errors.Wrap(err, "create store_calls")
}

// bodyShare is the part of the process's memory limit that bodies may take.
const bodyShare = 0.25

// bodyMemory returns the memory for bodies in bytes, 0 without a limit of the
// process.
func bodyMemory(megabytes int) int64 { return int64(bodyShare * float64(megabytes<<20)) }

// execute runs the actions of all state machines.
func (p *Process) execute(a jdaw.Action) {
	if w, ok := a.(fleet.WriteRollout); ok {
		p.logRollout(w)
	}
	p.node.Execute(a)
	p.guard.Execute(a)
	p.casc.Execute(a)
	if published, ok := a.(fleet.Publish); ok {
		p.relay.Forget(published.State)
		p.poison.Stored(time.Now(), published.State.Quarantined, published.State.LapsedQuarantines)
		p.logState(published.State)
	}
}

// logState logs a summary of the state in force.
func (p *Process) logState(st *fleet.State) {
	if st.Table == nil {
		return
	}
	ready, leaving, cold := 0, 0, 0
	at := time.Now()
	for _, list := range st.Upstreams {
		for i := range list {
			switch {
			case list[i].Leaving:
				leaving++
			case list[i].IsCold(at):
				cold++
			default:
				ready++
			}
		}
	}
	rollouts := map[string]string{}
	for service, r := range st.Rollouts {
		rollouts[service] = fmt.Sprintf("%s %s %.2f", r.Version, r.State, r.SessionShare)
	}
	p.cfg.Log.WithFields(logrus.Fields{
		"revision": st.Table.Revision, "storeSilentMs": p.node.TimeSinceContact().Milliseconds(), "vms": len(st.Members), "ready": ready,
		"leaving": leaving, "cold": cold, "dataCentresOut": len(st.Out), "rollouts": rollouts,
	}).Info("state in force")
}

// logRollout logs the guard's figures at the decision on a roll-out.
func (p *Process) logRollout(w fleet.WriteRollout) {
	for _, st := range p.guard.Status() {
		if st.Version.Model == w.Service && st.Version.Version == w.Version {
			p.cfg.Log.WithFields(logrus.Fields{
				"service": w.Service, "version": w.Version, "state": w.State, "reason": w.Reason, "ok": st.OK, "failed": st.Failed,
				"timed": st.Timed, "slow": st.Slow, "speed": st.Speed,
				"stableTimed": st.StableTimed, "stableSlow": st.StableSlow, "stableSpeed": st.StableSpeed,
			}).Info("evidence of the roll-out")
		}
	}
}

func (p *Process) listen(metrics http.Handler) error {
	s := p.cfg.Settings
	directoryPath, readyPath := p.cfg.Directory.Paths()
	conns := newCallerConns(p.callerLimits, p.cfg.Log)
	p.callers = &http.Server{
		Handler: p.intake.Handler(http.HandlerFunc(p.serveCaller)), ReadHeaderTimeout: maxHeaderTime, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: intake.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			conns.stateChanged(conn, state)
			p.intake.ConnStateChanged(conn, state)
		},
	}
	if err := p.serve(p.callers, s.Listen.Callers, intake.Callers); err != nil {
		return err
	}
	for addr, route := range map[string]struct {
		path    string
		handler http.HandlerFunc
		class   intake.Class
	}{
		s.Listen.Directory: {directoryPath, p.serveDirectory, intake.Directory},
		s.Listen.Ready:     {readyPath, p.serveReady, intake.Probe},
		s.Listen.Metrics:   {"/metrics", metrics.ServeHTTP, intake.Metrics},
	} {
		if addr == "" {
			continue
		}
		router := httprouter.New()
		router.HandlerFunc(http.MethodGet, route.path, route.handler)
		if route.class == intake.Metrics {
			router.HandlerFunc(http.MethodGet, wherePath, p.serveWhere)
		}
		srv := &http.Server{
			Handler: intake.Bodyless(router), ReadTimeout: probeTimeout, WriteTimeout: auxWriteTimeout, MaxHeaderBytes: probeHeaderBytes,
			IdleTimeout: config.DefaultCallerIdleTime, ConnState: p.intake.ConnStateChanged,
		}
		p.auxServers = append(p.auxServers, srv)
		if err := p.serve(srv, addr, route.class); err != nil {
			return err
		}
	}
	return p.servePeers(s.Listen.Peers)
}

// servePeers serves the change feed and load reports to other VMs.
func (p *Process) servePeers(addr string) error {
	options := append(peers.ServerOptions(),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(peerHeaderBytes), grpc.MaxConcurrentStreams(peerCalls),
		grpc.StatsHandler(p.intake.Calls()))
	p.peers = grpc.NewServer(options...)
	wire.RegisterFeedServer(p.peers, p.feed)
	wire.RegisterLoadsServer(p.peers, p.loads)
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	p.wg.Go(func() {
		if err := p.peers.Serve(p.intake.Listen(l, intake.Peers)); err != nil {
			p.cfg.Log.WithError(err).WithField("address", addr).Error("server failed")
		}
	})
	return nil
}

func (p *Process) serve(srv *http.Server, addr string, class intake.Class) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	conns := trackConns(srv, p.intake.Listen(l, class))
	p.conns[srv] = conns
	p.wg.Go(func() {
		if err := srv.Serve(conns); err != nil && !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			p.cfg.Log.WithError(err).WithField("address", addr).Error("server failed")
		}
	})
	return nil
}

func (p *Process) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	p.relay.ServeHTTP(drainWriter{ResponseWriter: w, isDraining: p.draining.Load}, r)
}

// callerLimits returns the limits of the configuration in force.
func (p *Process) callerLimits() config.CallerLimits {
	if st := p.node.State(); st != nil && st.Table != nil {
		return st.Table.Limits
	}
	return config.CallerLimits{}
}

func (p *Process) isReady() bool {
	st := p.node.State()
	return st != nil && st.Table != nil && !p.draining.Load()
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// maxAddresses is the number of addresses that callers read from the directory.
const maxAddresses = 64

// directoryTTL is short, so that callers soon stop using a draining VM.
const directoryTTL = time.Second

// serveDirectory lists the VMs that callers may use. Without the store, it serves
// the last known list.
func (p *Process) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	st := p.node.State()
	if st == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	addresses := p.addresses(st)
	body, err := p.cfg.Directory.EncodeAddresses(addresses, directoryTTL)
	if err != nil || len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		p.cfg.Log.WithError(err).Debug("writing the directory response failed")
	}
}

// addresses returns the VMs that callers may use. If there are more than callers
// read, each VM lists a different subset, so that all of them get callers.
func (p *Process) addresses(st *fleet.State) []string {
	self := p.cfg.Settings.VM
	var members []fleet.Member
	for _, m := range st.Members {
		if m.VM != self || !p.draining.Load() {
			members = append(members, m)
		}
	}
	var addresses []string
	for _, m := range fleet.Ranked("directory/"+string(self), members)[:min(len(members), maxAddresses)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// Drain removes the VM from the directory, accepts late connections for a while, waits
// for requests in flight, answers those that are left, and stops. The relay refuses
// requests that would not end in time. Each response that begins in a drain ends its
// connection; other connections are closed when they are idle and the while is over.
// It returns within the grace time.
func (p *Process) Drain(grace time.Duration) {
	startedAt := time.Now()
	p.draining.Store(true)
	after := func(share float64) time.Time { return startedAt.Add(time.Duration(float64(grace) * share)) }
	p.relay.Drain(after(answerShare))
	p.node.Leave()
	time.Sleep(time.Duration(float64(grace) * acceptShare))
	if !p.conns[p.callers].stop(after(shutdownShare)) {
		p.cfg.Log.WithField("requests", p.inFlight.Load()).Warn("grace time exceeded; aborting requests in flight")
		_ = p.callers.Close()
	}
	for _, srv := range p.auxServers {
		if !p.conns[srv].stop(after(probeShare)) {
			p.cfg.Log.WithField("address", p.conns[srv].Addr().String()).Warn("grace time exceeded; aborting probes")
		}
	}
}

// Close stops the process immediately.
func (p *Process) Close() {
	p.callers.Close()
	for _, srv := range p.auxServers {
		srv.Close()
	}
	p.peers.Stop()
	p.loads.Close()
	p.node.Close()
	p.feed.Close()
	p.loop.Close()
	p.pool.Close()
	p.wg.Wait()
	p.intake.Close()
}
