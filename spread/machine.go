package spread

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	// hintTargets is the number of members that learn of an adoption at once.
	// Headers reach the others with the next probes.
	hintTargets = 4
	// antiEntropyPeriod is the longest time without a message from another VM.
	antiEntropyPeriod = 2 * time.Second
	// retryPeriod is the time between two pulls of a VM that knows it is
	// behind, or that has no document.
	retryPeriod = 500 * time.Millisecond
	// storeReadPeriod is the time between two reads by a VM without a
	// document. 400 VMs that start at once stay far below 2,000 reads/s.
	storeReadPeriod = 2 * time.Second
	// foldPeriod is the time between two attempts of the first VM in the order
	// of the rendezvous hash. The next ones try more rarely, in case the first
	// does not reach the store.
	foldPeriod  = time.Second
	foldPenalty = 5 * time.Second
	folders     = 3
	// maxPulls bounds the pulls in progress, because one new revision is heard
	// of from several members at once.
	maxPulls    = 2
	pullExpires = 2 * time.Second
)

// Machine holds the adopted document and the suspensions of one process.
type Machine struct {
	self        jdaw.VMID
	rng         *rand.Rand
	view        *jdaw.View
	snapshot    *config.Snapshot
	suspensions map[string]jdaw.Suspension // in force
	pulling     map[jdaw.VMID]time.Time
	behind      jdaw.VMID // a member that has something new; empty for none
	heardAt     time.Time
	pullAt      time.Time // of the last pull that the tick started
	storeAt     time.Time
	foldAt      time.Time
	folding     bool
	watching    bool
}

// NewMachine returns a machine without a document.
func NewMachine(self jdaw.VMID, seed uint64) *Machine {
	return &Machine{
		self:        self,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		view:        &jdaw.View{Self: self},
		suspensions: map[string]jdaw.Suspension{},
		pulling:     map[jdaw.VMID]time.Time{},
	}
}

// Handle implements jdaw.Machine.
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case jdaw.Tick:
		return m.onTick(at)
	case jdaw.ViewChanged:
		return m.onViewChanged(ev)
	case jdaw.HeaderSeen:
		return m.onHeaderSeen(at, ev)
	case DocumentRead:
		return m.adopt(ev.Doc, nil)
	case Pulled:
		return m.onPulled(at, ev)
	case HintReceived:
		return m.onHint(at, ev)
	case Folded:
		m.folding = false
	}
	return nil
}

func (m *Machine) onTick(at time.Time) []jdaw.Action {
	if m.heardAt.IsZero() {
		m.heardAt = at
	}
	var out []jdaw.Action
	if m.snapshot == nil && at.Sub(m.storeAt) >= storeReadPeriod {
		m.storeAt = at
		out = append(out, ReadStore{})
	}
	if at.Sub(m.pullAt) >= retryPeriod {
		out = append(out, m.pullOnTick(at)...)
	}
	return append(out, m.fold(at)...)
}

// fold asks to write the suspensions into the document. Several VMs may do so
// at once; the change's id makes their writes one change.
func (m *Machine) fold(at time.Time) []jdaw.Action {
	if len(m.suspensions) == 0 || m.snapshot == nil || m.view.Isolated {
		m.foldAt = time.Time{}
		return nil
	}
	if m.foldAt.IsZero() {
		m.foldAt = at
	}
	rank := m.foldRank()
	if m.folding || rank >= folders || at.Sub(m.foldAt) < foldPeriod+time.Duration(rank)*foldPenalty {
		return nil
	}
	m.foldAt = at
	m.folding = true
	return []jdaw.Action{Fold{Suspensions: m.sorted()}}
}

// pullOnTick repeats a pull that failed, and asks a random member if there is
// no document yet or no message has come for a while.
func (m *Machine) pullOnTick(at time.Time) []jdaw.Action {
	isQuiet := at.Sub(m.heardAt) >= antiEntropyPeriod && at.Sub(m.pullAt) >= antiEntropyPeriod
	if m.behind == "" && m.snapshot != nil && !isQuiet {
		return nil
	}
	m.pullAt = at
	if target, ok := m.view.Member(m.behind); ok && target.State != jdaw.MemberDead {
		return m.pull(at, target)
	}
	others := m.randomOthers(1)
	if len(others) == 0 {
		return nil
	}
	return m.pull(at, others[0])
}

