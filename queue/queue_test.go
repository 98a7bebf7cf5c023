package queue

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow"
)

// fakeRoom is the room of all services.
type fakeRoom struct{ others atomic.Int32 }

func (f *fakeRoom) room(string) Room { return Room{Slots: 6, Others: int(f.others.Load())} }

func start(others int) (*Queue, *fakeRoom) {
	f := &fakeRoom{}
	f.others.Store(int32(others))
	return New(Config{Room: f.room, IsOn: func(service string) bool { return service == "desk" }}), f
}

func soon(w jdaw.WorkspaceID) Request {
	return Request{Workspace: w, Deadline: time.Now().Add(10 * time.Second)}
}

// Guards against a queue for a service that didn't ask for one.
func TestOff(t *testing.T) {
	q, _ := start(100)
	for range 20 {
		p, err := q.Admit(context.Background(), "other", soon("w"))
		if p != nil || err != nil {
			t.Fatalf("got %v, %v", p, err)
		}
		p.Release(true)
	}
	if d := q.Demand(); len(d) != 0 {
		t.Errorf("demand %v", d)
	}
}

// Guards against a place that is kept by a caller who left while waiting, and against
// requests that wait though a place was released.
func TestLeaveAndRelease(t *testing.T) {
	q, _ := start(100)
	first, err := q.Admit(context.Background(), "desk", soon("a"))
	if err != nil || first == nil {
		t.Fatal(first, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := q.Admit(ctx, "desk", soon("b"))
		gone <- err
	}()
	waitFor(t, q, 1)
	cancel()
	if err := <-gone; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	waitFor(t, q, 0)
	got := make(chan *Place, 1)
	go func() {
		p, _ := q.Admit(context.Background(), "desk", soon("c"))
		got <- p
	}()
	waitFor(t, q, 1)
	first.Release(true)
	first.Release(true)
	p := <-got
	if p == nil || p.Waited <= 0 {
		t.Fatalf("got %+v", p)
	}
	p.Release(false)
	if inFlight := q.services["desk"].inFlight; inFlight != 0 {
		t.Errorf("%d places are held", inFlight)
	}
}

// Guards against requests that wait for an event at this VM while other VMs made
// room, or fell silent.
func TestOthersMakeRoom(t *testing.T) {
	q, f := start(100)
	if _, err := q.Admit(context.Background(), "desk", soon("a")); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p, err := q.Admit(context.Background(), "desk", soon("b")); err != nil || p == nil {
				t.Errorf("got %v, %v", p, err)
			}
		}()
	}
	waitFor(t, q, 3)
	f.others.Store(0)
	wg.Wait()
}

// Guards against a planned stop that waits for requests in the queue.
func TestDrain(t *testing.T) {
	q, f := start(100)
	p, _ := q.Admit(context.Background(), "desk", soon("a"))
	failed := make(chan error, 1)
	go func() {
		_, err := q.Admit(context.Background(), "desk", soon("b"))
		failed <- err
	}()
	waitFor(t, q, 1)
	q.Drain()
	isDraining := func(err error) bool {
		var r *Rejection
		return errors.As(err, &r) && r.Cause == CauseDraining
	}
	if err := <-failed; !isDraining(err) {
		t.Errorf("waiting: %v", err)
	}
	if _, err := q.Admit(context.Background(), "desk", soon("b")); !isDraining(err) {
		t.Errorf("new, without room: %v", err)
	}
	p.Release(true)
	f.others.Store(0)
	if p, err := q.Admit(context.Background(), "desk", soon("b")); err != nil || p == nil {
		t.Errorf("new, with room: %v, %v", p, err)
	}
}

func waitFor(t *testing.T, q *Queue, want int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); q.Waiting("desk") != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d wait, want %d", q.Waiting("desk"), want)
		}
	}
}
