package admin

import (
	"context"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Result is the answer to a change.
type Result struct {
	Revision jdaw.Revision `json:"revision"`
	// InForce counts the VMs that confirmed the revision, out of Known.
	InForce     int         `json:"inForce"`
	Known       int         `json:"known"`
	Unconfirmed []jdaw.VMID `json:"unconfirmed,omitempty"`
	// Suspended is set if the key-value service was down and the change took
	// effect as suspensions, which the configuration takes over later.
	Suspended   bool     `json:"suspended,omitempty"`
	Suspensions []string `json:"suspensions,omitempty"`
	// Difference is a unified diff of the configuration.
	Difference string `json:"difference,omitempty"`
	DryRun     bool   `json:"dryRun,omitempty"`
}

// Changer makes changes; package spread implements it for serve.
type Changer interface {
	Submit(ctx context.Context, c config.Change) (Result, error)
	Suspend(ctx context.Context, s jdaw.Suspension) (Result, error)
}

// PoolStatus is what a VM knows of a pool. The figures are those of its owner
// and 0 at other VMs.
type PoolStatus struct {
	Pool    string    `json:"pool"`
	Owner   jdaw.VMID `json:"owner"`
	Waiting int       `json:"waiting"`
	InUse   int       `json:"inUse"`
	Limit   int       `json:"limit"`
}

// RolloutStatus is the progress of a roll-out as its evaluator sees it.
type RolloutStatus struct {
	Version      string  `json:"version"`
	SharePercent float64 `json:"sharePercent"`
	State        string  `json:"state"`
	OK           uint64  `json:"ok"`
	Failed       uint64  `json:"failed"`
	Note         string  `json:"note,omitempty"`
}

// Status is a VM's view of the system.
type Status struct {
	VM          jdaw.VMID         `json:"vm"`
	Revision    jdaw.Revision     `json:"revision"`
	Isolated    bool              `json:"isolated"`
	Members     []jdaw.Member     `json:"members"`
	Pools       []PoolStatus      `json:"pools,omitempty"`
	Rollouts    []RolloutStatus   `json:"rollouts,omitempty"`
	Suspensions []jdaw.Suspension `json:"suspensions,omitempty"`
	OutOf       []jdaw.DataCentre `json:"dataCentresOut,omitempty"`
}

// EventList is the merged time line; Missing names VMs that did not answer.
type EventList struct {
	Events  []jdaw.TimelineEvent `json:"events"`
	Missing []jdaw.VMID          `json:"missing,omitempty"`
}

// ChangeOptions are the options of a change.
type ChangeOptions struct {
	DryRun bool
}
