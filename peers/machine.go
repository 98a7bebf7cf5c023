package peers

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	probePeriod      = 500 * time.Millisecond
	suspicionTimeout = time.Second
	isolationTimeout = 1500 * time.Millisecond
	// pauseGap is below the time after which other VMs declare a silent VM
	// dead, so that a paused VM stops working before its pools move.
	pauseGap = time.Second
	// listPeriod is the time between two readings of the VM list.
	listPeriod = time.Second
	// rejoinPeriod is the time between two attempts to reach a VM that is
	// listed or was known and is not alive. They mend a partition.
	rejoinPeriod = 2 * time.Second
	// deadKeep is how long a dead member stays in the table. It outlasts a
	// loss of contact between regions, after which both sides try each other.
	deadKeep = 5 * time.Minute
	// maxListLag is the time after which the VM list is taken to show the
	// present life of a VM.
	maxListLag = 10 * time.Second

	maxUpdates = 8 // per message
	helpers    = 2 // of an indirect probe
	// spreadTargets is the number of members that get a new change at once, at
	// most once a tick.
	spreadTargets = 2
	// firstJoins is the number of addresses tried at once while no other VM
	// is known, so that one dead seed does not delay the start.
	firstJoins = 3
	// retransmits is multiplied with log2 of the number of members; a change
	// is sent that often by each VM.
	retransmits = 3
	// listEvery is the share of probes that repeat the VM list's summary after
	// its first transmissions, for VMs that missed those.
	listEvery = 8
)

// member is one row of the table. State is alive, suspect or dead.
type member struct {
	jdaw.Member
	number    uint64
	draining  bool
	suspectAt time.Time
	deadAt    time.Time
	knownAt   time.Time // since when this incarnation is known
	// listedClear says that the VM list has shown this incarnation as staying.
	listedClear bool
}

// Machine is the member table of one process.
type Machine struct {
	self      jdaw.VMID
	seeds     []string
	hasList   bool
	rng       *rand.Rand
	members   map[jdaw.VMID]*member
	slot      int64             // of the last probe, in periods since 1970
	ring      []jdaw.VMID       // order of probes; nil after a change of states
	pending   map[jdaw.VMID]int // transmissions of each member's last change
	helping   map[jdaw.VMID]int // indirect probes without a result, by target
	list      []ListedVM        // as read by this process
	summary   Summary
	listSent  int
	probes    int
	isolated  bool
	changed   bool // the table differs from the last view
	urgent    bool // it differs in more than revisions
	fresh     bool // a change has not been sent yet
	startedAt time.Time
	// contactAt is when the last answered probe was sent, not answered: an
	// answer that waited in the queue during a pause proves nothing.
	contactAt  time.Time
	aloneAt    time.Time // when no other VM was known last
	isolatedAt time.Time
	rejoinAt   time.Time
	listAt     time.Time
}

// MachineConfig configures a Machine.
type MachineConfig struct {
	Self jdaw.Member
	// Number is the first number of this life. It must exceed the numbers of
	// earlier lives; the start time in milliseconds does.
	Number  uint64
	Seeds   []string // peer addresses to join
	HasList bool     // a VM list can be read
	Seed    uint64   // of the random generator
}

// NewMachine returns the table with this process alone. It is isolated until
// another VM answers or the VM list names no other.
func NewMachine(cfg MachineConfig) *Machine {
	self := &member{Member: cfg.Self.WithState(jdaw.MemberAlive), number: cfg.Number}
	m := &Machine{
		self:    cfg.Self.VM,
		hasList: cfg.HasList,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Number)),
		members: map[jdaw.VMID]*member{cfg.Self.VM: self},
		pending: map[jdaw.VMID]int{cfg.Self.VM: 0},
		helping: map[jdaw.VMID]int{},
		changed: true,
		urgent:  true,
	}
	for _, addr := range cfg.Seeds {
		if addr != cfg.Self.PeerAddr {
			m.seeds = append(m.seeds, addr)
		}
	}
	m.isolated = m.knowsOthers()
	return m
}

