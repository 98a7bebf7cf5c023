package peers

import (
	"time"

	"jackdawbarrow"
)

// Update is one VM's report of a member. Member.State is alive, suspect or dead;
// Number is the member's incarnation number.
type Update struct {
	Member   jdaw.Member `json:"member"`
	Number   uint64      `json:"number"`
	Draining bool        `json:"draining,omitempty"`
}

// VMListSummary is the part of the VM list that is sent to all VMs.
type VMListSummary struct {
	Version            uint64                  `json:"version"`
	LeavingUpstreams   []string                `json:"leavingUpstreams,omitempty"`
	ListedByDataCentre map[jdaw.DataCentre]int `json:"listedByDataCentre,omitempty"`
	ListedByRegion     map[jdaw.Region]int     `json:"listedByRegion,omitempty"`
}

// ListedVM is a VM in the VM list.
type ListedVM struct {
	VM         jdaw.VMID       `json:"vm"`
	DataCentre jdaw.DataCentre `json:"dataCentre"`
	Region     jdaw.Region     `json:"region"`
	PeerAddr   string          `json:"peerAddr"`
	EntryAddr  string          `json:"entryAddr"`
	Leaving    bool            `json:"leaving"`
}

// ListedUpstream is an upstream in the VM list.
type ListedUpstream struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// List is the body of GET /v1/vms. Version grows with each change of the list.
type List struct {
	Version   uint64           `json:"version"`
	VMs       []ListedVM       `json:"vms"`
	Upstreams []ListedUpstream `json:"upstreams"`
}

// Exchange is the payload of a probe or of a reply.
type Exchange struct {
	Updates []Update       `json:"updates,omitempty"`
	List    *VMListSummary `json:"list,omitempty"`
}

// Probed is the result of a direct probe. Sender is the VM that answered, which
// differs from Target if another VM has taken over the address.
type Probed struct {
	Target jdaw.VMID `json:"target"`
	Addr   string    `json:"addr"`
	SentAt time.Time `json:"sentAt"`
	OK     bool      `json:"ok"`
	Sender jdaw.VMID `json:"sender,omitempty"`
	Exchange
}

// EventName implements jdaw.Event.
func (Probed) EventName() string { return "peersProbed" }

// ProbedFor is the result of an indirect probe. OK means that the helper
// answered; Reached, that it reached the target.
type ProbedFor struct {
	Target  jdaw.VMID `json:"target"`
	Number  uint64    `json:"number"` // of the target when it was probed
	SentAt  time.Time `json:"sentAt"`
	OK      bool      `json:"ok"`
	Reached bool      `json:"reached"`
	Updates []Update  `json:"updates,omitempty"`
}

// EventName implements jdaw.Event.
func (ProbedFor) EventName() string { return "peersProbedFor" }

// Joined is the result of a Join call.
type Joined struct {
	Addr   string    `json:"addr"`
	SentAt time.Time `json:"sentAt"`
	OK     bool      `json:"ok"`
	Exchange
}

// EventName implements jdaw.Event.
func (Joined) EventName() string { return "peersJoined" }

// ProbeReceived is a probe from another VM.
type ProbeReceived struct {
	Sender jdaw.VMID `json:"sender"`
	Exchange
	Reply func(Exchange) `json:"-"`
}

// EventName implements jdaw.Event.
func (ProbeReceived) EventName() string { return "peersProbeReceived" }

// JoinReceived is a Join call from another VM.
type JoinReceived struct {
	Self  Update         `json:"self"`
	Reply func(Exchange) `json:"-"`
}

// EventName implements jdaw.Event.
func (JoinReceived) EventName() string { return "peersJoinReceived" }

// IndirectProbeServed is the result of a probe that this VM made on behalf of
// another one; Updates are those that the target sent.
type IndirectProbeServed struct {
	Updates []Update       `json:"updates,omitempty"`
	Reply   func(Exchange) `json:"-"`
}

// EventName implements jdaw.Event.
func (IndirectProbeServed) EventName() string { return "peersHelpReceived" }

// ListRead is the result of reading the VM list.
type ListRead struct {
	OK   bool `json:"ok"`
	List List `json:"list"`
}

// EventName implements jdaw.Event.
func (ListRead) EventName() string { return "peersListRead" }

// DrainStarted reports that this process has started to drain.
type DrainStarted struct{}

// EventName implements jdaw.Event.
func (DrainStarted) EventName() string { return "peersDrainStarted" }

// IncarnationChanged reports that this process has a new incarnation.
type IncarnationChanged struct {
	Incarnation jdaw.Incarnation `json:"incarnation"`
}

// EventName implements jdaw.Event.
func (IncarnationChanged) EventName() string { return "peersIncarnationChanged" }

// SendProbe requests a direct probe.
type SendProbe struct {
	Target jdaw.VMID `json:"target"`
	Addr   string    `json:"addr"`
	SentAt time.Time `json:"sentAt"`
	Exchange
}

// ActionName implements jdaw.Action.
func (SendProbe) ActionName() string { return "peersSendProbe" }

// SendProbeFor requests an indirect probe through a helper.
type SendProbeFor struct {
	HelperAddr string    `json:"helperAddr"`
	Target     jdaw.VMID `json:"target"`
	TargetAddr string    `json:"targetAddr"`
	Number     uint64    `json:"number"`
	SentAt     time.Time `json:"sentAt"`
}

// ActionName implements jdaw.Action.
func (SendProbeFor) ActionName() string { return "peersSendProbeFor" }

// SendJoin requests a Join call to an address.
type SendJoin struct {
	Addr   string    `json:"addr"`
	SentAt time.Time `json:"sentAt"`
	Self   Update    `json:"self"`
}

// ActionName implements jdaw.Action.
func (SendJoin) ActionName() string { return "peersSendJoin" }

// ReadList requests a read of the VM list.
type ReadList struct{}

// ActionName implements jdaw.Action.
func (ReadList) ActionName() string { return "peersReadList" }

// Answer answers a gRPC call.
type Answer struct {
	Reply    func(Exchange) `json:"-"`
	Exchange Exchange       `json:"exchange"`
}

// ActionName implements jdaw.Action.
func (Answer) ActionName() string { return "peersAnswer" }
