package entry

import (
	"jackdawbarrow"
)

// runCascade runs the models of a cascade from the planned start until an
// answer reaches the quality target. Only the last step is streamed to the
// caller; earlier answers are buffered and rated first.
func (c *chatRequest) runCascade() (*answer, error) {
	snap := c.e.cfg.Config.Snapshot()
	models, err := c.cascadeModels(snap, c.choice)
	if err != nil {
		return nil, err
	}
	plan := jdaw.PlanRequest{
		Workspace: c.workspace, Task: c.task(), Models: models, Target: c.choice.cascade.QualityTarget, Remaining: c.remaining(),
	}
	for _, name := range models {
		m, _ := snap.Model(name)
		plan.Costs = append(plan.Costs, m.CostPer1000)
	}
	step := 0
	if c.e.cfg.Planner != nil {
		step = min(max(0, c.e.cfg.Planner.Start(plan)), len(models)-1)
	}
	var best *answer // rejected; delivered if a later step fails
	for {
		c.bill.Steps++
		a, next, more, err := c.runStep(plan, step, best != nil)
		if err != nil {
			// The answer of an earlier step is preferred to an error, unless
			// chunks of this step have already been delivered.
			if best != nil && c.sse == nil && !c.callerGone {
				return best, c.deliverBuffered(best)
			}
			if !c.canEscalateAfter(err, step, plan) {
				c.billPartial(a)
				return nil, err
			}
			next, more = step+1, true
		} else {
			c.addCost(a)
			if !more {
				return a, nil
			}
			best = a
		}
		step = next
		plan.Remaining = c.remaining()
		c.e.metrics.escalations.Add(c.ctx, 1)
		c.e.record("escalated", c.id, c.workspace, "", models[step])
	}
}

// canEscalateAfter reports whether a failed step is followed by the next model.
func (c *chatRequest) canEscalateAfter(err error, step int, plan jdaw.PlanRequest) bool {
	if c.callerGone || c.sse != nil || step >= len(plan.Models)-1 || c.ctx.Err() != nil {
		return false
	}
	switch jdaw.CodeOf(err).Code {
	case jdaw.CodeBadField, jdaw.CodeBrokenJSON, jdaw.CodeDeadline, jdaw.CodeUpstreamTimeout, jdaw.CodeKeyRunning:
		return false
	}
	return true
}

// runStep runs one step. If more is false, its answer has been written to the
// caller, except for its end.
func (c *chatRequest) runStep(plan jdaw.PlanRequest, step int, escalated bool) (a *answer, next int, more bool, err error) {
	model := plan.Models[step]
	if step == len(plan.Models)-1 || c.e.cfg.Rater == nil || c.e.cfg.Planner == nil {
		a, err = c.runModel(model, c.callerSink())
		if err == nil {
			c.releaseAfterRating(a, true, func(rated bool, rating float64) { c.learn(plan, a, escalated, rated, rating) })
		}
		return a, 0, false, err
	}
	a, err = c.runModel(model, func(*answer, string) error { return nil })
	if err != nil {
		return a, 0, false, err
	}
	rating, rated := c.e.rate(c.ctx, c.rateRequest(a))
	result := c.result(a, jdaw.OutcomeOK)
	result.Rated, result.Rating = rated, rating
	c.e.cfg.Credits.Release(result)
	c.learn(plan, a, escalated, rated, rating)
	plan.Remaining = c.remaining()
	next, more = c.e.cfg.Planner.Next(plan, step, rated, rating)
	if more && next > step && next < len(plan.Models) {
		return a, next, true, nil
	}
	return a, 0, false, c.deliverBuffered(a)
}

// deliverBuffered writes a buffered answer to the caller in one chunk.
func (c *chatRequest) deliverBuffered(a *answer) error {
	if err := c.callerSink()(a, a.text.String()); err != nil {
		c.callerGone = true
		return jdaw.Fail(jdaw.CodeStreamBroken, "the caller disconnected: %v", err)
	}
	return nil
}

func (c *chatRequest) learn(plan jdaw.PlanRequest, a *answer, escalated, rated bool, rating float64) {
	if c.e.cfg.Learner == nil {
		return
	}
	c.e.cfg.Learner.Learn(jdaw.StepOutcome{
		Workspace: plan.Workspace, Task: plan.Task, Model: a.credit.Version.Model, Rated: rated, Rating: rating,
		Accepted: rated && rating >= plan.Target, Escalated: escalated, Duration: a.duration, Tokens: a.promptTokens + a.outputTokens,
	})
}
