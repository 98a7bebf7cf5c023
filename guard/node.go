package guard

import (
	"sync/atomic"

	"jackdawbarrow"
)

// Config configures a Node.
type Config struct {
	Machine MachineConfig
	// Suspend applies a suspension on all VMs. It must not block.
	Suspend func(jdaw.Suspension)
	// Hold, if set, postpones the completion of a version. It must not block.
	Hold func(jdaw.ModelVersion)
	// Propose, if set, shows a proposal to operators. It must not block.
	Propose func(Proposal)
}

// Node connects the machine to the rest of the process.
type Node struct {
	cfg      Config
	machine  *Machine
	statuses atomic.Pointer[[]Status]
}

// New returns a node without roll-outs.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, machine: NewMachine(cfg.Machine)}
	n.statuses.Store(&[]Status{})
	return n
}

// Machine returns the machine for the control loop.
func (n *Node) Machine() jdaw.Machine { return n.machine }

// Status returns the roll-outs as last published; callers must not change it.
func (n *Node) Status() []Status { return *n.statuses.Load() }

// Execute executes the actions of the machine and ignores all others.
func (n *Node) Execute(a jdaw.Action) {
	switch a := a.(type) {
	case Suspend:
		n.cfg.Suspend(a.Suspension)
	case Hold:
		if n.cfg.Hold != nil {
			n.cfg.Hold(a.Version)
		}
	case Proposal:
		if n.cfg.Propose != nil {
			n.cfg.Propose(a)
		}
	case Publish:
		n.statuses.Store(&a.Statuses)
	}
}