// Handle implements jdaw.Machine.
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	var out []jdaw.Action
	switch ev := ev.(type) {
	case jdaw.Tick:
		out = m.onTick(at, ev)
	case Probed:
		out = m.onProbed(at, ev)
	case ProbedFor:
		m.onProbedFor(at, ev)
	case Joined:
		m.onJoined(at, ev)
	case ProbeReceived:
		m.applyExchange(at, ev.Exchange)
		out = append(out, Answer{Reply: ev.Reply, Exchange: m.reply(ev)})
	case JoinReceived:
		m.apply(at, ev.Self)
		out = append(out, Answer{Reply: ev.Reply, Exchange: m.wholeTable()})
	case HelpReceived:
		m.applyAll(at, ev.Updates)
		out = append(out, Answer{Reply: ev.Reply})
	case ListRead:
		m.onListRead(at, ev)
	case jdaw.HeaderSeen:
		m.onHeaderSeen(ev)
	case config.Adopted:
		m.onAdopted(ev)
	case DrainStarted:
		m.drainSelf()
	case IncarnationChanged:
		m.members[m.self].Incarnation = ev.Incarnation
		m.raiseSelf(m.members[m.self].number)
	}
	return m.emitView(ev, out)
}

// emitView adds the new view. Changes of revisions alone wait for the tick,
// because a new revision changes every row within a second.
func (m *Machine) emitView(ev jdaw.Event, out []jdaw.Action) []jdaw.Action {
	_, isTick := ev.(jdaw.Tick)
	if !m.urgent && (!m.changed || !isTick) {
		return out
	}
	m.changed, m.urgent = false, false
	return append(out, jdaw.ViewChanged{View: m.view()})
}

func (m *Machine) onTick(at time.Time, ev jdaw.Tick) []jdaw.Action {
	if m.startedAt.IsZero() {
		m.startedAt = at
		m.members[m.self].knownAt = at
	}
	if ev.Gap > pauseGap {
		m.afterPause(at)
	}
	m.checkIsolation(at)
	m.expire(at)
	var out []jdaw.Action
	if slot := at.UnixMilli() / probePeriod.Milliseconds(); slot != m.slot {
		m.slot = slot
		out = append(out, m.probeNext(at)...)
	}
	if m.fresh {
		out = append(out, m.spreadNow(at)...)
		m.fresh = m.hasUnsent()
	}
	if at.Sub(m.rejoinAt) >= m.rejoinWait() {
		m.rejoinAt = at
		out = append(out, m.rejoin(at)...)
	}
	if m.hasList && at.Sub(m.listAt) >= listPeriod && m.readsList() {
		m.listAt = at
		out = append(out, ReadList{})
	}
	return out
}

// afterPause isolates this process until another VM answers a probe sent from
// now on. Suspicions start again: their members had no chance to refute them.
func (m *Machine) afterPause(at time.Time) {
	m.restartSuspicions(at)
	if m.knowsOthers() {
		m.isolate(at)
	}
}

func (m *Machine) checkIsolation(at time.Time) {
	if !m.knowsOthers() {
		m.aloneAt = at
		m.endIsolation(at)
		return
	}
	since := m.startedAt
	if m.contactAt.After(since) {
		since = m.contactAt
	}
	// A first other VM gets the same time to answer.
	if m.aloneAt.After(since) {
		since = m.aloneAt
	}
	if !m.isolated && at.Sub(since) >= isolationTimeout {
		m.isolate(at)
	}
}

func (m *Machine) isolate(at time.Time) {
	m.isolatedAt = at
	if m.isolated {
		return
	}
	m.isolated = true
	m.urgent = true
}

func (m *Machine) endIsolation(at time.Time) {
	if !m.isolated {
		return
	}
	m.isolated = false
	m.urgent = true
	m.restartSuspicions(at)
}

func (m *Machine) restartSuspicions(at time.Time) {
	for _, row := range m.members {
		if row.State == jdaw.MemberSuspect {
			row.suspectAt = at
		}
	}
}

// contact notes that another VM answered a message sent at sentAt.
func (m *Machine) contact(at, sentAt time.Time) {
	if sentAt.After(m.contactAt) {
		m.contactAt = sentAt
	}
	if sentAt.Before(m.isolatedAt) {
		return
	}
	m.endIsolation(at)
}

// knowsOthers reports whether other VMs should be reachable. The list decides
// if it has been read; members and seeds stand in for it.
func (m *Machine) knowsOthers() bool {
	if m.summary.Version > 0 {
		total := 0
		for _, n := range m.summary.ListedByDataCentre {
			total += n
		}
		return total > 1 || m.hasLiveOther()
	}
	return m.hasList || len(m.seeds) > 0 || len(m.members) > 1
}

