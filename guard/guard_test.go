package guard_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
)

var (
	start     = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	stable    = jdaw.ModelVersion{Model: "shuck-small", Version: "v1"}
	candidate = jdaw.ModelVersion{Model: "shuck-small", Version: "v2"}
	oban      = jdaw.PoolID{Kind: "shuck-lm", DataCentre: "oban"}
)

func document() config.Document {
	return config.Document{
		Revision: 1,
		DataCentres: []config.DataCentre{
			{Name: "oban", Region: "scot-west"}, {Name: "largs", Region: "scot-west"}, {Name: "stranraer", Region: "scot-west"},
		},
		Models: []config.Model{{Name: "shuck-small", Kind: "shuck-lm", Versions: []config.Version{
			{Name: "v1", State: config.VersionActive}, {Name: "v2", State: config.VersionRollout},
		}}},
		Rollouts: []config.Rollout{{Model: "shuck-small", Version: "v2", SharePercent: 10, State: config.RolloutRunning, StartedAt: start}},
	}
}

func adopted(doc config.Document, suspensions ...jdaw.Suspension) config.Adopted {
	return config.Adopted{Snapshot: config.NewSnapshot(doc, suspensions)}
}

// view lists VMs in one region; the first is this process.
func view(vms ...jdaw.VMID) jdaw.ViewChanged {
	v := &jdaw.View{Self: vms[0]}
	for _, vm := range vms {
		v.Members = append(v.Members, jdaw.Member{VM: vm, Region: "scot-west", State: jdaw.MemberAlive})
	}
	return jdaw.ViewChanged{View: v}
}

// evaluating returns a machine that is the evaluator.
func evaluating() *guard.Machine {
	m := guard.NewMachine(guard.MachineConfig{})
	m.Handle(start, adopted(document()))
	m.Handle(start, view("vm1"))
	return m
}

func counts(v jdaw.ModelVersion, inc jdaw.Incarnation, ok, failed, rated uint64, mean float64) guard.Counts {
	return guard.Counts{
		Version: v, Pool: oban, OwnerIncarnation: inc, OK: ok, Failed: failed,
		Rated: rated, RatingSum: float64(rated) * mean, RatingSquareSum: float64(rated) * (mean*mean + 0.01),
	}
}

func suspensions(actions []jdaw.Action) []jdaw.Suspension {
	var out []jdaw.Suspension
	for _, a := range actions {
		if s, ok := a.(guard.Suspend); ok {
			out = append(out, s.Suspension)
		}
	}
	return out
}

func TestDecision(t *testing.T) {
	tests := map[string]struct {
		guards string
		events []jdaw.Event
		want   string // in the reason; empty: no suspension
	}{
		"half the requests fail": {"leaving a bad version in service", []jdaw.Event{counts(candidate, "a", 6, 6, 0, 0)}, "shuck-small@v2 failed 6 of 12 requests"},
		"two early failures":     {"suspending a healthy version for two failures", []jdaw.Event{counts(candidate, "a", 10, 2, 0, 0)}, ""},
		"two percent fail":       {"suspending a version at the tolerated rate", []jdaw.Event{counts(candidate, "a", 980, 20, 0, 0)}, ""},
		"repeated report": {"counting a repeated report twice", []jdaw.Event{
			counts(candidate, "a", 4, 2, 0, 0), counts(candidate, "a", 4, 2, 0, 0), counts(candidate, "a", 4, 2, 0, 0), counts(candidate, "a", 4, 2, 0, 0),
		}, ""},
		"overtaken report": {"counting an old report as new", []jdaw.Event{
			counts(candidate, "a", 10, 2, 0, 0), counts(candidate, "a", 4, 1, 0, 0), counts(candidate, "a", 10, 2, 0, 0), counts(candidate, "a", 4, 1, 0, 0),
		}, ""},
		"new owner": {"losing the counts of the old owner", []jdaw.Event{
			counts(candidate, "a", 4, 2, 0, 0), counts(candidate, "b", 4, 2, 0, 0),
		}, "failed 4 of 12 requests"},
		"turns bad late": {"good requests that hide later failures", []jdaw.Event{
			counts(candidate, "a", 2000, 10, 0, 0), counts(candidate, "a", 2015, 25, 0, 0),
		}, "failed 25 of 2040 requests"},
		"lower rating": {"leaving a version with a lower rating in service", []jdaw.Event{
			counts(stable, "a", 900, 0, 900, 0.83), counts(candidate, "a", 250, 0, 250, 0.73),
		}, "shuck-small@v2 is rated 0.730 over 250 ratings, below the 0.830 of shuck-small@v1 over 900 ratings."},
		"stable ratings come later": {"losing ratings that came before the stable version's", []jdaw.Event{
			counts(candidate, "a", 250, 0, 250, 0.73), counts(stable, "a", 900, 0, 900, 0.83),
		}, "is rated 0.730 over 250 ratings"},
		"same rating":       {"suspending a version of equal quality", []jdaw.Event{counts(stable, "a", 900, 0, 900, 0.83), counts(candidate, "a", 900, 0, 900, 0.83)}, ""},
		"too few ratings":   {"comparing with a mean over a handful of ratings", []jdaw.Event{counts(stable, "a", 20, 0, 20, 0.9), counts(candidate, "a", 500, 0, 500, 0.6)}, ""},
		"impossible sums":   {"one wrong report that suspends a version", []jdaw.Event{counts(stable, "a", 900, 0, 900, 0.83), counts(candidate, "a", 250, 0, 250, -9)}, ""},
		"unwatched version": {"evaluating a version that is not in roll-out", []jdaw.Event{counts(jdaw.ModelVersion{Model: "x", Version: "v9"}, "a", 6, 60, 0, 0)}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := evaluating()
			var got []jdaw.Suspension
			for _, ev := range tt.events {
				got = append(got, suspensions(m.Handle(start, ev))...)
			}
			if tt.want == "" && len(got) == 0 {
				return
			}
			if len(got) != 1 || tt.want == "" || !strings.Contains(got[0].Reason, tt.want) {
				t.Fatalf("suspensions %+v, want one with %q (guards against %s)", got, tt.want, tt.guards)
			}
			if got[0].Kind != jdaw.SuspendVersion || got[0].Name != "shuck-small@v2" {
				t.Errorf("suspends %s %q", got[0].Kind, got[0].Name)
			}
		})
	}
}

