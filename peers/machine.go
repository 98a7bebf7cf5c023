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
	// pauseThreshold is below the time after which other VMs declare an
	// unresponsive VM dead, so that a paused VM stops before its pools move.
	pauseThreshold = time.Second
	// listInterval is the time between two reads of the VM list.
	listInterval = time.Second
	// rejoinInterval is the time between two attempts to contact listed VMs,
	// seeds and dead members, which heals partitions.
	rejoinInterval = 2 * time.Second
	// deadRetention is how long a dead member stays in the table. It outlasts a
	// partition between regions, so that both sides contact each other after it.
	deadRetention = 5 * time.Minute
	// maxListLag is the time after which the VM list is assumed to describe the
	// current incarnation of a VM.
	maxListLag = 10 * time.Second

	maxUpdates = 8 // per message
	maxHelpers = 2 // of an indirect probe
	// gossipFanout is the number of members that are sent a new update
	// immediately, at most once per tick.
	gossipFanout = 2
	// maxInitialJoins is the number of addresses contacted at once while this
	// process is isolated, so that one dead seed does not delay the start.
	maxInitialJoins = 3
	// retransmitMultiplier times log2 of the number of members is how often each
	// VM sends an update.
	retransmitMultiplier = 3
	// probesPerListSummary makes one in 8 probes repeat the VM list summary after
	// its first transmissions, for VMs that missed those.
	probesPerListSummary = 8
)

// member is one row of the table. State is alive, suspect or dead.
type member struct {
	jdaw.Member
	number      uint64
	draining    bool
	suspectAt   time.Time
	deadAt      time.Time
	firstSeenAt time.Time // when this incarnation was first seen
	// listedStaying: the VM list has shown this incarnation as not leaving.
	listedStaying bool
}

// Machine is the member table of one process.
type Machine struct {
	self              jdaw.VMID
	seeds             []string
	hasList           bool
	rng               *rand.Rand
	members           map[jdaw.VMID]*member
	period            int64             // of the last probe, counted from the Unix epoch
	ring              []jdaw.VMID       // probe order; nil if out of date
	pending           map[jdaw.VMID]int // transmissions of each member's last update
	indirectProbes    map[jdaw.VMID]int // outstanding, by target
	list              []ListedVM        // last read by this process
	summary           VMListSummary
	listTransmissions int
	probesSent        int
	isolated          bool
	changed           bool // the table has changed since the last view
	publishNow        bool // more than revisions has changed
	gossipPending     bool // an update has not been sent yet
	startedAt         time.Time
	// lastContactAt is when the last answered probe was sent, not answered: an
	// answer that was queued during a pause proves nothing.
	lastContactAt time.Time
	lastAloneAt   time.Time // when no peers were last expected
	isolatedAt    time.Time
	rejoinAt      time.Time
	listAt        time.Time
}

// MachineConfig configures a Machine.
type MachineConfig struct {
	Self jdaw.Member
	// Number is the initial incarnation number. It must exceed the numbers of
	// earlier incarnations; the start time in milliseconds does.
	Number  uint64
	Seeds   []string // peer addresses to join
	HasList bool     // a VM list can be read
	Seed    uint64   // of the random generator
}

// NewMachine returns a Machine whose table holds only this process. With a VM
// list or seeds it is isolated until another VM answers or the list names no
// other.
func NewMachine(cfg MachineConfig) *Machine {
	self := &member{Member: cfg.Self.WithState(jdaw.MemberAlive), number: cfg.Number}
	m := &Machine{
		self:           cfg.Self.VM,
		hasList:        cfg.HasList,
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.Number)),
		members:        map[jdaw.VMID]*member{cfg.Self.VM: self},
		pending:        map[jdaw.VMID]int{cfg.Self.VM: 0},
		indirectProbes: map[jdaw.VMID]int{},
		changed:        true,
		publishNow:     true,
	}
	for _, addr := range cfg.Seeds {
		if addr != cfg.Self.PeerAddr {
			m.seeds = append(m.seeds, addr)
		}
	}
	m.isolated = m.expectsPeers()
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
		out = append(out, Answer{Reply: ev.Reply, Exchange: m.answerProbe(ev)})
	case JoinReceived:
		m.applyUpdate(at, ev.Self)
		out = append(out, Answer{Reply: ev.Reply, Exchange: m.fullTable()})
	case IndirectProbeServed:
		m.applyUpdates(at, ev.Updates)
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
		m.reannounceSelf(m.members[m.self].number)
	}
	return m.emitView(ev, out)
}

