package owner_test

import (
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
)

var (
	epoch  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	poolID = jdaw.PoolID{Kind: "lm", DataCentre: "dc1"}
	v1     = jdaw.ModelVersion{Model: "m", Version: "v1"}
	v2     = jdaw.ModelVersion{Model: "m", Version: "v2"}
)

func vmName(i int) jdaw.VMID { return jdaw.VMID(fmt.Sprintf("vm%d", i)) }

func upstreamName(i int) jdaw.UpstreamID { return jdaw.UpstreamID(fmt.Sprintf("up%03d", i)) }

// document has n upstreams of one pool and three workspaces.
func document(n int) config.Document {
	doc := config.Document{
		Revision:    5,
		DataCentres: []config.DataCentre{{Name: "dc1", Region: "r"}, {Name: "dc2", Region: "r"}},
		Models: []config.Model{{Name: "m", Kind: "lm", Versions: []config.Version{
			{Name: "v1", State: config.VersionActive}, {Name: "v2", State: config.VersionRollout},
		}}},
		Rollouts: []config.Rollout{{Model: "m", Version: "v2", State: config.RolloutRunning}},
	}
	for _, id := range []jdaw.WorkspaceID{"a", "b", "c"} {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{ID: id, Allow: []string{"m"}})
	}
	for i := range n {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: upstreamName(i), Kind: "lm", DataCentre: "dc1", Address: fmt.Sprintf("http://10.0.0.%d", i),
			Versions: []string{"m@v1", "m@v2"}, MaxConcurrent: 8, ColdConcurrent: 2,
		})
	}
	return doc
}