// Guards against a slow version that completes automatically before its answers
// are significant, and against suspending one earlier for a few slow answers.
func TestReviewOfFewAnswers(t *testing.T) {
	speeds := func(v jdaw.ModelVersion, n int, speed float64) guard.Counts {
		c := counts(v, "a", uint64(n), 0, 0, 0)
		for i := range n {
			c = c.WithSpeed(speed + 0.2*float64(i%3-1))
		}
		return c
	}
	due := guard.CompletionDue{Version: candidate}
	cases := map[string]struct {
		events []jdaw.Event
		want   bool
	}{
		"slow":             {[]jdaw.Event{speeds(stable, 60, 0.5), speeds(candidate, 6, 0.3), due}, true},
		"slow, not due":    {[]jdaw.Event{speeds(stable, 60, 0.5), speeds(candidate, 6, 0.3)}, false},
		"as fast":          {[]jdaw.Event{speeds(stable, 60, 0.5), speeds(candidate, 6, 0.45), due}, false},
		"two answers":      {[]jdaw.Event{speeds(stable, 60, 0.5), speeds(candidate, 2, 0.3), due}, false},
		"nothing measured": {[]jdaw.Event{due}, false},
		// 2.7 standard errors: too little for a test that runs on each report,
		// enough for the single evaluation at the end.
		"slow, fourteen answers":    {[]jdaw.Event{speeds(stable, 540, 0.45), speeds(candidate, 14, 0.34), due}, true},
		"fourteen answers, not due": {[]jdaw.Event{speeds(stable, 540, 0.45), speeds(candidate, 14, 0.34)}, false},
		"little slower, many":       {[]jdaw.Event{speeds(stable, 540, 0.45), speeds(candidate, 60, 0.41), due}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := evaluating()
			var got []jdaw.Suspension
			for _, ev := range c.events {
				got = append(got, suspensions(m.Handle(start, ev))...)
			}
			if (len(got) == 1) != c.want {
				t.Errorf("suspensions %+v, want one: %v", got, c.want)
			}
		})
	}
}

// Guards against a slow version that completes because its few answers, all of them
// slow, have a mean speed near that of a busy stable version, and against a sound
// one that is taken for slow.
func TestReviewOfFewSlowAnswers(t *testing.T) {
	slowOf := func(v jdaw.ModelVersion, n, slow int, speed float64) guard.Counts {
		c := counts(v, "a", uint64(n), 0, 0, 0)
		for i := range n {
			c = c.WithSpeed(speed)
			if i < slow {
				c = c.WithSlow()
			}
		}
		return c
	}
	cases := map[string]struct {
		answers, slow int
		want          bool // suspended
	}{
		"all of seven":  {7, 7, true},
		"six of seven":  {7, 6, true},
		"all of five":   {5, 5, true},
		"all of three":  {3, 3, false},
		"four of seven": {7, 4, false},
		"none of seven": {7, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := evaluating()
			m.Handle(start, slowOf(stable, 356, 112, 0.445))
			m.Handle(start, slowOf(candidate, c.answers, c.slow, 0.319))
			got := suspensions(m.Handle(start, guard.CompletionDue{Version: candidate}))
			if (len(got) == 1) != c.want {
				t.Errorf("suspensions %+v, want one: %v", got, c.want)
			}
		})
	}
}

