package fleet

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/feed"
	"jackdawbarrow/wire"
)

// link is one VM's way to a store that several VMs share. A silent one loses all
// answers, also those to calls in progress.
type link struct {
	*fakeStore
	mu       sync.Mutex
	isSilent bool
	// losesWatches is set while watches are not answered, and all other calls are.
	losesWatches bool
}

func (l *link) setSilent(isSilent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isSilent = isSilent
}

func (l *link) setLosesWatches(loses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losesWatches = loses
}

// await blocks a call that is lost until its end.
func (l *link) await(ctx context.Context, isWatch bool) error {
	l.mu.Lock()
	isLost := l.isSilent || isWatch && l.losesWatches
	l.mu.Unlock()
	if !isLost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l *link) Load(ctx context.Context) ([]jdaw.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout) // as a store limits its calls
	defer cancel()
	if err := l.await(ctx, false); err != nil {
		return nil, 0, err
	}
	return l.fakeStore.Load(ctx)
}

func (l *link) Changes(ctx context.Context, after uint64, wait time.Duration) ([]jdaw.Change, uint64, error) {
	if err := l.await(ctx, true); err != nil {
		return nil, 0, err
	}
	changes, next, err := l.fakeStore.Changes(ctx, after, wait)
	if silence := l.await(ctx, true); silence != nil {
		return nil, 0, silence
	}
	return changes, next, err
}

func (l *link) RenewLease(ctx context.Context, lease string) (bool, error) {
	if err := l.await(ctx, false); err != nil {
		return false, err
	}
	return l.fakeStore.RenewLease(ctx, lease)
}

// keyRecorder is a decoder that records the keys of changes.
type keyRecorder struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (r *keyRecorder) DecodeChange(c jdaw.Change) (jdaw.Event, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[c.Key] = true
	return nil, nil
}

func (r *keyRecorder) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

// linkedVM is a VM with a feed for others.
type linkedVM struct {
	*Node
	link *link
	seen *keyRecorder
}

// startLinked starts VMs that share a store and know each other.
func startLinked(t *testing.T, store *fakeStore, members []Member, applyWithin time.Duration) []linkedVM {
	t.Helper()
	vms := make([]linkedVM, len(members))
	listeners := make([]net.Listener, len(members))
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i], members[i].Peers = l, l.Addr().String()
	}
	for i := range members {
		vm := &vms[i]
		vm.link, vm.seen = &link{fakeStore: store}, &keyRecorder{keys: map[string]bool{}}
		f := feed.New(feed.Config{IsCurrent: func() bool { return vm.ReadsStore() }, Writer: func() feed.Writer { return vm.Node }})
		vm.Node = New(Config{
			Self: members[i], Store: vm.link, Feed: f, Decoder: vm.seen, Post: func(jdaw.Event) {}, Log: discardLog(), ApplyWithin: applyWithin,
		})
		srv := grpc.NewServer()
		wire.RegisterFeedServer(srv, f)
		go func() { _ = srv.Serve(listeners[i]) }() // ends with Stop
		t.Cleanup(func() {
			srv.Stop()
			vm.Close()
			f.Close()
		})
		vm.Execute(Publish{State: &State{Members: members}})
	}
	for i := range vms {
		eventually(t, 2*time.Second, "the store is read", vms[i].ReadsStore)
	}
	return vms
}

// Guards against a key that is honoured after it was taken away: a VM whose watch had
// failed once took "no changes" from another VM, which the store no longer answered,
// and did not ask the store.
func TestStaleReplyOfAnotherVM(t *testing.T) {
	for name, applyWithin := range map[string]time.Duration{"changes in 2 s": 2 * time.Second, "changes in 3 s": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &fakeStore{}
			vms := startLinked(t, store, members(2, "oban"), applyWithin)
			asking, asked := vms[0], vms[1]
			asking.link.setLosesWatches(true)
			hearsOfChanges := func() bool { return asking.IsCurrent() && !asking.ReadsStore() }
			eventually(t, 2*(watchWait+watchSlack)+applyWithin, "the asking VM hears of changes", hearsOfChanges)
			asking.link.setLosesWatches(false)
			// The other VM has just read the store.
			store.add(jdaw.Change{Key: "second", Revision: 3})
			eventually(t, applyWithin, "both read a change", func() bool { return asking.seen.has("second") && asked.seen.has("second") })
			asked.link.setSilent(true)
			store.add(jdaw.Change{Key: "removal", Revision: 4})
			eventually(t, applyWithin, "a change is in force", func() bool { return asking.seen.has("removal") })
		})
	}
}

