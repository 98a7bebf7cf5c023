package relay

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

const (
	// coldShare is the share of a cold upstream's rate that all VMs together
	// use. The rest is a margin for VMs with different membership views.
	coldShare = 0.8
	// coldWindow is the window for a VM's share of the cold rate: the second
	// that the rate is stated for, and network jitter.
	coldWindow = 1100 * time.Millisecond
	// assumedColdTime is the time for which an upstream that refused a connection
	// counts as cold. After it, its store entry shows whether it was restarted.
	assumedColdTime = 2500 * time.Millisecond
)

func (p *picker) isCold(at time.Time, u *fleet.Upstream, s *upstreamState) bool {
	return u.IsCold(at) || at.Before(s.coldUntil)
}

// mayUseCold limits the requests of all VMs to a cold upstream without any
// coordination: its rate is divided among the VMs in rendezvous hash order, so
// that different VMs may use different upstreams.
func (p *picker) mayUseCold(at time.Time, st *fleet.State, spec config.ServiceSpec, u *fleet.Upstream, s *upstreamState) bool {
	if spec.ColdRate <= 0 {
		return true
	}
	if s.quotaOf != st {
		s.quotaOf = st
		s.quota = coldQuota(int(spec.ColdRate*coldShare), u.ID, p.self, st.VMs())
	}
	kept := s.coldSent[:0]
	for _, t := range s.coldSent {
		if at.Sub(t) < coldWindow {
			kept = append(kept, t)
		}
	}
	s.coldSent = kept
	return len(kept) < s.quota
}

// coldQuota returns the VM's share of rate requests to an upstream in one
// window.
func coldQuota(rate int, id jdaw.UpstreamID, self jdaw.VMID, vms []jdaw.VMID) int {
	rate = max(rate, 1)
	for i, vm := range jdaw.Rendezvous("cold/"+string(id), vms) {
		if vm == self {
			return (rate + len(vms) - 1 - i) / len(vms)
		}
	}
	return 0
}
