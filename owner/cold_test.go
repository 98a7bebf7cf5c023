package owner_test

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
)

// Guards against full load on a process that has just restarted: all credits
// granted between the restart and its detection reach the new process, so no
// more of them may be in flight than it can take.
func TestCreditsOnTheirWayFitAColdUpstream(t *testing.T) {
	const cold, full = 2, 8
	cases := map[string]struct {
		incarnation string
		pass        time.Duration
		starts      int
		want        int // credits granted at once after it
	}{
		"nothing has begun":              {starts: 0, want: 0},
		"one has begun":                  {incarnation: "e1", starts: 1, want: 1},
		"both have begun":                {incarnation: "e1", starts: 2, want: 2},
		"a new process answers":          {incarnation: "e2", starts: 1, want: 0},
		"an answer that is long to come": {pass: 300 * time.Millisecond, want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(1))
			d.report(upstreamName(0), nil)
			d.grow(40)
			d.manualStarts = true
			if got := d.fill(full); got != cold {
				t.Fatalf("%d credits in flight, want %d", got, cold)
			}
			before := len(d.grants)
			d.pass(c.pass)
			for _, g := range sortedOpen(d)[:c.starts] {
				d.start(g, c.incarnation)
			}
			if got := len(d.grants) - before; got != c.want {
				t.Fatalf("%d further credits, want %d", got, c.want)
			}
		})
	}
}

// Guards against rejecting a request, which then queues behind long responses
// in another pool, because the upstream with free slots is throttled for the
// milliseconds until it starts to respond; and against a long wait of a request
// with no wait time.
func TestRequestWaitsForAnUpstreamHeldBack(t *testing.T) {
	atOnce := func(q *owner.AcquireRequested) { q.Wait = 0 }
	cases := map[string]struct {
		granted int // before
		starts  int
		refused bool
	}{
		"one begins":                 {2, 1, false},
		"none begins":                {2, 0, true},
		"all places are taken after": {8, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startedOwner(t, document(1))
			d.report(upstreamName(0), nil)
			d.grow(40)
			before := len(d.grants)
			d.fill(c.granted - 2)
			d.manualStarts = true
			d.fill(2)
			ticket := d.request(atOnce)
			if got := len(d.grants) - before; got != c.granted {
				t.Fatalf("%d credits, want %d", got, c.granted)
			}
			for _, g := range sortedOpen(d)[c.granted-2:][:c.starts] {
				d.start(g, "e1")
			}
			d.pass(200 * time.Millisecond)
			_, isGranted := d.grants[ticket]
			if _, isRefused := d.refusals[ticket]; isRefused != c.refused || isGranted == c.refused {
				t.Errorf("refused: %v, granted: %v", isRefused, isGranted)
			}
			if c.refused {
				// The request has time left and may queue for another pool.
				d.mustRefuse(ticket, jdaw.CodeNoCapacity)
			}
		})
	}
}

// Guards against a limit that grows by fast successes while the upstream is
// still cold: the upstream then fails without an earlier symptom.
func TestColdTimeHoldsTheLimit(t *testing.T) {
	const cold, full = 2, 8
	doc := document(1)
	doc.Upstreams[0].ColdMillis = 3000
	d := startedOwner(t, doc)
	count := func(when string, want int) {
		t.Helper()
		d.grow(40)
		if got := d.fill(want + 1); got != want {
			t.Fatalf("%s: %d credits at once, want %d", when, got, want)
		}
		for len(d.open) > 0 {
			for _, g := range d.open {
				d.release(g, jdaw.OutcomeOK, nil)
			}
		}
	}
	count("after the takeover", cold)
	d.pass(3 * time.Second)
	count("after the cold time", full)

	out := document(1)
	out.Upstreams[0].ColdMillis = 3000
	out.DataCentres[0].Out = true
	d.send(config.Adopted{Snapshot: config.NewSnapshot(out, nil)})
	d.pass(time.Second)
	d.send(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	count("after the return", cold)
	d.pass(3 * time.Second)
	count("after the cold time of the return", full)
}
