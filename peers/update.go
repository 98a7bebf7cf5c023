package peers

import (
	"math/bits"
	"sort"
	"time"

	"jackdawbarrow"
)

func (m *Machine) applyExchange(at time.Time, x Exchange) {
	m.applyUpdates(at, x.Updates)
	if x.List != nil {
		m.adoptSummary(*x.List)
	}
}

func (m *Machine) applyUpdates(at time.Time, updates []Update) {
	for _, u := range updates {
		m.applyUpdate(at, u)
	}
}

func (m *Machine) applyUpdate(at time.Time, u Update) {
	if u.Member.VM == "" {
		return
	}
	if u.Member.VM == m.self {
		m.applySelf(u)
		return
	}
	row := m.members[u.Member.VM]
	if row == nil {
		m.addMember(at, u)
		return
	}
	if u.Number == row.number && u.Draining && !row.draining {
		row.draining = true
		m.announce(row.VM)
	}
	if u.Member.Incarnation == row.Incarnation {
		m.advanceRevision(row, u.Member.Revision)
	}
	if u.Number > row.number || (u.Number == row.number && statePrecedence(u.Member.State) > statePrecedence(row.State)) {
		m.replaceMember(at, row, u)
	}
}

// applySelf refutes incorrect updates about this process. A draining mark is
// accepted: it comes from a VM that read it in the VM list.
func (m *Machine) applySelf(u Update) {
	self := m.members[m.self]
	if u.Number < self.number {
		return
	}
	if u.Member.State != jdaw.MemberAlive || u.Member.Incarnation != self.Incarnation || u.Number > self.number {
		m.reannounceSelf(u.Number)
	}
	if u.Draining && u.Member.Incarnation == self.Incarnation {
		m.drainSelf()
	}
}

func (m *Machine) addMember(at time.Time, u Update) {
	if u.Member.State == jdaw.MemberDead || u.Member.PeerAddr == "" {
		return
	}
	row := &member{Member: u.Member, number: u.Number, draining: u.Draining, suspectAt: at, firstSeenAt: at}
	m.members[u.Member.VM] = row
	m.announce(u.Member.VM)
}

func (m *Machine) replaceMember(at time.Time, row *member, u Update) {
	if u.Member.State == jdaw.MemberSuspect && row.State != jdaw.MemberSuspect {
		row.suspectAt = at
	}
	if u.Member.State == jdaw.MemberDead {
		row.deadAt = at
	}
	// Draining ends only with the incarnation that announced it.
	sameIncarnation := row.Incarnation == u.Member.Incarnation
	if !sameIncarnation {
		row.firstSeenAt = at
		row.listedStaying = false
	}
	if sameIncarnation && row.Revision > u.Member.Revision {
		u.Member = u.Member.WithRevision(row.Revision)
	}
	row.Member = u.Member
	row.number = u.Number
	row.draining = u.Draining || (sameIncarnation && row.draining)
	m.announce(row.VM)
}

func statePrecedence(s jdaw.MemberState) int {
	switch s {
	case jdaw.MemberDead:
		return 2
	case jdaw.MemberSuspect:
		return 1
	}
	return 0
}

// answerProbe returns the payload of a probe reply. A suspect or dead state of
// the sender goes first, so that the sender can refute it.
func (m *Machine) answerProbe(ev ProbeReceived) Exchange {
	var first []Update
	for _, u := range ev.Updates {
		if u.Member.VM == m.self {
			first = append(first, m.update(m.members[m.self]))
		}
	}
	if row := m.members[ev.Sender]; row != nil && row.State != jdaw.MemberAlive {
		first = append(first, m.update(row))
	}
	return Exchange{Updates: m.piggyback(first), List: m.nextListSummary(false)}
}

func (m *Machine) fullTable() Exchange {
	var x Exchange
	for _, vm := range m.sortedVMs() {
		x.Updates = append(x.Updates, m.update(m.members[vm]))
	}
	if m.summary.Version > 0 {
		s := m.summary
		x.List = &s
	}
	return x
}

func (m *Machine) update(row *member) Update {
	return Update{Member: row.Member, Number: row.number, Draining: row.draining}
}

// piggyback fills updates up to maxUpdates with those sent least often. Suspect
// and dead members precede live ones: after 200 VMs started at once, the loss of
// a fifth of them took 52 s to propagate while competing with updates about the
// starts.
func (m *Machine) piggyback(updates []Update) []Update {
	included := map[jdaw.VMID]bool{}
	for _, u := range updates {
		included[u.Member.VM] = true
	}
	vms := make([]jdaw.VMID, 0, len(m.pending))
	for vm := range m.pending {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool {
		iNotAlive, jNotAlive := m.members[vms[i]].State != jdaw.MemberAlive, m.members[vms[j]].State != jdaw.MemberAlive
		if iNotAlive != jNotAlive {
			return iNotAlive
		}
		a, b := m.pending[vms[i]], m.pending[vms[j]]
		if a != b {
			return a < b
		}
		return vms[i] < vms[j]
	})
	for _, vm := range vms {
		if len(updates) >= maxUpdates {
			break
		}
		if !included[vm] {
			updates = append(updates, m.update(m.members[vm]))
			included[vm] = true
		}
	}
	for vm := range included {
		m.countTransmission(vm)
	}
	return updates
}

func (m *Machine) countTransmission(vm jdaw.VMID) {
	n, ok := m.pending[vm]
	if !ok {
		return
	}
	m.pending[vm] = n + 1
	if n+1 >= m.transmissions() {
		delete(m.pending, vm)
	}
}

func (m *Machine) transmissions() int {
	return retransmitMultiplier * bits.Len(uint(len(m.members)+1))
}

func (m *Machine) nextListSummary(repeat bool) *VMListSummary {
	if m.summary.Version == 0 || (m.listTransmissions >= m.transmissions() && !repeat) {
		return nil
	}
	m.listTransmissions++
	s := m.summary
	return &s
}
