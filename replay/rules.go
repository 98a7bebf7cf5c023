package replay

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
	"jackdawbarrow/owner"
)

// Rule is an invariant over all grants of a run.
type Rule string

// Rules. A run without grants violates them, because nothing was checked.
const (
	// RuleWithdrawnVersion: no grant of a version that the adopted
	// configuration has withdrawn or suspended.
	RuleWithdrawnVersion Rule = "withdrawnVersion"
	// RuleUpstreamLimit: no more credits outstanding on an upstream than its
	// largest limit.
	RuleUpstreamLimit Rule = "upstreamLimit"
	// RuleColdLimit: no more credits outstanding on an upstream than its cold
	// limit until that many requests have succeeded there.
	RuleColdLimit Rule = "coldLimit"
	// RuleAllowance: no more requests of a version in roll-out without a
	// confirmed outcome in a pool than the guard allows.
	RuleAllowance Rule = "allowance"
)

func (r Rule) validate() error {
	switch r {
	case RuleWithdrawnVersion, RuleUpstreamLimit, RuleColdLimit, RuleAllowance:
		return nil
	}
	return errors.Newf("no rule is named %q", string(r))
}

// ProcessMachines returns the machines of a process that are replayed.
func ProcessMachines(p Process) []jdaw.Machine {
	return []jdaw.Machine{
		owner.New(owner.Config{Self: p.VM, Incarnation: p.Incarnation}),
		guard.NewMachine(guard.MachineConfig{}),
		casc.NewMachine(casc.MachineConfig{}),
	}
}

// upstreamKey identifies an upstream in one pool.
type upstreamKey struct {
	pool     jdaw.PoolID
	upstream jdaw.UpstreamID
}

// versionKey identifies a version in one pool.
type versionKey struct {
	pool    jdaw.PoolID
	version jdaw.ModelVersion
}

// openCredit is a granted credit that has not been released.
type openCredit struct {
	upstream upstreamKey
	version  jdaw.ModelVersion
}

// rules tracks the grants of a run from the events and actions alone. It keeps its
// own counts, so that a miscount of the owner is detected.
type rules struct {
	snap        *config.Snapshot
	view        *jdaw.View
	grants      int
	openCredits map[string]openCredit // by credit
	outstanding map[upstreamKey]int
	succeeded   map[upstreamKey]int
	unconfirmed map[versionKey]int // granted, neither confirmed nor ended without outcome
	confirmed   map[versionKey]owner.VersionCounts
	violations  map[Rule][]string
}

func newRules() *rules {
	return &rules{
		openCredits: map[string]openCredit{}, outstanding: map[upstreamKey]int{}, succeeded: map[upstreamKey]int{},
		unconfirmed: map[versionKey]int{}, confirmed: map[versionKey]owner.VersionCounts{}, violations: map[Rule][]string{},
	}
}

func (r *rules) differences(rule Rule) []string {
	if r.grants == 0 {
		return []string{fmt.Sprintf("%s: no credit was granted", rule)}
	}
	var out []string
	for _, text := range r.violations[rule] {
		out = append(out, fmt.Sprintf("%s: %s", rule, text))
	}
	return out
}

func (r *rules) event(ev jdaw.Event) {
	switch ev := ev.(type) {
	case config.Adopted:
		r.snap = ev.Snapshot
		r.dropLost()
	case jdaw.ViewChanged:
		r.view = ev.View
		r.dropLost()
	case owner.CreditsReleased:
		for _, released := range ev.Releases {
			r.release(released)
		}
	case owner.CountsConfirmed:
		for _, c := range ev.Counts {
			r.confirm(c)
		}
	}
}

// dropLost drops the credits of pools that another VM owns now, which receives
// their releases.
func (r *rules) dropLost() {
	if r.snap == nil || r.view == nil {
		return
	}
	for id, g := range r.openCredits {
		m, ok := owner.Of(r.view, r.snap, g.upstream.pool)
		if ok && m.VM == r.view.Self {
			continue
		}
		delete(r.openCredits, id)
		r.outstanding[g.upstream]--
		r.unconfirmed[versionKey{g.upstream.pool, g.version}]--
	}
}

func (r *rules) release(released owner.Released) {
	g, ok := r.openCredits[released.Credit]
	if !ok {
		return
	}
	delete(r.openCredits, released.Credit)
	r.outstanding[g.upstream]--
	switch released.Outcome {
	case jdaw.OutcomeOK:
		r.succeeded[g.upstream]++
	case jdaw.OutcomeFailed, jdaw.OutcomeBroken:
	default:
		r.unconfirmed[versionKey{g.upstream.pool, g.version}]--
	}
}

func (r *rules) confirm(c owner.VersionCounts) {
	key := versionKey{c.Pool, c.Version}
	last := r.confirmed[key]
	if last.Counter != c.Counter {
		last = owner.VersionCounts{}
	}
	if c.OK+c.Failed <= last.OK+last.Failed {
		return
	}
	r.unconfirmed[key] -= int(c.OK + c.Failed - last.OK - last.Failed)
	r.confirmed[key] = c
}

func (r *rules) action(at time.Time, a jdaw.Action) {
	g, ok := a.(owner.Grant)
	if !ok {
		return
	}
	r.grants++
	key := upstreamKey{g.Pool, g.Upstream}
	version := versionKey{g.Pool, g.Version}
	r.openCredits[g.Credit] = openCredit{upstream: key, version: g.Version}
	r.outstanding[key]++
	r.unconfirmed[version]++
	if r.snap == nil {
		return
	}
	when := at.Format(time.RFC3339Nano)
	if r.snap.IsWithdrawn(g.Version) {
		r.violate(RuleWithdrawnVersion, "%s was granted at %s although withdrawn", g.Version, when)
	}
	u, _ := r.snap.Upstream(g.Upstream)
	n := r.outstanding[key]
	if n > u.MaxConcurrent {
		r.violate(RuleUpstreamLimit, "%s had %d of %d credits at %s", g.Upstream, n, u.MaxConcurrent, when)
	}
	if n > u.ColdConcurrent && r.succeeded[key] < u.ColdConcurrent {
		r.violate(RuleColdLimit, "%s had %d credits at %s, cold limit %d, after %d successes", g.Upstream, n, when, u.ColdConcurrent, r.succeeded[key])
	}
	r.checkAllowance(version, when)
}

func (r *rules) checkAllowance(key versionKey, when string) {
	for _, w := range guard.Canaries(r.snap) {
		if w.Version != key.version {
			continue
		}
		pools := 0
		for _, p := range r.snap.Pools() {
			if p.Kind == key.pool.Kind {
				pools++
			}
		}
		c := r.confirmed[key]
		limit := guard.Allowance{Pools: pools, OK: c.OK, Failed: c.Failed}.Limit()
		if n := r.unconfirmed[key]; n > limit {
			r.violate(RuleAllowance, "%s had %d requests without a confirmed outcome in pool %s at %s, allowed %d", key.version, n, key.pool, when, limit)
		}
	}
}

func (r *rules) violate(rule Rule, format string, args ...any) {
	r.violations[rule] = append(r.violations[rule], fmt.Sprintf(format, args...))
}
