package owner

import (
	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// Check returns an error if the state breaks an invariant after the actions:
// a grant beyond a limit, a limit out of range, or a count that differs from
// the number of counted objects.
func (m *Machine) Check(actions []jdaw.Action) error {
	for _, a := range actions {
		g, ok := a.(Grant)
		if !ok {
			continue
		}
		u := m.pools[g.Pool].byID[g.Upstream]
		if u.inUse() > u.limit || !u.inService {
			return errors.Newf("%s granted at %d of %d in use, in service %t", u.cfg.ID, u.inUse(), u.limit, u.inService)
		}
	}
	credits := 0
	for _, p := range m.order {
		if err := p.check(m.credits); err != nil {
			return err
		}
		for _, u := range p.ups {
			credits += len(u.credits)
		}
	}
	if credits != len(m.credits) {
		return errors.Newf("%d credits at the upstreams, %d in the index", credits, len(m.credits))
	}
	return nil
}

func (p *pool) check(credits map[string]*credit) error {
	free, waiting := 0, 0
	for i, u := range p.ups {
		if u.inService && u.inUse() < u.limit && u.unconfirmed < u.coldLimit() {
			free++
		}
		if u.limit < 1 || u.limit > u.maxLimit() || u.untracked < 0 {
			return errors.Newf("%s has limit %d, maximum %d, untracked work %d", u.cfg.ID, u.limit, u.maxLimit(), u.untracked)
		}
		if c := p.candidates[i]; u.pos != i || c.InUse != u.occupied() || c.Limit != u.limit {
			return errors.Newf("%s differs from its candidate %+v", u.cfg.ID, c)
		}
		unconfirmed := 0
		for _, c := range u.credits {
			if c.isUnconfirmed {
				unconfirmed++
			}
		}
		if unconfirmed != u.unconfirmed || unconfirmed > u.coldLimit() {
			return errors.Newf("%s has %d unconfirmed credits, counts %d, its cold limit is %d", u.cfg.ID, unconfirmed, u.unconfirmed, u.coldLimit())
		}
		for _, c := range u.credits {
			if credits[c.id] != c {
				return errors.Newf("credit %s of %s is not in the index", c.id, u.cfg.ID)
			}
		}
	}
	for _, f := range p.queue.flows {
		waiting += len(f.waiters)
	}
	if free != p.free || waiting != p.queue.length {
		return errors.Newf("%d upstreams free, counted %d; %d requests waiting, counted %d", free, p.free, waiting, p.queue.length)
	}
	return nil
}

// View returns the machine's current member table.
func (m *Machine) View() *jdaw.View { return m.view }
