package fleet

import (
	"time"
)

// MemberSeen is the entry of a VM.
type MemberSeen struct{ Member Member }

// EventName implements [jdaw.Event].
func (MemberSeen) EventName() string { return "memberSeen" }

// MemberGone says that a VM has left or that its lease has ended.
type MemberGone struct{ VM string }

// EventName implements [jdaw.Event].
func (MemberGone) EventName() string { return "memberGone" }

func (m *Machine) memberSeen(ev MemberSeen) {
	name := string(ev.Member.VM)
	if m.reload != nil {
		m.reload.members[name] = true
	}
	delete(m.expiredMembers, name)
	if m.members[name] != ev.Member {
		m.members[name] = ev.Member
		m.dirty = true
	}
}

// memberGone keeps VMs whose leases expired in an outage until they have had
// time to register again.
func (m *Machine) memberGone(at time.Time, vm string) {
	if _, ok := m.members[vm]; ok && at.Before(m.graceUntil) {
		m.expiredMembers[vm] = m.graceUntil
		return
	}
	delete(m.members, vm)
	delete(m.expiredMembers, vm)
	m.dirty = true
}
