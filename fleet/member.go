package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"jackdawbarrow"
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

// memberEntry is the stored entry of a VM. The lease tells the VM whether the entry
// ends with the lease that it renews.
type memberEntry struct {
	Member
	Lease string `json:"lease,omitempty"`
}

// ownEntry compares the VM's entry in the store with the one that it wrote. A write
// whose response is lost may be done seconds later, under a lease that nobody renews;
// the entry then ends while the VM renews a lease that holds nothing.
type ownEntry struct {
	mu      sync.Mutex
	lease   string    // of the last write
	wroteAt time.Time // when the store confirmed it; zero until then
	// isOther is set if a read returned no entry or one of another lease, and isLost
	// once a read shows so that began after wroteAt.
	isOther, isLost bool
}

// isWritten reports whether the entry is in the store as far as is known.
func (o *ownEntry) isWritten() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.wroteAt.IsZero() && !o.isLost
}

// writing records that the entry is being written under a lease.
func (o *ownEntry) writing(lease string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease, o.wroteAt = lease, time.Time{}
	o.isOther, o.isLost = false, false
}

func (o *ownEntry) written(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wroteAt = at
}

// seen records a change of the entry.
func (o *ownEntry) seen(c jdaw.Change) {
	var e memberEntry
	isEntry := !c.Removed && json.Unmarshal(c.Value, &e) == nil
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isOther = !isEntry || e.Lease != o.lease
	o.isLost = o.isLost && o.isOther
}

// readUntil records that all changes before a time have been read.
func (o *ownEntry) readUntil(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isLost = o.isLost || o.isOther && !o.wroteAt.IsZero() && at.After(o.wroteAt)
}

// writeOwn writes the VM's entry.
func (n *Node) writeOwn(ctx context.Context, lease string) error {
	entry, err := encodeEntry(n.ownKey(), memberEntry{Member: n.cfg.Self, Lease: lease})
	if err != nil {
		return err
	}
	n.own.writing(lease)
	if err := n.cfg.Store.Put(ctx, []jdaw.Entry{entry}, lease); err != nil {
		return err
	}
	n.own.written(time.Now())
	return nil
}

func (n *Node) ownKey() string { return memberPrefix + string(n.cfg.Self.VM) }
