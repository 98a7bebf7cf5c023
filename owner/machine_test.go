package owner_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
)

// Guards against a limit that grows without successes of the upstream, and
// against one that does not shrink: each step replays events into an owner of
// one upstream (cold limit 2, maximum 8) and states the number of credits that
// the next requests get.
func TestLimitFollowsTheUpstream(t *testing.T) {
	up := upstreamName(0)
	releaseAll := func(d *driver, outcome jdaw.Outcome, edit func(r *owner.Released)) {
		for _, g := range sortedOpen(d) {
			d.release(g, outcome, edit)
		}
	}
	cases := map[string]struct {
		events func(d *driver)
		want   int
	}{
		"a new upstream starts at its cold limit":      {func(*driver) {}, 2},
		"two successes in time raise the limit by one": {func(d *driver) { d.grow(2) }, 3},
		"growth ends at the maximum":                   {func(d *driver) { d.grow(100) }, 8},
		"a capacity below the maximum in the load report bounds the limit": {func(d *driver) {
			d.grow(100)
			d.report(up, func(r *owner.LoadReported) { r.Capacity = 5 })
		}, 5},
		"late first tokens do not raise the limit": {func(d *driver) {
			for range 20 {
				tk := d.request(nil)
				d.release(d.mustGrant(tk), jdaw.OutcomeOK, func(r *owner.Released) { r.FirstToken = 3 * time.Second })
			}
		}, 2},
		"an error halves the limit": {func(d *driver) {
			d.grow(100)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeFailed, nil)
		}, 4},
		"a broken connection holds the cold limit until the next report": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeBroken, nil)
		}, 2},
		"a report of the same process after a broken connection gives half of the limit": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeBroken, nil)
			d.pass(time.Second)
			d.report(up, nil)
		}, 4},
		"a report measured before the broken connection does not": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			d.pass(time.Second)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeBroken, nil)
			d.report(up, func(r *owner.LoadReported) { r.MeasuredAt = d.now.Add(-500 * time.Millisecond) })
		}, 2},
		"a new process after a broken connection stays at the cold limit": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeBroken, nil)
			d.pass(time.Second)
			d.report(up, func(r *owner.LoadReported) { r.Incarnation = "e2"; r.Uptime = time.Second })
		}, 2},
		"one refusal halves the limit": {func(d *driver) {
			d.grow(100)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeRefused, nil)
		}, 4},
		"two refusals in a row return to the cold limit": {func(d *driver) {
			d.grow(100)
			d.fill(2)
			releaseAll(d, jdaw.OutcomeRefused, nil)
		}, 2},
		"a new incarnation in the load report returns to the cold limit": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			d.report(up, func(r *owner.LoadReported) { r.Incarnation = "e2"; r.Uptime = 0 })
		}, 2},
		"a new incarnation in a release returns to the cold limit at once": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeOK, func(r *owner.Released) { r.UpstreamIncarnation = "e2" })
		}, 2},
		"a drop in uptime returns to the cold limit": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			d.now = d.now.Add(time.Second)
			d.report(up, func(r *owner.LoadReported) { r.Uptime = time.Second })
		}, 2},
		"a report overtaken by a later one changes nothing": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			d.report(up, func(r *owner.LoadReported) {
				r.MeasuredAt = d.now.Add(-2 * time.Second)
				r.Uptime = time.Second
				r.Running = 8
			})
		}, 8},
		"two first tokens above three times the learned time return to the cold limit": {func(d *driver) {
			d.grow(100)
			for range 2 {
				tk := d.request(nil)
				d.release(d.mustGrant(tk), jdaw.OutcomeOK, func(r *owner.Released) { r.FirstToken = 500 * time.Millisecond })
			}
		}, 2},
		"one slow first token does not": {func(d *driver) {
			d.grow(100)
			tk := d.request(nil)
			d.release(d.mustGrant(tk), jdaw.OutcomeOK, func(r *owner.Released) { r.FirstToken = 500 * time.Millisecond })
		}, 8},
		"cache misses after many hits do not": {func(d *driver) {
			d.grow(100)
			d.pass(61 * time.Second) // prefixes not seen since the takeover are misses from now on
			for i := range 60 {
				tk := d.request(func(q *owner.AcquireRequested) { q.Prefix = uint64(1 + max(0, i-57)) })
				d.release(d.mustGrant(tk), jdaw.OutcomeOK, func(r *owner.Released) {
					r.FirstToken = 20 * time.Millisecond
					if i == 0 || i > 57 {
						r.FirstToken = 250 * time.Millisecond
					}
				})
			}
		}, 8},
		"late results of the process before a restart do not raise the limit": {func(d *driver) {
			d.grow(100)
			d.report(up, nil)
			d.fill(8)
			d.report(up, func(r *owner.LoadReported) { r.Incarnation = "e2"; r.Uptime = 0; r.Running = 0 })
			releaseAll(d, jdaw.OutcomeOK, func(r *owner.Released) { r.UpstreamIncarnation = "e1" })
		}, 2},
		"work that only the report shows counts": {func(d *driver) {
			d.grow(100)
			d.report(up, func(r *owner.LoadReported) { r.Running = 5; r.Queued = 1 })
		}, 2},
		"work that only an old report shows stops counting": {func(d *driver) {
			d.grow(100)
			d.report(up, func(r *owner.LoadReported) { r.Running = 8 })
			d.pass(4 * time.Second)
		}, 8},
		"a lagging report does not count ended credits": {func(d *driver) {
			d.grow(100)
			d.fill(8)
			measured := d.now.Add(500 * time.Millisecond)
			d.now = d.now.Add(time.Second)
			releaseAll(d, jdaw.OutcomeOK, nil)
			d.now = d.now.Add(time.Second)
			d.report(up, func(r *owner.LoadReported) { r.Running = 8; r.MeasuredAt = measured })
		}, 8},
		"a data centre that comes back starts cold": {func(d *driver) {
			d.grow(100)
			doc := document(1)
			doc.Revision = 6
			doc.DataCentres[0].Out = true
			d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
			doc = document(1)
			d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
		}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(1))
			c.events(d)
			if got := d.fill(12); got != c.want {
				t.Errorf("got %d credits, want %d", got, c.want)
			}
		})
	}
}

