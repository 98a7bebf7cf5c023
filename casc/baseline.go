package casc

import "jackdawbarrow"

// Costliest always uses the costliest model; it is a baseline for measurements.
type Costliest struct{}

// Start implements [jdaw.Planner].
func (Costliest) Start(q jdaw.PlanRequest) int { return max(len(q.Models)-1, 0) }

// Next implements [jdaw.Planner].
func (Costliest) Next(jdaw.PlanRequest, int, bool, float64) (int, bool) { return 0, false }

// CheapFirst starts at the cheapest model and escalates one model at a time;
// it is a baseline for measurements.
type CheapFirst struct {
	// Estimates, if set, makes it escalate only if the p95 of the next model
	// fits into the remaining time.
	Estimates *Planner
}

// Start implements [jdaw.Planner].
func (CheapFirst) Start(jdaw.PlanRequest) int { return 0 }

// Next implements [jdaw.Planner].
func (b CheapFirst) Next(q jdaw.PlanRequest, step int, rated bool, rating float64) (int, bool) {
	next := step + 1
	if !rated || rating >= q.Target || next >= len(q.Models) || q.Remaining <= 0 {
		return 0, false
	}
	if b.Estimates == nil {
		return next, true
	}
	e := b.Estimates.Snapshot().Estimate(Key{Workspace: q.Workspace, Task: q.Task, Model: q.Models[next]})
	return next, e.Latency.P95() <= q.Remaining
}
