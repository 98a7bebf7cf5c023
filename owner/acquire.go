package owner

import (
	"fmt"
	"time"

	"jackdawbarrow"
)

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

// park delays a request whose sender has a newer configuration until the
// owner has adopted it: the newer one may forbid what the owner would grant.
func (m *Machine) park(at time.Time, w *waiter) {
	w.deadline = at.Add(min(w.req.Wait, maxPullWait))
	m.tickets[w.req.Ticket] = w
	isPulled := false
	for _, o := range m.awaitingPull {
		isPulled = isPulled || o.req.Revision >= w.req.Revision
	}
	m.awaitingPull = append(m.awaitingPull, w)
	if !isPulled {
		m.emit(PullRevision{Revision: w.req.Revision, FromAddr: w.req.FromAddr})
	}
}

func (m *Machine) pullFailed(rev jdaw.Revision) {
	kept := m.awaitingPull[:0]
	for _, w := range m.awaitingPull {
		if w.req.Revision > rev {
			kept = append(kept, w)
			continue
		}
		m.refuseParked(w)
	}
	m.awaitingPull = kept
}

func (m *Machine) refuseParked(w *waiter) {
	if m.tickets[w.req.Ticket] != w {
		return
	}
	delete(m.tickets, w.req.Ticket)
	m.refuse(w.req.Ticket, jdaw.CodeNoOwner, time.Second, "the owner could not fetch revision %d", w.req.Revision)
}

// throttledWait is the longest time that a request with no wait time may wait
// for a throttled upstream. An upstream starts to respond within milliseconds of
// a grant; a request rejected at once would queue behind long responses in
// another pool.
const throttledWait = 50 * time.Millisecond

// admit grants, queues or rejects a request with the owner's revision.
func (m *Machine) admit(at time.Time, w *waiter) {
	q := &w.req
	if q.Revision != m.snap.Revision() {
		m.acquire(at, *q)
		return
	}
	p := m.pools[q.Pool]
	if p == nil || !p.isGranting(at) {
		m.refuse(q.Ticket, jdaw.CodeNoOwner, takeoverWait, "this VM grants nothing for pool %s", q.Pool)
		return
	}
	w.deadline = w.arrived.Add(q.Wait)
	c := p.choose(m.snap, q)
	if !c.usable {
		p.stats.Refused++
		m.refuse(q.Ticket, c.denialCode, 0, "no upstream of pool %s in service offers an allowed version", q.Pool)
		return
	}
	if !p.takeRetryToken(q) {
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
	if q.Wait <= 0 && c.throttled > p.queue.length {
		w.deadline = at.Add(throttledWait)
	} else if m.refuseEarly(at, p, w, c) {
		p.returnRetryToken(q)
		return
	}
	w.key = keyOf(q)
	p.queue.push(w)
	m.tickets[q.Ticket] = w
	if c.u != nil {
		// The queued requests may want versions without a free upstream,
		// while this one can be served.
		m.dispatch(at, p)
	}
}

// refuseEarly rejects a request that cannot get a credit in time.
func (m *Machine) refuseEarly(at time.Time, p *pool, w *waiter, c choice) bool {
	if p.queue.length >= maxWaiting || w.req.Wait <= 0 {
		p.stats.Refused++
		m.refuse(w.req.Ticket, jdaw.CodeNoCapacity, p.wait(p.queue.length, c.limit), "no credit of pool %s is free", p.id)
		return true
	}
	if c.u != nil {
		return false
	}
	wait := p.wait(p.queue.countBefore(w.flow, w.flow.position(w)), c.limit)
	if !at.Add(wait).After(w.deadline) {
		return false
	}
	p.stats.Refused++
	m.refuse(w.req.Ticket, jdaw.CodeNoCapacity, wait, "pool %s has no credit within %s", p.id, w.req.Wait)
	return true
}

// dispatch grants free credits to queued requests.
func (m *Machine) dispatch(at time.Time, p *pool) {
	if p.queue.length == 0 || !p.isGranting(at) {
		return
	}
	p.unservable = p.unservable[:0]
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
// be served. The head of the queue may want a version without a free upstream.
func (m *Machine) dispatchFlow(at time.Time, p *pool, f *flow) bool {
	for _, w := range f.waiters {
		if p.isUnservable(w.key) {
			continue
		}
		c := p.choose(m.snap, &w.req)
		if c.u == nil {
			p.unservable = append(p.unservable, w.key)
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
		// Plain services do not report the start of a response.
		isUnconfirmed: len(q.Versions) > 0,
	}
	held.canary = p.outcomes.version(c.version)
	if held.canary != nil {
		held.canary.running++
	}
	m.credits[held.id] = held
	c.u.add(at, held)
	p.holders.served(c.u, q.Prefix, at)
	if len(q.Exclude) == 0 {
		p.addRetryToken()
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
		return // parked; adopted and expireParked skip it
	}
	if p := m.pools[w.req.Pool]; p != nil {
		p.queue.remove(w)
	}
}