func sortedOpen(d *driver) []owner.Grant {
	var out []owner.Grant
	for ticket := uint64(1); ticket <= d.ticket; ticket++ {
		g, ok := d.grants[ticket]
		if _, isOpen := d.open[g.Credit]; ok && isOpen {
			out = append(out, g)
		}
	}
	return out
}

// Guards against a grant that the configuration, the member table or the
// upstream itself forbids at that moment.
func TestGrantRespectsExclusions(t *testing.T) {
	adopt := func(d *driver, edit func(doc *config.Document), suspensions ...jdaw.Suspension) {
		doc := document(2)
		if edit != nil {
			edit(&doc)
		}
		d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, suspensions)})
	}
	cases := map[string]struct {
		events func(d *driver)
		edit   func(q *owner.AcquireRequested)
		code   jdaw.Code       // of the refusal, 0 for a grant
		up     jdaw.UpstreamID // of the grant
	}{
		"upstream leaving in the configuration": {
			func(d *driver) { adopt(d, func(doc *config.Document) { doc.Upstreams[0].Leaving = true }) }, nil, 0, upstreamName(1),
		},
		"upstream suspended": {
			func(d *driver) {
				adopt(d, nil, jdaw.Suspension{ID: "s", Kind: jdaw.SuspendUpstream, Name: string(upstreamName(1))})
			}, nil, 0, upstreamName(0),
		},
		"upstream leaving in the VM list": {
			func(d *driver) {
				v := view(d.self, 8)
				v.LeavingUpstreams = []string{"http://10.0.0.0"}
				d.send(jdaw.ViewChanged{View: v})
			}, nil, 0, upstreamName(1),
		},
		"upstream leaving in its load report": {
			func(d *driver) { d.report(upstreamName(0), func(r *owner.LoadReported) { r.Leaving = true }) }, nil, 0, upstreamName(1),
		},
		"upstream leaving in a refusal header": {
			func(d *driver) {
				tk := d.request(func(q *owner.AcquireRequested) { q.Prefer = upstreamName(1) })
				d.release(d.mustGrant(tk), jdaw.OutcomeRefused, func(r *owner.Released) { r.Leaving = true })
			}, nil, 0, upstreamName(0),
		},
		"upstream that cannot be polled": {
			func(d *driver) {
				for range 3 {
					d.report(upstreamName(0), func(r *owner.LoadReported) { r.Failed = true })
				}
			}, nil, 0, upstreamName(1),
		},
		"upstream that failed the request before": {
			func(*driver) {}, func(q *owner.AcquireRequested) { q.Exclude = []jdaw.UpstreamID{upstreamName(0)} }, 0, upstreamName(1),
		},
		"preferred upstream": {
			func(*driver) {}, func(q *owner.AcquireRequested) { q.Prefer = upstreamName(1) }, 0, upstreamName(1),
		},
		"data centre out": {
			func(d *driver) { adopt(d, func(doc *config.Document) { doc.DataCentres[0].Out = true }) }, nil, jdaw.CodeNoUpstream, "",
		},
		"version suspended": {
			func(d *driver) {
				adopt(d, nil, jdaw.Suspension{ID: "s", Kind: jdaw.SuspendVersion, Name: "m@v1"})
			}, nil, jdaw.CodeVersionWithdrawn, "",
		},
		"version that the workspace may not use": {
			func(d *driver) { adopt(d, func(doc *config.Document) { doc.Workspaces[0].Allow = []string{"m@v2"} }) },
			nil, jdaw.CodeModelNotAllowed, "",
		},
		"version that no upstream offers": {
			func(d *driver) {
				adopt(d, func(doc *config.Document) {
					doc.Upstreams[0].Versions = []string{"m@v2"}
					doc.Upstreams[1].Versions = nil // no load report yet
				})
			}, nil, jdaw.CodeNoUpstream, "",
		},
		"version that only a load report names": {
			func(d *driver) {
				adopt(d, func(doc *config.Document) {
					doc.Upstreams[0].Versions = nil
					doc.Upstreams[1].Versions = nil
				})
				d.report(upstreamName(1), func(r *owner.LoadReported) { r.Versions = []jdaw.ModelVersion{v1} })
			}, nil, 0, upstreamName(1),
		},
		"no wait wanted and nothing free": {
			func(d *driver) { d.fill(4) }, func(q *owner.AcquireRequested) { q.Wait = 0 }, jdaw.CodeNoCapacity, "",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(2))
			c.events(d)
			for range 3 {
				tk := d.request(c.edit)
				if c.code != 0 {
					d.mustRefuse(tk, c.code)
					continue
				}
				if g := d.mustGrant(tk); g.Upstream != c.up {
					t.Errorf("granted %s, want %s", g.Upstream, c.up)
				}
				d.release(d.mustGrant(tk), jdaw.OutcomeOK, nil)
			}
		})
	}
}

