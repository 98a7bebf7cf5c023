package peers

import (
	"math/bits"
	"sort"
	"time"

	"jackdawbarrow"
)

func (m *Machine) applyExchange(at time.Time, x Exchange) {
	m.applyAll(at, x.Updates)
	if x.List != nil {
		m.adoptSummary(*x.List)
	}
}

func (m *Machine) applyAll(at time.Time, updates []Update) {
	for _, u := range updates {
		m.apply(at, u)
	}
}

func (m *Machine) apply(at time.Time, u Update) {
	if u.Member.VM == "" {
		return
	}
	if u.Member.VM == m.self {
		m.applySelf(u)
		return
	}
	row := m.members[u.Member.VM]
	if row == nil {
		m.add(at, u)
		return
	}
	if u.Number == row.number && u.Draining && !row.draining {
		row.draining = true
		m.announce(row.VM)
	}
	if u.Member.Incarnation == row.Incarnation {
		m.raiseRevision(row, u.Member.Revision)
	}
	if u.Number > row.number || (u.Number == row.number && rank(u.Member.State) > rank(row.State)) {
		m.replace(at, row, u)
	}
}

// applySelf refutes what is wrong about this process. A draining mark is
// accepted: it comes from a VM that read it in the VM list.
func (m *Machine) applySelf(u Update) {
	self := m.members[m.self]
	if u.Number < self.number {
		return
	}
	if u.Member.State != jdaw.MemberAlive || u.Member.Incarnation != self.Incarnation || u.Number > self.number {
		m.raiseSelf(u.Number)
	}
	if u.Draining && u.Member.Incarnation == self.Incarnation {
		m.drainSelf()
	}
}

func (m *Machine) add(at time.Time, u Update) {
	if u.Member.State == jdaw.MemberDead || u.Member.PeerAddr == "" {
		return
	}
	row := &member{Member: u.Member, number: u.Number, draining: u.Draining, suspectAt: at, knownAt: at}
	m.members[u.Member.VM] = row
	m.announce(u.Member.VM)
}

func (m *Machine) replace(at time.Time, row *member, u Update) {
	if u.Member.State == jdaw.MemberSuspect && row.State != jdaw.MemberSuspect {
		row.suspectAt = at
	}
	if u.Member.State == jdaw.MemberDead {
		row.deadAt = at
	}
	// Draining ends only with the life that announced it.
	sameLife := row.Incarnation == u.Member.Incarnation
	if !sameLife {
		row.knownAt = at
		row.listedClear = false
	}
	if sameLife && row.Revision > u.Member.Revision {
		u.Member = u.Member.WithRevision(row.Revision)
	}
	row.Member = u.Member
	row.number = u.Number
	row.draining = u.Draining || (sameLife && row.draining)
	m.announce(row.VM)
}

func rank(s jdaw.MemberState) int {
	switch s {
	case jdaw.MemberDead:
		return 2
	case jdaw.MemberSuspect:
		return 1
	}
	return 0
}

// reply is the content of the answer to a probe. What this VM holds against
// the sender goes first, so that the sender can refute it.
func (m *Machine) reply(ev ProbeReceived) Exchange {
	var first []Update
	for _, u := range ev.Updates {
		if u.Member.VM == m.self {
			first = append(first, m.update(m.members[m.self]))
		}
	}
	if row := m.members[ev.Sender]; row != nil && row.State != jdaw.MemberAlive {
		first = append(first, m.update(row))
	}
	return Exchange{Updates: m.piggyback(first), List: m.sendList(false)}
}

func (m *Machine) wholeTable() Exchange {
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

// piggyback fills updates up to the bound with the changes that were sent
// least often. Suspect and dead members go before live ones: after a start of
// 200 VMs at once, the loss of a fifth of them took 52 s to be known while it
// competed with the news of the starts.
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
		isFirst, isSecond := m.members[vms[i]].State != jdaw.MemberAlive, m.members[vms[j]].State != jdaw.MemberAlive
		if isFirst != isSecond {
			return isFirst
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
	return retransmits * bits.Len(uint(len(m.members)+1))
}

func (m *Machine) sendList(repeat bool) *Summary {
	if m.summary.Version == 0 || (m.listSent >= m.transmissions() && !repeat) {
		return nil
	}
	m.listSent++
	s := m.summary
	return &s
}