// Guards against a version that completes although hardly anything is known of it,
// and against one that is held because its service has no requests.
func TestCompletionNeedsAnswers(t *testing.T) {
	speeds := func(v jdaw.ModelVersion, n int) guard.Counts {
		c := counts(v, "a", uint64(n), 0, 0, 0)
		for range n {
			c = c.WithSpeed(0.5)
		}
		return c
	}
	cases := map[string]struct {
		stable, candidate int
		want              bool // held
	}{
		"none":                   {60, 0, true},
		"two":                    {60, 2, true},
		"three":                  {60, 3, false},
		"no answers at all":      {0, 0, false},
		"few of either version":  {7, 2, false},
		"none of the stable one": {0, 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := evaluating()
			m.Handle(start, speeds(stable, c.stable))
			m.Handle(start, speeds(candidate, c.candidate))
			isHeld := false
			for _, a := range m.Handle(start, guard.CompletionDue{Version: candidate}) {
				h, ok := a.(guard.Hold)
				isHeld = ok && h.Version == candidate
			}
			if isHeld != c.want {
				t.Errorf("held: %v, want %v", isHeld, c.want)
			}
		})
	}
}

// Exactly one VM must decide, and the next evaluator must decide from one report
// per owner, or no VM evaluates a version whose evaluator fails.
func TestJudgeChange(t *testing.T) {
	vms := []jdaw.VMID{"vm1", "vm2", "vm3"}
	v := view(vms...).View
	evaluator, ok := guard.Evaluator(v, config.NewSnapshot(document(), nil), "scot-west", candidate)
	if !ok {
		t.Fatal("no evaluator among three serving VMs")
	}
	for _, vm := range vms {
		mine := *v
		mine.Self = vm
		m := guard.NewMachine(guard.MachineConfig{})
		m.Handle(start, adopted(document()))
		m.Handle(start, jdaw.ViewChanged{View: &mine})
		got := suspensions(m.Handle(start, counts(candidate, "a", 6, 6, 0, 0)))
		if (len(got) == 1) != (vm == evaluator.VM) {
			t.Errorf("%s emits %d suspensions, the evaluator is %s", vm, len(got), evaluator.VM)
		}
		if vm == evaluator.VM {
			continue
		}
		mine.Isolated = true
		if got := suspensions(m.Handle(start, view(vm))); len(got) != 1 {
			t.Errorf("%s emits %d suspensions after it became the evaluator, want 1", vm, len(got))
		}
	}
}

// An isolated VM has only itself in its view and would decide on partial counts.
func TestIsolatedVMDoesNotJudge(t *testing.T) {
	m := evaluating()
	v := view("vm1")
	v.View.Isolated = true
	m.Handle(start, v)
	if got := suspensions(m.Handle(start, counts(candidate, "a", 6, 6, 0, 0))); len(got) != 0 {
		t.Errorf("emits %+v", got)
	}
}

// A lost suspension must be requested again under the same id, and one that an
// operator lifted must not be repeated because of the earlier counts.
func TestSuspensionRepeatedAndLifted(t *testing.T) {
	m := evaluating()
	first := suspensions(m.Handle(start, counts(candidate, "a", 6, 6, 0, 0)))
	again := suspensions(m.Handle(start.Add(6*time.Second), jdaw.Tick{}))
	if !reflect.DeepEqual(first, again) {
		t.Fatalf("requests again %+v, want %+v", again, first)
	}
	m.Handle(start, adopted(document(), first...))
	if got := suspensions(m.Handle(start.Add(time.Minute), jdaw.Tick{})); len(got) != 0 {
		t.Errorf("requests again although in force: %+v", got)
	}
	lifted := document()
	lifted.ResolvedSuspensions = []string{first[0].ID}
	m.Handle(start.Add(time.Minute), adopted(lifted, first...))
	if got := suspensions(m.Handle(start.Add(time.Minute), counts(candidate, "a", 30, 6, 0, 0))); len(got) != 0 {
		t.Errorf("suspends a lifted version on old counts: %+v", got)
	}
	got := suspensions(m.Handle(start.Add(time.Minute), counts(candidate, "a", 36, 18, 0, 0)))
	if len(got) != 1 || got[0].ID == first[0].ID {
		t.Errorf("a lifted version that fails again gives %+v, want a suspension with a new id", got)
	}
}