// Guards against a VM that says "unknown" of new keys and routes because a VM that
// lost the store as well has told it of no changes.
func TestCurrentByStaleReplies(t *testing.T) {
	store := &fakeStore{}
	vms := startLinked(t, store, members(2, "oban"), 2*time.Second)
	asking, asked := vms[0], vms[1]
	asking.link.setSilent(true)
	eventually(t, 2*(watchWait+watchSlack)+2*time.Second, "the asking VM hears of changes", func() bool { return asking.IsCurrent() && !asking.ReadsStore() })
	store.add(jdaw.Change{Key: "k", Revision: 2})
	eventually(t, 2*time.Second, "both read a change", func() bool { return asking.seen.has("k") && asked.seen.has("k") })
	asked.link.setSilent(true)
	store.add(jdaw.Change{Key: "new", Revision: 3})
	time.Sleep(2 * time.Second)
	if asking.IsCurrent() {
		t.Error("current 2 s after the last answer of the store, the time in which a change must be in force")
	}
}

// Guards against a VM that notices only after more than four seconds that the
// connection of its watch has gone silent: during the pause before the watch.
func TestConnectionThatGoesSilentInAPause(t *testing.T) {
	cases := map[string]struct {
		applyWithin time.Duration
		changeAfter time.Duration // since the silence
	}{
		"changes in 2 s": {2 * time.Second, 1300 * time.Millisecond},
		"changes in 3 s": {3 * time.Second, 1100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &fakeStore{}
			vm := startLinked(t, store, members(1, "oban"), c.applyWithin)[0]
			pause := (&State{}).pause(time.Now(), c.applyWithin)
			time.Sleep(pause + pause/2) // of the start, which a pause follows as well
			store.add(jdaw.Change{Key: "first", Revision: 2})
			eventually(t, c.applyWithin, "a change is read", func() bool { return vm.seen.has("first") })
			vm.link.setLosesWatches(true)
			time.AfterFunc(pause+100*time.Millisecond, func() { vm.link.setLosesWatches(false) })
			time.Sleep(c.changeAfter)
			store.add(jdaw.Change{Key: "second", Revision: 3})
			eventually(t, c.applyWithin, "a change is in force", func() bool { return vm.seen.has("second") })
		})
	}
}

// lateStore answers a watch with a change that is read only after a while, as by a VM
// that was suspended meanwhile.
type lateStore struct {
	fakeStore
	late time.Duration
}

func (s *lateStore) Changes(context.Context, uint64, time.Duration) ([]jdaw.Change, uint64, error) {
	time.Sleep(s.late)
	return []jdaw.Change{{Key: "k", Revision: 2}}, 2, nil
}

// Guards against a VM that vouches for the time in which it was suspended, because the
// answer to its watch waited to be read.
func TestAnswerReadLate(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &Node{cfg: Config{Store: &lateStore{late: watchSlack + 300*time.Millisecond}}, ctx: ctx, lostAt: 1}
	asked := jdaw.BootTime()
	b, err := n.watch(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	// The store had answered by the end of the wait.
	if since := b.readAt - asked; since < 0 || since > probeWait+100*time.Millisecond {
		t.Errorf("read %s after the watch began, which waited for %s", since, probeWait)
	}
}

// Guards against entries of other VMs that a VM takes although it stops before it
// writes them.
func TestStoppingVMTakesNoEntries(t *testing.T) {
	vms := startLinked(t, &fakeStore{}, members(2, "oban"), 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	entries := []jdaw.Entry{{Key: "a", Value: []byte("1")}}
	send := func() error { return vms[0].cfg.Feed.Write(ctx, vms[0].State().Members[1].Peers, entries) }
	if err := send(); err != nil {
		t.Fatalf("before the stop: %v", err)
	}
	vms[1].Leave()
	if err := send(); err == nil {
		t.Error("a stopping VM took an entry")
	}
}

// staleFeed is a feed of VMs that have read the store long ago and don't know it.
type staleFeed struct {
	hungFeed
	age time.Duration
}

func (f staleFeed) Changes(ctx context.Context, _ string, q jdaw.FeedRequest) (jdaw.FeedReply, error) {
	readAt := jdaw.BootTime() - f.age
	if !jdaw.Sleep(ctx, q.Wait) {
		return jdaw.FeedReply{}, ctx.Err()
	}
	return jdaw.FeedReply{Next: q.After, ReadAt: readAt}, nil
}

// Guards against a VM that relies on a feeder with stale replies, and against one that
// calls the store while its feeder's are recent.
func TestStaleReplyOfAFeeder(t *testing.T) {
	for name, c := range map[string]struct {
		age         time.Duration
		readsStore  bool
		applyWithin time.Duration
	}{
		"recent": {time.Second, false, 3 * time.Second},
		"stale":  {2 * time.Second, true, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &fakeStore{}
			st := &State{Members: members(26, "largs")}
			var self Member
			for _, m := range st.Members {
				if !st.isFeeder(m) {
					self = m
				}
			}
			n := New(Config{
				Self: self, Store: store, Feed: staleFeed{age: c.age}, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog(),
				ApplyWithin: c.applyWithin,
			})
			defer n.Close()
			n.Execute(Publish{State: st})
			time.Sleep(c.applyWithin) // it pauses after the first read
			store.add(jdaw.Change{Key: "k", Revision: 2})
			time.Sleep(c.applyWithin)
			if got := store.wasReadAfter(2); got != c.readsStore {
				t.Errorf("read the change from the store: %t, want %t", got, c.readsStore)
			}
		})
	}
}
