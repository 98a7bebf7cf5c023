package peers

import (
	"sort"
	"time"

	"jackdawbarrow"
)

// onListRead merges the VM list. The list lags, so it only adds addresses to
// try and marks VMs and upstreams as leaving; a VM that is missing in it may
// have been started a moment ago.
func (m *Machine) onListRead(at time.Time, ev ListRead) {
	if !ev.OK || ev.List.Version < m.summary.Version {
		return
	}
	m.list = ev.List.VMs
	m.adoptSummary(summarize(ev.List))
	for _, l := range ev.List.VMs {
		m.applyMark(at, l)
	}
	m.checkIsolation(at)
}

func summarize(list List) Summary {
	s := Summary{
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

func (m *Machine) adoptSummary(s Summary) {
	if s.Version <= m.summary.Version {
		return
	}
	m.summary = s
	m.listSent = 0
	m.urgent = true
	m.fresh = true
}

// applyMark drains a member that the list marks as leaving. The member learns
// of it by the update and takes it over. A mark that was there from the start
// may belong to an earlier life of the VM until the list has caught up.
func (m *Machine) applyMark(at time.Time, l ListedVM) {
	row := m.members[l.VM]
	if row == nil || row.State == jdaw.MemberDead {
		return
	}
	if !l.Leaving {
		row.listedClear = true
		return
	}
	if row.draining || (!row.listedClear && at.Sub(row.knownAt) < maxListLag) {
		return
	}
	if l.VM == m.self {
		m.drainSelf()
		return
	}
	row.draining = true
	m.announce(l.VM)
}

// rejoinWait is shorter while this process reaches no other VM.
func (m *Machine) rejoinWait() time.Duration {
	if m.isolated {
		return probePeriod
	}
	return rejoinPeriod
}

// rejoin tries addresses at which a VM may run that the table does not show
// as alive: dead members, members of the list and seeds.
func (m *Machine) rejoin(at time.Time) []jdaw.Action {
	found := m.candidates()
	m.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	n := 1
	if m.isolated {
		n = firstJoins
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
		// The probe tells the member that it counts as dead, so that it can
		// refute that.
		out = append(out, m.probe(at, c.row, c.addr))
	}
	return out
}

// candidate is an address to try; row is nil if no dead member had it.
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