// emitView appends a new view. Changes of revisions alone are published on the
// next tick, because a new revision changes every row within a second.
func (m *Machine) emitView(ev jdaw.Event, out []jdaw.Action) []jdaw.Action {
	_, isTick := ev.(jdaw.Tick)
	if !m.publishNow && (!m.changed || !isTick) {
		return out
	}
	m.changed, m.publishNow = false, false
	return append(out, jdaw.ViewChanged{View: m.view()})
}

func (m *Machine) onTick(at time.Time, ev jdaw.Tick) []jdaw.Action {
	if m.startedAt.IsZero() {
		m.startedAt = at
		m.members[m.self].firstSeenAt = at
	}
	if ev.Gap > pauseThreshold {
		m.afterPause(at)
	}
	m.checkIsolation(at)
	m.expire(at)
	var out []jdaw.Action
	if period := at.UnixMilli() / probePeriod.Milliseconds(); period != m.period {
		m.period = period
		out = append(out, m.probeNext(at)...)
	}
	if m.gossipPending {
		out = append(out, m.gossipNow(at)...)
		m.gossipPending = m.hasUnsentUpdate()
	}
	if at.Sub(m.rejoinAt) >= m.rejoinDelay() {
		m.rejoinAt = at
		out = append(out, m.rejoin(at)...)
	}
	if m.hasList && at.Sub(m.listAt) >= listInterval && m.shouldReadList() {
		m.listAt = at
		out = append(out, ReadList{})
	}
	return out
}

// afterPause isolates this process until another VM answers a probe sent from
// now on. Suspicion timers restart: members had no chance to refute.
func (m *Machine) afterPause(at time.Time) {
	m.resetSuspicionTimers(at)
	if m.expectsPeers() {
		m.isolate(at)
	}
}

