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
	// pausedGap is the gap between ticks that shows a paused process. Other
	// VMs may have taken its pools over meanwhile.
	pausedGap = time.Second
	// freeAfter is the time after which a credit of a dead holder, or one that
	// is not renewed, may be freed.
	freeAfter = 3 * time.Second
	// renewGrace protects credits that a renewal cannot list yet because they
	// were granted while it was under way.
	renewGrace = 2 * time.Second
	// sweepInterval is the period of the search for lapsed credits.
	sweepInterval = 500 * time.Millisecond
	// statsInterval is the period of PublishStats.
	statsInterval = time.Second
	// maxEnded covers the credits that end while a renewal is on its way.
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
	watches []guard.Watch // of the configuration
	// outcomes are the counts of the pools that this VM owns or owned before.
	outcomes []*outcomes
	ahead    []*waiter // wait for a pull of the configuration
	granted  uint64    // number of credits granted

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

// markHolder notes whether the credit's holder is alive.
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
	m.watches = guard.Watches(snap)
	for _, p := range m.order {
		for _, c := range p.configure(at, snap) {
			m.forget(c)
		}
	}
	m.reassess(at)
	parked := m.ahead
	m.ahead = nil
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
			m.lose(p)
		}
	}
	m.pools = kept
	m.watch()
	for _, p := range m.order {
		active := !m.view.Isolated && hasMajority(m.view, m.snap, p.id.DataCentre)
		m.setActive(at, p, active)
		p.refresh(m.snap, m.leaving)
		m.dispatch(at, p)
	}
}

// lose forgets a pool, except for its outcome counts, which the judge needs
// until the roll-out ends.
func (m *Machine) lose(p *pool) {
	m.suspend(p)
	for _, u := range p.ups {
		for _, c := range u.credits {
			m.forget(c)
		}
	}
}

