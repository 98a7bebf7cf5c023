package serve

import (
	"fmt"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
	"jackdawbarrow/wire"
)

func toWireEvent(e jdaw.TimelineEvent) *wire.TimelineEvent {
	return &wire.TimelineEvent{
		Vm: string(e.VM), Incarnation: string(e.Incarnation), Wall: e.Wall, Logical: e.Logical, Name: e.Name,
		RequestId: string(e.RequestID), Workspace: string(e.Workspace), Upstream: string(e.Upstream),
		DataCentre: string(e.DataCentre), Text: e.Text,
	}
}

func fromWireEvent(e *wire.TimelineEvent) jdaw.TimelineEvent {
	return jdaw.TimelineEvent{
		VM: jdaw.VMID(e.Vm), Incarnation: jdaw.Incarnation(e.Incarnation), Wall: e.Wall, Logical: e.Logical, Name: e.Name,
		RequestID: jdaw.RequestID(e.RequestId), Workspace: jdaw.WorkspaceID(e.Workspace),
		Upstream: jdaw.UpstreamID(e.Upstream), DataCentre: jdaw.DataCentre(e.DataCentre), Text: e.Text,
	}
}

// recordControl puts the changes of control state into the time line.
func (p *Process) recordControl(a jdaw.Action) {
	switch a := a.(type) {
	case jdaw.ViewChanged:
		p.recordView(a.View)
	case config.Adopted:
		p.ring.Record(jdaw.TimelineEvent{Name: "configAdopted", Text: fmt.Sprintf("revision %d, %d suspensions", a.Snapshot.Revision(), len(a.Snapshot.Suspensions))})
	case guard.Suspend:
		p.ring.Record(jdaw.TimelineEvent{Name: "suspended", Text: a.Suspension.Name + ": " + a.Suspension.Reason})
	}
}

// recordView records which members changed their state. It runs on the loop's
// goroutine, which alone uses lastStates.
func (p *Process) recordView(view *jdaw.View) {
	states := make(map[jdaw.VMID]jdaw.MemberState, len(view.Members))
	for _, m := range view.Members {
		states[m.VM] = m.State
		if p.lastStates[m.VM] == m.State {
			continue
		}
		name := "member" + string(upperFirst(m.State))
		p.ring.Record(jdaw.TimelineEvent{Name: name, DataCentre: m.DataCentre, Text: string(m.VM)})
	}
	if view.Isolated != p.lastIsolated {
		name := "isolationEnded"
		if view.Isolated {
			name = "isolated"
		}
		p.ring.Record(jdaw.TimelineEvent{Name: name})
	}
	p.lastStates, p.lastIsolated = states, view.Isolated
}

func upperFirst(s jdaw.MemberState) []byte {
	b := []byte(s)
	b[0] -= 'a' - 'A'
	return b
}
