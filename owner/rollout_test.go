package owner_test

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
	"jackdawbarrow/owner"
)

func (d *driver) requestVersions(versions ...jdaw.ModelVersion) uint64 {
	return d.request(func(q *owner.AcquireRequested) { q.Versions = versions })
}

// sent returns the counts sent since the last call.
func (d *driver) sent() []owner.SendCounts {
	var out []owner.SendCounts
	for _, a := range d.other {
		if s, ok := a.(owner.SendCounts); ok {
			out = append(out, s)
		}
	}
	d.other = nil
	return out
}

func (d *driver) granted(ticket uint64) bool {
	_, ok := d.grants[ticket]
	return ok
}

// Guards against a version in roll-out that gets hundreds of requests between
// two reports because it fails fast: the number without a confirmed outcome is
// bounded, a request that may use the stable version gets it, and one that may
// not waits until the evaluator has the outcomes.
func TestAllowanceBoundsPendingRequests(t *testing.T) {
	limit := guard.Allowance{Pools: 1}.Limit()
	d := startedOwner(t, document(limit))
	var first []uint64
	for range limit {
		first = append(first, d.requestVersions(v2, v1))
	}
	for _, ticket := range first {
		if g := d.mustGrant(ticket); g.Version != v2 {
			t.Fatalf("granted %s within the allowance, want %s", g.Version, v2)
		}
	}
	if g := d.mustGrant(d.requestVersions(v2, v1)); g.Version != v1 {
		t.Fatalf("granted %s beyond the allowance, want %s", g.Version, v1)
	}
	pinned := d.requestVersions(v2)
	for _, ticket := range first {
		d.release(d.grants[ticket], jdaw.OutcomeFailed, nil)
	}
	d.pass(300 * time.Millisecond)
	if d.granted(pinned) {
		t.Fatal("granted before the judge had the outcomes")
	}
	reports := d.sent()
	if len(reports) == 0 {
		t.Fatal("no counts were sent")
	}
	last := reports[len(reports)-1].Counts
	d.send(owner.CountsConfirmed{Counts: last})
	if g := d.mustGrant(pinned); g.Version != v2 {
		t.Fatalf("granted %s, want %s", g.Version, v2)
	}
	for i := 1; i < limit; i++ {
		d.mustGrant(d.requestVersions(v2))
	}
	d.send(owner.CountsConfirmed{Counts: last}) // repeated
	if ticket := d.requestVersions(v2); d.granted(ticket) {
		t.Error("a repeated confirmation allowed a further request")
	}
}

// Guards against requests without an outcome that use up the allowance
// forever: cancelled and unused credits, and those whose holder is dead.
func TestCreditsWithoutOutcomeReturnTheAllowance(t *testing.T) {
	cases := map[string]func(d *driver, tickets []uint64){
		"cancelled": func(d *driver, tickets []uint64) {
			for _, ticket := range tickets {
				d.release(d.grants[ticket], jdaw.OutcomeCancelled, nil)
			}
		},
		"unused": func(d *driver, tickets []uint64) {
			for _, ticket := range tickets {
				d.release(d.grants[ticket], jdaw.OutcomeUnused, nil)
			}
		},
		"holder dead": func(d *driver, _ []uint64) {
			d.open = map[string]owner.Grant{}
			d.send(jdaw.ViewChanged{View: view(d.self, 8, "vm1")})
			d.pass(4 * time.Second)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			limit := guard.Allowance{Pools: 1}.Limit()
			d := startedOwner(t, document(limit))
			if d.self == "vm1" {
				t.Fatal("the test needs an owner other than the holder")
			}
			var tickets []uint64
			for range limit {
				tickets = append(tickets, d.requestVersions(v2))
			}
			if ticket := d.request(func(q *owner.AcquireRequested) {
				q.Versions, q.Wait = []jdaw.ModelVersion{v2}, 0
			}); d.granted(ticket) {
				t.Fatal("granted beyond the allowance")
			}
			end(d, tickets)
			d.mustGrant(d.requestVersions(v2))
		})
	}
}

// Guards against an evaluator that cannot compare the versions because it gets
// the counts of only one, against one that misses the counts of an owner from
// before it lost the pool, and against counts that are sent forever.
func TestCountsAreSentUntilTheRolloutEnds(t *testing.T) {
	doc := document(4)
	d := startedOwner(t, doc)
	d.release(d.mustGrant(d.requestVersions(v2)), jdaw.OutcomeFailed, nil)
	d.release(d.mustGrant(d.requestVersions(v1)), jdaw.OutcomeOK, func(r *owner.Released) { r.Rated, r.Rating = true, 0.5 })
	d.pass(300 * time.Millisecond)
	check := func(when string) owner.SendCounts {
		t.Helper()
		reports := d.sent()
		if len(reports) == 0 {
			t.Fatalf("%s: no counts were sent", when)
		}
		last := reports[len(reports)-1]
		if len(last.Counts) != 2 || last.Revision != 5 {
			t.Fatalf("%s: sent %+v, want two versions of revision 5", when, last)
		}
		n, s := last.Counts[0], last.Counts[1]
		if n.Version != v2 || n.Failed != 1 || s.Version != v1 || s.OK != 1 || s.Rated != 1 || s.RatingSum != 0.5 {
			t.Fatalf("%s: sent %+v", when, last.Counts)
		}
		judge, _ := guard.Evaluator(d.m.View(), config.NewSnapshot(doc, nil), "r", v2)
		if last.Evaluator != judge.VM {
			t.Fatalf("%s: sent to %s, the judge is %s", when, last.Evaluator, judge.VM)
		}
		return last
	}
	judge := check("owned").Evaluator

	doc.DrainingVMs = []jdaw.VMID{d.self}
	d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	d.sent()
	d.pass(1200 * time.Millisecond)
	check("lost")

	if judge != d.self {
		d.send(jdaw.ViewChanged{View: view(d.self, 8, judge)})
		d.pass(300 * time.Millisecond)
		check("new judge")
	}

	doc.Rollouts = nil
	d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	d.sent()
	d.pass(3 * time.Second)
	if reports := d.sent(); len(reports) != 0 {
		t.Fatalf("sent %+v after the end of the roll-out", reports)
	}
}

// Guards against a roll-out that is suspended for the failures of an earlier
// one of the same version, and against a confirmation of the earlier one that
// raises the allowance.
func TestRestartedRolloutCountsFromZero(t *testing.T) {
	doc := document(8)
	d := startedOwner(t, doc)
	d.release(d.mustGrant(d.requestVersions(v2)), jdaw.OutcomeFailed, nil)
	d.pass(300 * time.Millisecond)
	before := d.sent()
	if len(before) == 0 {
		t.Fatal("no counts were sent")
	}
	doc.Rollouts = []config.Rollout{{Model: "m", Version: "v2", State: config.RolloutRunning, StartedAt: epoch.Add(time.Hour)}}
	doc.Revision++
	d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	d.sent()
	d.send(owner.CountsConfirmed{Counts: before[0].Counts})
	g := d.mustGrant(d.request(func(q *owner.AcquireRequested) { q.Versions, q.Revision = []jdaw.ModelVersion{v2}, 6 }))
	d.release(g, jdaw.OutcomeOK, nil)
	d.pass(300 * time.Millisecond)
	after := d.sent()
	if len(after) == 0 {
		t.Fatal("no counts were sent after the restart")
	}
	c, old := after[len(after)-1].Counts[0], before[0].Counts[0]
	if c.Failed != 0 || c.OK != 1 || c.Counter == old.Counter {
		t.Fatalf("sent %+v after the restart, before it %+v", c, old)
	}
}
