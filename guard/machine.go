package guard

import (
	"container/list"
	"fmt"
	"math"
	"strconv"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// False-alarm rates per roll-out, over all regions. They add up to 0.01. The
// rating test gets the larger part because it needs far more requests: with
// equal parts it took up to 433 for a drop of 0.10, the failure test up to 34.
const (
	failureAlarmRate = 0.0025
	ratingAlarmRate  = 0.0075
)

// Defaults of MachineConfig.
const (
	defaultStallAfter = 15 * time.Minute
	defaultPublish    = time.Second
	// defaultMaxSources limits the stored reports: 5 data centres, 6 models and
	// versions and 100 successive owners fit.
	defaultMaxSources = 4096
)

// resendInterval is the time after which a suspension that is not in force is
// requested again. Suspensions propagate within fractions of a second.
const resendInterval = 5 * time.Second

// operator is the name under which the guard suspends versions.
const operator = "guard"

// MachineConfig configures a Machine. Zero values take the defaults.
type MachineConfig struct {
	StallAfter time.Duration // time without progress after which a roll-out is stalled
	Publish    time.Duration // shortest time between two lists of statuses
	MaxSources int
}

// Machine evaluates roll-outs. It implements [jdaw.Machine].
type Machine struct {
	cfg         MachineConfig
	view        *jdaw.View
	snap        *config.Snapshot
	last        map[source]*list.Element // of *report
	recent      *list.List               // reports, most recent first
	totals      map[jdaw.ModelVersion]Counts
	trials      []*trial
	dirty       bool
	publishedAt time.Time
}

// source is one counter of one owner.
type source struct {
	version     jdaw.ModelVersion
	pool        jdaw.PoolID
	incarnation jdaw.Incarnation
}

// report is the last report of a source.
type report struct {
	source source
	counts Counts
}

// trial is the test of one roll-out.
type trial struct {
	watch       Canary
	revision    jdaw.Revision // first one seen with the roll-out
	failures    evidence
	ratings     ratingEvidence
	logRatio    float64 // plain ratio test, for the proposal to raise the share
	pending     ratings // not tested until the stable mean is known
	ok, failed  uint64
	rated       ratings
	speeds      speeds
	changedAt   time.Time // by an operator
	outcomeAt   time.Time
	withdrawn   bool
	requested   *jdaw.Suspension
	requestedAt time.Time
	raised      bool // proposed at this share
	inspected   bool // proposed since the last progress
}

// NewMachine returns a machine without roll-outs.
func NewMachine(cfg MachineConfig) *Machine {
	if cfg.StallAfter == 0 {
		cfg.StallAfter = defaultStallAfter
	}
	if cfg.Publish == 0 {
		cfg.Publish = defaultPublish
	}
	if cfg.MaxSources == 0 {
		cfg.MaxSources = defaultMaxSources
	}
	return &Machine{cfg: cfg, last: map[source]*list.Element{}, recent: list.New(), totals: map[jdaw.ModelVersion]Counts{}}
}

// Handle implements [jdaw.Machine].
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case jdaw.ViewChanged:
		m.view = ev.View
		m.dirty = true
		return m.decideAll(at)
	case config.Adopted:
		m.adopt(at, ev.Snapshot)
	case Counts:
		return m.count(at, ev)
	case CompletionDue:
		return m.reviewCompletion(at, ev.Version)
	case jdaw.Tick:
		return m.tick(at)
	}
	return nil
}

// adopt keeps the trials that continue and drops the counts of versions that are
// no longer watched.
func (m *Machine) adopt(at time.Time, snap *config.Snapshot) {
	m.snap = snap
	m.dirty = true
	var trials []*trial
	for _, w := range Canaries(snap) {
		trials = append(trials, m.resume(at, w))
	}
	m.trials = trials
	m.dropUnwatched()
}

// resume returns the trial of a roll-out. A restarted roll-out, a lifted
// suspension or another stable version starts a new test; earlier counts are
// excluded, because the operator already took them into account.
func (m *Machine) resume(at time.Time, w Canary) *trial {
	withdrawn := m.snap.IsWithdrawn(w.Version)
	t := m.trialOf(w.Version)
	if t == nil || !t.watch.Rollout.StartedAt.Equal(w.Rollout.StartedAt) || t.watch.Stable != w.Stable || (t.withdrawn && !withdrawn) {
		return &trial{watch: w, revision: m.snap.Revision(), changedAt: at, outcomeAt: at, withdrawn: withdrawn}
	}
	if t.watch.Rollout != w.Rollout || t.withdrawn != withdrawn {
		t.changedAt = at
		t.raised = false
		t.inspected = false
	}
	t.watch = w
	t.withdrawn = withdrawn
	return t
}

func (m *Machine) trialOf(v jdaw.ModelVersion) *trial {
	for _, t := range m.trials {
		if t.watch.Version == v {
			return t
		}
	}
	return nil
}