// Guards against a request that was admitted before a version was withdrawn
// and is granted after it.
func TestWaitingRequestIsCheckedAtTheGrant(t *testing.T) {
	d := startedOwner(t, document(1))
	d.fill(2)
	waiting := d.request(nil)
	d.send(config.Adopted{Snapshot: config.NewSnapshot(document(1), []jdaw.Suspension{
		{ID: "s", Kind: jdaw.SuspendVersion, Name: "m@v1"},
	})})
	d.release(sortedOpen(d)[0], jdaw.OutcomeOK, nil)
	if g, ok := d.grants[waiting]; ok {
		t.Fatalf("a suspended version was granted: %+v", g)
	}
}

// Guards against grants under two different configurations.
func TestRevisionIsComparedBeforeTheGrant(t *testing.T) {
	newer := document(1)
	newer.Revision = 6
	cases := map[string]struct {
		revision jdaw.Revision
		events   func(d *driver)
		code     jdaw.Code
		pulls    int
	}{
		"behind":                    {4, func(*driver) {}, jdaw.CodeBehind, 0},
		"ahead and pulled":          {6, func(d *driver) { d.send(config.Adopted{Snapshot: config.NewSnapshot(newer, nil)}) }, 0, 1},
		"ahead and the pull failed": {6, func(d *driver) { d.send(owner.RevisionPullFailed{Revision: 6}) }, jdaw.CodeNoOwner, 1},
		"ahead without an answer":   {6, func(d *driver) { d.pass(1200 * time.Millisecond) }, jdaw.CodeNoOwner, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(1))
			d.other = nil
			tk := d.request(func(q *owner.AcquireRequested) { q.Revision = c.revision })
			if _, ok := d.grants[tk]; ok {
				t.Fatal("granted before the revisions agreed")
			}
			pulls := 0
			for _, a := range d.other {
				if p, ok := a.(owner.PullRevision); ok && p.FromAddr == "addr-vm1" && p.Revision == 6 {
					pulls++
				}
			}
			if pulls != c.pulls {
				t.Errorf("%d pulls, want %d", pulls, c.pulls)
			}
			c.events(d)
			if c.code != 0 {
				d.mustRefuse(tk, c.code)
				return
			}
			d.mustGrant(tk)
		})
	}
}

