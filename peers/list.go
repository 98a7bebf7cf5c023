package peers

import (
	"sort"
	"time"

	"jackdawbarrow"
)

// onListRead merges the VM list. The list lags, so it only adds addresses to
// join and marks VMs and upstreams as leaving; a VM missing from it may have
// just started.
func (m *Machine) onListRead(at time.Time, ev ListRead) {
	if !ev.OK || ev.List.Version < m.summary.Version {
		return
	}
	m.list = ev.List.VMs
	m.adoptSummary(summarize(ev.List))
	for _, l := range ev.List.VMs {
		m.applyLeavingMark(at, l)
	}
	m.checkIsolation(at)
}

func summarize(list List) VMListSummary {
	s := VMListSummary{
		Version:            list.Version,
		ListedByDataCentre: map[jdaw.DataCentre]int{},
		ListedByRegion:     map[jdaw.Region]int{},
	}
	for _, l := range list.VMs {
		s.ListedByDataCentre[l.DataCentre]++
		s.ListedByRegion[l.Region]++
	}
	for _, u := range list.Upstreams {
		if u.Leaving {
			s.LeavingUpstreams = append(s.LeavingUpstreams, u.Address)
		}
	}
	sort.Strings(s.LeavingUpstreams)
	return s
}

func (m *Machine) adoptSummary(s VMListSummary) {
	if s.Version <= m.summary.Version {
		return
	}
	m.summary = s
	m.listTransmissions = 0
	m.publishNow = true
	m.gossipPending = true
}

// applyLeavingMark drains a member that the list marks as leaving. The member
// receives the update and starts to drain. A mark present since the incarnation
// was first seen may refer to an earlier one until the list has caught up.
func (m *Machine) applyLeavingMark(at time.Time, l ListedVM) {
	row := m.members[l.VM]
	if row == nil || row.State == jdaw.MemberDead {
		return
	}
	if !l.Leaving {
		row.listedStaying = true
		return
	}
	if row.draining || (!row.listedStaying && at.Sub(row.firstSeenAt) < maxListLag) {
		return
	}
	if l.VM == m.self {
		m.drainSelf()
		return
	}
	row.draining = true
	m.announce(l.VM)
}

// rejoinDelay is shorter while this process is isolated.
func (m *Machine) rejoinDelay() time.Duration {
	if m.isolated {
		return probePeriod
	}
	return rejoinInterval
}

// rejoin contacts addresses that no live member uses but where a VM may run:
// those of dead members, listed VMs and seeds.
func (m *Machine) rejoin(at time.Time) []jdaw.Action {
	found := m.candidates()
	m.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	n := 1
	if m.isolated {
		n = maxInitialJoins
	}
	if len(found) > n {
		found = found[:n]
	}
	var out []jdaw.Action
	for _, c := range found {
		if c.row == nil {
			out = append(out, SendJoin{Addr: c.addr, SentAt: at, Self: m.update(m.members[m.self])})
			continue
		}
		// The probe carries the member's dead state, so that it can refute it.
		out = append(out, m.probe(at, c.row, c.addr))
	}
	return out
}

// candidate is an address to contact; row is nil unless a dead member had it.
type candidate struct {
	row  *member
	addr string
}

func (m *Machine) candidates() []candidate {
	var out []candidate
	tried := map[string]bool{"": true, m.members[m.self].PeerAddr: true}
	add := func(row *member, addr string) {
		if !tried[addr] {
			tried[addr] = true
			out = append(out, candidate{row: row, addr: addr})
		}
	}
	vms := m.sortedVMs()
	for _, vm := range vms {
		if m.members[vm].State != jdaw.MemberDead {
			tried[m.members[vm].PeerAddr] = true
		}
	}
	for _, vm := range vms {
		add(m.members[vm], m.members[vm].PeerAddr)
	}
	for _, l := range m.list {
		if l.VM != m.self {
			add(nil, l.PeerAddr)
		}
	}
	for _, addr := range m.seeds {
		add(nil, addr)
	}
	return out
}
