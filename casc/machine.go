package casc

import (
	"container/list"
	"math"
	"strconv"
	"time"

	"jackdawbarrow"
)

// Defaults of MachineConfig.
const (
	// defaultMaxKeys limits the memory to about 2 MB.
	defaultMaxKeys  = 2048
	defaultHalfLife = 6 * time.Hour
	// defaultWindow is the largest weight of a key in observations.
	defaultWindow  = 400
	defaultPublish = time.Second
	// defaultDownAfter consecutive unrated answers count as an outage: with 30 %
	// of the ratings missing at random this happens once in 10^10 answers.
	defaultDownAfter = 20
)

// ratedWindow is the number of answers over which the share of rated ones is
// averaged.
const ratedWindow = 100

// Outcome is the event of a finished cascade step.
type Outcome struct {
	jdaw.StepOutcome
}

// EventName implements [jdaw.Event].
func (Outcome) EventName() string { return "stepOutcome" }

// Publish is the action that replaces the snapshot.
type Publish struct {
	Snapshot *Snapshot
}

// ActionName implements [jdaw.Action].
func (Publish) ActionName() string { return "publishEstimates" }

// ActionFields returns the key fields for a log of actions.
func (p Publish) ActionFields() map[string]string {
	return map[string]string{
		"keys":       strconv.Itoa(p.Snapshot.Len()),
		"ratedShare": strconv.FormatFloat(p.Snapshot.RatedShare, 'f', 4, 64),
		"digest":     strconv.FormatUint(p.Snapshot.Digest(), 16),
	}
}

// MachineConfig configures a Machine. Zero values take the defaults.
type MachineConfig struct {
	MaxKeys   int           // least recently used keys above it are evicted
	HalfLife  time.Duration // of an observation's weight
	Window    float64       // largest weight of a key, in observations
	Publish   time.Duration // shortest time between two snapshots
	DownAfter int           // consecutive unrated answers that count as an outage
}

// Machine learns the estimates. It implements [jdaw.Machine].
type Machine struct {
	cfg         MachineConfig
	keys        map[Key]*list.Element // of *learned
	recent      *list.List            // most recently used first
	ratedShare  float64
	unrated     int // consecutive
	dirty       bool
	publishedAt time.Time
}

// keyState is the state of one key.
type keyState struct {
	key      Key
	evidence Evidence
	latency  sketch
	at       time.Time
	// published is the copy in the last snapshot; nil after a change.
	published *Evidence
}

// NewMachine returns a machine without observations.
func NewMachine(cfg MachineConfig) *Machine {
	if cfg.MaxKeys == 0 {
		cfg.MaxKeys = defaultMaxKeys
	}
	if cfg.HalfLife == 0 {
		cfg.HalfLife = defaultHalfLife
	}
	if cfg.Window == 0 {
		cfg.Window = defaultWindow
	}
	if cfg.Publish == 0 {
		cfg.Publish = defaultPublish
	}
	if cfg.DownAfter == 0 {
		cfg.DownAfter = defaultDownAfter
	}
	return &Machine{cfg: cfg, keys: map[Key]*list.Element{}, recent: list.New(), ratedShare: 1}
}

// Handle implements [jdaw.Machine].
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case Outcome:
		m.learn(at, ev.StepOutcome)
	case jdaw.Tick:
		return m.publish(at)
	}
	return nil
}

func (m *Machine) learn(at time.Time, o jdaw.StepOutcome) {
	m.dirty = true
	m.countRated(o.Rated)
	narrow := Key{Workspace: o.Workspace, Task: o.Task, Model: o.Model}
	levels := narrow.widen()
	seen := Key{}
	for _, k := range levels {
		// Without a workspace or a task two levels are the same key, which
		// must count the outcome once.
		if k != seen {
			m.entry(k, at).add(at, o, m.cfg)
		}
		seen = k
	}
	m.entry(narrow.acrossModels(), at).add(at, o, m.cfg)
}

