package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// writeFeed is a feed of VMs that write to another store.
type writeFeed struct {
	hungFeed
	store *fakeStore

	mu    sync.Mutex
	taken map[string][]jdaw.Entry // by address
}

func (f *writeFeed) Write(_ context.Context, address string, entries []jdaw.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.taken == nil {
		return errors.New("entries rejected")
	}
	f.taken[address] = append(f.taken[address], entries...)
	return nil
}

func (f *writeFeed) WriteIf(ctx context.Context, _ string, e jdaw.Entry, revision uint64) (bool, error) {
	return f.store.PutIf(ctx, e.Key, e.Value, revision, "")
}

// encoder writes the state under the key "status".
type encoder struct{}

func (encoder) EncodeRollout(_, _ string, state RolloutState) (string, []byte, error) {
	return "status", []byte(state), nil
}

// Guards against a good version that is completed after its deadline because
// the store rejects its evaluator: scale-2 of the users' large deployment, where
// the evaluator was rejected from 1.4 s before the deadline on and its
// successor acted only after its lease had expired.
func TestJudgeThatTheStoreTurnsAway(t *testing.T) {
	own, others := &fakeStore{}, &fakeStore{}
	st := &State{Members: members(8, "oban")}
	n := New(Config{
		Self: st.Members[0], Store: own, Feed: &writeFeed{store: others}, Encoder: encoder{}, Decoder: nopDecoder{},
		Post: func(jdaw.Event) {}, Log: discardLog(),
	})
	defer n.Close()
	n.Execute(Publish{State: st})
	own.setDown(true)
	n.Execute(WriteRollout{Service: "s", Version: "v2", State: RolloutCompleted})
	eventually(t, time.Second, "the decision is in the store", func() bool {
		return slices.Contains(others.keys(), "status")
	})
}

// Guards against one write per VM for its counts, against counts lost because
// the VM that writes them does not respond, and against late writes near the
// end of a roll-out.
func TestCountsOfManyVMsInOneWrite(t *testing.T) {
	running := func(left time.Duration) map[string]Rollout {
		return map[string]Rollout{"s": {Service: "s", Version: "v2", State: RolloutRunning, StartedAt: time.Now(), Duration: left}}
	}
	cases := map[string]struct {
		rollouts  map[string]Rollout
		accepts   bool
		forwarded bool
	}{
		"in the middle of a roll-out": {running(time.Minute), true, true},
		"its end is near":             {running(time.Second), true, false},
		"the feeder does not respond": {running(time.Minute), false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := &State{Members: members(26, "oban"), Rollouts: c.rollouts}
			feed, store := &writeFeed{}, &fakeStore{}
			if c.accepts {
				feed.taken = map[string][]jdaw.Entry{}
			}
			var self Member
			for _, m := range st.Members {
				if !st.isFeeder(m) {
					self = m
				}
			}
			n := New(Config{Self: self, Store: store, Feed: feed, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
			defer n.Close()
			n.Execute(Publish{State: st})
			n.Count(Outcome{Service: "s", Version: "v2"})
			n.shareCounts(n.encodeCounts(n.takeUnpublished(everyVersion)))
			if c.forwarded {
				if len(feed.taken) != 1 {
					t.Errorf("forwarded to %d VMs, want 1", len(feed.taken))
				}
				return
			}
			eventually(t, time.Second, "the counts are in the store", func() bool { return len(store.keys()) == 1 })
		})
	}
}

// Guards against one call per VM whose counts a feeder accepted, and against
// more entries than one call may have.
func TestTakenCountsAreWrittenTogether(t *testing.T) {
	store := &fakeStore{}
	n := New(Config{Self: Member{VM: "vm1"}, Store: store, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
	defer n.Close()
	for i := range jdaw.MaxPuts + 1 {
		key := string(rune('A' + i))
		for _, value := range []string{"old", "new"} {
			if err := n.Take([]jdaw.Entry{{Key: key, Value: []byte(value)}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	n.shareCounts(nil)
	eventually(t, time.Second, "all entries are written", func() bool { return len(store.keys()) == jdaw.MaxPuts+1 })
	store.mu.Lock()
	defer store.mu.Unlock()
	if len(store.puts) != 2 || len(store.puts[0]) != jdaw.MaxPuts {
		t.Errorf("%d calls, the first with %d entries", len(store.puts), len(store.puts[0]))
	}
	for _, e := range store.puts[0] {
		if string(e.Value) != "new" {
			t.Errorf("%s is %q, want the later value", e.Key, e.Value)
		}
	}
}