func (m *Machine) checkIsolation(at time.Time) {
	if !m.expectsPeers() {
		m.lastAloneAt = at
		m.endIsolation(at)
		return
	}
	since := m.startedAt
	if m.lastContactAt.After(since) {
		since = m.lastContactAt
	}
	// The first peer to become known gets the same time to answer.
	if m.lastAloneAt.After(since) {
		since = m.lastAloneAt
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
	m.publishNow = true
}

func (m *Machine) endIsolation(at time.Time) {
	if !m.isolated {
		return
	}
	m.isolated = false
	m.publishNow = true
	m.resetSuspicionTimers(at)
}

func (m *Machine) resetSuspicionTimers(at time.Time) {
	for _, row := range m.members {
		if row.State == jdaw.MemberSuspect {
			row.suspectAt = at
		}
	}
}

// recordContact records that another VM answered a message sent at sentAt.
func (m *Machine) recordContact(at, sentAt time.Time) {
	if sentAt.After(m.lastContactAt) {
		m.lastContactAt = sentAt
	}
	if sentAt.Before(m.isolatedAt) {
		return
	}
	m.endIsolation(at)
}

// expectsPeers reports whether other VMs should be reachable. Until the VM list
// is read, a configured list, seeds or other members suffice.
func (m *Machine) expectsPeers() bool {
	if m.summary.Version > 0 {
		total := 0
		for _, n := range m.summary.ListedByDataCentre {
			total += n
		}
		return total > 1 || m.hasLivePeer()
	}
	return m.hasList || len(m.seeds) > 0 || len(m.members) > 1
}

func (m *Machine) hasLivePeer() bool {
	for vm, row := range m.members {
		if vm != m.self && row.State != jdaw.MemberDead {
			return true
		}
	}
	return false
}

// shouldReadList reports whether this process reads the VM list. An isolated VM
// reads it itself because all members in its table may have been replaced.
func (m *Machine) shouldReadList() bool {
	return m.summary.Version == 0 || m.isolated || m.view().IsWatcher()
}

// expire declares suspects dead and removes members dead for deadRetention. An
// isolated VM declares nobody dead: it is the one that is partitioned.
func (m *Machine) expire(at time.Time) {
	var vms []jdaw.VMID
	for vm, row := range m.members {
		if row.State != jdaw.MemberAlive {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms) // map order must not affect the actions
	for _, vm := range vms {
		row := m.members[vm]
		switch {
		case row.State == jdaw.MemberSuspect && !m.isolated && at.Sub(row.suspectAt) >= suspicionTimeout:
			m.setState(at, row, jdaw.MemberDead)
		case row.State == jdaw.MemberDead && at.Sub(row.deadAt) >= deadRetention:
			delete(m.members, vm)
			delete(m.pending, vm)
			m.publishNow = true
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

// gossipNow sends new updates to a few members immediately. With the periodic
// probes alone, 7 VMs took up to 2.9 s to see the death of the eighth.
func (m *Machine) gossipNow(at time.Time) []jdaw.Action {
	vms := m.livePeers()
	m.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	if len(vms) > gossipFanout {
		vms = vms[:gossipFanout]
	}
	var out []jdaw.Action
	for _, vm := range vms {
		out = append(out, m.probe(at, m.members[vm], m.members[vm].PeerAddr))
	}
	return out
}

// hasUnsentUpdate reports whether an update has not been sent yet.
func (m *Machine) hasUnsentUpdate() bool {
	for _, sent := range m.pending {
		if sent == 0 {
			return true
		}
	}
	return false
}

func (m *Machine) probe(at time.Time, row *member, addr string) SendProbe {
	m.probesSent++
	updates := []Update{m.update(m.members[m.self])}
	if row.State != jdaw.MemberAlive {
		updates = append(updates, m.update(row))
	}
	x := Exchange{Updates: m.piggyback(updates), List: m.nextListSummary(m.probesSent%probesPerListSummary == 0)}
	return SendProbe{Target: row.VM, Addr: addr, SentAt: at, Exchange: x}
}

// nextTarget returns the member at a ring distance that grows by one each
// period. As the VMs share the ring and, roughly, the clock, each member is
// probed once a period. With a random order at each VM, a member would wait
// more than three periods with a probability of 5 %, (1-1/399)^(3*399).
func (m *Machine) nextTarget() *member {
	if m.ring == nil {
		m.ring = jdaw.Rendezvous("probe", append(m.livePeers(), m.self))
	}
	n := len(m.ring)
	if n < 2 {
		return nil
	}
	distance := 1 + int(m.period%int64(n-1))
	return m.members[m.ring[(slices.Index(m.ring, m.self)+distance)%n]]
}

func (m *Machine) livePeers() []jdaw.VMID {
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
		m.recordContact(at, ev.SentAt)
		m.applyExchange(at, ev.Exchange)
		if ev.Sender == ev.Target {
			return nil
		}
	}
	row := m.members[ev.Target]
	if row == nil || row.State == jdaw.MemberDead || m.indirectProbes[ev.Target] > 0 {
		return nil
	}
	return m.startIndirectProbes(at, row)
}

// startIndirectProbes asks up to maxHelpers members to probe row. Without
// helpers the failed direct probe alone makes it suspect.
func (m *Machine) startIndirectProbes(at time.Time, row *member) []jdaw.Action {
	var candidates []jdaw.VMID
	for _, vm := range m.livePeers() {
		if vm != row.VM && m.members[vm].State == jdaw.MemberAlive {
			candidates = append(candidates, vm)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if len(candidates) > maxHelpers {
		candidates = candidates[:maxHelpers]
	}
	if len(candidates) == 0 {
		m.suspect(at, row)
		return nil
	}
	m.indirectProbes[row.VM] = len(candidates)
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
		m.recordContact(at, ev.SentAt)
		m.applyUpdates(at, ev.Updates)
	}
	if m.indirectProbes[ev.Target] == 0 {
		return // another helper has already reached it
	}
	if ev.Reached {
		delete(m.indirectProbes, ev.Target)
		return
	}
	m.indirectProbes[ev.Target]--
	if m.indirectProbes[ev.Target] > 0 {
		return
	}
	delete(m.indirectProbes, ev.Target)
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

// setState records a state change that this process detected itself.
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
	m.recordContact(at, ev.SentAt)
	m.applyExchange(at, ev.Exchange)
}

func (m *Machine) onHeaderSeen(ev jdaw.HeaderSeen) {
	row := m.members[ev.VM]
	if row == nil || ev.VM == m.self || row.Incarnation != ev.Incarnation {
		return
	}
	m.advanceRevision(row, ev.Revision)
}

func (m *Machine) onAdopted(ev config.Adopted) {
	if ev.Snapshot != nil {
		m.advanceRevision(m.members[m.self], ev.Snapshot.Revision())
	}
}

func (m *Machine) advanceRevision(row *member, r jdaw.Revision) {
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
	m.reannounceSelf(self.number)
}

// announce queues an update of a member for the next messages.
func (m *Machine) announce(vm jdaw.VMID) {
	m.pending[vm] = 0
	m.publishNow = true
	m.gossipPending = true
	m.ring = nil
}

// reannounceSelf announces this process with a number above seen.
func (m *Machine) reannounceSelf(seen uint64) {
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

// view copies the table. A draining member is shown as draining while suspect.
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
