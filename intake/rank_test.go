package intake

import (
	"testing"
	"time"
)

// Guards against closing a caller that progresses, or a request that an upstream has,
// while others hold the room and stand still.
func TestRanks(t *testing.T) {
	const mb = 1 << 20
	cases := map[string]struct {
		rank        func(Holding) float64
		first, then Holding
	}{
		"the caller that has stood still for longer": {
			Holding.connRank, Holding{Phase: Reading, Stale: 9 * time.Second, Conns: 1}, Holding{Phase: Waiting, Stale: time.Second, Conns: 1},
		},
		"the address with most connections": {
			Holding.connRank, Holding{Phase: Reading, Stale: time.Second, Conns: 100}, Holding{Phase: Waiting, Stale: 9 * time.Second, Conns: 1},
		},
		"most bytes of a header": {
			Holding.headerRank, Holding{Phase: Waiting, HeaderBytes: mb}, Holding{Phase: Waiting, HeaderBytes: 100_000},
		},
		"a long header, not an ordinary one that stands still": {
			Holding.headerRank, Holding{Phase: Waiting, HeaderBytes: 100_000}, Holding{Phase: Waiting, Stale: time.Minute, HeaderBytes: 1000},
		},
		"the larger body among those that stand still": {
			Holding.bodyRank, Holding{Phase: Reading, Stale: time.Second, BodyBytes: 2 * mb}, Holding{Phase: Reading, Stale: time.Second, BodyBytes: mb},
		},
		"the body that stands still, not the larger one that arrives": {
			Holding.bodyRank, Holding{Phase: Reading, Stale: 5 * time.Second, BodyBytes: mb}, Holding{Phase: Reading, BodyBytes: 4 * mb},
		},
		"no body that an upstream has": {
			Holding.bodyRank, Holding{Phase: Reading, BodyBytes: 1}, Holding{Phase: Serving, Stale: time.Minute, BodyBytes: 4 * mb},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if first, then := c.rank(c.first), c.rank(c.then); first <= then {
				t.Errorf("rank %g of %+v, %g of %+v", first, c.first, then, c.then)
			}
		})
	}
}

// Guards against closing the connection of a request that is being served.
func TestMayClose(t *testing.T) {
	cases := map[string]struct {
		holding Holding
		want    bool
	}{
		"idle":                  {Holding{Phase: Waiting}, true},
		"unfinished body":       {Holding{Phase: Reading}, true},
		"at an upstream":        {Holding{Phase: Serving}, false},
		"answer read slowly":    {Holding{Phase: Serving, Stale: unreadStale / 2}, false},
		"answer that is unread": {Holding{Phase: Serving, Stale: unreadStale}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.holding.MayClose(); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
