package loads

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
	"jackdawbarrow/peers"
	"jackdawbarrow/poison"
	"jackdawbarrow/wire"
)

const (
	// minPeriod is the shortest time between two exchanges. Trials with 40, 100,
	// 200 and 300 ms at eight VMs differed by less than their noise.
	minPeriod = 100 * time.Millisecond
	// periodPerVM lengthens the period with the VMs of the data centre, so that an
	// aggregator answers at most 80 calls a second.
	periodPerVM = 12500 * time.Microsecond
	// callTimeout limits an exchange; a VM of another data centre answers within
	// 5 ms.
	callTimeout = 250 * time.Millisecond
	// aggregatorRetryTime is the time until a failed aggregator is called again.
	aggregatorRetryTime = 3 * time.Second
)

// Config configures a Node.
type Config struct {
	Self  fleet.Member
	State func() *fleet.State
	Own   func() jdaw.Backlog // of this VM
	// Demand returns the demand of this VM's callers; nil sends none.
	Demand func() jdaw.Demand
	// Poison holds the evidence against prompt parts that crash upstreams.
	Poison *poison.Detector
	// Quarantine writes a quarantine to the store. It doesn't block.
	Quarantine func(q jdaw.Quarantine)
	Log        logrus.FieldLogger
}

// Node exchanges backlogs with other VMs. It implements [wire.LoadsServer].
type Node struct {
	wire.UnimplementedLoadsServer
	cfg        Config
	conns      *peers.Connections
	lastReport atomic.Pointer[fleetReport]
	demands    *demandTable
	ctx        context.Context
	cancel     context.CancelFunc
	wg         conc.WaitGroup

	mu    sync.Mutex
	table *table
	// avoided maps failed aggregators to the end of their retry time. Only the
	// exchange uses it.
	avoided map[jdaw.VMID]time.Time
}

// New starts the exchange.
func New(cfg Config) *Node {
	if cfg.Poison == nil {
		cfg.Poison = poison.New(poison.Config{Log: cfg.Log})
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = func(jdaw.Quarantine) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, conns: peers.NewConnections(), ctx: ctx, cancel: cancel,
		table: newTable(), demands: newDemandTable(cfg.Self.DataCentre, cfg.Demand), avoided: map[jdaw.VMID]time.Time{},
	}
	n.wg.Go(func() {
		for n.ctx.Err() == nil {
			n.pause(n.exchange())
		}
	})
	return n
}

// pause waits for the next exchange; new evidence of crashes shortens the wait.
func (n *Node) pause(d time.Duration) {
	jdaw.Sleep(n.ctx, min(d, minPeriod))
	t := time.NewTimer(max(d-minPeriod, 0))
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-n.cfg.Poison.Changed():
	case <-t.C:
	}
}

// Close ends the exchange.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
	n.conns.Close()
}

// Others returns the work of all other VMs, or nil if the last report is stale.
func (n *Node) Others() jdaw.Backlog {
	if r := n.recent(); r != nil {
		return r.others
	}
	return nil
}

// Outliers returns the upstreams that are outliers by the counts of all VMs.
func (n *Node) Outliers() map[jdaw.UpstreamKey]bool {
	if r := n.recent(); r != nil {
		return r.outliers
	}
	return nil
}

// IsOutlier reports whether an upstream is an outlier by the counts of all VMs.
func (n *Node) IsOutlier(key jdaw.UpstreamKey) bool { return n.Outliers()[key] }

func (n *Node) recent() *fleetReport {
	r := n.lastReport.Load()
	if r == nil || time.Since(r.at) > maxAge {
		return nil
	}
	return r
}