func TestStatus(t *testing.T) {
	halted := document()
	halted.Rollouts[0].State = config.RolloutHalted
	tests := map[string]struct {
		guards string
		events []jdaw.Event
		after  time.Duration
		want   guard.State
		text   string
	}{
		"few outcomes":    {"reporting a version as healthy too early", []jdaw.Event{counts(candidate, "a", 5, 0, 0, 0)}, time.Minute, guard.StateTesting, "more are needed"},
		"many good":       {"an operator who waits for a decision that is made", []jdaw.Event{counts(candidate, "a", 60, 0, 0, 0)}, time.Minute, guard.StateHealthy, "answered 60"},
		"no outcomes":     {"a roll-out without traffic that nobody notices", nil, 20 * time.Minute, guard.StateStalled, "running at 10 % and has had no outcomes for 20m0s"},
		"halted":          {"a halted roll-out that is forgotten", []jdaw.Event{adopted(halted)}, 20 * time.Minute, guard.StateStalled, "halted at 10 % for 20m0s"},
		"other evaluator": {"two VMs that show different states", []jdaw.Event{view("vm9", "vm1", "vm2", "vm3", "vm4")}, time.Minute, guard.StateElsewhere, "evaluated by VM"},
		"half have fail":  {"a suspended version shown as running", []jdaw.Event{counts(candidate, "a", 6, 6, 0, 0)}, time.Minute, guard.StateSuspended, "no new work"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := evaluating()
			for _, ev := range tt.events {
				m.Handle(start, ev)
			}
			for _, a := range m.Handle(start.Add(tt.after), jdaw.Tick{}) {
				if p, ok := a.(guard.Publish); ok {
					if s := p.Statuses[0]; s.State != tt.want || !strings.Contains(s.Text, tt.text) {
						t.Errorf("status %s, %q, want %s with %q (guards against %s)", s.State, s.Text, tt.want, tt.text, tt.guards)
					}
					return
				}
			}
			t.Error("no status published")
		})
	}
}

func TestAllowance(t *testing.T) {
	tests := map[string]struct {
		guards string
		a      guard.Allowance
		want   int
	}{
		"start, one pool":      {"many requests before the first outcome", guard.Allowance{Pools: 1}, 8},
		"start, three pools":   {"pools that allow 8 each", guard.Allowance{Pools: 3}, 2},
		"more pools than 8":    {"a pool that never contributes outcomes", guard.Allowance{Pools: 20}, 1},
		"20 good":              {"a roll-out that never gets faster", guard.Allowance{Pools: 1, OK: 20}, 16},
		"20 good, half failed": {"growth on the good half of a bad version", guard.Allowance{Pools: 1, OK: 20, Failed: 20}, 8},
		"proven":               {"a limit on a proven version", guard.Allowance{Pools: 3, OK: 6000}, guard.Unlimited},
		"no pools known":       {"a division by zero", guard.Allowance{}, 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.a.Limit(); got != tt.want {
				t.Errorf("limit %d, want %d (guards against %s)", got, tt.want, tt.guards)
			}
		})
	}
}

// Counts must survive JSON encoding, or traces lose them.
func TestCountsEncodeToJSON(t *testing.T) {
	want := counts(candidate, "a", 5, 1, 4, 0.5)
	b, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got guard.Counts
	if err := json.Unmarshal(b, &got); err != nil || got != want {
		t.Errorf("read back %+v, %v, want %+v", got, err, want)
	}
}

// Guards against counts of an earlier roll-out from an owner that has not adopted
// the restart yet: they would suspend the version at once.
func TestCountsOfAnEarlierStartAreIgnored(t *testing.T) {
	doc := document()
	doc.Revision = 7
	doc.Rollouts[0].StartedAt = start.Add(time.Hour)
	m := evaluating()
	m.Handle(start, adopted(doc))
	old := counts(candidate, "a", 6, 6, 0, 0)
	old.Revision = 6
	if got := suspensions(m.Handle(start, old)); len(got) != 0 {
		t.Errorf("suspended for old counts: %+v", got)
	}
	old.Revision = 7
	if got := suspensions(m.Handle(start, old)); len(got) != 1 {
		t.Errorf("%d suspensions for counts of the new revision, want 1", len(got))
	}
}
