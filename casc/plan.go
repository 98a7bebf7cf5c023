package casc

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
)

// maxSteps limits the search over plans, which doubles with each model. In a
// longer cascade the cheapest models beyond it are not used.
const maxSteps = 8

// minInTime is the least probability that an escalation fits into the remaining
// time for it to be part of a plan.
const minInTime = 0.05

// reachSlack is the difference in the probability of reaching the target below
// which two plans count as equal, about the error of an estimate.
const reachSlack = 0.01

// minInferWeight is the least number of rated answers after a rejection for them
// to be used in the estimate of first answers.
const minInferWeight = 10

// defaultExploreOneIn is 2 % of the requests that start above the cheapest model.
const defaultExploreOneIn = 50

// minExploreInTime is the least probability that the planned step still fits
// after the explored one, so that exploration does not reduce quality.
const minExploreInTime = 0.95

// PlannerConfig configures a Planner. Zero values take the defaults.
type PlannerConfig struct {
	// ExploreOneIn is the number of starts of which one explores; a negative
	// value turns exploration off.
	ExploreOneIn int
}

// Planner chooses steps by expected cost. It implements [jdaw.Planner].
type Planner struct {
	cfg      PlannerConfig
	snapshot atomic.Pointer[Snapshot]
	starts   atomic.Uint64
}

// NewPlanner returns a planner that uses the priors only.
func NewPlanner(cfg PlannerConfig) *Planner {
	if cfg.ExploreOneIn == 0 {
		cfg.ExploreOneIn = defaultExploreOneIn
	}
	p := &Planner{cfg: cfg}
	p.snapshot.Store(emptySnapshot)
	return p
}

// Use replaces the current snapshot.
func (p *Planner) Use(s *Snapshot) { p.snapshot.Store(s) }

// Snapshot returns the current estimates.
func (p *Planner) Snapshot() *Snapshot { return p.snapshot.Load() }

// Start implements [jdaw.Planner].
func (p *Planner) Start(q jdaw.PlanRequest) int {
	c, i, ok := p.first(q)
	if ok && p.shouldExplore() {
		i = c.explore(i, q.Remaining)
	}
	return c.offset + i
}

// Preview returns what Start returns when it doesn't explore, and counts no start.
func (p *Planner) Preview(q jdaw.PlanRequest) int {
	c, i, _ := p.first(q)
	return c.offset + i
}

// first returns the first step of the cascade, or false if it is the fastest one, as
// none is expected to be in time.
func (p *Planner) first(q jdaw.PlanRequest) (c cascade, i int, ok bool) {
	c.load(p.snapshot.Load(), q, 0)
	if c.n == 0 {
		return c, 0, false
	}
	if i, ok = c.choose(false, q.Remaining); !ok {
		i = c.fastest()
	}
	return c, i, ok
}

// Next implements [jdaw.Planner]. An answer without a rating is delivered.
func (p *Planner) Next(q jdaw.PlanRequest, step int, rated bool, rating float64) (int, bool) {
	if !rated || rating >= q.Target {
		return 0, false
	}
	var c cascade
	c.load(p.snapshot.Load(), q, step+1)
	i, ok := c.choose(true, q.Remaining)
	if !ok {
		return 0, false
	}
	return c.offset + i, true
}

// shouldExplore is true for one start in ExploreOneIn. The counter is hashed
// because a plain modulus would select the same workspace each time if requests
// arrive in a regular pattern.
func (p *Planner) shouldExplore() bool {
	if p.cfg.ExploreOneIn < 0 {
		return false
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], p.starts.Add(1))
	return xxhash.Sum64(b[:])%uint64(p.cfg.ExploreOneIn) == 0
}

// cascade holds the estimates of the remaining models.
type cascade struct {
	steps  [maxSteps]step
	n      int
	offset int // index of steps[0] in the request's models
	rated  float64
	target float64
}

type step struct {
	Estimate
	cost float64
}

// plan is a start with the escalations after it.
type plan struct {
	cost  float64 // expected
	reach float64 // probability of reaching the target
}

