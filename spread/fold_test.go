package spread

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Guards against a suspension that reverts a change accepted after it, and
// against one that is dropped because of an earlier change or of a change of
// something else.
func TestFoldAfterAChangeOfTheSameObject(t *testing.T) {
	tests := map[string]struct {
		kind   jdaw.SuspensionKind
		name   string
		object string
		after  time.Duration // from the suspension to the change
		isOut  bool
	}{
		"data centre, later":   {jdaw.SuspendDataCentre, "oban", "dataCentre/oban", time.Millisecond, false},
		"data centre, earlier": {jdaw.SuspendDataCentre, "oban", "dataCentre/oban", -time.Millisecond, true},
		"data centre, other":   {jdaw.SuspendDataCentre, "oban", "dataCentre/largs", time.Millisecond, true},
		"upstream, later":      {jdaw.SuspendUpstream, "u1", "upstream/u1", time.Millisecond, false},
		"VM, later":            {jdaw.SuspendVM, "entry1", "vm/entry1", time.Millisecond, false},
		"version, later":       {jdaw.SuspendVersion, "m@v1", "model/m", time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := suspension("s", tt.kind, tt.name)
			s.At = start
			doc := documentAt(3).WithRecord(config.ChangeRecord{ID: "c", Objects: []string{tt.object}, At: start.Add(tt.after)})
			snap := config.NewSnapshot(foldInto(doc, s, start), []jdaw.Suspension{s})
			isOut := map[jdaw.SuspensionKind]bool{
				jdaw.SuspendDataCentre: snap.IsOut("oban"),
				jdaw.SuspendUpstream:   snap.IsLeaving("u1"),
				jdaw.SuspendVM:         snap.IsDraining("entry1"),
				jdaw.SuspendVersion:    snap.IsWithdrawn(jdaw.ParseModelVersion("m@v1")),
			}[tt.kind]
			if isOut != tt.isOut || len(snap.Suspensions) != 0 {
				t.Errorf("restricted %t with %d suspensions left, want %t and none", isOut, len(snap.Suspensions), tt.isOut)
			}
		})
	}
}

// Guards against an operator's new text of a model that undoes the withdrawal
// of its version, because the two do not count as changes of one object.
func TestFoldNamesTheObjectAsAChangeDoes(t *testing.T) {
	tests := map[jdaw.SuspensionKind]config.Op{
		jdaw.SuspendDataCentre: {Kind: config.OpDataCentreOut, Name: "oban"},
		jdaw.SuspendVersion:    {Kind: config.OpWithdrawVersion, Name: "m@v1"},
		jdaw.SuspendUpstream:   {Kind: config.OpDrainUpstream, Name: "u1"},
		jdaw.SuspendVM:         {Kind: config.OpDrainVM, Name: "entry1"},
	}
	for kind, op := range tests {
		want := config.Change{Ops: []config.Op{op}}.ObjectNames()[0]
		if got := foldObject(jdaw.Suspension{Kind: kind, Name: op.Name}); got != want {
			t.Errorf("a suspension of kind %s touches %s and a change %s", kind, got, want)
		}
	}
}
