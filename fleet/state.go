package fleet

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// State is an immutable snapshot of the deployment.
type State struct {
	Table     *config.RouteTable
	Upstreams map[string][]Upstream // by service, sorted by id
	Out       map[jdaw.DataCentre]bool
	Rollouts  map[string]Rollout // by service
	Members   []Member
	// Baseline is the version of each service that runs without a roll-out.
	Baseline map[string]string
	// Quarantined are the prompt parts that are kept from upstreams.
	Quarantined map[jdaw.PromptPartKey]jdaw.Quarantine
	// LapsedQuarantines had entries that expired in an outage of the store.
	LapsedQuarantines map[jdaw.PromptPartKey]jdaw.Quarantine
}

// Member is a VM that registered.
type Member struct {
	VM         jdaw.VMID       `json:"vm"`
	DataCentre jdaw.DataCentre `json:"dataCentre"`
	Region     jdaw.Region     `json:"region"`
	Address    string          `json:"address"` // for callers
	// Peers is the address at which the VM serves the change feed; empty if it
	// does not.
	Peers string `json:"peers,omitempty"`
	// Start identifies the incarnation of the VM.
	Start string `json:"start"`
}

// Rollout is a roll-out with the share of the new version.
type Rollout struct {
	Service string
	Version string
	State   RolloutState
	// Share of the requests without a session, and SessionShare of the sessions,
	// go to the new version, 0..1.
	Share        float64
	SessionShare float64
	StepIndex    int
	Order        uint64 // revision of the order
	StartedAt    time.Time
	Duration     time.Duration
	IsEvaluator  bool // this VM decides its steps and its outcome
}

// Deadline returns the time by which the roll-out must have ended.
func (r Rollout) Deadline() time.Time { return r.StartedAt.Add(r.Duration) }

// IsLate reports whether the roll-out runs and its last step is near.
func (r Rollout) IsLate(at time.Time) bool {
	return r.State == RolloutRunning && r.Deadline().Sub(at) < finalPhase
}

// hasLateRollout reports whether the last step of a roll-out is near.
func (s *State) hasLateRollout(at time.Time) bool {
	for _, r := range s.Rollouts {
		if r.IsLate(at) {
			return true
		}
	}
	return false
}

// matchesSide reports whether a request assigned to the new version (isNew)
// or to the stable one may run on this version.
func (r Rollout) matchesSide(version string, isNew bool) bool {
	if isNew {
		return version == r.Version
	}
	return version != r.Version
}

// Sample puts a request on one side of a roll-out. Requests of one session have
// the same value.
type Sample struct {
	Value     float64 // 0..1
	IsSession bool
}

// WantsVersion reports whether a request of the service may run on a version.
func (s *State) WantsVersion(service, version string, draw Sample) bool {
	r, ok := s.Rollouts[service]
	if !ok {
		return version == s.Baseline[service]
	}
	share := r.Share
	if draw.IsSession {
		share = r.SessionShare
	}
	return r.matchesSide(version, draw.Value < share)
}

// VMs returns the ids of the members.
func (s *State) VMs() []jdaw.VMID {
	vms := make([]jdaw.VMID, 0, len(s.Members))
	for _, m := range s.Members {
		vms = append(vms, m.VM)
	}
	return vms
}
