package orders

import (
	"slices"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	// leaseTime exceeds the key-value service's minimum lease time of 10 s.
	leaseTime = 15 * time.Second
	// leaseMargin is how long before the lease can expire the issuer stops
	// sending orders. It covers clock drift between two machines and a pause
	// between the check and the first byte sent.
	leaseMargin   = 3 * time.Second
	renewInterval = 4 * time.Second
	// orderTimeout bounds the call; the engine loads weights asynchronously.
	orderTimeout = 5 * time.Second
	// takeInterval is the time between attempts to take a lease that another VM holds.
	takeInterval = 5 * time.Second
	// readsPerSecond limits the load reports that one issuer reads.
	readsPerSecond  = 60
	minReadInterval = 2 * time.Second
	// retryOrderAfter is how long an order may take to appear in load reports.
	retryOrderAfter = 30 * time.Second
	// defaultLoadsPerMinute applies when the configuration sets no rate.
	defaultLoadsPerMinute = 6
	// maxBurst is the capacity of the token bucket, in loads.
	maxBurst = 2
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	Self   jdaw.VMID
	Region jdaw.Region
}

// Machine decides which orders are due. It implements jdaw.Machine.
type Machine struct {
	cfg  MachineConfig
	view *jdaw.View
	snap *config.Snapshot

	lease             string
	fence             uint64
	leaseCallInFlight bool      // TakeLease or RenewLease is in flight
	validUntil        time.Time // no orders are sent from this time on
	tookOverAt        time.Time
	leaseCallSentAt   time.Time
	tokens            float64 // token bucket of the weight store
	tokensUpdatedAt   time.Time
	engines           map[jdaw.UpstreamID]*engine
}

// engine is the issuer's state for one engine.
type engine struct {
	versions      []jdaw.ModelVersion
	known         bool // versions were read since this VM took over
	readAt        time.Time
	readInFlight  bool
	orderInFlight bool
	lastOrderedAt time.Time
	lastOrdered   jdaw.ModelVersion // version of the last order
}

// NewMachine returns a Machine.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{cfg: cfg, engines: map[jdaw.UpstreamID]*engine{}}
}

// Handle implements jdaw.Machine.
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case jdaw.ViewChanged:
		m.view = ev.View
	case config.Adopted:
		m.snap = ev.Snapshot
	case LeaseAnswered:
		m.leaseAnswered(at, ev)
	case OrderAnswered:
		return m.orderAnswered(ev)
	case VersionsRead:
		m.versionsRead(ev)
	case jdaw.Tick:
		return m.tick(at)
	}
	return nil
}

func (m *Machine) tick(at time.Time) []jdaw.Action {
	if m.view == nil || m.snap == nil {
		return nil
	}
	if m.lease != "" && !at.Before(m.validUntil) {
		// The lease may have expired; only the key-value service knows.
		m.clearLease()
	}
	if !m.isCandidate() {
		return m.releaseLease()
	}
	if actions := m.acquireOrRenewLease(at); actions != nil {
		return actions
	}
	if m.lease == "" {
		return nil
	}
	m.refillTokens(at)
	return append(m.readsDue(at), m.ordersDue(at)...)
}

// isCandidate reports whether this VM should issue the region's orders: it is
// first by rendezvous hash, and at least one engine has a placement.
func (m *Machine) isCandidate() bool {
	if m.view.Isolated || !m.hasPlacements() {
		return false
	}
	first, ok := m.view.First("orders/"+string(m.cfg.Region), func(other *jdaw.Member) bool {
		return other.Region == m.cfg.Region && other.State == jdaw.MemberAlive
	})
	return ok && first.VM == m.cfg.Self
}

func (m *Machine) hasPlacements() bool {
	for i := range m.snap.Doc.Upstreams {
		if m.isPlaced(&m.snap.Doc.Upstreams[i]) {
			return true
		}
	}
	return false
}

func (m *Machine) isPlaced(u *config.Upstream) bool {
	return len(u.Placement) > 0 && m.snap.Region(u.DataCentre) == m.cfg.Region
}

func (m *Machine) releaseLease() []jdaw.Action {
	if m.lease == "" {
		return nil
	}
	lease := m.lease
	m.clearLease()
	return []jdaw.Action{DropLease{Lease: lease}}
}

func (m *Machine) clearLease() {
	m.lease, m.fence = "", 0
	m.engines = map[jdaw.UpstreamID]*engine{}
}

// acquireOrRenewLease takes or renews the lease if a call is due.
func (m *Machine) acquireOrRenewLease(at time.Time) []jdaw.Action {
	wait := renewInterval
	if m.lease == "" {
		wait = takeInterval
	}
	if m.leaseCallInFlight || at.Sub(m.leaseCallSentAt) < wait {
		return nil
	}
	m.leaseCallInFlight, m.leaseCallSentAt = true, at
	if m.lease == "" {
		return []jdaw.Action{TakeLease{}}
	}
	return []jdaw.Action{RenewLease{Lease: m.lease}}
}

