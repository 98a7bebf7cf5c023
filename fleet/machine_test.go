package fleet

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
)

var start = time.Unix(1000, 0)

const service = "drafts"

func newTestMachine(self jdaw.VMID, vms ...jdaw.VMID) *Machine {
	m := NewMachine(MachineConfig{Self: self, Region: "west", DataCentres: map[jdaw.DataCentre]jdaw.Region{"oban": "west", "largs": "west"}})
	m.Handle(start, Reloading{})
	m.Handle(start, RoutesSeen{Table: table(7)})
	for _, vm := range vms {
		m.Handle(start, MemberSeen{Member: Member{VM: vm, Region: "west", DataCentre: "oban", Address: string(vm)}})
	}
	return m
}

func table(revision jdaw.Revision) *config.RouteTable {
	return &config.RouteTable{Revision: revision, Services: map[string]config.ServiceSpec{
		service: {Name: service, ColdTime: 3 * time.Second, ColdRate: 7},
	}}
}

func seen(id jdaw.UpstreamID, version string, revision uint64) UpstreamSeen {
	return UpstreamSeen{Upstream: Upstream{ID: id, Service: service, Version: version, DataCentre: "largs", Address: "a", Revision: revision}}
}

func lastState(actions []jdaw.Action) *State {
	var st *State
	for _, a := range actions {
		if p, ok := a.(Publish); ok {
			st = p.State
		}
	}
	return st
}

// Guards against a VM that goes back to older routes when a read is answered
// after a newer change.
func TestRoutesNeverGoBack(t *testing.T) {
	m := newTestMachine("a", "a")
	m.Handle(start, RoutesSeen{Table: table(9)})
	m.Handle(start, RoutesSeen{Table: table(8)})
	st := lastState(m.Handle(start, Synced{Reloaded: true}))
	if st.Table.Revision != 9 {
		t.Errorf("revision %d is in force, want 9", st.Table.Revision)
	}
}

// Guards against losing every upstream when their entries expired in a store
// outage, and against keeping one that left while there was none.
func TestLapsedUpstreams(t *testing.T) {
	cases := map[string]struct {
		outage time.Duration
		after  time.Duration
		want   int
	}{
		"kept just after an outage":    {outage: 5 * time.Second, after: time.Second, want: 1},
		"gone when it does not return": {outage: 5 * time.Second, after: 2 * time.Second, want: 0},
		"gone at once without outage":  {outage: 0, after: 0, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newTestMachine("a", "a")
			m.Handle(start, seen("u1", "v1", 5))
			m.Handle(start, Synced{Reloaded: true})
			m.Handle(start, Reloading{Outage: c.outage})
			st := lastState(m.Handle(start, Synced{Reloaded: true}))
			if later := lastState(m.Handle(start.Add(c.after), jdaw.Tick{})); later != nil {
				st = later
			}
			if got := len(st.Upstreams[service]); got != c.want {
				t.Errorf("%d upstreams, want %d", got, c.want)
			}
		})
	}
}

// Guards against a full load for the upstreams of a data centre that was out
// and against forgetting that a restarted upstream is cold.
func TestColdUpstreams(t *testing.T) {
	m := newTestMachine("a", "a")
	m.Handle(start, seen("u1", "v1", 5))
	m.Handle(start, Synced{Reloaded: true})
	m.Handle(start, DataCentreOrdered{DataCentre: "largs", Out: true})
	m.Handle(start, DataCentreOrdered{DataCentre: "largs", Out: false})
	st := lastState(m.Handle(start, Synced{}))
	if u := st.Upstreams[service][0]; !u.IsCold(start.Add(2900*time.Millisecond)) || u.IsCold(start.Add(3100*time.Millisecond)) {
		t.Errorf("cold until %v after the return, want 3 s", u.ColdUntil.Sub(start))
	}
	restarted := seen("u1", "v1", 6)
	restarted.Upstream.Born, restarted.Upstream.Cold = 77, 5*time.Second
	m.Handle(start, restarted)
	st = lastState(m.Handle(start, Synced{}))
	if u := st.Upstreams[service][0]; !u.IsCold(start.Add(5 * time.Second)) {
		t.Error("a restarted upstream is not cold")
	}
}

