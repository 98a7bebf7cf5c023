package fleet

import (
	"maps"
	"sort"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const (
	// reregisterGrace is the time allowed after the store's recovery for entries
	// that expired in the outage to be written again.
	reregisterGrace = 1900 * time.Millisecond
	// minExpiryOutage is the shortest outage in which entries may have expired.
	minExpiryOutage = time.Second
	// coldMargin covers the lag of an upstream's report of its cold time.
	coldMargin = 300 * time.Millisecond
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	Self   jdaw.VMID
	Region jdaw.Region
	// DataCentres are those of the deployment with their regions.
	DataCentres map[jdaw.DataCentre]jdaw.Region
	// Exposure is the largest share of a service's requests that an undecided
	// version may get until the deadline of its roll-out; 0 takes the default.
	Exposure float64
}

// defaultExposure leaves a version that fails half of its requests one failure
// in fifteen requests.
const defaultExposure = 0.12

// Machine is the state of the deployment. It implements [jdaw.Machine].
type Machine struct {
	cfg              MachineConfig
	table            *config.RouteTable
	upstreams        map[jdaw.UpstreamID]*Upstream
	expiredUpstreams map[jdaw.UpstreamID]time.Time // entries that expired in an outage, by end of grace
	out              map[jdaw.DataCentre]bool
	members          map[string]Member
	expiredMembers   map[string]time.Time // members that expired in an outage
	rollouts         map[string]*rollout
	quarantined      map[jdaw.PromptPartKey]jdaw.Quarantine
	lapsed           map[jdaw.PromptPartKey]jdaw.Quarantine // entries that expired in an outage
	// reports and steps are the revisions of the last writes about roll-outs, by
	// service. An evaluator writes only if nobody has written since.
	reports    map[string]uint64
	steps      map[string]uint64
	reload     *reload // a full read in progress
	graceUntil time.Time
	synced     bool
	dirty      bool
	view       *jdaw.View
	snapshot   *config.Snapshot
}

// reload records the entries seen in a full read.
type reload struct {
	startedAt time.Time
	outage    time.Duration
	upstreams map[jdaw.UpstreamID]bool
	members   map[string]bool
	out       map[jdaw.DataCentre]bool
	orders    map[string]bool
	// quarantined are the prompt parts whose quarantines were seen.
	quarantined map[jdaw.PromptPartKey]bool
}

// NewMachine returns a machine with empty state.
func NewMachine(cfg MachineConfig) *Machine {
	if cfg.Exposure == 0 {
		cfg.Exposure = defaultExposure
	}
	return &Machine{
		cfg:              cfg,
		upstreams:        map[jdaw.UpstreamID]*Upstream{},
		expiredUpstreams: map[jdaw.UpstreamID]time.Time{},
		out:              map[jdaw.DataCentre]bool{},
		members:          map[string]Member{},
		expiredMembers:   map[string]time.Time{},
		rollouts:         map[string]*rollout{},
		quarantined:      map[jdaw.PromptPartKey]jdaw.Quarantine{},
		lapsed:           map[jdaw.PromptPartKey]jdaw.Quarantine{},
		reports:          map[string]uint64{},
		steps:            map[string]uint64{},
	}
}

// Publish is the action that puts a new state in force.
type Publish struct{ State *State }

// ActionName implements [jdaw.Action].
func (Publish) ActionName() string { return "publishState" }

// Handle implements [jdaw.Machine].
func (m *Machine) Handle(at time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case Reloading:
		m.reload = &reload{
			startedAt: at, outage: ev.Outage, upstreams: map[jdaw.UpstreamID]bool{}, members: map[string]bool{},
			out: map[jdaw.DataCentre]bool{}, orders: map[string]bool{},
			quarantined: map[jdaw.PromptPartKey]bool{},
		}
	case RoutesSeen:
		m.routesSeen(ev.Table)
	case UpstreamSeen:
		m.upstreamSeen(at, ev.Upstream)
	case UpstreamGone:
		m.upstreamGone(at, ev.ID)
	case DataCentreOrdered:
		m.dataCentreOrdered(at, ev)
	case MemberSeen:
		m.memberSeen(ev)
	case MemberGone:
		m.memberGone(at, ev.VM)
	case QuarantineSeen:
		m.quarantineSeen(at, ev.Quarantine)
	case QuarantineGone:
		m.quarantineGone(at, ev.Key)
	case RolloutOrdered:
		m.rolloutOrdered(at, ev)
	case RolloutReported:
		m.rolloutReported(ev)
	case StepSeen:
		m.stepSeen(at, ev)
	case VersionSuspended:
		return m.versionSuspended(at, ev)
	case VersionHeld:
		m.versionHeld(at, ev.Version)
	case Synced:
		return m.sync(at, ev)
	case jdaw.Tick:
		return m.tick(at)
	}
	return nil
}