// Guards against credits that are never freed, or that are freed while their
// request still runs at the upstream.
func TestLapsedCreditsAreFreed(t *testing.T) {
	up := upstreamName(0)
	hold := func(grants ...owner.Grant) []owner.Held {
		held := []owner.Held{{Pool: poolID}}
		for _, g := range grants {
			held = append(held, owner.Held{Credit: g.Credit, Pool: poolID, Upstream: up})
		}
		return held
	}
	renew := func(d *driver, grants ...owner.Grant) {
		d.send(owner.CreditsRenewed{From: "vm1", Incarnation: "inc-vm1", Held: hold(grants...)})
	}
	kill := func(d *driver) { d.send(jdaw.ViewChanged{View: view(d.self, 8, "vm1")}) }
	cases := map[string]struct {
		events func(d *driver, g []owner.Grant)
		free   int
	}{
		"renewed credits stay": {func(d *driver, g []owner.Grant) {
			for range 10 {
				d.pass(time.Second)
				renew(d, g...)
			}
		}, 0},
		"a release that was lost is found by the next renewals": {func(d *driver, g []owner.Grant) {
			for range 3 {
				d.pass(time.Second)
				renew(d, g[0])
			}
		}, 1},
		"a grant in flight survives a renewal that does not list it": {func(d *driver, _ []owner.Grant) {
			renew(d)
		}, 0},
		"a dead holder's credits stay for 3 s": {func(d *driver, _ []owner.Grant) {
			kill(d)
			d.pass(2500 * time.Millisecond)
		}, 0},
		"a dead holder's credits are freed when no report comes": {func(d *driver, _ []owner.Grant) {
			kill(d)
			d.pass(4 * time.Second)
		}, 2},
		"a dead holder's credits stay while the upstream reports them": {func(d *driver, _ []owner.Grant) {
			kill(d)
			for range 6 {
				d.pass(time.Second)
				d.report(up, func(r *owner.LoadReported) { r.Running = 2 })
			}
		}, 0},
		"a dead holder's credits are freed when the report agrees": {func(d *driver, _ []owner.Grant) {
			kill(d)
			for range 6 {
				d.pass(time.Second)
				d.report(up, func(r *owner.LoadReported) { r.Running = 1 })
			}
		}, 1},
		"a holder that comes back keeps its credits": {func(d *driver, g []owner.Grant) {
			kill(d)
			d.pass(time.Second)
			d.send(jdaw.ViewChanged{View: view(d.self, 8)})
			for range 5 {
				renew(d, g...)
				d.pass(time.Second)
			}
		}, 0},
		"a renewal sent before the release does not bring the credit back": {func(d *driver, g []owner.Grant) {
			d.release(g[0], jdaw.OutcomeOK, nil)
			d.release(g[1], jdaw.OutcomeOK, nil)
			renew(d, g...)
		}, 3}, // two successes have raised the limit to 3
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(1))
			if d.self == "vm1" {
				t.Fatal("the holder must be another VM than the owner")
			}
			d.fill(2)
			c.events(d, sortedOpen(d))
			if got := d.fill(3); got != c.free {
				t.Errorf("%d credits were free, want %d", got, c.free)
			}
		})
	}
}

