package spread

import (
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

func documentAt(r jdaw.Revision, resolved ...string) *config.Document {
	return &config.Document{
		Revision:            r,
		DataCentres:         []config.DataCentre{{Name: "oban", Region: "scot-west"}, {Name: "largs", Region: "scot-west"}},
		Models:              []config.Model{{Name: "m", Versions: []config.Version{{Name: "v1", State: config.VersionActive}}}},
		Rollouts:            []config.Rollout{{Model: "m", Version: "v1", State: config.RolloutRunning}},
		Upstreams:           []config.Upstream{{ID: "u1"}, {ID: "u2"}},
		ResolvedSuspensions: resolved,
	}
}

func viewOf(self string, vms ...string) *jdaw.View {
	v := &jdaw.View{Self: jdaw.VMID(self)}
	for _, vm := range vms {
		v.Members = append(v.Members, jdaw.Member{VM: jdaw.VMID(vm), DataCentre: "oban", PeerAddr: "addr-" + vm, State: jdaw.MemberAlive})
	}
	return v
}

func suspension(id string, kind jdaw.SuspensionKind, name string) jdaw.Suspension {
	return jdaw.Suspension{ID: id, Kind: kind, Name: name, Operator: "ann", Reason: "fault"}
}

// trace returns the actions of the events as text.
func trace(m *Machine, at time.Time, events ...jdaw.Event) string {
	text := ""
	for _, ev := range events {
		for _, a := range m.Handle(at, ev) {
			switch a := a.(type) {
			case config.Adopted:
				text += fmt.Sprintf("adopted %d %d; ", a.Snapshot.Revision(), len(a.Snapshot.Suspensions))
			case SendPull:
				text += "pull " + string(a.VM) + "; "
			case SendHint:
				text += fmt.Sprintf("hint %d; ", len(a.Addrs))
			case SetWatch:
				text += fmt.Sprintf("watch %v; ", a.On)
			case Fold:
				text += fmt.Sprintf("fold %d; ", len(a.Suspensions))
			case Answer:
				text += "answer; "
			default:
				text += a.ActionName() + "; "
			}
		}
	}
	return text
}

// Guards against a revision that goes back, a VM that stays behind although it
// has heard of a higher revision, and a suspension that is lost or outlives
// the change that names it.
func TestMachine(t *testing.T) {
	view := jdaw.ViewChanged{View: viewOf("a", "a", "b", "c", "d", "e", "f", "g")}
	s1 := suspension("s1", jdaw.SuspendDataCentre, "oban")
	tests := map[string]struct {
		events []jdaw.Event
		want   string
	}{
		"first document": {[]jdaw.Event{DocumentRead{Doc: documentAt(3)}}, "adopted 3 0; hint 4; "},
		"lower, equal and higher revisions": {
			[]jdaw.Event{
				DocumentRead{Doc: documentAt(3)},
				Pulled{From: "b", OK: true, Doc: documentAt(2)},
				DocumentRead{Doc: documentAt(3)},
				Pulled{From: "b", OK: true, Doc: documentAt(9)},
				DocumentRead{Doc: documentAt(8)},
			},
			"adopted 3 0; hint 4; adopted 9 0; hint 4; ",
		},
		"header of a higher revision": {
			[]jdaw.Event{DocumentRead{Doc: documentAt(3)}, jdaw.HeaderSeen{VM: "b", Revision: 2}, jdaw.HeaderSeen{VM: "b", Revision: 4}},
			"adopted 3 0; hint 4; pull b; ",
		},
		"one pull at a time from a member": {
			[]jdaw.Event{jdaw.HeaderSeen{VM: "b", Revision: 4}, jdaw.HeaderSeen{VM: "b", Revision: 5}},
			"pull b; ",
		},
		"failed pull is repeated by the tick": {
			[]jdaw.Event{DocumentRead{Doc: documentAt(3)}, jdaw.HeaderSeen{VM: "b", Revision: 4}, Pulled{From: "b"}, jdaw.Tick{}},
			"adopted 3 0; hint 4; pull b; pull b; ",
		},
		"header with other suspensions": {
			[]jdaw.Event{DocumentRead{Doc: documentAt(3)}, jdaw.HeaderSeen{VM: "b", Revision: 3, Suspensions: 77}},
			"adopted 3 0; hint 4; pull b; ",
		},
		"hint with a suspension": {
			[]jdaw.Event{DocumentRead{Doc: documentAt(3)}, HintReceived{Sender: "b", Revision: 3, Suspensions: []jdaw.Suspension{s1}}, HintReceived{Sender: "c", Revision: 3, Suspensions: []jdaw.Suspension{s1}}},
			"adopted 3 0; hint 4; adopted 3 1; hint 4; answer; answer; ",
		},
		"suspension ends with the change that names it": {
			[]jdaw.Event{DocumentRead{Doc: documentAt(3)}, HintReceived{Suspensions: []jdaw.Suspension{s1}, Revision: 3}, DocumentRead{Doc: documentAt(4, "s1")}, HintReceived{Suspensions: []jdaw.Suspension{s1}, Revision: 3}},
			"adopted 3 0; hint 4; adopted 3 1; hint 4; answer; adopted 4 0; hint 4; answer; ",
		},
		"suspension before the first document": {
			[]jdaw.Event{HintReceived{Suspensions: []jdaw.Suspension{s1}}, DocumentRead{Doc: documentAt(3)}},
			"answer; adopted 3 1; hint 4; ",
		},
		"start reads the store": {[]jdaw.Event{jdaw.ViewChanged{View: viewOf("a", "a")}, jdaw.Tick{}}, "watch true; spreadReadStore; "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine("a", 1)
			trace(m, start, view)
			if got := trace(m, start, tt.events...); got != tt.want {
				t.Fatalf("actions\n%s\nwant\n%s", got, tt.want)
			}
		})
	}
}