// routesSeen accepts newer revisions only: reads may arrive out of order.
func (m *Machine) routesSeen(t *config.RouteTable) {
	if m.table != nil && t.Revision <= m.table.Revision {
		return
	}
	m.table = t
	m.dirty = true
}

func (m *Machine) upstreamSeen(at time.Time, u Upstream) {
	if m.reload != nil {
		m.reload.upstreams[u.ID] = true
	}
	delete(m.expiredUpstreams, u.ID)
	old := m.upstreams[u.ID]
	if old != nil && old.Revision == u.Revision {
		return
	}
	u.SeenAt = at
	if m.reload != nil {
		u.SeenAt = m.reload.startedAt // the order of a full read says nothing about age
	}
	if old != nil && old.Born == u.Born {
		u.SeenAt, u.ColdUntil = old.SeenAt, old.ColdUntil
	}
	if u.Cold > 0 {
		u.ColdUntil = at.Add(u.Cold + coldMargin)
	}
	m.upstreams[u.ID] = &u
	if r := m.rollouts[u.Service]; r != nil {
		r.upstreamStarted(at, &u)
	}
	m.dirty = true
}

// upstreamGone removes an upstream at once, because removal of the entry may
// be the only sign that it leaves; only entries that expired in an outage get
// a grace period.
func (m *Machine) upstreamGone(at time.Time, id jdaw.UpstreamID) {
	if at.Before(m.graceUntil) {
		if m.upstreams[id] != nil {
			m.expiredUpstreams[id] = m.graceUntil
		}
		return
	}
	delete(m.upstreams, id)
	delete(m.expiredUpstreams, id)
	m.dirty = true
}

func (m *Machine) dataCentreOrdered(at time.Time, ev DataCentreOrdered) {
	if m.reload != nil && ev.Out {
		m.reload.out[ev.DataCentre] = true
	}
	if m.out[ev.DataCentre] == ev.Out {
		return
	}
	m.dirty = true
	if ev.Out {
		m.out[ev.DataCentre] = true
		return
	}
	m.restoreDataCentre(at, ev.DataCentre)
}

// restoreDataCentre treats the upstreams of a data centre as cold: they were
// idle while it was out, and their reports of it may not have arrived.
func (m *Machine) restoreDataCentre(at time.Time, dc jdaw.DataCentre) {
	delete(m.out, dc)
	m.dirty = true
	for _, u := range m.upstreams {
		if u.DataCentre != dc || m.table == nil {
			continue
		}
		if until := at.Add(m.table.Services[u.Service].ColdTime); until.After(u.ColdUntil) {
			u.ColdUntil = until
		}
	}
}

// sync ends a batch of changes.
func (m *Machine) sync(at time.Time, ev Synced) []jdaw.Action {
	if ev.Reloaded && m.reload != nil {
		m.endReload(at)
	}
	m.synced = m.synced || ev.Reloaded
	return m.publish()
}

func (m *Machine) endReload(at time.Time) {
	r := m.reload
	m.reload = nil
	if r.outage >= minExpiryOutage && m.synced {
		m.graceUntil = at.Add(reregisterGrace)
	}
	for id := range m.upstreams {
		if !r.upstreams[id] {
			m.upstreamGone(at, id)
		}
	}
	for vm := range m.members {
		if !r.members[vm] {
			m.memberGone(at, vm)
		}
	}
	for dc := range m.out {
		if !r.out[dc] {
			m.restoreDataCentre(at, dc)
		}
	}
	for key := range m.quarantined {
		if !r.quarantined[key] {
			m.quarantineGone(at, key)
		}
	}
	for service := range m.rollouts {
		if !r.orders[service] {
			m.rolloutOrdered(at, RolloutOrdered{Service: service, Removed: true})
		}
	}
	m.dirty = true
}

func (m *Machine) tick(at time.Time) []jdaw.Action {
	for id, end := range m.expiredUpstreams {
		if at.After(end) {
			delete(m.expiredUpstreams, id)
			delete(m.upstreams, id)
			m.dirty = true
		}
	}
	for vm, end := range m.expiredMembers {
		if at.After(end) {
			delete(m.expiredMembers, vm)
			delete(m.members, vm)
			m.dirty = true
		}
	}
	m.raiseHeld(at)
	actions := m.advance(at)
	return append(actions, m.publish()...)
}