// Guards against an owner that grants although another VM may own the pool.
func TestOwnerStopsGranting(t *testing.T) {
	cases := map[string]struct {
		events func(d *driver)
		wait   time.Duration // after which the owner grants again; 0 for never
	}{
		"isolated": {func(d *driver) {
			v := view(d.self, 8)
			v.Isolated = true
			d.send(jdaw.ViewChanged{View: v})
		}, 0},
		"fewer than half alive": {func(d *driver) { d.send(jdaw.ViewChanged{View: view(d.self, 8, others(d.self, 5)...)}) }, 0},
		"more than half suspected": {func(d *driver) {
			v := view(d.self, 8)
			for i := range v.Members {
				if v.Members[i].VM != d.self {
					v.Members[i].State = jdaw.MemberSuspect
				}
			}
			d.send(jdaw.ViewChanged{View: v})
		}, 0},
		"draining by the operators": {func(d *driver) {
			doc := document(1)
			doc.DrainingVMs = []jdaw.VMID{d.self}
			d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
		}, 0},
		"paused for more than a second": {func(d *driver) {
			d.now = d.now.Add(5 * time.Second)
			d.send(jdaw.Tick{Gap: 5 * time.Second})
		}, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(1))
			d.fill(2)
			waiting := d.request(nil)
			c.events(d)
			d.mustRefuse(waiting, jdaw.CodeNoOwner)
			d.mustRefuse(d.request(nil), jdaw.CodeNoOwner)
			d.release(sortedOpen(d)[0], jdaw.OutcomeOK, nil)
			start := d.now
			for d.now.Sub(start) < 6*time.Second {
				d.pass(100 * time.Millisecond)
				tk := d.request(nil)
				_, ok := d.grants[tk]
				if ok && (c.wait == 0 || d.now.Sub(start) < c.wait) {
					t.Fatalf("granted %s after it stopped", d.now.Sub(start))
				}
				if ok {
					return
				}
			}
			if c.wait != 0 {
				t.Error("the owner did not grant again")
			}
		})
	}
}

func others(self jdaw.VMID, n int) []jdaw.VMID {
	var out []jdaw.VMID
	for i := 0; len(out) < n; i++ {
		if vm := vmName(i); vm != self {
			out = append(out, vm)
		}
	}
	return out
}

// Guards against an even partition in which both halves grant.
func TestOnlyOneHalfOfAnEvenPartitionGrants(t *testing.T) {
	low := []jdaw.VMID{"vm0", "vm1", "vm2", "vm3"}
	high := []jdaw.VMID{"vm4", "vm5", "vm6", "vm7"}
	granting := 0
	for _, half := range [][]jdaw.VMID{low, high} {
		dead := high
		if half[0] == "vm4" {
			dead = low
		}
		snap := config.NewSnapshot(document(1), nil)
		m, _ := owner.Of(view("", 8, dead...), snap, poolID)
		d := newDriver(t, m.VM)
		d.send(config.Adopted{Snapshot: snap})
		d.send(jdaw.ViewChanged{View: view(d.self, 8, dead...)})
		d.pass(2200 * time.Millisecond)
		granting += min(1, d.fill(1))
	}
	if granting != 1 {
		t.Errorf("%d halves grant, want 1", granting)
	}
}

// Guards against a takeover that ignores the credits held by other VMs.
func TestTakeoverCountsOutstandingCredits(t *testing.T) {
	doc := document(1)
	snap := config.NewSnapshot(doc, nil)
	m, _ := owner.Of(view("", 8), snap, poolID)
	d := newDriver(t, m.VM)
	d.send(config.Adopted{Snapshot: snap})
	d.send(jdaw.ViewChanged{View: view(d.self, 8)})
	asked := map[jdaw.VMID]bool{}
	polls := 0
	for _, a := range d.other {
		switch a := a.(type) {
		case owner.AskOutstanding:
			asked[a.VM] = true
		case owner.PollLoad:
			polls++
		}
	}
	if len(asked) != 8 || polls != 1 {
		t.Fatalf("asked %d members and %d upstreams at the takeover, want 8 and 1", len(asked), polls)
	}
	var held []owner.Held
	for _, id := range []string{"old-1", "old-2", "old-3", "old-4", "old-5"} {
		held = append(held, owner.Held{Credit: id, Pool: poolID, Upstream: upstreamName(0), Workspace: "a"})
	}
	d.send(owner.OutstandingReported{Pool: poolID, From: "vm1", Incarnation: "inc-vm1", Held: held})
	d.mustRefuse(d.request(nil), jdaw.CodeNoOwner)
	d.pass(2100 * time.Millisecond)
	if got := d.fill(3); got != 0 {
		t.Fatalf("%d credits beyond the 5 in use, want 0: the limit restarts at the count in use", got)
	}
	d.send(owner.CreditsReleased{From: "vm1", Releases: []owner.Released{
		{Credit: "old-1", Pool: poolID, Upstream: upstreamName(0), Outcome: jdaw.OutcomeOK, Version: v1},
	}})
	if len(d.grants) != 1 {
		t.Errorf("%d grants after one release, want 1", len(d.grants))
	}
}

