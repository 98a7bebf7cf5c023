package loads

import (
	"maps"
	"testing"
	"time"

	"jackdawbarrow"
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

// Guards against a VM that counts its own work among that of others, against
// work that counts twice or is left out, and against the work of a VM that died
// or of a data centre that is cut off.
func TestBoard(t *testing.T) {
	full := func() *board {
		b := newBoard()
		b.vmSeen(start, "a", backlog(5, 1), nil)
		b.vmSeen(start, "b", backlog(0, 2), nil)
		b.centreSeen(start, "largs", backlog(100, 0, 7))
		return b
	}
	own := backlog(1000)
	late := start.Add(maxAge + time.Millisecond)
	cases := map[string]struct {
		got, want jdaw.Backlog
	}{
		"to a VM":                    {full().vmSeen(start, "b", backlog(0, 3), own), backlog(1105, 1, 7)},
		"to a VM, the others lapsed": {full().vmSeen(late, "b", backlog(0, 3), own), backlog(1000)},
		"to another data centre":     {full().own(start, own), backlog(1005, 3)},
		"to the hub itself":          {full().others(start), backlog(105, 3, 7)},
		"to the hub, all lapsed":     {full().others(late), backlog()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if !maps.Equal(c.got, c.want) {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
}

// Guards against figures that are lost or mixed up on the wire.
func TestBacklogOnTheWire(t *testing.T) {
	for name, b := range map[string]jdaw.Backlog{
		"none":    {},
		"several": {1: {Tokens: 10}, 1 << 31: {Tokens: 20, Later: 15, Ended: 3}, 7: {Tokens: 1 << 30, Ended: 5, Failed: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := decode(encode(b)); !maps.Equal(got, b) {
				t.Errorf("got %v, want %v", got, b)
			}
		})
	}
}
