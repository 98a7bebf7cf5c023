package fleet

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// otherVMs is a feed of VMs that read another store.
type otherVMs struct {
	hungFeed
	store *quietStore
}

func (f otherVMs) Changes(ctx context.Context, _ string, q jdaw.FeedRequest) ([]jdaw.Change, uint64, error) {
	return f.store.Changes(ctx, q.After, q.Wait)
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// eventually waits until a condition holds.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", within, what)
		}
	}
}

// Guards against a VM that learns of no key, route or order any more because the
// store turns it away, although it serves other VMs; against one that then passes
// on what it does not read itself; and against reads of everything that the store
// refuses while it is away.
func TestVMThatTheStoreTurnsAway(t *testing.T) {
	own, others := &quietStore{}, &quietStore{}
	st := &State{Members: members(8, "oban")}
	n := New(Config{
		Self: st.Members[0], Store: own, Feed: otherVMs{store: others}, Decoder: noEntries{}, Post: func(jdaw.Event) {}, Log: quietLog(),
	})
	defer n.Close()
	n.Execute(Publish{State: st})
	eventually(t, time.Second, "the store is read", n.ReadsStore)
	own.setDown(true)
	others.add(jdaw.Change{Key: "k", Revision: 2})
	eventually(t, watchWait+watchSlack, "a change is read through another VM", func() bool { return others.wasReadAfter(2) })
	eventually(t, time.Second, "the VM is current and does not pass changes on", func() bool { return n.IsCurrent() && !n.ReadsStore() })
	loads := own.loadCount()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !n.IsCurrent() {
			t.Fatal("not current although another VM passes the changes on")
		}
	}
	if again := own.loadCount(); again > loads {
		t.Errorf("everything was read %d times while another VM passed the changes on", again-loads)
	}
	own.setDown(false)
	eventually(t, renewEvery+watchWait, "the store is read again", n.ReadsStore)
}

// Guards against reads of everything that a store which is away refuses, one in
// 0.8 s and VM, and against a VM that notices the store's return late.
func TestReturnOfTheStore(t *testing.T) {
	store := &quietStore{}
	store.setDown(true)
	n := New(Config{Self: Member{VM: "vm1"}, Store: store, Decoder: noEntries{}, Post: func(jdaw.Event) {}, Log: quietLog()})
	defer n.Close()
	time.Sleep(4 * time.Second)
	if loads := store.loadCount(); loads > 8 {
		t.Errorf("%d reads in 4 s of a store that is away", loads)
	}
	store.setDown(false)
	eventually(t, renewEvery+500*time.Millisecond, "the store is read", n.ReadsStore)
}

// Guards against a VM that asks itself, one that asks VMs which do not read the
// store, and against all VMs asking the same one.
func TestReaders(t *testing.T) {
	never := func(jdaw.VMID) bool { return false }
	cases := map[string]struct {
		st        *State
		isAvoided func(jdaw.VMID) bool
		want      int // readers of each VM of oban
	}{
		"a small data centre":     {&State{Members: members(8, "oban")}, never, 7},
		"two large ones":          {&State{Members: append(members(26, "oban"), members(26, "largs")...)}, never, 2 * feeders},
		"a small and a large one": {&State{Members: append(members(3, "oban"), members(26, "largs")...)}, never, 2 + feeders},
		"alone":                   {&State{Members: members(1, "oban")}, never, 0},
		"all have failed":         {&State{Members: members(8, "oban")}, func(jdaw.VMID) bool { return true }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := map[jdaw.VMID]int{}
			for _, self := range c.st.Members {
				if self.DataCentre != "oban" || c.st.isFeeder(self) {
					continue
				}
				list := c.st.readers(self, c.isAvoided)
				if len(list) != c.want {
					t.Errorf("%s has %d readers, want %d", self.VM, len(list), c.want)
				}
				for _, m := range list {
					if m.VM == self.VM {
						t.Errorf("%s asks itself", self.VM)
					}
				}
				if len(list) > 0 {
					first[list[0].VM]++
				}
			}
			if c.want > 1 && len(first) < 2 {
				t.Errorf("all VMs ask %v first", first)
			}
		})
	}
}
