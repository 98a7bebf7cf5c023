package owner

import (
	"fmt"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
	"jackdawbarrow/route"
)

const (
	// pausedGap is the gap between ticks from which the process counts as
	// paused. Other VMs may have taken over its pools meanwhile.
	pausedGap = time.Second
	// freeAfter is the time after which a credit of a dead holder, or one that
	// is not renewed, may be freed.
	freeAfter = 3 * time.Second
	// renewGrace protects credits that a renewal cannot list yet because they
	// were granted while it was under way.
	renewGrace = 2 * time.Second
	// sweepInterval is the period of the search for expired credits.
	sweepInterval = 500 * time.Millisecond
	// statsInterval is the period of PublishStats.
	statsInterval = time.Second
	// maxEnded covers the credits that end while a renewal is in flight.
	maxEnded = 1024
	// maxPullWait bounds how long a request waits for a pull of the
	// configuration that its sender already has.
	maxPullWait = time.Second
)

// Config configures a Machine.
type Config struct {
	Self jdaw.VMID
	// Incarnation makes the credit ids of this process unique.
	Incarnation jdaw.Incarnation
	// NewChooser makes the chooser of one pool; nil means route.NewAffinity.
	NewChooser func() route.Chooser
}

// Machine is the state of all pools that this VM owns.
type Machine struct {
	cfg     Config
	view    *jdaw.View
	snap    *config.Snapshot
	leaving map[string]bool // addresses
	alive   map[jdaw.VMID]jdaw.Incarnation

	pools   map[jdaw.PoolID]*pool
	order   []*pool // of the configuration; maps have no stable order
	credits map[string]*credit
	ended   endedCredits
	tickets map[uint64]*waiter
	watches []guard.Canary // of the configuration
	// outcomes are the counts of the pools that this VM owns or owned before.
	outcomes     []*outcomes
	awaitingPull []*waiter // waiters for a pull of the configuration
	granted      uint64    // number of credits granted

	sweptAt time.Time
	statsAt time.Time
	out     []jdaw.Action
}

// New makes a Machine.
func New(cfg Config) *Machine {
	if cfg.NewChooser == nil {
		cfg.NewChooser = route.NewAffinity
	}
	return &Machine{
		cfg:     cfg,
		alive:   map[jdaw.VMID]jdaw.Incarnation{},
		pools:   map[jdaw.PoolID]*pool{},
		credits: map[string]*credit{},
		tickets: map[uint64]*waiter{},

		ended: endedCredits{ids: map[string]bool{}},
	}
}

// Handle implements jdaw.Machine.
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	m.out = nil
	switch ev := ev.(type) {
	case AcquireRequested:
		m.acquire(at, ev)
	case AcquireCancelled:
		m.cancel(ev.Ticket)
	case CreditsReleased:
		m.release(at, ev)
	case CreditsRenewed:
		m.renew(at, ev)
	case LoadReported:
		m.load(at, ev)
	case CacheReported:
		m.cache(at, ev)
	case OutstandingReported:
		m.outstanding(at, ev)
	case CountsConfirmed:
		m.confirmed(at, ev)
	case RevisionPullFailed:
		m.pullFailed(ev.Revision)
	case jdaw.ViewChanged:
		m.viewChanged(at, ev.View)
	case config.Adopted:
		m.adopted(at, ev.Snapshot)
	case jdaw.Tick:
		m.tick(at, ev.Gap)
	}
	return m.out
}

func (m *Machine) emit(a jdaw.Action) { m.out = append(m.out, a) }

func (m *Machine) refuse(ticket uint64, code jdaw.Code, after time.Duration, format string, args ...any) {
	m.emit(Refuse{Ticket: ticket, Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: after})
}

func (m *Machine) viewChanged(at time.Time, view *jdaw.View) {
	if view == nil {
		return
	}
	m.view = view
	m.leaving = make(map[string]bool, len(view.LeavingUpstreams))
	for _, addr := range view.LeavingUpstreams {
		m.leaving[addr] = true
	}
	m.alive = make(map[jdaw.VMID]jdaw.Incarnation, len(view.Members))
	for i := range view.Members {
		if mem := &view.Members[i]; mem.State != jdaw.MemberDead {
			m.alive[mem.VM] = mem.Incarnation
		}
	}
	for _, c := range m.credits {
		m.markHolder(at, c)
	}
	m.reassess(at)
}

// markHolder records whether the credit's holder is alive.
func (m *Machine) markHolder(at time.Time, c *credit) {
	if c.vm == m.cfg.Self || m.alive[c.vm] == c.incarnation {
		c.deadAt = time.Time{}
		return
	}
	if c.deadAt.IsZero() {
		c.deadAt = at
	}
}

