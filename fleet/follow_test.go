package fleet

import (
	"context"
	"io"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// otherStoreFeed is a feed of VMs that read another store.
type otherStoreFeed struct {
	hungFeed
	store *fakeStore
}

func (f otherStoreFeed) Changes(ctx context.Context, _ string, q jdaw.FeedRequest) (jdaw.FeedReply, error) {
	changes, next, err := f.store.Changes(ctx, q.After, q.Wait)
	return jdaw.FeedReply{Changes: changes, Next: next, ReadAt: jdaw.BootTime()}, err
}

func discardLog() *logrus.Logger {
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

// Guards against a VM that gets no more keys, routes or orders because the
// store rejects it alone; against one that then serves changes it does not
// read itself; and against full reads while the store is unavailable.
func TestVMThatTheStoreTurnsAway(t *testing.T) {
	own, others := &fakeStore{}, &fakeStore{}
	st := &State{Members: members(8, "oban")}
	n := New(Config{
		Self: st.Members[0], Store: own, Feed: otherStoreFeed{store: others}, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog(),
	})
	defer n.Close()
	n.Execute(Publish{State: st})
	eventually(t, time.Second, "the store is read", n.ReadsStore)
	own.setDown(true)
	others.add(jdaw.Change{Key: "k", Revision: 2})
	eventually(t, watchWait+watchSlack, "a change is read through another VM", func() bool { return others.wasReadAfter(2) })
	eventually(t, time.Second, "the VM is current and does not serve changes", func() bool { return n.IsCurrent() && !n.ReadsStore() })
	loads := own.loadCount()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !n.IsCurrent() {
			t.Fatal("not current although another VM serves the changes")
		}
	}
	if again := own.loadCount(); again > loads {
		t.Errorf("%d full reads while another VM served the changes", again-loads)
	}
	own.setDown(false)
	eventually(t, renewInterval+watchWait, "the store is read again", n.ReadsStore)
}

// Guards against a VM without others that repeats full reads, or treats the
// store as lost for seconds, because one watch failed.
func TestOneFailedWatch(t *testing.T) {
	store := &fakeStore{}
	n := New(Config{
		Self: Member{VM: "vm1"}, Store: store, Feed: &collectingFeed{}, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog(),
		ApplyWithin: 100 * time.Millisecond,
	})
	defer n.Close()
	eventually(t, time.Second, "the store is read", n.ReadsStore)
	time.Sleep(200 * time.Millisecond)
	store.setDown(true)
	eventually(t, time.Second, "the watch has failed", func() bool { return !n.ReadsStore() })
	store.setDown(false)
	store.add(jdaw.Change{Key: "k", Revision: 2})
	eventually(t, time.Second, "a change is read", func() bool { return store.wasReadAfter(2) && n.ReadsStore() })
	if loads := store.loadCount(); loads > 2 {
		t.Errorf("%d full reads, want at most 2", loads)
	}
}

// Guards against full reads of an unavailable store, one per 0.8 s and VM,
// and against a VM that detects the store's recovery late.
func TestReturnOfTheStore(t *testing.T) {
	store := &fakeStore{}
	store.setDown(true)
	n := New(Config{Self: Member{VM: "vm1"}, Store: store, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
	defer n.Close()
	time.Sleep(4 * time.Second)
	if loads := store.loadCount(); loads > 8 {
		t.Errorf("%d full reads in 4 s of an unavailable store", loads)
	}
	store.setDown(false)
	eventually(t, renewInterval+500*time.Millisecond, "the store is read", n.ReadsStore)
}

// Guards against full reads by all VMs of a data centre after the store
// discarded its history and their feeder did a full read: the changes it
// serves must turn their state into the current one, without a change that is
// read again afterwards.
func TestChangesSince(t *testing.T) {
	items := []jdaw.Change{
		{Key: "same", Value: []byte("1"), Revision: 3},
		{Key: "newer", Value: []byte("2"), Revision: 9},
		{Key: "new", Value: []byte("3"), Revision: 7},
		{Key: "later", Value: []byte("4"), Revision: 12}, // of a page that was read later
	}
	known := map[string]uint64{"same": 3, "newer": 5, "later": 2, "gone": 4}
	got := changesSince(known, items, 10)
	want := []jdaw.Change{items[2], items[1], {Key: "gone", Revision: 10, Removed: true}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// collectingFeed records the changes that a VM serves.
type collectingFeed struct {
	hungFeed
	mu       sync.Mutex
	restarts int
	changes  []jdaw.Change
}

func (f *collectingFeed) Restart(uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts++
}

func (f *collectingFeed) Add(changes []jdaw.Change, _ uint64, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, changes...)
}

// Guards against a feeder that restarts the feed of its VMs when the store
// has discarded its history.
func TestFeedGoesOnWhenHistoryIsGone(t *testing.T) {
	store, feed := &fakeStore{}, &collectingFeed{}
	store.items = []jdaw.Change{{Key: "a", Revision: 1}, {Key: "b", Revision: 1}}
	n := New(Config{
		Self: Member{VM: "vm1"}, Store: store, Feed: feed, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog(),
		ApplyWithin: 100 * time.Millisecond,
	})
	defer n.Close()
	eventually(t, time.Second, "the store is read", func() bool { return store.loadCount() == 1 })
	store.mu.Lock()
	store.items, store.isHistoryGone, store.revision = []jdaw.Change{{Key: "a", Revision: 1}, {Key: "c", Revision: 6}}, true, 6
	store.mu.Unlock()
	eventually(t, 5*time.Second, "the changes are served", func() bool {
		feed.mu.Lock()
		defer feed.mu.Unlock()
		return len(feed.changes) == 2 && feed.changes[0].Key == "c" && feed.changes[1].Key == "b" && feed.changes[1].Removed
	})
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if feed.restarts != 1 {
		t.Errorf("the feed restarted %d times, want once", feed.restarts)
	}
}

// Guards against a VM that calls itself, one that calls VMs which do not read
// the store, and against all VMs calling the same one.
func TestReaders(t *testing.T) {
	never := func(jdaw.VMID) bool { return false }
	cases := map[string]struct {
		st        *State
		isAvoided func(jdaw.VMID) bool
		want      int // readers of each VM of oban
	}{
		"a small data centre":     {&State{Members: members(8, "oban")}, never, 7},
		"two large ones":          {&State{Members: append(members(26, "oban"), members(26, "largs")...)}, never, 2 * minFeeders},
		"a small and a large one": {&State{Members: append(members(3, "oban"), members(26, "largs")...)}, never, 2 + minFeeders},
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
						t.Errorf("%s calls itself", self.VM)
					}
				}
				if len(list) > 0 {
					first[list[0].VM]++
				}
			}
			if c.want > 1 && len(first) < 2 {
				t.Errorf("all VMs call %v first", first)
			}
		})
	}
}
