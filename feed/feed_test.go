package feed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

func startFeed(t *testing.T, keep int) (f *Feed, addr string, isCurrent *atomic.Bool) {
	t.Helper()
	isCurrent = &atomic.Bool{}
	isCurrent.Store(true)
	f = New(Config{IsCurrent: isCurrent.Load, Keep: keep})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	wire.RegisterFeedServer(srv, f)
	go func() { _ = srv.Serve(l) }() // ends with Stop
	t.Cleanup(func() {
		srv.Stop()
		f.Close()
	})
	return f, l.Addr().String(), isCurrent
}

func change(revision uint64) jdaw.Change {
	return jdaw.Change{Key: "k", Value: []byte{byte(revision)}, Revision: revision, Removed: revision%2 == 0}
}

// Guards against changes that are lost or delivered twice to another VM.
func TestChangesArriveOnce(t *testing.T) {
	f, addr, _ := startFeed(t, 0)
	f.Restart(10, jdaw.BootTime())
	other := New(Config{IsCurrent: func() bool { return true }})
	defer other.Close()
	go func() {
		for revision := uint64(11); revision <= 60; revision++ {
			f.Add([]jdaw.Change{change(revision)}, revision, jdaw.BootTime())
			if revision%7 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	at := uint64(10)
	for at < 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply, err := other.Changes(ctx, addr, jdaw.FeedRequest{After: at, Wait: 2 * time.Second})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range reply.Changes {
			at++
			if want := change(at); c.Revision != at || c.Key != want.Key || c.Value[0] != want.Value[0] || c.Removed != want.Removed {
				t.Fatalf("got %+v, want %+v", c, want)
			}
		}
		if reply.Next != at {
			t.Fatalf("go on from %d after %d", reply.Next, at)
		}
	}
}

// noise returns incompressible bytes.
func noise(n int) []byte {
	b := make([]byte, n)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// Guards against a configuration that all VMs of a data centre read from the
// store, a billed call each, because a feeder does not serve it; against one
// altered in transit; and against a VM that never gets a large one because
// the store does not respond to it.
func TestLargeValues(t *testing.T) {
	routes := bytes.Repeat([]byte(`{"name":"r1","prefix":"/drafts/"},`), 2000)
	cases := map[string]struct {
		value     []byte
		isAnySize bool
		isLeft    bool // to the store
	}{
		"a configuration":                      {routes, false, false},
		"no configuration":                     {noise(2 * maxReplyBytes), false, true},
		"the same, to a VM without the store":  {noise(2 * maxReplyBytes), true, false},
		"a short one":                          {routes[:minDeflated-1], false, false},
		"one that is just long enough to pack": {routes[:minDeflated], false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, addr, _ := startFeed(t, 0)
			f.Restart(10, jdaw.BootTime())
			f.Add([]jdaw.Change{{Key: "k", Value: c.value, Revision: 11}}, 11, jdaw.BootTime())
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			reply, err := f.Changes(ctx, addr, jdaw.FeedRequest{After: 10, Wait: time.Second, IsAnySize: c.isAnySize})
			changes := reply.Changes
			if isLeft := errors.Is(err, ErrTooLarge); isLeft != c.isLeft {
				t.Fatalf("left to the store: %t (%v), want %t", isLeft, err, c.isLeft)
			}
			if !c.isLeft && (len(changes) != 1 || !bytes.Equal(changes[0].Value, c.value)) {
				t.Errorf("%d changes (%v), or another value", len(changes), err)
			}
		})
	}
}

// Guards against a burst of small changes, as when many upstreams start at once,
// that all VMs read from the store because it does not fit in one reply; and
// against a write split over two replies, the second part of which would be
// lost.
func TestManyChangesComeInParts(t *testing.T) {
	f, addr, _ := startFeed(t, 0)
	f.Restart(10, jdaw.BootTime())
	const writes = 100
	var all []jdaw.Change
	for i := range writes {
		for _, key := range []string{"a", "b"} { // of one write
			all = append(all, jdaw.Change{Key: key, Value: noise(maxReplyBytes / 30), Revision: uint64(11 + i)})
		}
	}
	f.Add(all, 10+writes, jdaw.BootTime())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got, at, replies := 0, uint64(10), 0
	for at < 10+writes {
		reply, err := f.Changes(ctx, addr, jdaw.FeedRequest{After: at, Wait: time.Second})
		changes, next := reply.Changes, reply.Next
		if err != nil || next <= at {
			t.Fatalf("after %d: %d changes, go on from %d, %v", at, len(changes), next, err)
		}
		if len(changes)%2 != 0 {
			t.Fatalf("after %d: %d changes of writes that have two", at, len(changes))
		}
		got, at, replies = got+len(changes), next, replies+1
	}
	if got != len(all) || replies < 5 {
		t.Errorf("%d changes in %d replies, want %d", got, replies, len(all))
	}
}

// writer records the writes requested of it.
type writer struct {
	taken   []jdaw.Entry
	written []jdaw.Entry
	holds   uint64 // the revision at which conditional writes succeed
}

func (w *writer) Take(entries []jdaw.Entry) error {
	w.taken = append(w.taken, entries...)
	return nil
}

func (w *writer) WriteIf(_ context.Context, e jdaw.Entry, revision uint64) (bool, error) {
	if revision != w.holds {
		return false, nil
	}
	w.written = append(w.written, e)
	return true, nil
}

// Guards against entries that are lost on the way to a VM that writes them,
// against a conditional write that loses its condition, and against a VM that
// accepts writes while it cannot reach the store itself.
func TestWritesForOthers(t *testing.T) {
	f, addr, isCurrent := startFeed(t, 0)
	w := &writer{holds: 7}
	f.cfg.Writer = func() Writer { return w }
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	entries := []jdaw.Entry{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}}
	if err := f.Write(ctx, addr, entries); err != nil || len(w.taken) != 2 || string(w.taken[1].Value) != "2" {
		t.Errorf("taken %v, %v", w.taken, err)
	}
	for revision, want := range map[uint64]bool{7: true, 6: false} {
		if ok, err := f.WriteIf(ctx, addr, entries[0], revision); ok != want || err != nil {
			t.Errorf("written after revision %d: %t, %v, want %t", revision, ok, err, want)
		}
	}
	if len(w.written) != 1 || w.written[0].Key != "a" {
		t.Errorf("written %v", w.written)
	}
	isCurrent.Store(false)
	if _, err := f.WriteIf(ctx, addr, entries[0], 7); err == nil {
		t.Error("a VM without the store takes a write")
	}
	if err := f.Write(ctx, addr, entries); err == nil {
		t.Error("a VM without the store takes entries")
	}
}