func (m *Machine) adopted(at time.Time, snap *config.Snapshot) {
	if snap == nil {
		return
	}
	m.snap = snap
	m.watches = guard.Canaries(snap)
	for _, p := range m.order {
		for _, c := range p.configure(at, snap) {
			m.forget(c)
		}
	}
	m.reassess(at)
	parked := m.awaitingPull
	m.awaitingPull = nil
	for _, w := range parked {
		if m.tickets[w.req.Ticket] != w {
			continue
		}
		delete(m.tickets, w.req.Ticket)
		m.admit(at, w)
	}
}

// reassess decides which pools this VM owns and may grant from.
func (m *Machine) reassess(at time.Time) {
	if m.view == nil || m.snap == nil {
		return
	}
	before := m.order
	m.order = nil
	kept := make(map[jdaw.PoolID]*pool, len(m.pools))
	for _, id := range m.snap.Pools() {
		mem, ok := Of(m.view, m.snap, id)
		if !ok || mem.VM != m.cfg.Self {
			continue
		}
		p := m.pools[id]
		if p == nil {
			p = newPool(id, m.cfg.NewChooser())
			p.configure(at, m.snap)
			p.outcomes = m.outcomesOf(id)
		}
		kept[id] = p
		m.order = append(m.order, p)
	}
	for _, p := range before {
		if kept[p.id] == nil {
			m.dropPool(p)
		}
	}
	m.pools = kept
	m.updateRollouts()
	for _, p := range m.order {
		active := !m.view.Isolated && hasMajority(m.view, m.snap, p.id.DataCentre)
		m.setActive(at, p, active)
		p.refresh(m.snap, m.leaving)
		m.dispatch(at, p)
	}
}

// dropPool removes a pool, except for its outcome counts, which the evaluator
// needs until the roll-out ends.
func (m *Machine) dropPool(p *pool) {
	m.suspend(p)
	for _, u := range p.ups {
		for _, c := range u.credits {
			m.forget(c)
		}
	}
}

// suspend stops granting and rejects all waiters.
func (m *Machine) suspend(p *pool) {
	p.active = false
	p.takeoverDone = false
	for _, f := range p.queue.flows {
		for _, w := range f.waiters {
			delete(m.tickets, w.req.Ticket)
			m.refuse(w.req.Ticket, jdaw.CodeNoOwner, takeoverWait, "the pool %s is changing its owner", p.id)
		}
		f.waiters = nil
	}
	p.queue.length = 0
}

func (m *Machine) setActive(at time.Time, p *pool, active bool) {
	if active == p.active {
		return
	}
	if !active {
		m.suspend(p)
		return
	}
	m.takeOver(at, p)
}

// takeOver starts the wait in which the holders report their credits.
func (m *Machine) takeOver(at time.Time, p *pool) {
	p.active = true
	p.takeoverDone = false
	p.grantFrom = at.Add(takeoverWait)
	p.queried = p.queried[:0]
	region := m.snap.Region(p.id.DataCentre)
	for i := range m.view.Members {
		mem := &m.view.Members[i]
		if mem.Region != region || mem.State == jdaw.MemberDead {
			continue
		}
		p.queried = append(p.queried, queried{vm: mem.VM, addr: mem.PeerAddr})
	}
	m.queryHolders(at, p)
	for _, u := range p.ups {
		u.nextPoll = time.Time{}
	}
	m.poll(at, p)
}

func (m *Machine) queryHolders(at time.Time, p *pool) {
	for i := range p.queried {
		a := &p.queried[i]
		if a.answered || (!a.last.IsZero() && at.Sub(a.last) < queryInterval) {
			continue
		}
		a.last = at
		m.emit(AskOutstanding{Pool: p.id, VM: a.vm, Addr: a.addr})
	}
}

// finishTakeover ends the wait after a takeover.
func (m *Machine) finishTakeover(at time.Time, p *pool) {
	p.takeoverDone = true
	p.takeoverDoneAt = at
	p.queried = nil
	for _, u := range p.ups {
		u.restart(at)
	}
}

func (m *Machine) outstanding(at time.Time, ev OutstandingReported) {
	p := m.pools[ev.Pool]
	if p == nil || ev.Failed {
		return
	}
	for i := range p.queried {
		if p.queried[i].vm == ev.From {
			p.queried[i].answered = true
		}
	}
	for _, h := range ev.Held {
		if h.Pool == ev.Pool && m.credits[h.Credit] == nil {
			m.adopt(at, p, h, ev.From, ev.Incarnation)
		}
	}
}

// adopt counts a credit that another owner granted.
func (m *Machine) adopt(at time.Time, p *pool, h Held, vm jdaw.VMID, inc jdaw.Incarnation) {
	u := p.byID[h.Upstream]
	if u == nil || m.ended.ids[h.Credit] {
		return
	}
	c := &credit{
		id: h.Credit, u: u, vm: vm, incarnation: inc, workspace: h.Workspace,
		bucket: u.bucket(), grantedAt: at, renewedAt: at,
	}
	m.credits[c.id] = c
	u.add(at, c)
	if !p.takeoverDone {
		// A report may have shown this credit as untracked work.
		u.untracked = max(0, u.untracked-1)
		u.sync()
	}
	m.markHolder(at, c)
}

