package loop_test

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/loop"
)

type ping struct{ n int }

func (ping) EventName() string { return "ping" }

type pong struct{ n int }

func (pong) EventName() string  { return "pong" }
func (pong) ActionName() string { return "pong" }

type recorder struct{ seen chan string }

func (r *recorder) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case ping:
		return []jdaw.Action{pong(ev)}
	case pong:
		r.seen <- ev.EventName()
	}
	return nil
}

// An action that is also an event must reach every machine, or a new
// configuration would reach only the machine that adopted it.
func TestActionsThatAreEventsReachAllMachines(t *testing.T) {
	seen := make(chan string, 2)
	l := loop.New(loop.Config{
		Machines: []jdaw.Machine{&recorder{seen: seen}, &recorder{seen: make(chan string, 4)}},
		Execute:  func(jdaw.Action) {},
	})
	defer l.Close()
	l.Post(ping{n: 1})
	select {
	case <-seen:
	case <-time.After(5 * time.Second):
		t.Fatal("the emitted event did not come back within 5 s")
	}
}

// blocker simulates a pause of the process in the middle of a batch.
type blocker struct{ d time.Duration }

func (blocker) EventName() string { return "blocker" }

type sequence struct{ names chan string }

func (s *sequence) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	switch ev := ev.(type) {
	case blocker:
		time.Sleep(ev.d)
	case jdaw.Tick:
		if ev.Gap >= time.Second {
			s.names <- "gap"
		}
	case ping:
		s.names <- "ping"
	}
	return nil
}

// An event that was queued before a pause must not be handled before the tick
// that reports the pause, or an owner would grant a credit on stale state.
func TestGapIsReportedBeforeQueuedEvents(t *testing.T) {
	s := &sequence{names: make(chan string, 4)}
	l := loop.New(loop.Config{Machines: []jdaw.Machine{s}, Execute: func(jdaw.Action) {}})
	defer l.Close()
	l.Post(blocker{d: 1200 * time.Millisecond})
	l.Post(ping{})
	for _, want := range []string{"gap", "ping"} {
		select {
		case got := <-s.names:
			if got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no %s within 5 s", want)
		}
	}
}
