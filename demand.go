package jdaw

import "github.com/cespare/xxhash/v2"

// Demand is the work that workspaces asked of plain services and got, as known to
// one or more VMs. Workspaces without recent requests are left out.
type Demand map[DemandKey]WorkspaceUse

// WorkspaceUse is the work of one workspace at one service, in milliseconds of slots
// and decayed.
type WorkspaceUse struct {
	Asked  uint32
	Served uint32
}

// With returns the sum of two uses.
func (u WorkspaceUse) With(other WorkspaceUse) WorkspaceUse {
	return WorkspaceUse{Asked: u.Asked + other.Asked, Served: u.Served + other.Served}
}

// DemandKey identifies a workspace at a service in messages between VMs: 8 bits of a
// hash of the service and 24 bits of a hash of the workspace. On a collision, two
// workspaces have one share together.
type DemandKey uint32

// workspaceBits is the part of a [DemandKey] that identifies the workspace.
const workspaceBits = 24

// TotalDemandKey returns the key of the sum of all workspaces of a service.
func TotalDemandKey(service string) DemandKey {
	return DemandKey(uint32(xxhash.Sum64String(service)) << workspaceBits)
}

// NewDemandKey returns the key of a workspace at a service.
func NewDemandKey(service string, w WorkspaceID) DemandKey {
	workspace := uint32(xxhash.Sum64String(string(w))) & (1<<workspaceBits - 1)
	return TotalDemandKey(service) | DemandKey(max(workspace, 1))
}

// IsTotal reports whether the key stands for all workspaces of its service.
func (k DemandKey) IsTotal() bool { return k&(1<<workspaceBits-1) == 0 }

// Total returns the key of the sum of all workspaces of the key's service.
func (k DemandKey) Total() DemandKey { return k >> workspaceBits << workspaceBits }
