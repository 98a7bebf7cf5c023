package owner

import (
	"time"

	"jackdawbarrow"
)

func (m *Machine) release(at time.Time, ev CreditsReleased) {
	var touched []*pool
	for _, r := range ev.Releases {
		// The credit may be unknown: released twice after a lost reply, or
		// already freed. Its outcome was counted then or is lost.
		c := m.credits[r.Credit]
		if c == nil {
			continue
		}
		p := c.u.pool
		if len(touched) == 0 || touched[len(touched)-1] != p {
			touched = append(touched, p)
		}
		if r.Outcome == jdaw.OutcomeStarted {
			c.u.started(at, c, r.UpstreamIncarnation)
			continue
		}
		m.free(at, c)
		m.ended.add(c.id)
		if r.Outcome == jdaw.OutcomeOK {
			p.recordDuration(at.Sub(c.grantedAt))
		}
		wasLeaving := c.u.isLeaving()
		c.u.end(at, c, r, m.firstTokenTarget(r.Version))
		p.outcomes.count(r)
		if c.u.isLeaving() != wasLeaving {
			p.refresh(m.snap, m.leaving)
		}
	}
	for _, p := range touched {
		m.dispatch(at, p)
	}
}

// firstTokenTarget returns the longest first-token time that counts as a
// success.
func (m *Machine) firstTokenTarget(v jdaw.ModelVersion) time.Duration {
	if model, ok := m.snap.Model(v.Model); ok && model.FirstTokenMillis > 0 {
		return time.Duration(model.FirstTokenMillis) * time.Millisecond
	}
	return defaultFirstTokenTarget
}

func (m *Machine) free(at time.Time, c *credit) {
	m.forget(c)
	c.u.remove(at, c)
}

// forget removes a credit from the machine's state, but not from the upstream's.
func (m *Machine) forget(c *credit) {
	delete(m.credits, c.id)
	if c.canary != nil {
		c.canary.running--
	}
}

// endedCredits holds the most recently released credits, so that a renewal
// sent before the release does not restore them.
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

// renew records which credits a VM still holds. A credit missing from the list
// was released by a message that was lost.
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
		// After its journal was sealed, the same process continues under
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
			u.reserveUnknown(at)
			m.free(at, c)
		}
	}
}