// view has n VMs in dc1, alive except for those named in dead.
func view(self jdaw.VMID, n int, dead ...jdaw.VMID) *jdaw.View {
	v := &jdaw.View{
		Self:               self,
		ListedByDataCentre: map[jdaw.DataCentre]int{"dc1": n},
		ListedByRegion:     map[jdaw.Region]int{"r": n},
	}
	for i := range n {
		m := jdaw.Member{
			VM: vmName(i), Incarnation: jdaw.Incarnation("inc-" + vmName(i)), DataCentre: "dc1", Region: "r",
			PeerAddr: "10.1.0.1:" + fmt.Sprint(i), State: jdaw.MemberAlive,
		}
		for _, d := range dead {
			if d == m.VM {
				m.State = jdaw.MemberDead
			}
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// driver sends events to one machine and stores its actions.
type driver struct {
	t        testing.TB
	m        *owner.Machine
	self     jdaw.VMID
	now      time.Time
	ticket   uint64
	grants   map[uint64]owner.Grant
	refusals map[uint64]owner.Refuse
	other    []jdaw.Action
	// open are granted credits that were not released.
	open map[string]owner.Grant
	// manualStarts keeps the upstreams from starting responses automatically.
	manualStarts bool
}

func newDriver(t testing.TB, self jdaw.VMID) *driver {
	return &driver{
		t: t, self: self, now: epoch,
		m:      owner.New(owner.Config{Self: self, Incarnation: jdaw.Incarnation("inc-" + self)}),
		grants: map[uint64]owner.Grant{}, refusals: map[uint64]owner.Refuse{}, open: map[string]owner.Grant{},
	}
}

// startedOwner returns an owner of the pool whose wait after takeover is over.
func startedOwner(t testing.TB, doc config.Document) *driver {
	v := view("", 8)
	m, ok := owner.Of(v, config.NewSnapshot(doc, nil), poolID)
	if !ok {
		t.Fatal("no owner")
	}
	d := newDriver(t, m.VM)
	d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	d.send(jdaw.ViewChanged{View: view(d.self, 8)})
	d.pass(2100 * time.Millisecond)
	return d
}

// handle checks the invariants after the event.
func (d *driver) handle(ev jdaw.Event) []jdaw.Action {
	actions := d.m.Handle(d.now, ev)
	if err := d.m.Check(actions); err != nil {
		d.t.Fatalf("after %s %+v: %v", ev.EventName(), ev, err)
	}
	return actions
}

func (d *driver) send(ev jdaw.Event) {
	var granted []owner.Grant
	for _, a := range d.handle(ev) {
		switch a := a.(type) {
		case owner.Grant:
			if _, ok := d.grants[a.Ticket]; ok {
				d.t.Fatalf("ticket %d was granted twice", a.Ticket)
			}
			d.grants[a.Ticket] = a
			d.open[a.Credit] = a
			granted = append(granted, a)
		case owner.Refuse:
			d.refusals[a.Ticket] = a
		default:
			d.other = append(d.other, a)
		}
	}
	if d.manualStarts {
		return
	}
	for _, g := range granted {
		d.start(g, "")
	}
}

// start reports to the owner that the upstream responds.
func (d *driver) start(g owner.Grant, incarnation string) {
	d.send(owner.CreditsReleased{From: "vm1", Releases: []owner.Released{{
		Credit: g.Credit, Pool: g.Pool, Upstream: g.Upstream, Version: g.Version,
		Outcome: jdaw.OutcomeStarted, UpstreamIncarnation: incarnation,
	}}})
}

// pass advances time in ticks of 100 ms.
func (d *driver) pass(period time.Duration) {
	for end := d.now.Add(period); d.now.Before(end); {
		d.now = d.now.Add(100 * time.Millisecond)
		d.send(jdaw.Tick{Gap: 100 * time.Millisecond})
	}
}

// request returns an Acquire with defaults; edit changes it.
func (d *driver) request(edit func(q *owner.AcquireRequested)) uint64 {
	d.ticket++
	q := owner.AcquireRequested{
		Ticket: d.ticket, From: "vm1", Incarnation: "inc-vm1", FromAddr: "addr-vm1", Revision: 5,
		Pool: poolID, Workspace: "a", Versions: []jdaw.ModelVersion{v1}, Wait: 5 * time.Second,
	}
	if edit != nil {
		edit(&q)
	}
	d.send(q)
	return d.ticket
}

func (d *driver) release(g owner.Grant, outcome jdaw.Outcome, edit func(r *owner.Released)) {
	r := owner.Released{
		Credit: g.Credit, Pool: g.Pool, Upstream: g.Upstream, Version: g.Version,
		Outcome: outcome, FirstToken: 100 * time.Millisecond,
	}
	if edit != nil {
		edit(&r)
	}
	delete(d.open, g.Credit)
	d.send(owner.CreditsReleased{From: "vm1", Releases: []owner.Released{r}})
}

// grow serves n requests one after the other.
func (d *driver) grow(n int) {
	for range n {
		t := d.request(nil)
		d.now = d.now.Add(10 * time.Millisecond)
		d.release(d.mustGrant(t), jdaw.OutcomeOK, nil)
	}
}

func (d *driver) mustGrant(ticket uint64) owner.Grant {
	d.t.Helper()
	g, ok := d.grants[ticket]
	if !ok {
		d.t.Fatalf("ticket %d was not granted, refusal %+v", ticket, d.refusals[ticket])
	}
	return g
}

func (d *driver) mustRefuse(ticket uint64, code jdaw.Code) {
	d.t.Helper()
	r, ok := d.refusals[ticket]
	if !ok || r.Code != code {
		d.t.Fatalf("ticket %d: got refusal %+v (%s), want %s", ticket, r, r.Code, code)
	}
}

// fill requests n credits and returns how many were granted.
func (d *driver) fill(n int) int {
	before := len(d.grants)
	for range n {
		d.request(nil)
	}
	return len(d.grants) - before
}

func (d *driver) report(u jdaw.UpstreamID, edit func(r *owner.LoadReported)) {
	r := owner.LoadReported{
		Pool: poolID, Upstream: u, Incarnation: "e1", Uptime: time.Hour, Running: len(d.open),
		Capacity: 8, MeasuredAt: d.now,
	}
	if edit != nil {
		edit(&r)
	}
	d.send(r)
}