// suspend stops granting and refuses all that wait.
func (m *Machine) suspend(p *pool) {
	p.active = false
	p.settled = false
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

// takeOver begins the wait in which the holders of credits report.
func (m *Machine) takeOver(at time.Time, p *pool) {
	p.active = true
	p.settled = false
	p.grantFrom = at.Add(takeoverWait)
	p.asked = p.asked[:0]
	region := m.snap.Region(p.id.DataCentre)
	for i := range m.view.Members {
		mem := &m.view.Members[i]
		if mem.Region != region || mem.State == jdaw.MemberDead {
			continue
		}
		p.asked = append(p.asked, asked{vm: mem.VM, addr: mem.PeerAddr})
	}
	m.ask(at, p)
	for _, u := range p.ups {
		u.nextPoll = time.Time{}
	}
	m.poll(at, p)
}

func (m *Machine) ask(at time.Time, p *pool) {
	for i := range p.asked {
		a := &p.asked[i]
		if a.answered || (!a.last.IsZero() && at.Sub(a.last) < askInterval) {
			continue
		}
		a.last = at
		m.emit(AskOutstanding{Pool: p.id, VM: a.vm, Addr: a.addr})
	}
}

// settle ends the wait after a takeover.
func (m *Machine) settle(at time.Time, p *pool) {
	p.settled = true
	p.settledAt = at
	p.asked = nil
	for _, u := range p.ups {
		u.restart(at)
	}
}

func (m *Machine) outstanding(at time.Time, ev OutstandingReported) {
	p := m.pools[ev.Pool]
	if p == nil || ev.Failed {
		return
	}
	for i := range p.asked {
		if p.asked[i].vm == ev.From {
			p.asked[i].answered = true
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
	if !p.settled {
		// The credit may be the very work that a report showed as foreign.
		u.foreign = max(0, u.foreign-1)
		u.sync()
	}
	m.markHolder(at, c)
}

func (m *Machine) acquire(at time.Time, q AcquireRequested) {
	w := &waiter{req: q, arrived: at, deadline: at.Add(q.Wait)}
	switch {
	case m.snap == nil || m.view == nil:
		m.refuse(q.Ticket, jdaw.CodeNoOwner, takeoverWait, "the owner has no configuration yet")
	case q.Revision < m.snap.Revision():
		m.refuse(q.Ticket, jdaw.CodeBehind, 0, "revision %d is older than the owner's %d", q.Revision, m.snap.Revision())
	case q.Revision > m.snap.Revision():
		m.park(at, w)
	default:
		m.admit(at, w)
	}
}

// park holds a request whose sender has a newer configuration, until the
// owner has it too: the newer one may forbid what the owner would grant.
func (m *Machine) park(at time.Time, w *waiter) {
	w.deadline = at.Add(min(w.req.Wait, maxPullWait))
	m.tickets[w.req.Ticket] = w
	isPulled := false
	for _, o := range m.ahead {
		isPulled = isPulled || o.req.Revision >= w.req.Revision
	}
	m.ahead = append(m.ahead, w)
	if !isPulled {
		m.emit(PullRevision{Revision: w.req.Revision, FromAddr: w.req.FromAddr})
	}
}

func (m *Machine) pullFailed(rev jdaw.Revision) {
	kept := m.ahead[:0]
	for _, w := range m.ahead {
		if w.req.Revision > rev {
			kept = append(kept, w)
			continue
		}
		m.refuseParked(w)
	}
	m.ahead = kept
}

func (m *Machine) refuseParked(w *waiter) {
	if m.tickets[w.req.Ticket] != w {
		return
	}
	delete(m.tickets, w.req.Ticket)
	m.refuse(w.req.Ticket, jdaw.CodeNoOwner, time.Second, "the owner could not fetch revision %d", w.req.Revision)
}

// admit places a request with the owner's revision.
func (m *Machine) admit(at time.Time, w *waiter) {
	q := &w.req
	if q.Revision != m.snap.Revision() {
		m.acquire(at, *q)
		return
	}
	p := m.pools[q.Pool]
	if p == nil || !p.granting(at) {
		m.refuse(q.Ticket, jdaw.CodeNoOwner, takeoverWait, "this VM grants nothing for pool %s", q.Pool)
		return
	}
	w.deadline = w.arrived.Add(q.Wait)
	c := p.choose(m.snap, q)
	if !c.usable {
		p.stats.Refused++
		m.refuse(q.Ticket, c.barred, 0, "no upstream of pool %s in service offers an allowed version", q.Pool)
		return
	}
	if !p.spendRetry(q) {
		p.stats.Refused++
		m.refuse(q.Ticket, jdaw.CodeNoCapacity, time.Second, "the retry budget of pool %s is spent", q.Pool)
		return
	}
	weight := 1.0
	if ws, ok := m.snap.Workspace(q.Workspace); ok {
		weight = ws.Weight
	}
	w.flow = p.queue.flow(q.Workspace, weight)
	if c.u != nil && p.queue.length == 0 {
		p.queue.chargeIdle(w.flow)
		m.grant(at, p, w, c)
		return
	}
	if m.refuseEarly(at, p, w, c) {
		p.refundRetry(q)
		return
	}
	w.key = keyOf(q)
	p.queue.push(w)
	m.tickets[q.Ticket] = w
	if c.u != nil {
		// Others wait for versions that are not free; this one may not.
		m.dispatch(at, p)
	}
}

// refuseEarly refuses a request that cannot get a credit in time.
func (m *Machine) refuseEarly(at time.Time, p *pool, w *waiter, c choice) bool {
	if p.queue.length >= maxWaiting || w.req.Wait <= 0 {
		p.stats.Refused++
		m.refuse(w.req.Ticket, jdaw.CodeNoCapacity, p.wait(p.queue.length, c.limit), "no credit of pool %s is free", p.id)
		return true
	}
	if c.u != nil {
		return false
	}
	wait := p.wait(p.queue.ahead(w.flow, w.flow.position(w)), c.limit)
	if !at.Add(wait).After(w.deadline) {
		return false
	}
	p.stats.Refused++
	m.refuse(w.req.Ticket, jdaw.CodeNoCapacity, wait, "pool %s has no credit within %s", p.id, w.req.Wait)
	return true
}

// dispatch grants what is free to those that wait.
func (m *Machine) dispatch(at time.Time, p *pool) {
	if p.queue.length == 0 || !p.granting(at) {
		return
	}
	p.stuck = p.stuck[:0]
	p.queue.beginRound()
	for p.free > 0 {
		f := p.queue.next()
		if f == nil {
			break
		}
		if !m.dispatchFlow(at, p, f) {
			f.tried = true
		}
	}
}

// dispatchFlow grants a credit to the first waiter of the workspace that can
// be served. The first one in order may want a version that is not free.
func (m *Machine) dispatchFlow(at time.Time, p *pool, f *flow) bool {
	for _, w := range f.waiters {
		if p.isStuck(w.key) {
			continue
		}
		c := p.choose(m.snap, &w.req)
		if c.u == nil {
			p.stuck = append(p.stuck, w.key)
			continue
		}
		p.queue.serve(w)
		delete(m.tickets, w.req.Ticket)
		m.grant(at, p, w, c)
		return true
	}
	return false
}

func (m *Machine) grant(at time.Time, p *pool, w *waiter, c choice) {
	m.granted++
	q := &w.req
	held := &credit{
		id: fmt.Sprintf("%s-%d", m.cfg.Incarnation, m.granted),
		u:  c.u, vm: q.From, incarnation: q.Incarnation, workspace: q.Workspace,
		isMiss: p.expectsMiss(at, c.u, q.Prefix),
		bucket: c.u.bucket(), grantedAt: at, renewedAt: at,
	}
	held.trial = p.outcomes.version(c.version)
	if held.trial != nil {
		held.trial.running++
	}
	m.credits[held.id] = held
	c.u.add(at, held)
	p.holders.served(c.u, q.Prefix, at)
	if len(q.Exclude) == 0 {
		p.earnRetry()
		p.stats.Firsts++
	} else {
		p.stats.Retries++
	}
	m.emit(Grant{
		Ticket: q.Ticket, Credit: held.id, Pool: p.id, Upstream: c.u.cfg.ID,
		Address: c.u.cfg.Address, Version: c.version, Waited: at.Sub(w.arrived),
	})
}

func (m *Machine) cancel(ticket uint64) {
	w := m.tickets[ticket]
	if w == nil {
		return
	}
	delete(m.tickets, ticket)
	if w.flow == nil {
		return // parked; adopted and tick skip it
	}
	if p := m.pools[w.req.Pool]; p != nil {
		p.queue.remove(w)
	}
}

func (m *Machine) release(at time.Time, ev CreditsReleased) {
	var touched []*pool
	for _, r := range ev.Releases {
		// The credit may be unknown: released twice after a lost answer, or
		// freed already. Its outcome was counted then or is given up.
		c := m.credits[r.Credit]
		if c == nil {
			continue
		}
		p := c.u.pool
		m.free(at, c)
		m.ended.add(c.id)
		if r.Outcome == jdaw.OutcomeOK {
			p.learnDuration(at.Sub(c.grantedAt))
		}
		wasLeaving := c.u.isLeaving()
		c.u.end(at, c, r, m.inTime(r.Version))
		p.outcomes.count(r)
		if c.u.isLeaving() != wasLeaving {
			p.refresh(m.snap, m.leaving)
		}
		if len(touched) == 0 || touched[len(touched)-1] != p {
			touched = append(touched, p)
		}
	}
	for _, p := range touched {
		m.dispatch(at, p)
	}
}

// inTime returns the longest first-token time that counts as a success.
func (m *Machine) inTime(v jdaw.ModelVersion) time.Duration {
	if model, ok := m.snap.Model(v.Model); ok && model.FirstTokenMillis > 0 {
		return time.Duration(model.FirstTokenMillis) * time.Millisecond
	}
	return defaultInTime
}

func (m *Machine) free(at time.Time, c *credit) {
	m.forget(c)
	c.u.remove(at, c)
}

// forget removes a credit from all that the upstream does not keep itself.
func (m *Machine) forget(c *credit) {
	delete(m.credits, c.id)
	if c.trial != nil {
		c.trial.running--
	}
}

// endedCredits remembers the credits released last, so that a renewal that
// was sent before the release does not bring them back.
type endedCredits struct {
	ids  map[string]bool
	ring [maxEnded]string
	next int
}

func (e *endedCredits) add(id string) {
	delete(e.ids, e.ring[e.next])
	e.ring[e.next] = id
	e.ids[id] = true
	e.next = (e.next + 1) % maxEnded
}

// renew notes which credits a VM still holds. Credits that it does not list
// were released by a message that was lost.
func (m *Machine) renew(at time.Time, ev CreditsRenewed) {
	answer := RenewAnswer{Ticket: ev.Ticket}
	var complete []*pool
	for _, h := range ev.Held {
		p := m.pools[h.Pool]
		if h.Credit == "" {
			if p != nil {
				complete = append(complete, p)
			}
			continue
		}
		if p == nil {
			answer.Unknown = append(answer.Unknown, h.Credit)
			continue
		}
		c := m.credits[h.Credit]
		if c == nil {
			m.adopt(at, p, h, ev.From, ev.Incarnation)
			continue
		}
		c.renewedAt = at
		// After its journal was sealed, the same process goes on under
		// another incarnation.
		c.incarnation = ev.Incarnation
		m.markHolder(at, c)
	}
	for _, p := range complete {
		m.freeUnlisted(at, p, ev)
		m.dispatch(at, p)
	}
	m.emit(answer)
}

func (m *Machine) freeUnlisted(at time.Time, p *pool, ev CreditsRenewed) {
	for _, u := range p.ups {
		for i := len(u.credits) - 1; i >= 0; i-- {
			c := u.credits[i]
			isListed := c.renewedAt.Equal(at)
			isOther := c.vm != ev.From || c.incarnation != ev.Incarnation
			if isOther || isListed || at.Sub(c.grantedAt) < renewGrace {
				continue
			}
			m.free(at, c)
		}
	}
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
		// Until the member table confirms it, ownership from before the pause
		// counts for nothing; the wait of a takeover covers that time.
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
	if !p.settled && !at.Before(p.grantFrom) {
		m.settle(at, p)
	}
	if !p.settled {
		m.ask(at, p)
	}
	m.poll(at, p)
	if sweep {
		m.sweep(at, p)
	}
	m.dispatch(at, p)
	m.expire(at, p)
}

// poll asks for load reports. The first poll of all upstreams is at once;
// after it they are spread over the period.
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

// sweep frees credits whose holder is gone or no longer renews them.
func (m *Machine) sweep(at time.Time, p *pool) {
	for _, u := range p.ups {
		u.dropStaleReport(at)
		noReport := at.Sub(u.reportedAt) > staleReport
		for i := 0; i < len(u.credits); {
			c := u.credits[i]
			since := c.renewedAt
			if !c.deadAt.IsZero() {
				since = c.deadAt
			}
			lapsed := at.Sub(since) >= freeAfter
			agrees := u.measuredAt.After(since) && u.reported < len(u.credits)
			if lapsed && (noReport || agrees) {
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
			wait := p.wait(p.queue.ahead(f, len(kept)), limit)
			if at.Before(w.deadline) && !at.Add(wait).After(w.deadline) {
				kept = append(kept, w)
				continue
			}
			p.queue.length--
			p.stats.Refused++
			delete(m.tickets, w.req.Ticket)
			code := jdaw.CodeNoCapacity
			if !at.Before(w.deadline) {
				code = jdaw.CodeDeadline
			}
			m.refuse(w.req.Ticket, code, wait, "pool %s has no credit within %s", p.id, w.req.Wait)
		}
		f.waiters = kept
	}
}

func (m *Machine) expireParked(at time.Time) {
	kept := m.ahead[:0]
	for _, w := range m.ahead {
		if at.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		m.refuseParked(w)
	}
	m.ahead = kept
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