// Guards against one entry of another writer that makes its version the only one
// of the service.
func TestBaseline(t *testing.T) {
	leaving := func(ev UpstreamSeen) UpstreamSeen {
		ev.Upstream.Leaving = true
		return ev
	}
	cases := map[string]struct {
		read  []UpstreamSeen // of the full read, one millisecond each
		later []UpstreamSeen
		want  string
	}{
		"an odd entry that is read first": {
			read: []UpstreamSeen{seen("a", "v0", 9), seen("u1", "v1", 5), seen("u2", "v1", 6)}, want: "v1",
		},
		"an odd entry that was written first": {
			read: []UpstreamSeen{seen("a", "v0", 1), seen("u1", "v1", 5), seen("u2", "v1", 6)}, want: "v1",
		},
		"an odd entry that was seen long before": {
			read: []UpstreamSeen{seen("a", "v0", 1)}, later: []UpstreamSeen{seen("u1", "v1", 5), seen("u2", "v1", 6)}, want: "v1",
		},
		"of one each, the one written first": {
			read: []UpstreamSeen{seen("a", "v0", 9), seen("u1", "v1", 5)}, want: "v1",
		},
		"of one each, the one seen first": {
			read: []UpstreamSeen{seen("u1", "v1", 8)}, later: []UpstreamSeen{seen("u2", "v2", 9)}, want: "v1",
		},
		"upstreams that leave don't count": {
			read: []UpstreamSeen{leaving(seen("u2", "v2", 5)), leaving(seen("u3", "v2", 6)), seen("u1", "v1", 7)}, want: "v1",
		},
		"unless all leave": {
			read: []UpstreamSeen{leaving(seen("u1", "v1", 7))}, want: "v1",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newTestMachine("a", "a")
			at := start
			for _, ev := range c.read {
				at = at.Add(time.Millisecond)
				m.Handle(at, ev)
			}
			st := lastState(m.Handle(at, Synced{Reloaded: true}))
			for _, ev := range c.later {
				at = at.Add(time.Second)
				m.Handle(at, ev)
				st = lastState(m.Handle(at, Synced{}))
			}
			if got := st.Baseline[service]; got != c.want {
				t.Errorf("the service runs on %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a trial of a roll-out that starts again since an entry of another
// writer takes the place of the stable version.
func TestStableVersionBesideAnOddEntry(t *testing.T) {
	m := rolloutMachine("a")
	m.Handle(start, seen("u3", "v1", 11))
	m.Handle(start, seen("odd", "v0", 12))
	for range 50 {
		st := lastState(m.Handle(start, Synced{}))
		if st == nil {
			m.dirty = true
			continue
		}
		if got := m.stableVersion(st.Rollouts[service]); got != "v1" {
			t.Fatalf("the stable version is %s, want v1", got)
		}
		m.dirty = true
	}
}

// Guards against a trial of a roll-out that starts again, and against one that ends
// against an odd entry's version: with few upstreams, the entry was the first one seen
// as soon as an upstream of the stable version was replaced.
func TestStableVersionWhileUpstreamsAreReplaced(t *testing.T) {
	m := rolloutMachine("a")
	stable := func() string { return m.snapshot.Doc.Models[0].Versions[0].Name }
	steps := []struct {
		name string
		do   func()
	}{
		{"the odd entry", func() { m.Handle(start, seen("odd", "v0", 12)) }},
		{"more odd entries", func() { m.Handle(start, seen("odd2", "v0", 13)) }},
		{"a new upstream", func() { m.Handle(start.Add(time.Second), seen("u3", "v1", 14)) }},
		{"the old upstream has gone", func() { m.Handle(start.Add(2*time.Second), UpstreamGone{ID: "u1"}) }},
	}
	for _, s := range steps {
		s.do()
		m.Handle(start.Add(2*time.Second), Synced{})
		if got := stable(); got != "v1" {
			t.Fatalf("after %s, the stable version is %s, want v1", s.name, got)
		}
	}
	m.Handle(start.Add(3*time.Second), UpstreamGone{ID: "u3"})
	m.Handle(start.Add(3*time.Second), Synced{})
	if got := stable(); got != "v0" {
		t.Errorf("without an upstream of v1, the stable version is %s, want v0", got)
	}
}

// rolloutMachine returns a machine with an order to roll out v2 in 20 s.
func rolloutMachine(self jdaw.VMID) *Machine {
	m := newTestMachine(self, "a", "b")
	m.Handle(start, seen("u1", "v1", 5))
	m.Handle(start, seen("u2", "v2", 6))
	m.Handle(start, RolloutOrdered{Service: service, Version: "v2", Duration: 20 * time.Second, Revision: 10})
	m.Handle(start, Synced{Reloaded: true})
	return m
}

// applyWrites feeds the evaluator's writes back as the store does, and returns
// the states written.
func applyWrites(m *Machine, at time.Time, actions []jdaw.Action) []RolloutState {
	var states []RolloutState
	for _, a := range actions {
		switch a := a.(type) {
		case WriteStep:
			m.Handle(at, a.Step)
		case WriteRollout:
			states = append(states, a.State)
			m.Handle(at, RolloutReported{Service: a.Service, Version: a.Version, State: a.State, Revision: 20})
		}
	}
	return states
}

// Guards against a roll-out that misses its deadline, that two VMs decide, or that
// moves sessions in its first half.
func TestRolloutSteps(t *testing.T) {
	machines := map[jdaw.VMID]*Machine{"a": rolloutMachine("a"), "b": rolloutMachine("b")}
	evaluators := 0
	for vm, m := range machines {
		var states []RolloutState
		halfShare := 0.0
		for d := time.Duration(0); d <= 20*time.Second; d += 250 * time.Millisecond {
			at := start.Add(d)
			states = append(states, applyWrites(m, at, m.Handle(at, jdaw.Tick{}))...)
			if d < 10*time.Second {
				halfShare = max(halfShare, m.rollouts[service].SessionShare)
			}
		}
		if halfShare > 0.02 {
			t.Errorf("%s gives the new version %g of the sessions in the first half", vm, halfShare)
		}
		if len(states) == 0 {
			continue
		}
		evaluators++
		if last := states[len(states)-1]; last != RolloutCompleted {
			t.Errorf("%s ends the roll-out as %s", vm, last)
		}
	}
	if evaluators != 1 {
		t.Errorf("%d VMs act as evaluator, want 1", evaluators)
	}
}

// Guards against a roll-out that ends after its deadline because its order
// was in the store while the VM paused between two watches.
func TestDeadlineCountsFromTheOrder(t *testing.T) {
	m := newTestMachine("a", "a")
	m.Handle(start, seen("u1", "v1", 5))
	m.Handle(start, seen("u2", "v2", 6))
	ordered := start.Add(-time.Second)
	m.Handle(start, RolloutOrdered{Service: service, Version: "v2", Duration: 20 * time.Second, Revision: 10, Lag: time.Second})
	m.Handle(start, Synced{Reloaded: true})
	for at := start; !at.After(ordered.Add(20 * time.Second)); at = at.Add(250 * time.Millisecond) {
		applyWrites(m, at, m.Handle(at, jdaw.Tick{}))
	}
	if got := m.rollouts[service].State; got != RolloutCompleted {
		t.Errorf("at the deadline the roll-out is %s", got)
	}
}

// Guards against a good version that misses its deadline because its order was
// read seconds late: on scale-1 of the users' large deployment the store's
// watches returned nothing for 3 s, half of which was taken as the order's
// age. The start times of the new version's upstreams bound it better. A clock
// step must not move the start out of the time in which the order can have
// been written.
func TestStartOfARolloutThatIsReadLate(t *testing.T) {
	const lag = 3 * time.Second
	cases := map[string]struct {
		ages       []time.Duration // of the upstreams of the new version
		seenBefore bool            // than the order
		want       time.Duration   // age of the order
	}{
		"no upstream yet":             {nil, false, lag / 2},
		"upstreams after the order":   {[]time.Duration{2 * time.Second, 2400 * time.Millisecond, time.Second}, false, 2700 * time.Millisecond},
		"upstreams before it":         {[]time.Duration{2400 * time.Millisecond}, true, 2700 * time.Millisecond},
		"one that ran before":         {[]time.Duration{time.Minute}, false, lag / 2},
		"this VM's clock is too fast": {[]time.Duration{2*time.Second + time.Minute}, false, lag / 2},
		"this VM's clock is too slow": {[]time.Duration{2*time.Second - time.Minute}, false, lag / 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newTestMachine("a", "a")
			m.Handle(start, seen("u1", "v1", 5))
			order := RolloutOrdered{Service: service, Version: "v2", Duration: 20 * time.Second, Revision: 10, Lag: lag}
			if !c.seenBefore {
				m.Handle(start, order)
			}
			for i, age := range c.ages {
				u := seen(jdaw.UpstreamID(fmt.Sprint("n", i)), "v2", uint64(11+i))
				u.Upstream.Born = start.Add(-age).UnixMilli()
				m.Handle(start, u)
			}
			if c.seenBefore {
				m.Handle(start, order)
			}
			if got := start.Sub(m.rollouts[service].StartedAt); got.Round(time.Millisecond) != c.want {
				t.Errorf("the order is taken to be %s old, want %s", got, c.want)
			}
		})
	}
}

// Guards against a bad version whose fault does not show and that gets more
// than the exposure that is allowed until the deadline.
func TestExposureOfAnUndetectedVersion(t *testing.T) {
	cases := map[string]struct {
		duration time.Duration
		allowed  float64
	}{
		"24 s":        {24 * time.Second, 0.15},
		"26 s":        {26 * time.Second, 0.15},
		"24 s, tight": {24 * time.Second, 0.12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := rolloutMachine("a")
			if _, isEvaluator := m.rollouts[service], m.isEvaluator(m.rollouts[service]); !isEvaluator {
				m = rolloutMachine("b")
			}
			m.rollouts[service].Duration = c.duration
			m.cfg.Exposure = c.allowed
			exposed, n := 0.0, 0
			for d := time.Duration(0); d <= c.duration; d += 250 * time.Millisecond {
				at := start.Add(d)
				applyWrites(m, at, m.Handle(at, jdaw.Tick{}))
				exposed += m.rollouts[service].SessionShare
				n++
			}
			if m.rollouts[service].State != RolloutCompleted {
				t.Errorf("the roll-out ends as %s", m.rollouts[service].State)
			}
			if share := exposed / float64(n); share > c.allowed {
				t.Errorf("the new version gets %.3f of the requests, allowed %.2f", share, c.allowed)
			}
		})
	}
}

// Guards against a version that the guard suspended and that gets requests
// again: by the order that is still in the store, by an older report, or after a restart.
func TestSuspendedVersionStaysOut(t *testing.T) {
	m := rolloutMachine("a")
	m.Handle(start, VersionSuspended{Version: jdaw.ModelVersion{Model: service, Version: "v2"}})
	m.Handle(start, RolloutReported{Service: service, Version: "v2", State: RolloutRolledBack, Revision: 30})
	m.Handle(start, RolloutOrdered{Service: service, Version: "v2", Duration: 20 * time.Second, Revision: 10})
	m.Handle(start, RolloutReported{Service: service, Version: "v2", State: RolloutRunning, Revision: 9})
	m.Handle(start, RolloutOrdered{Service: service, Removed: true})
	st := lastState(m.Handle(start, Synced{}))
	if st.WantsVersion(service, "v2", Sample{}) || !st.WantsVersion(service, "v1", Sample{}) {
		t.Error("the suspended version still gets requests")
	}

	restarted := newTestMachine("a", "a")
	restarted.Handle(start, RolloutReported{Service: service, Version: "v2", State: RolloutRolledBack, Revision: 30})
	restarted.Handle(start, RolloutOrdered{Service: service, Version: "v2", Duration: time.Second, Revision: 10})
	st = lastState(restarted.Handle(start, Synced{Reloaded: true}))
	if st.WantsVersion(service, "v2", Sample{}) {
		t.Error("the suspended version gets requests after a restart")
	}

	restarted.Handle(start, RolloutOrdered{Service: service, Version: "v2", Duration: time.Second, Revision: 40})
	st = lastState(restarted.Handle(start, Synced{}))
	if !st.WantsVersion(service, "v2", Sample{}) {
		t.Error("a new order for the version has no effect")
	}
}

// Guards against a guard that receives no roll-out, so that every bad version
// completes, and against no or two evaluators that read the counts at the
// short pause.
func TestPublishedRollout(t *testing.T) {
	evaluators := 0
	for _, vm := range []jdaw.VMID{"a", "b"} {
		m := newTestMachine(vm, "a", "b")
		m.Handle(start, seen("u1", "v1", 5))
		m.Handle(start, seen("u2", "v2", 6))
		m.Handle(start, RolloutOrdered{Service: service, Version: "v2", Duration: 20 * time.Second, Revision: 10})
		for _, a := range m.Handle(start, Synced{Reloaded: true}) {
			switch a := a.(type) {
			case Publish:
				if a.State.Rollouts[service].IsEvaluator {
					evaluators++
				}
			case config.Adopted:
				if got := guard.Canaries(a.Snapshot); len(got) != 1 || got[0].Version.Version != "v2" {
					t.Errorf("%s: the guard watches %+v", vm, got)
				}
			}
		}
	}
	if evaluators != 1 {
		t.Errorf("%d VMs evaluate the roll-out", evaluators)
	}
}

// Guards against a slow version that completes because it had too few
// responses for a decision, and against repeating the same billed write on
// each tick.
func TestReviewBeforeCompletion(t *testing.T) {
	cases := map[string]struct {
		isSuspended bool
		want        RolloutState
	}{
		"the guard has no doubt": {false, RolloutCompleted},
		"the guard suspends it":  {true, RolloutRolledBack},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := rolloutMachine("a")
			if !m.isEvaluator(m.rollouts[service]) {
				m = rolloutMachine("b")
			}
			reviews := 0
			var written []RolloutState
			var writtenAt time.Time
			// A write that is not seen is repeated, but not with each tick.
			write := func(at time.Time, states ...RolloutState) {
				for _, state := range states {
					if len(written) > 0 && state == written[len(written)-1] && at.Sub(writtenAt) >= rewriteInterval {
						writtenAt = at
						continue
					}
					written, writtenAt = append(written, state), at
				}
			}
			for d := time.Duration(0); d <= 19500*time.Millisecond; d += 250 * time.Millisecond {
				at := start.Add(d)
				for _, a := range m.Handle(at, jdaw.Tick{}) {
					switch a := a.(type) {
					case WriteStep:
						m.Handle(at, a.Step)
					case ReviewVersion:
						reviews++
						if len(written) > 1 {
							t.Error("version reviewed after the decision")
						}
						if c.isSuspended {
							write(at, statesOf(m.Handle(at, VersionSuspended{Version: a.Version}))...)
						}
					case WriteRollout:
						write(at, a.State)
					}
				}
			}
			if want := []RolloutState{RolloutRunning, c.want}; !reflect.DeepEqual(written, want) || reviews != 1 {
				t.Errorf("%d reviews, written %v, want %v", reviews, written, want)
			}
		})
	}
}

func statesOf(actions []jdaw.Action) []RolloutState {
	var states []RolloutState
	for _, a := range actions {
		if w, ok := a.(WriteRollout); ok {
			states = append(states, w.State)
		}
	}
	return states
}

// Guards against two VMs that both act as evaluator: the later write must
// depend on the earlier one.
func TestWritesDependOnTheLastReport(t *testing.T) {
	m := rolloutMachine("a")
	m.Handle(start, RolloutReported{Service: service, Version: "v2", State: RolloutRunning, Revision: 33})
	m.Handle(start, StepSeen{Service: service, Version: "v2", Order: 10, Revision: 34})
	actions := m.Handle(start, VersionSuspended{Version: jdaw.ModelVersion{Model: service, Version: "v2"}})
	w, ok := actions[len(actions)-1].(WriteRollout)
	if !ok || w.After != 33 {
		t.Errorf("got %+v, want a write after revision 33", actions)
	}
	if step := m.writeStep(m.rollouts[service], 1); step.After != 34 {
		t.Errorf("the step is written after %d, want 34", step.After)
	}
}

// Guards against requests for a version that nobody ordered yet.
func TestVersionWithoutOrder(t *testing.T) {
	m := newTestMachine("a", "a")
	m.Handle(start, seen("u2", "v2", 9))
	m.Handle(start, seen("u1", "v1", 5))
	st := lastState(m.Handle(start, Synced{Reloaded: true}))
	if st.WantsVersion(service, "v2", Sample{}) || !st.WantsVersion(service, "v1", Sample{}) {
		t.Error("the version that registered last is used without an order")
	}
}
