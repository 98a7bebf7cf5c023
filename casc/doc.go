// Package casc decides at which model of a cascade a request starts and when
// it escalates to a costlier one.
//
// Estimates are learned per (workspace, task, model) from the outcomes of
// cascade steps: the probability that an answer reaches the quality target, the
// latency quantiles and the mean number of tokens. A key with few
// observations is shrunk towards (task, model), then to (model), then to a fixed prior.
//
// A plan is a start and the escalations that follow rejected answers. [Planner]
// takes the plan with the lowest expected cost among those whose probability of
// reaching the target is at least the target itself; if there is none, it
// takes the one with the highest probability. A step is started only if its p95
// fits into the remaining time, unless no step fits. The share of rated answers
// is the probability that an escalation is possible at all. During an outage of
// the rating service it is zero, and each plan is a single step that must meet
// the target alone.
//
// Learning happens in [Machine], on the control loop. It publishes an immutable
// [Snapshot] at most once per publish interval; Planner reads it through an
// atomic pointer without a lock.
//
// # Usage
//
//	node := casc.New(casc.Config{Post: l.Post})
//	l := loop.New(loop.Config{Machines: []jdaw.Machine{node.Machine()}, Execute: node.Execute})
//	step := node.Start(q)
//	node.Learn(outcome)
//	step, more := node.Next(q, step, rated, rating)
package casc
