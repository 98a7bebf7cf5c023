package fleet

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/guard"
)

// fakeStore is an in-memory store. A watch without changes blocks for its whole
// wait time.
type fakeStore struct {
	mu      sync.Mutex
	isDown  bool
	changes []jdaw.Change
	read    uint64         // revision of the last change that was read
	loads   int            // full reads
	puts    [][]jdaw.Entry // without the VM's own entry
	// items and revision are what a full read returns. A full read clears
	// isHistoryGone.
	items         []jdaw.Change
	revision      uint64
	isHistoryGone bool
}

func (s *fakeStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// keys returns the keys written, in order.
func (s *fakeStore) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, entries := range s.puts {
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

func (s *fakeStore) loadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

func (s *fakeStore) add(c jdaw.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
}

func (s *fakeStore) wasReadAfter(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read >= revision
}

func (s *fakeStore) after(revision uint64) []jdaw.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []jdaw.Change
	for _, c := range s.changes {
		if c.Revision > revision {
			list = append(list, c)
			s.read = max(s.read, c.Revision)
		}
	}
	return list
}

var errDown = errors.New("the store is down")

func (s *fakeStore) fail() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return errDown
	}
	return nil
}

func (s *fakeStore) hasNoHistory() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isHistoryGone
}

func (s *fakeStore) Load(context.Context) ([]jdaw.Change, uint64, error) {
	s.mu.Lock()
	s.loads++
	s.mu.Unlock()
	if err := s.fail(); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isHistoryGone = false
	return s.items, max(s.revision, 1), nil
}

func (s *fakeStore) Changes(ctx context.Context, after uint64, wait time.Duration) ([]jdaw.Change, uint64, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if err := s.fail(); err != nil {
			return nil, 0, err
		}
		if s.hasNoHistory() {
			return nil, 0, jdaw.ErrHistoryGone
		}
		if list := s.after(after); len(list) > 0 {
			return list, list[len(list)-1].Revision, nil
		}
	}
	return nil, after, ctx.Err()
}

func (s *fakeStore) Put(_ context.Context, entries []jdaw.Entry, _ string) error {
	if err := s.fail(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(entries[0].Key, memberPrefix) {
		s.puts = append(s.puts, entries)
	}
	return nil
}

func (s *fakeStore) PutIf(ctx context.Context, key string, value []byte, _ uint64, lease string) (bool, error) {
	return true, s.Put(ctx, []jdaw.Entry{{Key: key, Value: value}}, lease)
}
func (s *fakeStore) Lease(context.Context, time.Duration) (string, error) { return "l", s.fail() }
func (s *fakeStore) RenewLease(context.Context, string) (bool, error)     { return true, s.fail() }
func (s *fakeStore) EndLease(context.Context, string) error               { return s.fail() }

// hungFeed is a feed of VMs that never respond.
type hungFeed struct{}

func (hungFeed) Changes(ctx context.Context, _ string, _ jdaw.FeedRequest) (jdaw.FeedReply, error) {
	<-ctx.Done()
	return jdaw.FeedReply{}, ctx.Err()
}

func (hungFeed) Write(ctx context.Context, _ string, _ []jdaw.Entry) error {
	<-ctx.Done()
	return ctx.Err()
}

func (hungFeed) WriteIf(ctx context.Context, _ string, _ jdaw.Entry, _ uint64) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}
func (hungFeed) Restart(uint64, time.Duration)            {}
func (hungFeed) Add([]jdaw.Change, uint64, time.Duration) {}
func (hungFeed) IsAsked() bool                            { return false }