func (m *Machine) isWatched(v jdaw.ModelVersion) bool {
	for _, t := range m.trials {
		if t.watch.Version == v || t.watch.Stable == v {
			return true
		}
	}
	return false
}

func (m *Machine) dropUnwatched() {
	for el := m.recent.Front(); el != nil; {
		next := el.Next()
		if src := el.Value.(*report).source; !m.isWatched(src.version) {
			m.recent.Remove(el)
			delete(m.last, src)
			delete(m.totals, src.version)
		}
		el = next
	}
}

// count adds the increment of a report. Reports of versions that are not watched
// yet are ignored; since reports are cumulative, the next one includes them.
func (m *Machine) count(at time.Time, c Counts) []jdaw.Action {
	if !m.isWatched(c.Version) || !c.isValid() || m.isStale(c) {
		return nil
	}
	added, ok := m.delta(c)
	if !ok {
		return nil
	}
	m.dirty = true
	m.totals[c.Version] = added.addedTo(m.totals[c.Version])
	var actions []jdaw.Action
	for _, t := range m.trials {
		if t.watch.Version == c.Version {
			t.add(at, added)
		}
		if t.watch.Version == c.Version || t.watch.Stable == c.Version {
			t.testRatings(m.totals[t.watch.Stable].ratings())
			actions = append(actions, m.decide(at, t)...)
		}
	}
	return actions
}

// isStale reports whether the counts are from an owner that has not adopted the
// roll-out yet: they may belong to an earlier roll-out of the version.
func (m *Machine) isStale(c Counts) bool {
	t := m.trialOf(c.Version)
	return t != nil && c.Revision != 0 && c.Revision < t.revision
}

// delta returns the increment of a report over the last one of its source. A
// report with a lower count was reordered and is ignored.
func (m *Machine) delta(c Counts) (Counts, bool) {
	last := m.lastOf(source{version: c.Version, pool: c.Pool, incarnation: c.OwnerIncarnation})
	old := last.counts
	if c.OK < old.OK || c.Failed < old.Failed || c.Rated < old.Rated || c.Timed < old.Timed || c.Slow < old.Slow {
		return Counts{}, false
	}
	if c.OK == old.OK && c.Failed == old.Failed && c.Rated == old.Rated && c.Timed == old.Timed {
		return Counts{}, false
	}
	last.counts = c
	added := c
	added.OK -= old.OK
	added.Failed -= old.Failed
	added.Rated -= old.Rated
	added.RatingSum -= old.RatingSum
	added.RatingSquareSum -= old.RatingSquareSum
	added.Timed -= old.Timed
	added.SpeedSum -= old.SpeedSum
	added.SpeedSquareSum -= old.SpeedSquareSum
	added.Slow -= old.Slow
	return added, true
}

// lastOf returns the last report of a source. Above MaxSources it evicts the
// least recently reporting source, whose owner is gone.
func (m *Machine) lastOf(s source) *report {
	if el, ok := m.last[s]; ok {
		m.recent.MoveToFront(el)
		return el.Value.(*report)
	}
	r := &report{source: s}
	m.last[s] = m.recent.PushFront(r)
	if m.recent.Len() > m.cfg.MaxSources {
		oldest := m.recent.Back()
		m.recent.Remove(oldest)
		delete(m.last, oldest.Value.(*report).source)
	}
	return r
}

func (c Counts) addedTo(total Counts) Counts {
	total.OK += c.OK
	total.Failed += c.Failed
	total.Rated += c.Rated
	total.RatingSum += c.RatingSum
	total.RatingSquareSum += c.RatingSquareSum
	total.Timed += c.Timed
	total.SpeedSum += c.SpeedSum
	total.SpeedSquareSum += c.SpeedSquareSum
	total.Slow += c.Slow
	return total
}

func (c Counts) ratings() ratings {
	return ratings{n: float64(c.Rated), sum: c.RatingSum, squares: c.RatingSquareSum}
}

func (t *trial) add(at time.Time, c Counts) {
	t.outcomeAt = at
	t.inspected = false
	t.ok += c.OK
	t.failed += c.Failed
	ratio := float64(c.Failed)*failedRatio + float64(c.OK)*okRatio
	t.failures.add(float64(c.OK+c.Failed), ratio)
	t.logRatio += ratio
	t.rated = t.rated.plus(c.ratings())
	t.speeds = t.speeds.plus(c.speeds())
	t.pending = t.pending.plus(c.ratings())
}

// testRatings compares the pending ratings with the stable version's.
func (t *trial) testRatings(stable ratings) {
	if t.pending.n == 0 || stable.n < minStableRated {
		return
	}
	t.ratings.add(t.pending, stable.leastMean(), stable.mean())
	t.pending = ratings{}
}

func (m *Machine) decideAll(at time.Time) []jdaw.Action {
	var actions []jdaw.Action
	for _, t := range m.trials {
		actions = append(actions, m.decide(at, t)...)
	}
	return actions
}

