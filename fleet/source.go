package fleet

import (
	"time"

	"jackdawbarrow"
)

const (
	// minFeeders is the minimum number of feeders per data centre. When one
	// fails, the other takes over its VMs; with one alone, its loss would send
	// all VMs of the data centre to the store.
	minFeeders = 2
	// vmsPerFeeder bounds what a feeder sends over its link: with 50 VMs at each
	// of two, a configuration was in force after up to 3.2 s.
	vmsPerFeeder = 15
	// minVMsForFeeders is the data centre size from which feeders are used. In a
	// smaller one they would save few calls.
	minVMsForFeeders = 9
	// maxFeederPause is the longest pause of a feeder between two watches.
	maxFeederPause = 800 * time.Millisecond
	// feedWait is the longest wait of a call to a feeder, and of a feeder's call
	// to the store, and feedSlack the time above it after which the call has
	// failed. A change that a feeder cannot read reaches the others from the
	// store after maxFeederPause, feedWait and feedSlack for the feeder's call, and
	// feedWait for their own: 2.4 s, within the 3 s of large deployments.
	feedWait  = 700 * time.Millisecond
	feedSlack = 200 * time.Millisecond
	// feederBackoff is the time for which a failed feeder is not called.
	feederBackoff = 5 * time.Second
)

// Ranked returns VMs in the order of their rendezvous hash for a key.
func Ranked(key string, members []Member) []Member {
	byVM := make(map[jdaw.VMID]Member, len(members))
	vms := make([]jdaw.VMID, 0, len(members))
	for _, m := range members {
		byVM[m.VM] = m
		vms = append(vms, m.VM)
	}
	list := make([]Member, 0, len(vms))
	for _, vm := range jdaw.Rendezvous(key, vms) {
		list = append(list, byVM[vm])
	}
	return list
}

// peersIn returns the VMs of a data centre that serve the change feed.
func (s *State) peersIn(dc jdaw.DataCentre) []Member {
	var list []Member
	for _, m := range s.Members {
		if m.DataCentre == dc && m.Peers != "" {
			list = append(list, m)
		}
	}
	return list
}

// feedersOf returns the VMs that read the store for the others of a data
// centre, or none if all read it themselves.
func (s *State) feedersOf(dc jdaw.DataCentre) []Member {
	local := s.peersIn(dc)
	if len(local) < minVMsForFeeders {
		return nil
	}
	return Ranked("feed/"+string(dc), local)[:feedersIn(len(local))]
}

// readersIn returns the VMs of a data centre that read the store and serve
// its changes to others.
func (s *State) readersIn(dc jdaw.DataCentre) []Member {
	if list := s.feedersOf(dc); list != nil {
		return list
	}
	return s.peersIn(dc)
}

// feedersIn returns the number of feeders of a data centre of n VMs.
func feedersIn(n int) int { return max(minFeeders, (n+vmsPerFeeder-1)/vmsPerFeeder) }

// isFeeder reports whether a VM reads the store for others.
func (s *State) isFeeder(self Member) bool {
	for _, m := range s.feedersOf(self.DataCentre) {
		if m.VM == self.VM {
			return true
		}
	}
	return false
}

// source returns the feeder that a VM reads changes from, or false if it reads
// the store itself: as a feeder, as the evaluator of a roll-out, which needs
// the counts without delay, and if no feeder responds.
func (s *State) source(self Member, isAvoided func(jdaw.VMID) bool) (Member, bool) {
	for _, r := range s.Rollouts {
		if r.IsEvaluator && r.State == RolloutRunning {
			return Member{}, false
		}
	}
	feeders := s.feedersOf(self.DataCentre)
	for _, m := range feeders {
		if m.VM == self.VM {
			return Member{}, false
		}
	}
	for _, m := range Ranked("fed/"+string(self.VM), feeders) {
		if !isAvoided(m.VM) {
			return m, true
		}
	}
	return Member{}, false
}

// readers returns the other VMs that most likely read the store, in an order
// specific to this VM. A VM that the store rejects calls them.
func (s *State) readers(self Member, isAvoided func(jdaw.VMID) bool) []Member {
	var list []Member
	isDone := map[jdaw.DataCentre]bool{}
	for _, member := range s.Members {
		if isDone[member.DataCentre] {
			continue
		}
		isDone[member.DataCentre] = true
		for _, m := range s.readersIn(member.DataCentre) {
			if m.VM != self.VM && !isAvoided(m.VM) {
				list = append(list, m)
			}
		}
	}
	return Ranked("readers/"+string(self.VM), list)
}
