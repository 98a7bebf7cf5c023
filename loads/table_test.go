package loads

import (
	"maps"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

var start = time.Unix(1000, 0)

func backlog(tokens ...uint32) jdaw.Backlog {
	b := jdaw.Backlog{}
	for i, n := range tokens {
		if n > 0 {
			b[jdaw.UpstreamKey(i)] = jdaw.UpstreamLoad{Tokens: n}
		}
	}
	return b
}

// Guards against counting a VM's own work as that of others, against work that is
// counted twice or omitted, and against stale work of a dead VM or a partitioned
// data centre.
func TestBoard(t *testing.T) {
	full := func() *table {
		b := newTable()
		b.updateVM(start, "a", backlog(5, 1), nil)
		b.updateVM(start, "b", backlog(0, 2), nil)
		b.updateDataCentre(start, "largs", backlog(100, 0, 7))
		return b
	}
	own := backlog(1000)
	expired := start.Add(maxAge + time.Millisecond)
	cases := map[string]struct {
		got, want jdaw.Backlog
	}{
		"to a VM":                        {full().updateVM(start, "b", backlog(0, 3), own), backlog(1105, 1, 7)},
		"to a VM, the others expired":    {full().updateVM(expired, "b", backlog(0, 3), own), backlog(1000)},
		"to another data centre":         {full().own(start, own), backlog(1005, 3)},
		"to the aggregator itself":       {full().others(start), backlog(105, 3, 7)},
		"to the aggregator, all expired": {full().others(expired), backlog()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if !maps.Equal(c.got, c.want) {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
}

// Guards against values that are lost or swapped on the wire.
func TestBacklogOnTheWire(t *testing.T) {
	for name, b := range map[string]jdaw.Backlog{
		"none":    {},
		"several": {1: {Tokens: 10}, 1 << 31: {Tokens: 20, Later: 15, Ended: 3}, 7: {Tokens: 1 << 30, Ended: 5, Failed: 4}},
		"speeds":  {1: {Tokens: 10}, 2: {Running: 5}, 3: {Timed: 16, Speed: 27}, 4: {Ended: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := decode(encode(b)); !maps.Equal(got, b) {
				t.Errorf("got %v, want %v", got, b)
			}
		})
	}
}

// Guards against longer messages of deployments whose upstreams state no load, and
// against speeds that VMs don't get from their aggregator.
func TestSpeedsAreToldOnlyIfKnown(t *testing.T) {
	cases := map[string]struct {
		backlog jdaw.Backlog
		want    int // entries of the lists of speeds
	}{
		"no reports":  {jdaw.Backlog{1: {Tokens: 10}, 2: {Tokens: 5, Ended: 3}}, 0},
		"running":     {jdaw.Backlog{1: {Tokens: 10}, 2: {Running: 1}}, 2},
		"speeds only": {jdaw.Backlog{1: {Timed: 16, Speed: 20}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, w := range []*wire.Backlog{encode(c.backlog), encodeTokens(c.backlog)} {
				if len(w.GetRunning()) != c.want || len(w.GetTimed()) != c.want || len(w.GetSpeed()) != c.want {
					t.Errorf("%d, %d and %d entries, want %d", len(w.GetRunning()), len(w.GetTimed()), len(w.GetSpeed()), c.want)
				}
			}
			for key, load := range decode(encodeTokens(c.backlog)) {
				want := c.backlog[key]
				if load.Running != want.Running || load.Timed != want.Timed || load.Speed != want.Speed {
					t.Errorf("upstream %d: got %+v, want %+v", key, load, want)
				}
			}
		})
	}
}