// Guards against a VM that continues from a feeder without current data: one that
// lost the store, no longer keeps the changes, or has read nothing yet; and
// against large changes that delay all VMs behind a slow link.
func TestFeederThatCannotKnow(t *testing.T) {
	ask := func(addr string, after uint64) error {
		f := New(Config{IsCurrent: func() bool { return true }})
		defer f.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := f.Changes(ctx, addr, jdaw.FeedRequest{After: after, Wait: 50 * time.Millisecond})
		return err
	}
	f, addr, isCurrent := startFeed(t, 2)
	if err := ask(addr, 10); !errors.Is(err, jdaw.ErrHistoryGone) {
		t.Errorf("before the first read: %v", err)
	}
	f.Restart(10, jdaw.BootTime())
	if err := ask(addr, 10); err != nil {
		t.Errorf("without changes: %v", err)
	}
	// Two of the changes have one revision: keeping one of them alone would
	// lose the other.
	f.Add([]jdaw.Change{change(11), change(12), change(12), change(13)}, 13, jdaw.BootTime())
	if err := ask(addr, 11); !errors.Is(err, jdaw.ErrHistoryGone) {
		t.Errorf("changes that are no longer kept: %v", err)
	}
	if err := ask(addr, 12); err != nil {
		t.Errorf("changes that are kept: %v", err)
	}
	f.Add([]jdaw.Change{{Key: "big", Value: noise(maxReplyBytes + 1), Revision: 14}}, 14, jdaw.BootTime())
	if err := ask(addr, 13); !errors.Is(err, ErrTooLarge) || !errors.Is(err, jdaw.ErrReadStore) {
		t.Errorf("a large change: %v", err)
	}
	isCurrent.Store(false)
	if err := ask(addr, 14); !errors.Is(err, ErrNotCurrent) {
		t.Errorf("without the store: %v", err)
	}
}

// Guards against replies that seem more recent than they are, which makes another VM rely on
// them instead of the store.
func TestAgeOfReplies(t *testing.T) {
	const age = 5 * time.Second
	cases := map[string]struct {
		changes []jdaw.Change
		wait    time.Duration
		want    time.Duration // 0: the reply tells no age
	}{
		"no changes":              {nil, 0, age},
		"no changes after a wait": {nil, 300 * time.Millisecond, age + 300*time.Millisecond},
		"a change":                {[]jdaw.Change{change(11)}, time.Second, age},
		"a part of the changes": {[]jdaw.Change{
			{Key: "a", Value: noise(maxReplyBytes * 3 / 4), Revision: 11}, {Key: "b", Value: noise(maxReplyBytes * 3 / 4), Revision: 12},
		}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, addr, _ := startFeed(t, 0)
			readAt := jdaw.BootTime() - age
			f.Restart(10, readAt)
			if len(c.changes) > 0 {
				f.Add(c.changes, 12, readAt)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			reply, err := f.Changes(ctx, addr, jdaw.FeedRequest{After: 10, Wait: c.wait})
			if err != nil || !f.IsAsked() {
				t.Fatalf("%v, asked: %t", err, f.IsAsked())
			}
			if c.want == 0 {
				if reply.ReadAt != 0 || !reply.HasMore {
					t.Errorf("a part was read at %s, more: %t; want no time", reply.ReadAt, reply.HasMore)
				}
				return
			}
			if got := jdaw.BootTime() - reply.ReadAt; got < c.want || reply.HasMore {
				t.Errorf("reply of age %s, want %s or more; more: %t", got, c.want, reply.HasMore)
			}
			if reply.ReadAt < readAt-time.Second {
				t.Errorf("read at %s, want about %s", reply.ReadAt, readAt)
			}
		})
	}
}
