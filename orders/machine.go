package orders

import (
	"slices"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	// leaseTime is above the key-value service's shortest lease, 10 s.
	leaseTime = 15 * time.Second
	// leaseMargin is how long before the lease can lapse orders stop. It covers
	// the difference in speed of two clocks and a pause between the check and
	// the first byte sent.
	leaseMargin = 3 * time.Second
	renewEvery  = 4 * time.Second
	// orderTimeout bounds an order; loading weights goes on in the engine.
	orderTimeout = 5 * time.Second
	// takeEvery spaces attempts to take a lease that another VM holds.
	takeEvery = 5 * time.Second
	// readsPerSecond bounds the load reports that one issuer reads.
	readsPerSecond = 60
	minReadEvery   = 2 * time.Second
	// retryOrderAfter is how long an order may take to show in load reports.
	retryOrderAfter = 30 * time.Second
	// defaultLoadsPerMinute applies when the configuration names no rate.
	defaultLoadsPerMinute = 6
	// maxBurst is the number of loads that may follow each other at once.
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

	lease      string
	fence      uint64
	asking     bool      // TakeLease or RenewLease is under way
	validUntil time.Time // orders may be sent before
	tookOverAt time.Time
	askedAt    time.Time
	tokens     float64 // of the weight store
	filledAt   time.Time
	engines    map[jdaw.UpstreamID]*engine
}

// engine is what the issuer knows of one engine.
type engine struct {
	versions  []jdaw.ModelVersion
	known     bool // versions were read since the take-over
	readAt    time.Time
	reading   bool
	ordering  bool
	orderedAt time.Time
	ordered   jdaw.ModelVersion // of the last order
}

// NewMachine makes a Machine.
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
		// The lease may lapse; whether it has is for the key-value service.
		m.forgetLease()
	}
	if !m.isCandidate() {
		return m.giveUp()
	}
	if actions := m.keepLease(at); actions != nil {
		return actions
	}
	if m.lease == "" {
		return nil
	}
	m.fill(at)
	return append(m.readDue(at), m.ordersDue(at)...)
}

// isCandidate reports whether this VM is to issue the region's orders: the
// first by rendezvous hash, if any engine has a placement.
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

func (m *Machine) giveUp() []jdaw.Action {
	if m.lease == "" {
		return nil
	}
	lease := m.lease
	m.forgetLease()
	return []jdaw.Action{DropLease{Lease: lease}}
}

func (m *Machine) forgetLease() {
	m.lease, m.fence = "", 0
	m.engines = map[jdaw.UpstreamID]*engine{}
}

// keepLease takes or renews the lease.
func (m *Machine) keepLease(at time.Time) []jdaw.Action {
	wait := renewEvery
	if m.lease == "" {
		wait = takeEvery
	}
	if m.asking || at.Sub(m.askedAt) < wait {
		return nil
	}
	m.asking, m.askedAt = true, at
	if m.lease == "" {
		return []jdaw.Action{TakeLease{}}
	}
	return []jdaw.Action{RenewLease{Lease: m.lease}}
}

func (m *Machine) leaseAnswered(at time.Time, ev LeaseAnswered) {
	m.asking = false
	if !ev.Held {
		m.forgetLease()
		return
	}
	if ev.Fence != 0 {
		m.lease, m.fence, m.tookOverAt = ev.Lease, ev.Fence, at
		m.tokens, m.filledAt = 0, at
		m.engines = map[jdaw.UpstreamID]*engine{}
	}
	if ev.Lease == m.lease {
		m.validUntil = ev.SentAt.Add(leaseTime - leaseMargin)
	}
}

// fill adds the tokens that have become due since the last call.
func (m *Machine) fill(at time.Time) {
	perMinute := float64(m.snap.Doc.LoadsPerMinute)
	if perMinute == 0 {
		perMinute = defaultLoadsPerMinute
	}
	m.tokens = min(maxBurst, m.tokens+at.Sub(m.filledAt).Minutes()*perMinute)
	m.filledAt = at
}

// readDue asks for load reports, each engine's once a period that grows with
// the number of engines.
func (m *Machine) readDue(at time.Time) []jdaw.Action {
	period := max(minReadEvery, time.Duration(len(m.snap.Doc.Upstreams))*time.Second/readsPerSecond)
	var out []jdaw.Action
	for i := range m.snap.Doc.Upstreams {
		u := &m.snap.Doc.Upstreams[i]
		e := m.engineOf(u)
		if e == nil || e.reading || at.Sub(e.readAt) < period {
			continue
		}
		e.reading, e.readAt = true, at
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
		if e == nil || !m.mayOrder(at, u, e) {
			continue
		}
		kind, version, ok := m.nextOrder(u, e)
		if !ok {
			continue
		}
		if e.ordered == version && at.Sub(e.orderedAt) < retryOrderAfter {
			continue
		}
		if kind == KindLoad {
			if m.tokens < 1 {
				continue
			}
			m.tokens--
		}
		e.ordering, e.orderedAt, e.ordered = true, at, version
		out = append(out, SendOrder{Order: Order{
			Upstream: u.ID, Address: u.Address, Fence: m.fence, Kind: kind, Version: version, ValidUntil: m.validUntil,
		}})
	}
	return out
}

// mayOrder holds orders back from an engine that ignores fencing numbers until
// no order of an earlier issuer can be under way any more.
func (m *Machine) mayOrder(at time.Time, u *config.Upstream, e *engine) bool {
	if e.ordering || !e.known || m.snap.IsLeaving(u.ID) {
		return false
	}
	return u.ChecksFence || at.Sub(m.tookOverAt) >= leaseTime+orderTimeout
}

// nextOrder prefers a missing version over one that takes up memory.
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
	e.ordering = false
	e.readAt = time.Time{} // read back at the next tick
	if ev.Result == OrderFenced {
		// Another VM has taken over; this one's lease has lapsed unnoticed.
		return m.giveUp()
	}
	if ev.Result == OrderUnsent {
		e.ordered = jdaw.ModelVersion{}
	}
	return nil
}

func (m *Machine) versionsRead(ev VersionsRead) {
	e := m.engines[ev.Upstream]
	if e == nil {
		return
	}
	e.reading = false
	if !ev.OK {
		return
	}
	e.known, e.versions = true, ev.Versions
}
