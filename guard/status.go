package guard

import (
	"fmt"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// tick checks for stalled roll-outs and publishes the statuses.
func (m *Machine) tick(at time.Time) []jdaw.Action {
	var actions []jdaw.Action
	for _, t := range m.trials {
		actions = append(actions, t.resend(at)...)
		if !m.isStalled(at, t) || t.inspected || !m.isEvaluator(t) {
			continue
		}
		t.inspected = true
		m.dirty = true
		actions = append(actions, Proposal{Version: t.watch.Version, Kind: ProposeInspect, Text: stallText(at, t)})
	}
	if m.dirty && at.Sub(m.publishedAt) >= m.cfg.Publish {
		m.dirty = false
		m.publishedAt = at
		actions = append(actions, Publish{Statuses: m.statuses(at)})
	}
	return actions
}

func (m *Machine) isStalled(at time.Time, t *trial) bool {
	return !t.withdrawn && at.Sub(t.progressAt()) >= m.cfg.StallAfter
}

// progressAt returns the last change by an operator or, while the roll-out is
// running, the last outcome. Outcomes of pinned sessions are no progress of a
// halted roll-out, which waits for an operator.
func (t *trial) progressAt() time.Time {
	if t.watch.Rollout.State == config.RolloutHalted || t.changedAt.After(t.outcomeAt) {
		return t.changedAt
	}
	return t.outcomeAt
}

func stallText(at time.Time, t *trial) string {
	idle := at.Sub(t.progressAt()).Truncate(time.Second)
	if t.watch.Rollout.State == config.RolloutHalted {
		return fmt.Sprintf("The roll-out of %s has been halted at %g %% for %s.", t.watch.Version, t.watch.Rollout.SharePercent, idle)
	}
	return fmt.Sprintf("The roll-out of %s is running at %g %% and has had no outcomes for %s.", t.watch.Version, t.watch.Rollout.SharePercent, idle)
}

func (m *Machine) statuses(at time.Time) []Status {
	var out []Status
	for _, t := range m.trials {
		out = append(out, m.status(at, t))
	}
	return out
}

func (m *Machine) status(at time.Time, t *trial) Status {
	stable := m.totals[t.watch.Stable].ratings()
	stableSpeeds := m.totals[t.watch.Stable].speeds()
	evaluator, _ := m.evaluatorOf(t)
	s := Status{
		Version: t.watch.Version, Stable: t.watch.Stable, Judge: evaluator,
		OK: t.ok, Failed: t.failed, Rated: uint64(t.rated.n), MeanRating: t.rated.mean(),
		StableRated: uint64(stable.n), StableRating: stable.mean(), ProgressAt: t.progressAt(),
		Timed: uint64(t.speeds.n), Slow: uint64(t.speeds.slow), Speed: t.speeds.mean(),
		StableTimed: uint64(stableSpeeds.n), StableSlow: uint64(stableSpeeds.slow), StableSpeed: stableSpeeds.mean(),
	}
	switch {
	case t.withdrawn || t.requested != nil:
		s.State = StateSuspended
		s.Text = fmt.Sprintf("%s gets no new work.", t.watch.Version)
	case !m.isEvaluator(t):
		s.State = StateElsewhere
		s.Text = fmt.Sprintf("%s is evaluated by VM %s.", t.watch.Version, evaluator)
	case m.isStalled(at, t):
		s.State = StateStalled
		s.Text = stallText(at, t)
	case t.logRatio <= healthyLog:
		s.State = StateHealthy
		s.Text = fmt.Sprintf("%s has answered %d requests and failed %d.", t.watch.Version, t.ok, t.failed)
	default:
		s.State = StateTesting
		s.Text = fmt.Sprintf("%s has answered %d requests and failed %d; more are needed.", t.watch.Version, t.ok, t.failed)
	}
	return s
}