// countRated keeps the share of rated answers. One rating ends an outage.
func (m *Machine) countRated(rated bool) {
	value := 0.0
	m.unrated++
	if rated {
		value = 1
		m.unrated = 0
	}
	m.ratedShare += (value - m.ratedShare) / ratedWindow
}

func (m *Machine) entry(k Key, at time.Time) *keyState {
	if el, ok := m.keys[k]; ok {
		m.recent.MoveToFront(el)
		return el.Value.(*keyState)
	}
	e := &keyState{key: k, at: at}
	m.keys[k] = m.recent.PushFront(e)
	if m.recent.Len() > m.cfg.MaxKeys {
		oldest := m.recent.Back()
		m.recent.Remove(oldest)
		delete(m.keys, oldest.Value.(*keyState).key)
	}
	return e
}

// add counts one step. A step without a rating in time updates the tokens and
// the latency but not the acceptance.
func (e *keyState) add(at time.Time, o jdaw.StepOutcome, cfg MachineConfig) {
	e.decay(at, cfg)
	e.published = nil
	if o.Rated {
		e.addRating(o)
	}
	if o.Tokens > 0 {
		e.evidence.Steps++
		e.evidence.Tokens += float64(o.Tokens)
	}
	e.addDuration(at, o)
}

func (e *keyState) addDuration(at time.Time, o jdaw.StepOutcome) {
	d := o.Duration
	if e.key.isWholeModel() && o.Tokens > 0 {
		d = time.Duration(float64(d) * 1000 / float64(o.Tokens))
	}
	if d <= 0 {
		return
	}
	e.latency.add(d)
	e.evidence.MeasuredAt = at
}

func (e *keyState) addRating(o jdaw.StepOutcome) {
	accepted := 0.0
	if o.Accepted {
		accepted = 1
	}
	if o.Escalated {
		e.evidence.EscalatedRated++
		e.evidence.EscalatedAccepted += accepted
		return
	}
	e.evidence.Rated++
	e.evidence.Accepted += accepted
}

// decay reduces the weight of observations by age and limits the total weight, so
// that a key with much traffic follows a change as well.
func (e *keyState) decay(at time.Time, cfg MachineConfig) {
	f := 1.0
	if age := at.Sub(e.at); age > 0 {
		f = math.Exp2(-age.Seconds() / cfg.HalfLife.Seconds())
		e.at = at
	}
	ev := &e.evidence
	first := f * bound(ev.Rated, cfg.Window)
	ev.Rated *= first
	ev.Accepted *= first
	escalated := f * bound(ev.EscalatedRated, cfg.Window)
	ev.EscalatedRated *= escalated
	ev.EscalatedAccepted *= escalated
	steps := f * bound(ev.Steps, cfg.Window)
	ev.Steps *= steps
	ev.Tokens *= steps
}

// bound returns the factor that keeps n observations within the window after
// one more.
func bound(n, window float64) float64 {
	if n+1 <= window {
		return 1
	}
	return (window - 1) / n
}

func (m *Machine) publish(at time.Time) []jdaw.Action {
	if !m.dirty || at.Sub(m.publishedAt) < m.cfg.Publish {
		return nil
	}
	m.dirty = false
	m.publishedAt = at
	s := &Snapshot{RatedShare: m.ratedShare, At: at, evidence: make(map[Key]*Evidence, len(m.keys))}
	if m.unrated >= m.cfg.DownAfter {
		s.RatedShare = 0
	}
	for el := m.recent.Front(); el != nil; el = el.Next() {
		e := el.Value.(*keyState)
		s.evidence[e.key] = e.copy()
	}
	return []jdaw.Action{Publish{Snapshot: s}}
}

// copy returns the evidence as an immutable value; unchanged keys share it
// between snapshots.
func (e *keyState) copy() *Evidence {
	if e.published == nil {
		ev := e.evidence
		ev.Durations = e.latency.total
		ev.Latency = e.latency.quantiles()
		e.published = &ev
	}
	return e.published
}