// Guards against a VM that gets no changes while its feeder hangs.
func TestHungFeeder(t *testing.T) {
	store := &fakeStore{}
	st := &State{Members: members(26, "largs")}
	var self Member
	for _, m := range st.Members {
		if !st.isFeeder(m) {
			self = m
		}
	}
	n := New(Config{Self: self, Store: store, Feed: hungFeed{}, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
	defer n.Close()
	n.Execute(Publish{State: st})
	store.add(jdaw.Change{Key: "k", Revision: 2})
	began := time.Now()
	for !store.wasReadAfter(2) {
		if time.Since(began) > 3*time.Second {
			t.Fatal("a change was not read within 3 s, the time in which it must be in force")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type nopDecoder struct{}

func (nopDecoder) DecodeChange(jdaw.Change) (jdaw.Event, error) { return nil, nil }

// Guards against a VM that treats a store without changes as unavailable and
// then cannot reject a wrong key; and against one that still rejects new keys
// as unknown while the store is unavailable.
func TestIsCurrent(t *testing.T) {
	store := &fakeStore{}
	n := New(Config{Self: Member{VM: "vm1"}, Store: store, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
	defer n.Close()
	for began := time.Now(); !n.IsCurrent(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > time.Second {
			t.Fatal("not current 1 s after the start")
		}
	}
	for end := time.Now().Add(watchWait + watchSlack); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !n.IsCurrent() {
			t.Fatalf("not current %s after the last answer of a store without changes", n.TimeSinceContact())
		}
	}
	store.setDown(true)
	time.Sleep(500 * time.Millisecond)
	if n.IsCurrent() {
		t.Error("current while the store is unavailable")
	}
}

// Guards against a change that comes into force too late because the VM pauses
// between two watches, and against calls that a pause would save.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	running := func(left time.Duration, isEvaluator bool) *State {
		return &State{Rollouts: map[string]Rollout{"s": {
			State: RolloutRunning, StartedAt: now, Duration: left, IsEvaluator: isEvaluator,
		}}}
	}
	cases := map[string]struct {
		st    *State
		apply time.Duration
		want  time.Duration
	}{
		"changes in 2 s":            {&State{}, 2 * time.Second, 1200 * time.Millisecond},
		"changes in 3 s":            {&State{}, 3 * time.Second, 2200 * time.Millisecond},
		"changes in 1 s":            {&State{}, time.Second, 500 * time.Millisecond},
		"a roll-out begins":         {running(20*time.Second, false), 3 * time.Second, 2200 * time.Millisecond},
		"its last steps are near":   {running(3*time.Second, false), 3 * time.Second, 3*time.Second - finalPhase},
		"its last steps":            {running(time.Second, false), 3 * time.Second, rolloutPause},
		"the evaluator":             {running(20*time.Second, true), 3 * time.Second, rolloutPause},
		"a roll-out that has ended": {&State{Rollouts: map[string]Rollout{"s": {State: RolloutCompleted, IsEvaluator: true}}}, 3 * time.Second, 2200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.st.pause(now, c.apply); got != c.want {
				t.Errorf("pause of %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a bad version that goes undetected in a large fleet because
// only a few VMs publish its counts.
func TestAllVMsShareTheNewVersion(t *testing.T) {
	st := &State{Members: members(79, "largs"), Rollouts: map[string]Rollout{"s": {Service: "s", Version: "v2", State: RolloutRunning}}}
	shared := map[string]int{}
	reporters := 0
	for _, self := range st.Members {
		n := New(Config{Self: self, Store: &fakeStore{}, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
		n.Execute(Publish{State: st})
		n.Count(Outcome{Service: "s", Version: "v1", IsTimed: true, Speed: 0.5})
		n.Count(Outcome{Service: "s", Version: "v2", IsTimed: true, Speed: 0.2})
		which := n.isInRollout
		if n.isReporter() {
			which = everyVersion
			reporters++
		}
		for _, c := range n.takeUnpublished(which) {
			shared[c.Version.Version]++
		}
		if list := n.takeUnpublished(which); len(list) > 0 {
			t.Errorf("%s publishes %+v again", self.VM, list)
		}
		n.Close()
	}
	if shared["v2"] != len(st.Members) || shared["v1"] != reporters || reporters != maxReporters {
		t.Errorf("%d reporters, counts published: %v", reporters, shared)
	}
}

// Guards against a running stream that counts as two responses, or whose
// speed is not counted.
func TestCountOfRunningStream(t *testing.T) {
	n := &Node{counts: map[jdaw.ModelVersion]guard.Counts{}, unpublished: map[jdaw.ModelVersion]bool{}}
	n.state.Store(&State{Rollouts: map[string]Rollout{"s": {Service: "s", Version: "v2", State: RolloutRunning, Order: 7}}})
	n.Count(Outcome{Service: "s", Version: "v2", IsTimed: true, Speed: 0.5, IsRunning: true})
	n.Count(Outcome{Service: "s", Version: "v2"})
	if c := n.counts[jdaw.ModelVersion{Model: "s", Version: "v2"}]; c.OK != 1 || c.Failed != 0 || c.Timed != 1 {
		t.Errorf("counted %+v, want one response with one speed", c)
	}
}

// Guards against many billed reads of each VM in an outage of the store, and
// against one that is noticed late when it ends.
func TestReadsInAnOutage(t *testing.T) {
	store := &fakeStore{isDown: true}
	n := New(Config{Self: Member{VM: "vm0"}, Store: store, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog()})
	defer n.Close()
	time.Sleep(3 * time.Second)
	if loads := store.loadCount(); loads < 2 || loads > 4 {
		t.Errorf("%d reads in an outage of 3 s, want 2 to 4", loads)
	}
	store.setDown(false)
	for end := time.Now().Add(renewInterval + 500*time.Millisecond); n.TimeSinceContact() > time.Second; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end of the outage is not noticed")
		}
	}
}