func (m *Machine) pull(at time.Time, target jdaw.Member) []jdaw.Action {
	for vm, since := range m.pulling {
		if at.Sub(since) >= pullExpires {
			delete(m.pulling, vm)
		}
	}
	if _, ok := m.pulling[target.VM]; ok || len(m.pulling) >= maxPulls {
		return nil
	}
	m.pulling[target.VM] = at
	return []jdaw.Action{SendPull{VM: target.VM, Addr: target.PeerAddr}}
}

func (m *Machine) onViewChanged(ev jdaw.ViewChanged) []jdaw.Action {
	m.view = ev.View
	if watch := m.view.IsWatcher(); watch != m.watching {
		m.watching = watch
		return []jdaw.Action{SetWatch{On: watch}}
	}
	return nil
}

func (m *Machine) onHeaderSeen(at time.Time, ev jdaw.HeaderSeen) []jdaw.Action {
	m.heardAt = at
	isNew := ev.Revision > m.revision()
	differs := ev.Revision == m.revision() && ev.Suspensions != hashSuspensions(m.sorted())
	if !isNew && !differs {
		return nil
	}
	return m.pullFrom(at, ev.VM)
}

// pullFrom pulls from a member that has something new. The tick repeats it
// until a pull succeeds.
func (m *Machine) pullFrom(at time.Time, vm jdaw.VMID) []jdaw.Action {
	m.behind = vm
	target, ok := m.view.Member(vm)
	if !ok {
		return nil
	}
	return m.pull(at, target)
}

func (m *Machine) onPulled(at time.Time, ev Pulled) []jdaw.Action {
	delete(m.pulling, ev.From)
	if !ev.OK {
		return nil
	}
	m.heardAt = at
	if m.behind == ev.From {
		m.behind = ""
	}
	return m.adopt(ev.Doc, ev.Suspensions)
}

func (m *Machine) onHint(at time.Time, ev HintReceived) []jdaw.Action {
	out := m.adopt(nil, ev.Suspensions)
	if ev.Revision > m.revision() {
		out = append(out, m.pullFrom(at, ev.Sender)...)
	}
	return append(out, Answer{Reply: ev.Reply})
}

// adopt takes a document of a higher revision and new suspensions. A lower or
// equal revision is ignored: it may come late from a slow watch or a pull.
func (m *Machine) adopt(doc *config.Document, suspensions []jdaw.Suspension) []jdaw.Action {
	current := m.document()
	isNew := doc != nil && (m.snapshot == nil || doc.Revision > current.Revision)
	if isNew {
		current = *doc
	}
	resolved := map[string]bool{}
	for _, id := range current.ResolvedSuspensions {
		resolved[id] = true
	}
	changed := isNew
	for _, s := range suspensions {
		if _, ok := m.suspensions[s.ID]; !ok && s.ID != "" && !resolved[s.ID] {
			m.suspensions[s.ID] = s
			changed = true
		}
	}
	for id := range m.suspensions {
		if resolved[id] {
			delete(m.suspensions, id)
		}
	}
	if !changed || (m.snapshot == nil && !isNew) {
		return nil
	}
	m.snapshot = config.NewSnapshot(current, m.sorted())
	return append([]jdaw.Action{config.Adopted{Snapshot: m.snapshot}}, m.hint()...)
}

func (m *Machine) hint() []jdaw.Action {
	others := m.randomOthers(hintTargets)
	if len(others) == 0 {
		return nil
	}
	h := SendHint{Suspensions: m.sorted()}
	for _, o := range others {
		h.Addrs = append(h.Addrs, o.PeerAddr)
	}
	return []jdaw.Action{h}
}

// foldRank is this VM's place among those that may fold.
func (m *Machine) foldRank() int {
	vms := []jdaw.VMID{m.self}
	for _, o := range m.view.Serving() {
		if o.VM != m.self {
			vms = append(vms, o.VM)
		}
	}
	return slices.Index(jdaw.Rendezvous("fold", vms), m.self)
}

// randomOthers returns up to n other members that are not dead.
func (m *Machine) randomOthers(n int) []jdaw.Member {
	var others []jdaw.Member
	for _, o := range m.view.Members {
		if o.VM != m.self && o.State != jdaw.MemberDead {
			others = append(others, o)
		}
	}
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if len(others) > n {
		others = others[:n]
	}
	return others
}

func (m *Machine) revision() jdaw.Revision { return m.document().Revision }

func (m *Machine) document() config.Document {
	if m.snapshot == nil {
		return config.Document{}
	}
	return m.snapshot.Doc
}

func (m *Machine) sorted() []jdaw.Suspension {
	out := make([]jdaw.Suspension, 0, len(m.suspensions))
	for _, s := range m.suspensions {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
