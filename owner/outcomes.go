package owner

import (
	"fmt"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
)

const (
	// countsInterval is the period for sending changed outcome counts.
	countsInterval = 250 * time.Millisecond
	// countsRepeat is the period for resending unchanged counts, in case a
	// message was lost.
	countsRepeat = time.Second
)

// outcomes are the counts of one pool at this owner, for the versions in
// roll-out and the stable ones that they are compared to. They outlive the
// ownership of the pool: the evaluator needs them until the roll-out ends, and
// an evaluator that takes over gets them from this VM only.
type outcomes struct {
	pool     jdaw.PoolID
	versions []*versionOutcomes
	changed  bool
	sentAt   time.Time
	sentTo   map[jdaw.ModelVersion]jdaw.VMID // evaluator by version in roll-out
}

// versionOutcomes are the counts of one version during one roll-out.
type versionOutcomes struct {
	counts    VersionCounts
	startedAt time.Time // of the roll-out
	// confirmed are the counts that the evaluator has received.
	confirmed VersionCounts
	// running is the number of credits that were granted and have not ended.
	running int
}

// pending is the number of granted requests whose outcome the evaluator has
// not received yet.
func (v *versionOutcomes) pending() int {
	ended := v.counts.OK + v.counts.Failed - v.confirmed.OK - v.confirmed.Failed
	return v.running + int(ended)
}

// confirm records counts that the evaluator received. Confirmations may arrive
// out of order, and those of an earlier roll-out carry another counter.
func (v *versionOutcomes) confirm(c VersionCounts) {
	if c.Counter != v.counts.Counter || c.OK+c.Failed < v.confirmed.OK+v.confirmed.Failed {
		return
	}
	v.confirmed = c
}

// updateRollouts starts to count the versions of new roll-outs and drops those
// of ended ones. A restarted roll-out counts from zero under a new counter, so
// that earlier outcomes do not enter its canary analysis.
func (o *outcomes) updateRollouts(watches []guard.Canary, counter string) {
	var kept []*versionOutcomes
	for _, w := range watches {
		for _, mv := range []jdaw.ModelVersion{w.Version, w.Stable} {
			if mv.Model == "" {
				continue
			}
			v := o.version(mv)
			if v == nil {
				v = &versionOutcomes{}
			}
			if v.counts.Counter == "" || !v.startedAt.Equal(w.Rollout.StartedAt) {
				v.startedAt = w.Rollout.StartedAt
				v.counts = VersionCounts{Version: mv, Pool: o.pool, Counter: counter}
				v.confirmed = v.counts
			}
			kept = append(kept, v)
		}
	}
	o.versions = kept
}

func (o *outcomes) version(mv jdaw.ModelVersion) *versionOutcomes {
	for _, v := range o.versions {
		if v.counts.Version == mv {
			return v
		}
	}
	return nil
}

func (o *outcomes) count(r Released) {
	isOK := r.Outcome == jdaw.OutcomeOK
	isFailed := r.Outcome == jdaw.OutcomeFailed || r.Outcome == jdaw.OutcomeBroken
	v := o.version(r.Version)
	if v == nil || (!isOK && !isFailed) {
		return
	}
	c := &v.counts
	if isFailed {
		c.Failed++
	} else {
		c.OK++
	}
	if r.Rated {
		c.Rated++
		c.RatingSum += r.Rating
		c.RatingSquareSum += r.Rating * r.Rating
	}
	o.changed = true
}

// of returns the counts for the evaluator of the roll-out.
func (o *outcomes) of(w guard.Canary) []VersionCounts {
	var out []VersionCounts
	for _, mv := range []jdaw.ModelVersion{w.Version, w.Stable} {
		if v := o.version(mv); v != nil && v.counts.OK+v.counts.Failed > 0 {
			out = append(out, v.counts)
		}
	}
	return out
}

// canary limits the pending requests of a version in roll-out.
type canary struct {
	id       int16
	pools    int // that may run the version
	outcomes *versionOutcomes
}

// isAtCanaryLimit reports whether the version has as many pending requests as
// the guard allows.
func (t canary) isAtCanaryLimit() bool {
	c := t.outcomes.confirmed
	a := guard.Allowance{Pools: t.pools, OK: c.OK, Failed: c.Failed}
	return t.outcomes.pending() >= a.Limit()
}