func (m *Machine) load(at time.Time, ev LoadReported) {
	p := m.pools[ev.Pool]
	if p == nil {
		return
	}
	u := p.byID[ev.Upstream]
	if u == nil {
		return
	}
	wasLeaving, wasReachable := u.isLeaving(), u.isReachable()
	u.report(at, ev)
	if u.isLeaving() != wasLeaving || u.isReachable() != wasReachable {
		p.refresh(m.snap, m.leaving)
	}
	m.dispatch(at, p)
}

func (m *Machine) cache(at time.Time, ev CacheReported) {
	p := m.pools[ev.Pool]
	if p == nil || p.byID[ev.Upstream] == nil {
		return
	}
	p.holders.apply(at, p.byID[ev.Upstream], ev.Changes)
}

func (m *Machine) tick(at time.Time, gap time.Duration) {
	if m.view == nil || m.snap == nil {
		return
	}
	if gap > pausedGap {
		for _, p := range m.order {
			m.suspend(p)
		}
		// Ownership from before the pause is void until the member table
		// confirms it; takeoverWait covers that time.
		m.reassess(at)
	}
	m.expireParked(at)
	sweep := at.Sub(m.sweptAt) >= sweepInterval
	if sweep {
		m.sweptAt = at
	}
	for _, p := range m.order {
		if p.active {
			m.tickPool(at, p, sweep)
		}
	}
	for _, o := range m.outcomes {
		m.sendCounts(at, o)
	}
	m.publish(at)
}

func (m *Machine) tickPool(at time.Time, p *pool, sweep bool) {
	if !p.takeoverDone && !at.Before(p.grantFrom) {
		m.finishTakeover(at, p)
	}
	if !p.takeoverDone {
		m.queryHolders(at, p)
	}
	m.poll(at, p)
	for _, u := range p.ups {
		u.confirmOverdue(at)
	}
	if sweep {
		m.sweep(at, p)
	}
	m.dispatch(at, p)
	m.expire(at, p)
}

// poll requests load reports. All upstreams are first polled at once;
// afterwards the polls are spread over the period.
func (m *Machine) poll(at time.Time, p *pool) {
	for i, u := range p.ups {
		if at.Before(u.nextPoll) {
			continue
		}
		spread := time.Duration(0)
		if u.nextPoll.IsZero() {
			spread = time.Duration(i%10) * pollInterval / 10
		}
		u.nextPoll = at.Add(pollInterval - spread)
		m.emit(PollLoad{Pool: p.id, Upstream: u.cfg.ID, Address: u.cfg.Address})
	}
}

// sweep frees credits whose holder is dead or no longer renews them.
func (m *Machine) sweep(at time.Time, p *pool) {
	for _, u := range p.ups {
		u.dropStaleReport(at)
		noReport := at.Sub(u.reportedAt) > staleReportAge
		for i := 0; i < len(u.credits); {
			c := u.credits[i]
			since := c.renewedAt
			if !c.deadAt.IsZero() {
				since = c.deadAt
			}
			expired := at.Sub(since) >= freeAfter
			isConfirmed := u.measuredAt.After(since) && u.reported < len(u.credits)
			if expired && (noReport || isConfirmed) {
				m.free(at, c) // removes index i
				continue
			}
			i++
		}
	}
}

// expire refuses waiting requests that cannot be served in time.
func (m *Machine) expire(at time.Time, p *pool) {
	if p.queue.length == 0 {
		return
	}
	limit := 0
	for _, u := range p.ups {
		if u.inService {
			limit += u.limit
		}
	}
	for _, f := range p.queue.flows {
		kept := f.waiters[:0]
		for _, w := range f.waiters {
			wait := p.wait(p.queue.countBefore(f, len(kept)), limit)
			if at.Before(w.deadline) && !at.Add(wait).After(w.deadline) {
				kept = append(kept, w)
				continue
			}
			p.queue.length--
			p.stats.Refused++
			delete(m.tickets, w.req.Ticket)
			code := jdaw.CodeNoCapacity
			// A request without a wait time was held for throttledWait only; it may
			// still queue for another pool.
			if w.req.Wait > 0 && !at.Before(w.deadline) {
				code = jdaw.CodeDeadline
			}
			m.refuse(w.req.Ticket, code, wait, "pool %s has no credit within %s", p.id, w.req.Wait)
		}
		f.waiters = kept
	}
}

func (m *Machine) expireParked(at time.Time) {
	kept := m.awaitingPull[:0]
	for _, w := range m.awaitingPull {
		if at.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		m.refuseParked(w)
	}
	m.awaitingPull = kept
}

func (m *Machine) publish(at time.Time) {
	if at.Sub(m.statsAt) < statsInterval {
		return
	}
	m.statsAt = at
	stats := make([]PoolStats, 0, len(m.order))
	for _, p := range m.order {
		stats = append(stats, p.snapshotStats(at))
	}
	m.emit(PublishStats{Pools: stats})
}
