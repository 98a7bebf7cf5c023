package ledger_test

import (
	"context"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/ledger"
)

// Guards against a request that ran and has no bill. Its VM failed before the
// member table showed its incarnation, and was started again. The holders of
// the copies wrote them only 20 s later, and failed before that.
func TestIncarnationThatWasNeverSeen(t *testing.T) {
	tests := map[string]struct {
		learnsFirst bool // of the previous incarnation, before the copies arrive
		isReplaced  bool // it was killed, and the member table shows the next one
		want        bool // its journal is sealed
	}{
		"replaced":                          {learnsFirst: true, isReplaced: true, want: true},
		"about to join the table":           {learnsFirst: true},
		"previous incarnation learned late": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4)
			c.mu.Lock()
			for i := range c.members {
				c.members[i].Region = "north"
			}
			c.mu.Unlock()
			if tt.learnsFirst {
				c.setState(0, jdaw.MemberAlive)
			}
			c.kill(0)
			inc := jdaw.Incarnation(config.RandomHex(8))
			c.vms[0] = &vm{c: c, id: c.members[0].VM, addr: c.members[0].PeerAddr}
			c.vms[0].Ledger = c.startLedger(c.vms[0], 0, inc)
			open := func() jdaw.RequestID {
				id, err := c.vms[0].Open(context.Background(), jdaw.Bill{Workspace: "w"})
				if err != nil {
					t.Fatal(err)
				}
				return id
			}
			open() // written at once, the next one an interval later
			time.Sleep(20 * time.Millisecond)
			id := open()
			if tt.isReplaced {
				c.kill(0)
				c.mu.Lock()
				c.members[0].Incarnation = jdaw.Incarnation(config.RandomHex(8))
				c.mu.Unlock()
			}
			c.setState(0, jdaw.MemberAlive)
			// docs/design.md: sealed about 2 s after the death
			for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
				if !tt.isReplaced {
					open()
				}
			}
			if got := ledger.IsSealed(context.Background(), c.st, inc); got != tt.want {
				t.Fatalf("sealed %v, want %v", got, tt.want)
			}
			bills, err := ledger.Export(context.Background(), c.st)
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, b := range bills {
				found = found || b.RequestID == id
			}
			if !found {
				t.Errorf("no bill for %s among %d", id, len(bills))
			}
		})
	}
}