// decide emits the suspension of a bad version and the proposal to raise the
// share of a healthy one, if this VM is the evaluator.
func (m *Machine) decide(at time.Time, t *trial) []jdaw.Action {
	if t.withdrawn || t.requested != nil || !m.isEvaluator(t) {
		return nil
	}
	if reason := m.suspensionReason(t); reason != "" {
		return t.suspend(at, reason)
	}
	if t.logRatio > healthyLog || t.raised || t.watch.Rollout.State != config.RolloutRunning {
		return nil
	}
	t.raised = true
	return []jdaw.Action{Proposal{Version: t.watch.Version, Kind: ProposeRaise, Text: fmt.Sprintf(
		"%s has answered %d requests and failed %d; its share of %g %% may be raised.",
		t.watch.Version, t.ok, t.failed, t.watch.Rollout.SharePercent)}}
}

// reviewCompletion suspends a version that is about to complete if it seems
// slower, and holds one with too few timed answers while its service has others.
// Completion cannot be undone, so less evidence is enough for a suspension than
// earlier.
func (m *Machine) reviewCompletion(at time.Time, v jdaw.ModelVersion) []jdaw.Action {
	t := m.trialOf(v)
	if t == nil || t.withdrawn || t.requested != nil || !m.isEvaluator(t) {
		return nil
	}
	stable := m.totals[t.watch.Stable].speeds()
	switch {
	case t.speeds.n < minReviewTimed && stable.n >= minTimed:
		return []jdaw.Action{Hold{Version: v}}
	case !seemsSlower(t.speeds, stable):
		return nil
	}
	return t.suspend(at, t.speedReport(stable)+", and would complete now.")
}

// speedReport describes the speeds of the version and the stable one.
func (t *trial) speedReport(stable speeds) string {
	return fmt.Sprintf("%s has a mean speed of %.2f with %d of %d answers slow, %s one of %.2f with %d of %d",
		t.watch.Version, t.speeds.mean(), int(t.speeds.slow), int(t.speeds.n),
		t.watch.Stable, stable.mean(), int(stable.slow), int(stable.n))
}

func (t *trial) suspend(at time.Time, reason string) []jdaw.Action {
	t.requested = &jdaw.Suspension{
		ID:       operator + "-" + t.watch.Version.String() + "-" + strconv.FormatInt(at.UnixNano(), 36),
		Kind:     jdaw.SuspendVersion,
		Name:     t.watch.Version.String(),
		Operator: operator,
		Reason:   reason,
		At:       at,
	}
	t.requestedAt = at
	return []jdaw.Action{Suspend{Suspension: *t.requested}}
}

// resend requests again, under the same id, a suspension that did not take
// effect.
func (t *trial) resend(at time.Time) []jdaw.Action {
	if t.requested == nil || t.withdrawn || at.Sub(t.requestedAt) < resendInterval {
		return nil
	}
	t.requestedAt = at
	return []jdaw.Action{Suspend{Suspension: *t.requested}}
}

// suspensionReason returns the reason to suspend the version; empty if none.
func (m *Machine) suspensionReason(t *trial) string {
	regions := float64(m.regions())
	if t.failures.log() >= -math.Log(failureAlarmRate/regions) {
		return fmt.Sprintf("%s failed %d of %d requests, more than a sound version that fails at most %g %%.",
			t.watch.Version, t.failed, t.ok+t.failed, soundFailureRate*100)
	}
	if stable := m.totals[t.watch.Stable].speeds(); isSlower(t.speeds, stable) {
		return t.speedReport(stable) + "."
	}
	if t.ratings.log() >= -math.Log(ratingAlarmRate/regions) {
		stable := m.totals[t.watch.Stable].ratings()
		return fmt.Sprintf("%s is rated %.3f over %d ratings, below the %.3f of %s over %d ratings.",
			t.watch.Version, t.rated.mean(), int(t.rated.n), stable.mean(), t.watch.Stable, int(stable.n))
	}
	return ""
}

// regions returns the number of regions, each of which evaluates on its own with
// its share of the false-alarm rate.
func (m *Machine) regions() int {
	seen := map[jdaw.Region]bool{}
	for _, dc := range m.snap.Doc.DataCentres {
		seen[dc.Region] = true
	}
	return max(len(seen), 1)
}

func (m *Machine) evaluatorOf(t *trial) (jdaw.VMID, bool) {
	if m.view == nil {
		return "", false
	}
	self, _ := m.view.Member(m.view.Self)
	evaluator, ok := Evaluator(m.view, m.snap, self.Region, t.watch.Version)
	return evaluator.VM, ok
}

// isEvaluator is false on an isolated VM: its view has no other members, and the
// other VMs have chosen another evaluator.
func (m *Machine) isEvaluator(t *trial) bool {
	evaluator, ok := m.evaluatorOf(t)
	return ok && evaluator == m.view.Self && !m.view.Isolated
}