func (m *Machine) hasLiveOther() bool {
	for vm, row := range m.members {
		if vm != m.self && row.State != jdaw.MemberDead {
			return true
		}
	}
	return false
}

// readsList reports whether this process reads the VM list now. An isolated
// VM does so itself, because the members it knows may all have been replaced.
func (m *Machine) readsList() bool {
	return m.summary.Version == 0 || m.isolated || m.view().IsWatcher()
}

// expire declares suspects dead and forgets old dead members. An isolated VM
// declares nobody dead: it is itself the one that is cut off.
func (m *Machine) expire(at time.Time) {
	var vms []jdaw.VMID
	for vm, row := range m.members {
		if row.State != jdaw.MemberAlive {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms) // the order of a map must not show in the actions
	for _, vm := range vms {
		row := m.members[vm]
		switch {
		case row.State == jdaw.MemberSuspect && !m.isolated && at.Sub(row.suspectAt) >= suspicionTimeout:
			m.setState(at, row, jdaw.MemberDead)
		case row.State == jdaw.MemberDead && at.Sub(row.deadAt) >= deadKeep:
			delete(m.members, vm)
			delete(m.pending, vm)
			m.urgent = true
		}
	}
}

func (m *Machine) probeNext(at time.Time) []jdaw.Action {
	row := m.nextTarget()
	if row == nil {
		return nil
	}
	return []jdaw.Action{m.probe(at, row, row.PeerAddr)}
}

// spreadNow sends a new change to a few members at once. With the periodic
// probes alone it took up to 2.9 s until 7 VMs saw the death of the eighth.
func (m *Machine) spreadNow(at time.Time) []jdaw.Action {
	vms := m.liveOthers()
	m.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	if len(vms) > spreadTargets {
		vms = vms[:spreadTargets]
	}
	var out []jdaw.Action
	for _, vm := range vms {
		out = append(out, m.probe(at, m.members[vm], m.members[vm].PeerAddr))
	}
	return out
}

// hasUnsent reports whether more changes wait than one message takes.
func (m *Machine) hasUnsent() bool {
	for _, sent := range m.pending {
		if sent == 0 {
			return true
		}
	}
	return false
}

func (m *Machine) probe(at time.Time, row *member, addr string) SendProbe {
	m.probes++
	updates := []Update{m.update(m.members[m.self])}
	if row.State != jdaw.MemberAlive {
		updates = append(updates, m.update(row))
	}
	x := Exchange{Updates: m.piggyback(updates), List: m.sendList(m.probes%listEvery == 0)}
	return SendProbe{Target: row.VM, Addr: addr, SentAt: at, Exchange: x}
}

// nextTarget returns the member at a distance on the ring that grows by one
// each period. As the VMs share the ring and, roughly, the clock, each member
// is probed once a period. With a random order at each VM a member waits for
// more than three periods with a probability of 5 %, (1-1/399)^(3*399).
func (m *Machine) nextTarget() *member {
	if m.ring == nil {
		m.ring = jdaw.Rendezvous("probe", append(m.liveOthers(), m.self))
	}
	n := len(m.ring)
	if n < 2 {
		return nil
	}
	distance := 1 + int(m.slot%int64(n-1))
	return m.members[m.ring[(slices.Index(m.ring, m.self)+distance)%n]]
}

func (m *Machine) liveOthers() []jdaw.VMID {
	var out []jdaw.VMID
	for _, vm := range m.sortedVMs() {
		if vm != m.self && m.members[vm].State != jdaw.MemberDead {
			out = append(out, vm)
		}
	}
	return out
}

func (m *Machine) onProbed(at time.Time, ev Probed) []jdaw.Action {
	if ev.OK {
		m.contact(at, ev.SentAt)
		m.applyExchange(at, ev.Exchange)
		if ev.Sender == ev.Target {
			return nil
		}
	}
	row := m.members[ev.Target]
	if row == nil || row.State == jdaw.MemberDead || m.helping[ev.Target] > 0 {
		return nil
	}
	return m.askHelpers(at, row)
}

// askHelpers starts the indirect probes. Without helpers the direct probe
// decides alone.
func (m *Machine) askHelpers(at time.Time, row *member) []jdaw.Action {
	var candidates []jdaw.VMID
	for _, vm := range m.liveOthers() {
		if vm != row.VM && m.members[vm].State == jdaw.MemberAlive {
			candidates = append(candidates, vm)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if len(candidates) > helpers {
		candidates = candidates[:helpers]
	}
	if len(candidates) == 0 {
		m.suspect(at, row)
		return nil
	}
	m.helping[row.VM] = len(candidates)
	var out []jdaw.Action
	for _, vm := range candidates {
		out = append(out, SendProbeFor{
			HelperAddr: m.members[vm].PeerAddr,
			Target:     row.VM,
			TargetAddr: row.PeerAddr,
			Number:     row.number,
			SentAt:     at,
		})
	}
	return out
}

func (m *Machine) onProbedFor(at time.Time, ev ProbedFor) {
	if ev.OK {
		m.contact(at, ev.SentAt)
		m.applyAll(at, ev.Updates)
	}
	if m.helping[ev.Target] == 0 {
		return // another helper has reached it
	}
	if ev.Reached {
		delete(m.helping, ev.Target)
		return
	}
	m.helping[ev.Target]--
	if m.helping[ev.Target] > 0 {
		return
	}
	delete(m.helping, ev.Target)
	row := m.members[ev.Target]
	if row != nil && row.number == ev.Number {
		m.suspect(at, row)
	}
}

func (m *Machine) suspect(at time.Time, row *member) {
	if row.State == jdaw.MemberAlive && !m.isolated {
		m.setState(at, row, jdaw.MemberSuspect)
	}
}

// setState records a state that this process found out itself.
func (m *Machine) setState(at time.Time, row *member, s jdaw.MemberState) {
	row.Member = row.WithState(s)
	row.suspectAt = at
	row.deadAt = at
	m.announce(row.VM)
}

func (m *Machine) onJoined(at time.Time, ev Joined) {
	if !ev.OK {
		return
	}
	m.contact(at, ev.SentAt)
	m.applyExchange(at, ev.Exchange)
}

func (m *Machine) onHeaderSeen(ev jdaw.HeaderSeen) {
	row := m.members[ev.VM]
	if row == nil || ev.VM == m.self || row.Incarnation != ev.Incarnation {
		return
	}
	m.raiseRevision(row, ev.Revision)
}

func (m *Machine) onAdopted(ev config.Adopted) {
	if ev.Snapshot != nil {
		m.raiseRevision(m.members[m.self], ev.Snapshot.Revision())
	}
}

func (m *Machine) raiseRevision(row *member, r jdaw.Revision) {
	if r > row.Revision {
		row.Member = row.WithRevision(r)
		m.changed = true
	}
}

func (m *Machine) drainSelf() {
	self := m.members[m.self]
	if self.draining {
		return
	}
	self.draining = true
	m.raiseSelf(self.number)
}

// announce queues a change of a member for the next messages.
func (m *Machine) announce(vm jdaw.VMID) {
	m.pending[vm] = 0
	m.urgent = true
	m.fresh = true
	m.ring = nil
}

// raiseSelf announces this process with a number above what others have seen.
func (m *Machine) raiseSelf(seen uint64) {
	self := m.members[m.self]
	if seen >= self.number {
		self.number = seen + 1
	}
	m.announce(m.self)
}

func (m *Machine) sortedVMs() []jdaw.VMID {
	out := make([]jdaw.VMID, 0, len(m.members))
	for vm := range m.members {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// view copies the table. A draining member stays draining while suspect.
func (m *Machine) view() *jdaw.View {
	v := &jdaw.View{
		Self:               m.self,
		Isolated:           m.isolated,
		ListedByDataCentre: m.summary.ListedByDataCentre,
		ListedByRegion:     m.summary.ListedByRegion,
		LeavingUpstreams:   m.summary.LeavingUpstreams,
	}
	for _, vm := range m.sortedVMs() {
		row := m.members[vm]
		if row.draining && row.State != jdaw.MemberDead {
			v.Members = append(v.Members, row.WithState(jdaw.MemberDraining))
			continue
		}
		v.Members = append(v.Members, row.Member)
	}
	return v
}