func (c *cascade) load(s *Snapshot, q jdaw.PlanRequest, from int) {
	c.offset = max(from, len(q.Models)-maxSteps)
	c.n = max(len(q.Models)-c.offset, 0)
	c.rated = s.RatedShare
	c.target = q.Target
	for i := range c.n {
		j := c.offset + i
		st := &c.steps[i]
		st.Estimate = s.Estimate(Key{Workspace: q.Workspace, Task: q.Task, Model: q.Models[j]})
		st.cost = costAt(q.Costs, j) * st.Tokens / 1000
	}
	for i := 1; i < c.n; i++ {
		c.steps[i].inferAccept(&c.steps[i-1])
	}
}

// inferAccept estimates how often the model's first answers are accepted from its
// answers after rejections. A model that is used only after a cheaper one has
// no first answers of its own; it is assumed to have every request accepted that
// the cheaper one has.
func (st *step) inferAccept(cheaper *step) {
	if st.EscalatedWeight < minInferWeight {
		return
	}
	implied := cheaper.Accept + (1-cheaper.Accept)*st.AcceptEscalated
	own := st.Weight / (st.Weight + st.EscalatedWeight)
	st.Accept = own*st.Accept + (1-own)*implied
}

// costAt returns the cost of a model; a model without one counts as free.
func costAt(costs []float64, i int) float64 {
	if i >= len(costs) {
		return 0
	}
	return costs[i]
}

// choose returns the first step of the cheapest plan whose probability of
// reaching the target is the target or the highest possible.
func (c *cascade) choose(escalated bool, left time.Duration) (int, bool) {
	var b bestPlan
	for i := range c.n {
		st := &c.steps[i]
		if st.Latency.P95() > left {
			continue
		}
		accept := st.Accept
		if escalated {
			accept = st.AcceptEscalated
		}
		b.add(i, c.follow(i, accept, left))
	}
	return b.cheapest(c.target)
}

// follow returns the plan that starts at step i and escalates, after a rejection,
// as choose would. Next always escalates when a step fits, so a plan must include
// each escalation that fits.
func (c *cascade) follow(i int, accept float64, left time.Duration) plan {
	st := &c.steps[i]
	var b bestPlan
	for j := i + 1; j < c.n; j++ {
		later := &c.steps[j]
		inTime := st.Latency.Share(left - later.Latency.P95())
		if inTime < minInTime {
			continue
		}
		next := c.follow(j, later.AcceptEscalated, left-st.Latency.P50())
		b.add(j, plan{cost: inTime * next.cost, reach: inTime * next.reach})
	}
	rest := plan{}
	if j, ok := b.cheapest(c.target); ok {
		rest = b.plans[j]
	}
	rejected := (1 - accept) * c.rated
	return plan{cost: st.cost + rejected*rest.cost, reach: accept + rejected*rest.reach}
}

// bestPlan compares the plans that start at different steps.
type bestPlan struct {
	plans   [maxSteps]plan
	fits    [maxSteps]bool
	highest float64
}

func (b *bestPlan) add(i int, p plan) {
	b.plans[i] = p
	b.fits[i] = true
	b.highest = max(b.highest, p.reach)
}

func (b *bestPlan) cheapest(target float64) (int, bool) {
	floor := min(target, b.highest-reachSlack)
	best := -1
	for i := range b.plans {
		if !b.fits[i] || b.plans[i].reach < floor {
			continue
		}
		if best < 0 || b.plans[i].cost < b.plans[best].cost {
			best = i
		}
	}
	return best, best >= 0
}

// fastest returns the step with the lowest p95, for a request that no step fits.
func (c *cascade) fastest() int {
	best := 0
	for i := 1; i < c.n; i++ {
		if c.steps[i].Latency.P95() < c.steps[best].Latency.P95() {
			best = i
		}
	}
	return best
}

// explore returns the least observed step that is cheaper than the planned one
// and leaves enough time for it.
func (c *cascade) explore(planned int, left time.Duration) int {
	if c.rated == 0 {
		return planned
	}
	room := left - c.steps[planned].Latency.P95()
	best := planned
	for i := range planned {
		if c.steps[i].Latency.Share(room) < minExploreInTime {
			continue
		}
		if best == planned || c.steps[i].Weight < c.steps[best].Weight {
			best = i
		}
	}
	return best
}