// exchange sends this VM's backlog once and returns the time to the next one.
func (n *Node) exchange() time.Duration {
	st := n.cfg.State()
	if st == nil {
		return minPeriod
	}
	now := time.Now()
	aggregators, vms := aggregatorsOf(st, func(vm jdaw.VMID) bool { return now.Before(n.avoided[vm]) })
	aggregator, ok := aggregators[n.cfg.Self.DataCentre]
	period := periodOf(vms[n.cfg.Self.DataCentre])
	switch {
	case !ok:
		n.decide()
	case aggregator.VM == n.cfg.Self.VM:
		n.exchangeAsAggregator(st, aggregators, period)
		n.decide()
	default:
		if reply := n.call(aggregator, n.cfg.Own(), period); reply != nil {
			n.lastReport.Store(&fleetReport{
				others: decode(reply.GetOthers()), outliers: decodeOutliers(reply.GetSuspects()), at: time.Now(),
			})
			n.cfg.Poison.Report(time.Now(), decodeKeys(reply.GetQuarantined()))
		} else {
			n.decide()
		}
	}
	return period
}

// decide quarantines prompt parts by the evidence that this VM has. Aggregators
// do so, and VMs that reach none.
func (n *Node) decide() {
	now := time.Now()
	n.cfg.Poison.Decide(now)
	for _, q := range n.cfg.Poison.Unstored(now) {
		n.cfg.Quarantine(q)
	}
}

// answersFor is the time for which an answer is told in each message: a message
// may be lost.
func answersFor(period time.Duration) time.Duration { return 2*period + callTimeout }

// period returns the time between two exchanges of this VM.
func (n *Node) period() time.Duration {
	st := n.cfg.State()
	if st == nil {
		return minPeriod
	}
	_, vms := aggregatorsOf(st, func(jdaw.VMID) bool { return false })
	return periodOf(vms[n.cfg.Self.DataCentre])
}

// periodOf returns the time between two exchanges in a data centre of n VMs.
func periodOf(n int) time.Duration { return max(minPeriod, time.Duration(n)*periodPerVM) }

// aggregatorsOf returns the aggregator of each data centre and the number of its VMs.
func aggregatorsOf(st *fleet.State, isAvoided func(jdaw.VMID) bool) (map[jdaw.DataCentre]fleet.Member, map[jdaw.DataCentre]int) {
	aggregators, vms := map[jdaw.DataCentre]fleet.Member{}, map[jdaw.DataCentre]int{}
	weights := map[jdaw.DataCentre]uint64{}
	for _, m := range st.Members {
		if m.Peers == "" {
			continue
		}
		vms[m.DataCentre]++
		weight := jdaw.RendezvousWeight("loads/"+string(m.DataCentre), m.VM)
		if _, ok := aggregators[m.DataCentre]; isAvoided(m.VM) || ok && weight <= weights[m.DataCentre] {
			continue
		}
		aggregators[m.DataCentre], weights[m.DataCentre] = m, weight
	}
	return aggregators, vms
}