// Guards against retries that multiply the load of failing upstreams.
func TestRetryBudgetBoundsAmplification(t *testing.T) {
	d := startedOwner(t, document(4))
	d.grow(200)
	for range 1000 {
		first := d.mustGrant(d.request(nil))
		d.release(first, jdaw.OutcomeUnused, nil)
		retry := d.request(func(q *owner.AcquireRequested) { q.Exclude = []jdaw.UpstreamID{first.Upstream} })
		if g, ok := d.grants[retry]; ok {
			d.release(g, jdaw.OutcomeUnused, nil)
			continue
		}
		d.mustRefuse(retry, jdaw.CodeNoCapacity)
	}
	d.other = nil
	d.pass(1100 * time.Millisecond)
	var stats owner.PoolStats
	for _, a := range d.other {
		if p, ok := a.(owner.PublishStats); ok {
			stats = p.Pools[0]
		}
	}
	if a := stats.Amplification(); a > 1.11 || a < 1.09 {
		t.Errorf("amplification %.3f with every first attempt failing, want 1.10: %+v", a, stats)
	}
}

// Guards against a caller that waits until its deadline for a credit that it
// cannot get.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	d := startedOwner(t, document(1))
	serve := func(n int) {
		for range n {
			g := d.mustGrant(d.request(nil))
			d.now = d.now.Add(time.Second)
			d.release(g, jdaw.OutcomeOK, func(r *owner.Released) { r.FirstToken = 2 * time.Second })
		}
	}
	serve(20) // the limit stays at 2, each request takes 1 s
	d.fill(2)
	for range 6 {
		d.request(func(q *owner.AcquireRequested) { q.Priority = jdaw.PriorityNormal })
	}
	late := d.request(func(q *owner.AcquireRequested) { q.Wait = time.Second })
	d.mustRefuse(late, jdaw.CodeNoCapacity)
	if after := d.refusals[late].RetryAfter; after < 3*time.Second || after > 4*time.Second {
		t.Errorf("retry after %s with 7 requests at 2/s, want 3.5 s", after)
	}
	urgent := d.request(func(q *owner.AcquireRequested) { q.Wait = time.Second; q.Priority = jdaw.PriorityInteractive })
	d.release(sortedOpen(d)[0], jdaw.OutcomeOK, nil)
	d.mustGrant(urgent)
}

// Guards against a workspace that gets more than its weight because it has
// more requests waiting.
func TestWeightsShareShortCredits(t *testing.T) {
	doc := document(1)
	doc.Upstreams[0].MaxConcurrent = 2
	doc.Workspaces[1].Weight = 3
	d := startedOwner(t, doc)
	d.fill(2)
	workspace := map[uint64]jdaw.WorkspaceID{}
	wait := func(n int, id jdaw.WorkspaceID) {
		for range n {
			workspace[d.request(func(q *owner.AcquireRequested) { q.Workspace = id })] = id
		}
	}
	wait(100, "a")
	wait(60, "b")
	wait(30, "c")
	got := map[jdaw.WorkspaceID]int{}
	for range 50 {
		d.release(sortedOpen(d)[0], jdaw.OutcomeUnused, nil)
	}
	for ticket := range d.grants {
		if id, ok := workspace[ticket]; ok {
			got[id]++
		}
	}
	// The order of equal tags moves a share by at most one.
	for id, want := range map[jdaw.WorkspaceID]int{"a": 10, "b": 30, "c": 10} {
		if got[id] < want-1 || got[id] > want+1 {
			t.Errorf("50 credits were shared as %v, want a 10, b 30, c 10", got)
		}
	}
}