// Guards against a VM that never notices that it has been left out.
func TestAntiEntropy(t *testing.T) {
	m := NewMachine("a", 1)
	trace(m, start, jdaw.ViewChanged{View: viewOf("a", "a", "b")}, DocumentRead{Doc: documentAt(3)}, jdaw.Tick{})
	if got := trace(m, start.Add(1900*time.Millisecond), jdaw.Tick{}); got != "" {
		t.Fatalf("actions before 2 s: %s", got)
	}
	if got := trace(m, start.Add(2100*time.Millisecond), jdaw.Tick{}); got != "pull b; " {
		t.Fatalf("actions after 2 s without a message: %s, want a pull", got)
	}
}

// Guards against more than two watchers in a data centre.
func TestTwoWatchersPerDataCentre(t *testing.T) {
	vms := []string{"a", "b", "c", "d", "e", "f"}
	watchers := 0
	for _, vm := range vms {
		if trace(NewMachine(jdaw.VMID(vm), 1), start, jdaw.ViewChanged{View: viewOf(vm, vms...)}) == "watch true; " {
			watchers++
		}
	}
	if watchers != 2 {
		t.Fatalf("%d watchers, want 2", watchers)
	}
}

// Guards against a folded document that permits what the suspension forbade,
// and against a change of the document that was folded.
func TestFoldKeepsTheRestriction(t *testing.T) {
	tests := map[string]struct {
		s  jdaw.Suspension
		ok func(*config.Snapshot) bool
	}{
		"data centre": {suspension("s", jdaw.SuspendDataCentre, "oban"), func(s *config.Snapshot) bool { return s.IsOut("oban") && !s.IsOut("largs") }},
		"version": {suspension("s", jdaw.SuspendVersion, "m@v1"), func(s *config.Snapshot) bool {
			r, _ := s.Rollout("m")
			return s.IsWithdrawn(jdaw.ParseModelVersion("m@v1")) && r.State == config.RolloutHalted
		}},
		"upstream": {suspension("s", jdaw.SuspendUpstream, "u1"), func(s *config.Snapshot) bool { return s.IsLeaving("u1") && !s.IsLeaving("u2") }},
		"vm":       {suspension("s", jdaw.SuspendVM, "entry1"), func(s *config.Snapshot) bool { return s.IsDraining("entry1") && !s.IsDraining("entry2") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := documentAt(3)
			snap := config.NewSnapshot(foldInto(*before, tt.s, start), []jdaw.Suspension{tt.s})
			if !tt.ok(snap) {
				t.Error("the folded document does not state the restriction")
			}
			if len(snap.Suspensions) != 0 || snap.Revision() != 4 || !snap.Doc.HasChange("fold-s") {
				t.Errorf("folded document %+v, want revision 4 with the suspension resolved", snap.Doc)
			}
			if fmt.Sprint(*before) != fmt.Sprint(*documentAt(3)) {
				t.Error("the fold changed the document that is in force")
			}
		})
	}
}