// publish emits the state if it has changed and is complete.
func (m *Machine) publish() []jdaw.Action {
	if !m.dirty || !m.synced {
		return nil
	}
	m.dirty = false
	st := &State{
		Table: m.table, Upstreams: map[string][]Upstream{}, Out: map[jdaw.DataCentre]bool{},
		Rollouts: map[string]Rollout{}, Baseline: map[string]string{},
	}
	for _, u := range m.upstreams {
		st.Upstreams[u.Service] = append(st.Upstreams[u.Service], *u)
	}
	for service, list := range st.Upstreams {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		st.Baseline[service] = baseline(list)
	}
	for dc := range m.out {
		st.Out[dc] = true
	}
	for service, r := range m.rollouts {
		st.Rollouts[service] = r.Rollout
	}
	st.Quarantined, st.LapsedQuarantines = maps.Clone(m.quarantined), maps.Clone(m.lapsed)
	for _, member := range m.members {
		st.Members = append(st.Members, member)
	}
	sort.Slice(st.Members, func(i, j int) bool { return st.Members[i].VM < st.Members[j].VM })
	m.snapshot = config.NewSnapshot(m.document(st), nil)
	m.view = m.memberView(st)
	// The evaluator of a roll-out is determined from the snapshot that contains it.
	for service, r := range m.rollouts {
		shown := r.Rollout
		shown.IsEvaluator = m.isEvaluator(r)
		st.Rollouts[service] = shown
	}
	return []jdaw.Action{
		Publish{State: st}, config.Adopted{Snapshot: m.snapshot}, jdaw.ViewChanged{View: m.view},
	}
}

// baseline returns the version of most upstreams that stay; of equals, that of the
// upstream seen first. It is the version to use while no order names another. The
// first entry alone doesn't decide: another writer may have left it.
func baseline(list []Upstream) string {
	staying, first := map[string]int{}, map[string]*Upstream{}
	for i := range list {
		u := &list[i]
		if !u.Leaving {
			staying[u.Version]++
		}
		if known := first[u.Version]; known == nil || u.precedes(known) {
			first[u.Version] = u
		}
	}
	var best *Upstream
	for version, u := range first {
		if best == nil || staying[version] > staying[best.Version] ||
			staying[version] == staying[best.Version] && u.precedes(best) {
			best = u
		}
	}
	if best == nil {
		return ""
	}
	return best.Version
}

// document expresses the roll-outs as a configuration, the form that package
// guard evaluates. A service counts as a model with versions.
func (m *Machine) document(st *State) config.Document {
	doc := config.Document{Revision: 1}
	for dc, region := range m.cfg.DataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dc, Region: region, Out: st.Out[dc]})
	}
	for _, r := range st.Rollouts {
		model := config.Model{Name: r.Service, Kind: r.Service}
		if v := m.stableVersion(r); v != "" {
			model.Versions = append(model.Versions, config.Version{Name: v, State: config.VersionActive})
		}
		target := config.Version{Name: r.Version, State: config.VersionRollout}
		if r.State == RolloutRolledBack {
			target.State = config.VersionWithdrawn
		}
		model.Versions = append(model.Versions, target)
		doc.Models = append(doc.Models, model)
		if r.State != RolloutRunning {
			continue
		}
		doc.Rollouts = append(doc.Rollouts, config.Rollout{
			Model: r.Service, Version: r.Version, SharePercent: 100 * r.Share,
			State: config.RolloutRunning, StartedAt: time.Unix(0, int64(r.Order)),
		})
	}
	return doc
}

// stableVersion returns the version that a roll-out replaces. It stays the same while
// an upstream of it is left: the guard starts a new test if it changes, and an entry
// of another writer may come to be the first while upstreams are replaced.
func (m *Machine) stableVersion(r Rollout) string {
	var list []Upstream
	known := m.rollouts[r.Service]
	for _, u := range m.upstreams {
		if u.Service != r.Service || u.Version == r.Version {
			continue
		}
		if known != nil && known.stable != "" && u.Version == known.stable {
			return known.stable
		}
		list = append(list, *u)
	}
	stable := baseline(list)
	if known != nil {
		known.stable = stable
	}
	return stable
}

func (m *Machine) memberView(st *State) *jdaw.View {
	v := &jdaw.View{Self: m.cfg.Self}
	for _, member := range st.Members {
		v.Members = append(v.Members, jdaw.Member{
			VM: member.VM, Incarnation: jdaw.Incarnation(member.Start), DataCentre: member.DataCentre,
			Region: member.Region, EntryAddr: member.Address, State: jdaw.MemberAlive,
		})
	}
	return v
}