// exchangeAsAggregator exchanges the sum of the data centre with those later in
// the order of names; the others call this one. It finds the outliers for all
// VMs of the data centre.
func (n *Node) exchangeAsAggregator(st *fleet.State, aggregators map[jdaw.DataCentre]fleet.Member, period time.Duration) {
	own := n.cfg.Own()
	n.mu.Lock()
	sum := n.table.own(time.Now(), own)
	n.mu.Unlock()
	for dc, aggregator := range aggregators {
		if dc <= n.cfg.Self.DataCentre {
			continue
		}
		if reply := n.call(aggregator, sum, period); reply != nil {
			now := time.Now()
			n.cfg.Poison.Merge(now, decodeEvidence(now, reply.GetEvidence()), false)
			n.cfg.Poison.Report(now, decodeKeys(reply.GetQuarantined()))
			n.mu.Lock()
			n.table.updateDataCentre(time.Now(), dc, decode(reply.GetOthers()))
			n.mu.Unlock()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	others := n.table.others(now)
	total := maps.Clone(others)
	add(total, own)
	found := outliers(st, total)
	n.logOutliers(st, found, total)
	n.lastReport.Store(&fleetReport{others: others, outliers: found, at: now})
	n.demands.summed(now)
}

// logOutliers logs the upstreams that became outliers and those that no longer
// are.
func (n *Node) logOutliers(st *fleet.State, found map[jdaw.UpstreamKey]bool, total jdaw.Backlog) {
	for service, list := range st.Upstreams {
		for i := range list {
			key := list[i].ID.Key()
			if found[key] == n.IsOutlier(key) {
				continue
			}
			load := total[key]
			n.cfg.Log.WithFields(logrus.Fields{
				"upstream": list[i].ID, "service": service, "version": list[i].Version, "isSuspect": found[key],
				"ended": load.Ended / jdaw.OutcomeUnit, "failed": load.Failed / jdaw.OutcomeUnit,
			}).Info("upstream judged")
		}
	}
}

// call sends a backlog to an aggregator and returns its reply, or nil after an error.
func (n *Node) call(aggregator fleet.Member, backlog jdaw.Backlog, period time.Duration) *wire.ExchangeBacklogReply {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	now := time.Now()
	conn, err := n.conns.Conn(aggregator.Peers, time.Now())
	var reply *wire.ExchangeBacklogReply
	if err == nil {
		reply, err = wire.NewLoadsClient(conn).ExchangeBacklog(ctx, &wire.ExchangeBacklogRequest{
			Vm: string(n.cfg.Self.VM), DataCentre: string(n.cfg.Self.DataCentre), Own: encode(backlog),
			Evidence:    encodeEvidence(now, n.cfg.Poison.Evidence(now, answersFor(period))),
			Quarantined: encodeKeys(n.cfg.Poison.Keys(now)),
			Demand:      n.demands.outgoing(now, aggregator.DataCentre),
		})
	}
	if err != nil {
		if n.ctx.Err() == nil {
			n.avoided[aggregator.VM] = time.Now().Add(aggregatorRetryTime)
			n.cfg.Log.WithError(err).WithField("hub", aggregator.VM).Info("hub does not answer; using another aggregator")
		}
		return nil
	}
	n.demands.answered(time.Now(), aggregator.DataCentre, reply.GetDemand())
	return reply
}

// ExchangeBacklog implements [wire.LoadsServer].
func (n *Node) ExchangeBacklog(_ context.Context, q *wire.ExchangeBacklogRequest) (*wire.ExchangeBacklogReply, error) {
	if q.GetVm() == "" || len(q.GetOwn().GetUpstreams()) != len(q.GetOwn().GetTokens()) {
		return nil, errors.New("the backlog has no VM, or lists of unequal length")
	}
	backlog, own := decode(q.GetOwn()), n.cfg.Own()
	now := time.Now()
	dc := jdaw.DataCentre(q.GetDataCentre())
	n.cfg.Poison.Merge(now, decodeEvidence(now, q.GetEvidence()), dc == n.cfg.Self.DataCentre)
	n.cfg.Poison.Report(now, decodeKeys(q.GetQuarantined()))
	demand := n.demands.received(now, q)
	n.mu.Lock()
	defer n.mu.Unlock()
	if dc != n.cfg.Self.DataCentre {
		n.table.updateDataCentre(now, dc, backlog)
		evidence := n.cfg.Poison.Evidence(now, answersFor(n.period()))
		return &wire.ExchangeBacklogReply{
			Others: encode(n.table.own(now, own)), Evidence: encodeEvidence(now, evidence), Quarantined: encodeKeys(n.cfg.Poison.Keys(now)),
			Demand: demand,
		}, nil
	}
	reply := &wire.ExchangeBacklogReply{
		Others:      encodeTokens(n.table.updateVM(now, jdaw.VMID(q.GetVm()), backlog, own)),
		Quarantined: encodeKeys(n.cfg.Poison.AllKeys(now)),
		Demand:      demand,
	}
	// A VM that is no aggregator in its own view forwards the outliers that its aggregator reported.
	if known := n.recent(); known != nil {
		for key := range known.outliers {
			reply.Suspects = append(reply.Suspects, uint32(key))
		}
	}
	return reply, nil
}

// encode encodes all values; aggregators need them.
func encode(b jdaw.Backlog) *wire.Backlog {
	w := &wire.Backlog{
		Upstreams: make([]uint32, 0, len(b)), Tokens: make([]uint32, 0, len(b)),
		Later: make([]uint32, 0, len(b)), Ended: make([]uint32, 0, len(b)), Failed: make([]uint32, 0, len(b)),
	}
	for key, load := range b {
		w.Upstreams = append(w.Upstreams, uint32(key))
		w.Tokens = append(w.Tokens, load.Tokens)
		w.Later = append(w.Later, load.Later)
		if load.LessUrgent > 0 {
			w.LessUrgent = appendAt(w.LessUrgent, len(w.Later)-1, load.LessUrgent)
		}
		w.Ended = append(w.Ended, load.Ended)
		w.Failed = append(w.Failed, load.Failed)
	}
	encodePace(w, b)
	return w
}

// encodePace adds requests in flight and speeds. The lists stay empty unless a
// service states its load.
func encodePace(w *wire.Backlog, b jdaw.Backlog) {
	hasPace := false
	for _, load := range b {
		hasPace = hasPace || load.Running > 0 || load.Timed > 0
	}
	if !hasPace {
		return
	}
	for _, key := range w.Upstreams {
		load := b[jdaw.UpstreamKey(key)]
		w.Running = append(w.Running, load.Running)
		w.Timed = append(w.Timed, load.Timed)
		w.Speed = append(w.Speed, load.Speed)
	}
}

// encodeTokens encodes upstreams with work or known speed only. Outcomes are
// needed by aggregators alone, and would make the message to each VM a third
// longer.
func encodeTokens(b jdaw.Backlog) *wire.Backlog {
	w := &wire.Backlog{
		Upstreams: make([]uint32, 0, len(b)), Tokens: make([]uint32, 0, len(b)), Later: make([]uint32, 0, len(b)),
	}
	for key, load := range b {
		if load.Tokens > 0 || load.Running > 0 || load.Timed > 0 {
			w.Upstreams = append(w.Upstreams, uint32(key))
			w.Tokens = append(w.Tokens, load.Tokens)
			w.Later = append(w.Later, load.Later)
			if load.LessUrgent > 0 {
				w.LessUrgent = appendAt(w.LessUrgent, len(w.Later)-1, load.LessUrgent)
			}
		}
	}
	encodePace(w, b)
	return w
}

// appendAt sets the value at an index beyond the end of a list. Values missing at
// the end are 0, so that lists of zeros need no space.
func appendAt(list []uint32, i int, value uint32) []uint32 {
	for len(list) < i {
		list = append(list, 0)
	}
	return append(list, value)
}

// decode reads a backlog. Values missing at the end of a list are 0.
func decode(w *wire.Backlog) jdaw.Backlog {
	at := func(list []uint32, i int) uint32 {
		if i < len(list) {
			return list[i]
		}
		return 0
	}
	b := make(jdaw.Backlog, len(w.GetUpstreams()))
	for i, key := range w.GetUpstreams() {
		b[jdaw.UpstreamKey(key)] = jdaw.UpstreamLoad{
			Tokens: at(w.GetTokens(), i), Later: at(w.GetLater(), i), LessUrgent: at(w.GetLessUrgent(), i),
			Ended: at(w.GetEnded(), i), Failed: at(w.GetFailed(), i),
			Running: at(w.GetRunning(), i), Timed: at(w.GetTimed(), i), Speed: at(w.GetSpeed(), i),
		}
	}
	return b
}

func decodeOutliers(keys []uint32) map[jdaw.UpstreamKey]bool {
	found := make(map[jdaw.UpstreamKey]bool, len(keys))
	for _, key := range keys {
		found[jdaw.UpstreamKey(key)] = true
	}
	return found
}