// Guards against events that cannot be recorded: each one must survive a
// round trip through JSON.
func TestEventsSurviveJSON(t *testing.T) {
	events := []jdaw.Event{
		&owner.AcquireRequested{Ticket: 1, Versions: []jdaw.ModelVersion{v1}, Pool: poolID, Exclude: []jdaw.UpstreamID{"u"}, Wait: time.Second, Prefix: 1<<63 + 1},
		&owner.AcquireCancelled{Ticket: 1},
		&owner.CreditsReleased{From: "vm1", Releases: []owner.Released{{Credit: "c", Outcome: jdaw.OutcomeOK, Rating: 0.5, Rated: true}}},
		&owner.CreditsRenewed{From: "vm1", Held: []owner.Held{{Credit: "c", Pool: poolID}}},
		&owner.LoadReported{Pool: poolID, Upstream: "u", MeasuredAt: epoch, Versions: []jdaw.ModelVersion{v1}},
		&owner.CacheReported{Pool: poolID, Changes: []owner.CacheChange{{Sequence: 1, Prefix: 2, At: epoch}}},
		&owner.OutstandingReported{Pool: poolID, Held: []owner.Held{{Credit: "c"}}},
		&owner.RevisionPullFailed{Revision: 3},
		&owner.CountsConfirmed{Counts: []owner.VersionCounts{{Version: v2, Pool: poolID, Counter: "inc/5", OK: 3, RatingSum: 0.25}}},
	}
	for _, ev := range events {
		b, err := json.Marshal(ev)
		if err != nil {
			t.Fatal(err)
		}
		back := reflect.New(reflect.TypeOf(ev).Elem()).Interface()
		if err := json.Unmarshal(b, back); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(ev, back) {
			t.Errorf("%s: %+v became %+v", ev.EventName(), ev, back)
		}
	}
}

// Guards against a prefix that counts as evicted after a gap in the cache
// events, and against a late eviction that overrides a later use. One of four
// upstreams is idle; only a cached prefix makes the chooser pick another.
func TestPrefixGoesWhereItIsCached(t *testing.T) {
	cases := map[string]struct {
		changes []owner.CacheChange
		stays   bool
	}{
		"served before":           {nil, true},
		"evicted":                 {[]owner.CacheChange{{Sequence: 1, Prefix: 77, Evicted: true, At: epoch.Add(time.Hour)}}, false},
		"evicted before its use":  {[]owner.CacheChange{{Sequence: 1, Prefix: 77, Evicted: true, At: epoch}}, true},
		"gap in the cache events": {[]owner.CacheChange{{Sequence: 1, Prefix: 5, At: epoch}, {Sequence: 9, Prefix: 6, At: epoch}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(4))
			withPrefix := func(q *owner.AcquireRequested) { q.Prefix = 77 }
			affinity := d.mustGrant(d.request(withPrefix)).Upstream // stays busy
			idle := upstreamName(0)
			if affinity == idle {
				idle = upstreamName(1)
			}
			for i := range 4 {
				if u := upstreamName(i); u != affinity && u != idle {
					d.request(func(q *owner.AcquireRequested) { q.Prefer = u })
				}
			}
			if len(c.changes) > 0 {
				d.send(owner.CacheReported{Pool: poolID, Upstream: affinity, Changes: c.changes})
			}
			want := idle
			if c.stays {
				want = affinity
			}
			if got := d.mustGrant(d.request(withPrefix)).Upstream; got != want {
				t.Errorf("granted %s, want %s", got, want)
			}
		})
	}
}

// Guards against a retry budget that refused requests fill: while credits are
// short each request asks several pools, so the share of retries would grow
// with the number of pools.
func TestRefusedRequestsEarnNoRetries(t *testing.T) {
	d := startedOwner(t, document(4))
	retry := func() bool {
		ticket := d.request(func(q *owner.AcquireRequested) { q.Exclude = []jdaw.UpstreamID{upstreamName(0)} })
		g, ok := d.grants[ticket]
		if ok {
			d.release(g, jdaw.OutcomeFailed, nil)
		}
		return ok
	}
	spent := 0
	for retry() {
		spent++
		if spent > 100 {
			t.Fatal("the retry budget is not bounded")
		}
	}
	full := d.fill(8)
	for range 50 {
		ticket := d.request(func(q *owner.AcquireRequested) { q.Wait = 0 })
		d.mustRefuse(ticket, jdaw.CodeNoCapacity)
	}
	for _, g := range sortedOpen(d) {
		d.release(g, jdaw.OutcomeOK, nil)
	}
	if full >= 10 || retry() {
		t.Errorf("a retry was granted after %d first requests and 50 refused ones, want none before 10", full)
	}
}