func (m *Machine) leaseAnswered(at time.Time, ev LeaseAnswered) {
	m.leaseCallInFlight = false
	if !ev.Held {
		m.clearLease()
		return
	}
	if ev.Fence != 0 {
		m.lease, m.fence, m.tookOverAt = ev.Lease, ev.Fence, at
		m.tokens, m.tokensUpdatedAt = 0, at
		m.engines = map[jdaw.UpstreamID]*engine{}
	}
	if ev.Lease == m.lease {
		m.validUntil = ev.SentAt.Add(leaseTime - leaseMargin)
	}
}

// refillTokens adds the tokens accrued since the last call.
func (m *Machine) refillTokens(at time.Time) {
	perMinute := float64(m.snap.Doc.LoadsPerMinute)
	if perMinute == 0 {
		perMinute = defaultLoadsPerMinute
	}
	m.tokens = min(maxBurst, m.tokens+at.Sub(m.tokensUpdatedAt).Minutes()*perMinute)
	m.tokensUpdatedAt = at
}

// readsDue requests the load report of each engine once per period; the period
// grows with the number of engines.
func (m *Machine) readsDue(at time.Time) []jdaw.Action {
	period := max(minReadInterval, time.Duration(len(m.snap.Doc.Upstreams))*time.Second/readsPerSecond)
	var out []jdaw.Action
	for i := range m.snap.Doc.Upstreams {
		u := &m.snap.Doc.Upstreams[i]
		e := m.engineOf(u)
		if e == nil || e.readInFlight || at.Sub(e.readAt) < period {
			continue
		}
		e.readInFlight, e.readAt = true, at
		out = append(out, ReadVersions{Upstream: u.ID, Address: u.Address})
	}
	return out
}

func (m *Machine) engineOf(u *config.Upstream) *engine {
	if !m.isPlaced(u) {
		return nil
	}
	e := m.engines[u.ID]
	if e == nil {
		e = &engine{}
		m.engines[u.ID] = e
	}
	return e
}

// ordersDue returns the orders that bring engines to their placements.
func (m *Machine) ordersDue(at time.Time) []jdaw.Action {
	var out []jdaw.Action
	for i := range m.snap.Doc.Upstreams {
		u := &m.snap.Doc.Upstreams[i]
		e := m.engineOf(u)
		if e == nil || !m.canOrder(at, u, e) {
			continue
		}
		kind, version, ok := m.nextOrder(u, e)
		if !ok {
			continue
		}
		if e.lastOrdered == version && at.Sub(e.lastOrderedAt) < retryOrderAfter {
			continue
		}
		if kind == KindLoad {
			if m.tokens < 1 {
				continue
			}
			m.tokens--
		}
		e.orderInFlight, e.lastOrderedAt, e.lastOrdered = true, at, version
		out = append(out, SendOrder{Order: Order{
			Upstream: u.ID, Address: u.Address, Fence: m.fence, Kind: kind, Version: version, ValidUntil: m.validUntil,
		}})
	}
	return out
}

// canOrder delays orders to an engine that ignores fencing tokens until no order
// of an earlier issuer can still be in flight.
func (m *Machine) canOrder(at time.Time, u *config.Upstream, e *engine) bool {
	if e.orderInFlight || !e.known || m.snap.IsLeaving(u.ID) {
		return false
	}
	return u.ChecksFence || at.Sub(m.tookOverAt) >= leaseTime+orderTimeout
}

// nextOrder prefers loading a missing version to unloading an unwanted one.
func (m *Machine) nextOrder(u *config.Upstream, e *engine) (Kind, jdaw.ModelVersion, bool) {
	for _, name := range u.Placement {
		mv := jdaw.ParseModelVersion(name)
		if !m.snap.IsWithdrawn(mv) && !slices.Contains(e.versions, mv) {
			return KindLoad, mv, true
		}
	}
	for _, mv := range e.versions {
		if m.snap.IsWithdrawn(mv) || !slices.Contains(u.Placement, mv.String()) {
			return KindUnload, mv, true
		}
	}
	return "", jdaw.ModelVersion{}, false
}

func (m *Machine) orderAnswered(ev OrderAnswered) []jdaw.Action {
	e := m.engines[ev.Upstream]
	if e == nil {
		return nil
	}
	e.orderInFlight = false
	e.readAt = time.Time{} // read back at the next tick
	if ev.Result == OrderFenced {
		// Another VM has taken over: this VM's lease expired without its notice.
		return m.releaseLease()
	}
	if ev.Result == OrderUnsent {
		e.lastOrdered = jdaw.ModelVersion{}
	}
	return nil
}

func (m *Machine) versionsRead(ev VersionsRead) {
	e := m.engines[ev.Upstream]
	if e == nil {
		return
	}
	e.readInFlight = false
	if !ev.OK {
		return
	}
	e.known, e.versions = true, ev.Versions
}
