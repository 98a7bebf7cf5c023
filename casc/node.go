package casc

import "jackdawbarrow"

// Config configures a Node.
type Config struct {
	// Post queues an event for the control loop.
	Post    func(jdaw.Event)
	Machine MachineConfig
	Planner PlannerConfig
}

// Node connects the machine to the request path. It implements
// [jdaw.Planner] and [jdaw.Learner] and is safe for concurrent use.
type Node struct {
	*Planner
	cfg     Config
	machine *Machine
}

// New returns a node without observations.
func New(cfg Config) *Node {
	return &Node{Planner: NewPlanner(cfg.Planner), cfg: cfg, machine: NewMachine(cfg.Machine)}
}

// Machine returns the machine for the control loop.
func (n *Node) Machine() jdaw.Machine { return n.machine }

// Execute executes the actions of the machine and ignores all others.
func (n *Node) Execute(a jdaw.Action) {
	if p, ok := a.(Publish); ok {
		n.Use(p.Snapshot)
	}
}

// Learn implements [jdaw.Learner].
func (n *Node) Learn(o jdaw.StepOutcome) { n.cfg.Post(Outcome{StepOutcome: o}) }
