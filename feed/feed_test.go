package feed

import (
	"context"
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

// Guards against changes that are lost or come twice on the way to another VM.
func TestChangesArriveOnce(t *testing.T) {
	f, addr, _ := startFeed(t, 0)
	f.Restart(10)
	other := New(Config{IsCurrent: func() bool { return true }})
	defer other.Close()
	go func() {
		for revision := uint64(11); revision <= 60; revision++ {
			f.Add([]jdaw.Change{change(revision)}, revision)
			if revision%7 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	at := uint64(10)
	for at < 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		changes, next, err := other.Changes(ctx, addr, jdaw.FeedRequest{After: at, Wait: 2 * time.Second})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range changes {
			at++
			if want := change(at); c.Revision != at || c.Key != want.Key || c.Value[0] != want.Value[0] || c.Removed != want.Removed {
				t.Fatalf("got %+v, want %+v", c, want)
			}
		}
		if next != at {
			t.Fatalf("go on from %d after %d", next, at)
		}
	}
}

// Guards against a VM that goes on from a feeder which cannot know: one that
// lost the store, no longer keeps the changes, or has read nothing yet; and
// against large changes that hold up all VMs behind a slow link.
func TestFeederThatCannotKnow(t *testing.T) {
	ask := func(addr string, after uint64) error {
		f := New(Config{IsCurrent: func() bool { return true }})
		defer f.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _, err := f.Changes(ctx, addr, jdaw.FeedRequest{After: after, Wait: 50 * time.Millisecond})
		return err
	}
	f, addr, isCurrent := startFeed(t, 2)
	if err := ask(addr, 10); !errors.Is(err, jdaw.ErrHistoryGone) {
		t.Errorf("before the first read: %v", err)
	}
	f.Restart(10)
	if err := ask(addr, 10); err != nil {
		t.Errorf("without changes: %v", err)
	}
	// Two of the changes have one revision: keeping one of them alone would
	// lose the other.
	f.Add([]jdaw.Change{change(11), change(12), change(12), change(13)}, 13)
	if err := ask(addr, 11); !errors.Is(err, jdaw.ErrHistoryGone) {
		t.Errorf("changes that are no longer kept: %v", err)
	}
	if err := ask(addr, 12); err != nil {
		t.Errorf("changes that are kept: %v", err)
	}
	f.Add([]jdaw.Change{{Key: "big", Value: make([]byte, maxReplyBytes+1), Revision: 14}}, 14)
	if err := ask(addr, 13); !errors.Is(err, ErrTooLarge) || !errors.Is(err, jdaw.ErrReadStore) {
		t.Errorf("a large change: %v", err)
	}
	isCurrent.Store(false)
	if err := ask(addr, 14); !errors.Is(err, ErrNotCurrent) {
		t.Errorf("without the store: %v", err)
	}
}