// setCanaries sets the canaries to the roll-outs that this pool takes part in.
func (p *pool) setCanaries(snap *config.Snapshot, watches []guard.Canary) {
	p.canaries = p.canaries[:0]
	for _, w := range watches {
		v := p.outcomes.version(w.Version)
		if v == nil || !mayRun(snap, p.id, w.Version) {
			continue
		}
		p.canaries = append(p.canaries, canary{id: p.versionID(w.Version), pools: poolsOf(snap, w.Version), outcomes: v})
	}
}

// isAtCanaryLimit reports whether the version is in roll-out and may not get
// another request for now.
func (p *pool) isAtCanaryLimit(version int16) bool {
	for _, t := range p.canaries {
		if t.id == version {
			return t.isAtCanaryLimit()
		}
	}
	return false
}

// poolsOf counts the pools that may run the version. Those of a data centre
// that is out of service count as well: they may return at any time.
func poolsOf(snap *config.Snapshot, mv jdaw.ModelVersion) int {
	n := 0
	for _, id := range snap.Pools() {
		if mayRun(snap, id, mv) {
			n++
		}
	}
	return n
}

// mayRun reports whether an upstream of the pool can serve the version. One
// without configured versions may report any.
func mayRun(snap *config.Snapshot, id jdaw.PoolID, mv jdaw.ModelVersion) bool {
	model, ok := snap.Model(mv.Model)
	if !ok || model.Kind != id.Kind {
		return false
	}
	name := mv.String()
	for _, u := range snap.Pool(id) {
		if len(u.Versions) == 0 {
			return true
		}
		for _, v := range u.Versions {
			if v == name {
				return true
			}
		}
	}
	return false
}

// outcomesOf returns the counts of a pool, which this VM may have owned before.
func (m *Machine) outcomesOf(id jdaw.PoolID) *outcomes {
	for _, o := range m.outcomes {
		if o.pool == id {
			return o
		}
	}
	o := &outcomes{pool: id, sentTo: map[jdaw.ModelVersion]jdaw.VMID{}}
	m.outcomes = append(m.outcomes, o)
	return o
}

// updateRollouts aligns the counts with the roll-outs of the configuration and
// drops those of pools no longer owned whose roll-out has ended.
func (m *Machine) updateRollouts() {
	counter := fmt.Sprintf("%s/%d", m.cfg.Incarnation, m.snap.Revision())
	var kept []*outcomes
	for _, o := range m.outcomes {
		o.updateRollouts(m.watches, counter)
		if m.pools[o.pool] != nil || len(o.versions) > 0 {
			kept = append(kept, o)
		}
	}
	m.outcomes = kept
	for _, p := range m.order {
		p.setCanaries(m.snap, m.watches)
	}
}

// sendCounts sends the counts of each roll-out to its evaluator: after
// countsInterval if the counts or the evaluator changed, else after
// countsRepeat.
func (m *Machine) sendCounts(at time.Time, o *outcomes) {
	since := at.Sub(o.sentAt)
	if m.view.Isolated || len(o.versions) == 0 || since < countsInterval {
		return
	}
	all := o.changed || since >= countsRepeat
	if all {
		o.sentAt = at
		o.changed = false
	}
	for _, w := range m.watches {
		judge, ok := guard.Evaluator(m.view, m.snap, m.snap.Region(o.pool.DataCentre), w.Version)
		if !ok || (!all && o.sentTo[w.Version] == judge.VM) {
			continue
		}
		counts := o.of(w)
		if len(counts) == 0 {
			continue
		}
		o.sentTo[w.Version] = judge.VM
		m.emit(SendCounts{Evaluator: judge.VM, Addr: judge.PeerAddr, Revision: m.snap.Revision(), Counts: counts})
	}
}

// confirmed handles the evaluator's confirmation, which may allow further
// requests.
func (m *Machine) confirmed(at time.Time, ev CountsConfirmed) {
	for _, c := range ev.Counts {
		v := m.outcomesOf(c.Pool).version(c.Version)
		if v == nil {
			continue
		}
		v.confirm(c)
		if p := m.pools[c.Pool]; p != nil {
			m.dispatch(at, p)
		}
	}
}
