package ledger_test

import (
	"testing"
	"time"

	"jackdawbarrow"
)

// Guards against a partition between regions that ends the incarnation of every
// VM: each side sees the other as dead, and both reach the store.
func TestCutBetweenRegionsSealsNothing(t *testing.T) {
	c := newCluster(t, 6)
	c.mu.Lock()
	for i := range c.members {
		c.members[i].Region = []jdaw.Region{"north", "south"}[i/3]
	}
	c.mu.Unlock()
	cs := c.startCallers(2, 1)
	c.setCut(false)                    // all VMs see each other alive
	time.Sleep(500 * time.Millisecond) // journals of all VMs exist and are copied
	c.setCut(true)
	// Without a partition a dead VM of another region is sealed after 10 s, and an
	// orphan after 13 s.
	time.Sleep(16 * time.Second)
	for i, v := range c.vms {
		if n := v.renews.Load(); n != 0 {
			t.Errorf("vm%d took %d new incarnations", i, n)
		}
	}
	c.setCut(false)
	cs.end()
	c.check(cs)
}
