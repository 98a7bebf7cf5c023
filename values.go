package jdaw

import (
	"strings"
	"time"
)

// VMID identifies an entry VM. It is set in the settings and survives restarts.
type VMID string

// Incarnation identifies one run of a VM's process: 16 hex digits, new at each
// start and after the process finds its journal sealed.
type Incarnation string

// DataCentre names a data centre.
type DataCentre string

// Region names a region.
type Region string

// WorkspaceID identifies a workspace.
type WorkspaceID string

// UpstreamID identifies one model engine or one instance of a plain service.
type UpstreamID string

// Revision numbers the accepted configurations, starting at 1.
type Revision uint64

// RequestID is "<incarnation>-<sequence>" and identifies one admitted request.
type RequestID string

// Incarnation returns the part of the id that identifies the request's journal.
func (r RequestID) Incarnation() Incarnation {
	inc, _, _ := strings.Cut(string(r), "-")
	return Incarnation(inc)
}

// ModelVersion names a version of a model and is written "model@version".
type ModelVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// ParseModelVersion splits "model@version"; the version is empty if there is
// no "@".
func ParseModelVersion(s string) ModelVersion {
	model, version, _ := strings.Cut(s, "@")
	return ModelVersion{Model: model, Version: version}
}

// String returns "model@version", or the model alone without a version.
func (m ModelVersion) String() string {
	if m.Version == "" {
		return m.Model
	}
	return m.Model + "@" + m.Version
}

// WithVersion returns a copy that names version.
func (m ModelVersion) WithVersion(version string) ModelVersion {
	m.Version = version
	return m
}

// PoolID identifies the upstreams of one kind in one data centre. It is written
// "kind/dataCentre".
type PoolID struct {
	Kind       string     `json:"kind"`
	DataCentre DataCentre `json:"dataCentre"`
}

// String returns "kind/dataCentre".
func (p PoolID) String() string { return p.Kind + "/" + string(p.DataCentre) }

// ParsePoolID parses the format of String.
func ParsePoolID(s string) PoolID {
	kind, dc, _ := strings.Cut(s, "/")
	return PoolID{Kind: kind, DataCentre: DataCentre(dc)}
}

// Priority orders requests of one workspace; a higher value goes first.
type Priority int

// Priorities of requests.
const (
	PriorityBatch       Priority = 0
	PriorityNormal      Priority = 10
	PriorityInteractive Priority = 20
)

// MemberState is the state of a VM in the member table.
type MemberState string

// States of a member.
const (
	MemberAlive    MemberState = "alive"
	MemberSuspect  MemberState = "suspect"
	MemberDraining MemberState = "draining"
	MemberDead     MemberState = "dead"
)

// Member is one VM as seen by this process.
type Member struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  DataCentre  `json:"dataCentre"`
	Region      Region      `json:"region"`
	PeerAddr    string      `json:"peerAddr"`  // IP:port of the gRPC service
	EntryAddr   string      `json:"entryAddr"` // URL for callers
	State       MemberState `json:"state"`
	Revision    Revision    `json:"revision"`
}

// WithState returns a copy in state s.
func (m Member) WithState(s MemberState) Member {
	m.State = s
	return m
}

// WithRevision returns a copy that confirms revision r.
func (m Member) WithRevision(r Revision) Member {
	m.Revision = r
	return m
}

// IsServing reports whether the member accepts new requests from peers.
func (m Member) IsServing() bool {
	return m.State == MemberAlive || m.State == MemberSuspect
}

// View is an immutable snapshot of the member table, sorted by VM and
// including this process. Traffic goroutines read it through an atomic pointer.
type View struct {
	Self     VMID     `json:"self"`
	Members  []Member `json:"members"`
	Isolated bool     `json:"isolated"`
	// Number of VMs in the latest VM list, by data centre and by region. An
	// owner compares it with the live members of its group.
	ListedByDataCentre map[DataCentre]int `json:"listedByDataCentre"`
	ListedByRegion     map[Region]int     `json:"listedByRegion"`
	// LeavingUpstreams are the addresses marked as leaving in the VM list.
	LeavingUpstreams []string `json:"leavingUpstreams"`
}

// Member returns the member with id vm.
func (v View) Member(vm VMID) (Member, bool) {
	for _, m := range v.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// Serving returns the members that accept new requests.
func (v View) Serving() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.IsServing() {
			out = append(out, m)
		}
	}
	return out
}

// SuspensionKind is the kind of object that a suspension takes out of service.
type SuspensionKind string

// Kinds of suspensions.
const (
	SuspendDataCentre SuspensionKind = "dataCentre"
	SuspendVersion    SuspensionKind = "version"
	SuspendUpstream   SuspensionKind = "upstream"
	SuspendVM         SuspensionKind = "vm"
)

// Suspension takes an object out of service without the key-value service. It
// can only restrict what may run, and VMs gossip it until a configuration change
// refers to its ID.
type Suspension struct {
	ID       string         `json:"id"`
	Kind     SuspensionKind `json:"kind"`
	Name     string         `json:"name"`
	Operator string         `json:"operator"`
	Reason   string         `json:"reason"`
	At       time.Time      `json:"at"`
}
