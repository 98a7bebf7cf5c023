package fleet

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"jackdawbarrow"
)

// leaseStore is a store whose entries of VMs end with their leases. A lease that no
// VM has renewed for leaseTTL ends.
type leaseStore struct {
	fakeStore
	renewedAt map[string]time.Time
	entry     *jdaw.Entry
	lease     string // of entry
	revision  uint64
	writes    int
	lose      int // writes whose response is lost
	// late are the lost writes, which apply does.
	late []func()
}

func newLeaseStore() *leaseStore {
	return &leaseStore{revision: 1, renewedAt: map[string]time.Time{}}
}

// put writes the VM's entry. The caller holds mu.
func (s *leaseStore) put(e jdaw.Entry, lease string) {
	s.revision++
	s.entry, s.lease = &e, lease
	s.changes = append(s.changes, jdaw.Change{Key: e.Key, Value: e.Value, Revision: s.revision})
}

// expire ends the leases that nobody renews. The caller holds mu.
func (s *leaseStore) expire() {
	for lease, at := range s.renewedAt {
		if time.Since(at) > leaseTTL {
			delete(s.renewedAt, lease)
		}
	}
	if _, ok := s.renewedAt[s.lease]; s.entry != nil && !ok {
		s.remove()
	}
}

// remove removes the VM's entry. The caller holds mu.
func (s *leaseStore) remove() {
	s.revision++
	s.changes = append(s.changes, jdaw.Change{Key: s.entry.Key, Revision: s.revision, Removed: true})
	s.entry = nil
}

func (s *leaseStore) Load(context.Context) ([]jdaw.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry == nil {
		return nil, s.revision, nil
	}
	return []jdaw.Change{{Key: s.entry.Key, Value: s.entry.Value, Revision: s.revision}}, s.revision, nil
}

func (s *leaseStore) Put(ctx context.Context, entries []jdaw.Entry, lease string) error {
	if !strings.HasPrefix(entries[0].Key, memberPrefix) {
		return s.fakeStore.Put(ctx, entries, lease)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.lose > 0 {
		s.lose--
		s.late = append(s.late, func() { s.put(entries[0], lease) })
		return errDown
	}
	s.put(entries[0], lease)
	return nil
}

func (s *leaseStore) Lease(context.Context, time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := strconv.Itoa(len(s.renewedAt) + int(s.revision)*100)
	s.renewedAt[lease] = time.Now()
	return lease, nil
}

func (s *leaseStore) RenewLease(_ context.Context, lease string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, ok := s.renewedAt[lease]
	if ok {
		s.renewedAt[lease] = time.Now()
	}
	return ok, nil
}

// isRegistered reports whether the VM's entry stands under a lease that it renews.
func (s *leaseStore) isRegistered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.entry != nil && time.Since(s.renewedAt[s.lease]) < renewInterval+renewInterval/2
}

func (s *leaseStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Guards against a VM that no directory lists until it restarts: a write of its entry
// whose response was lost was done late, under a lease that the VM didn't renew.
func TestOwnEntryIsKept(t *testing.T) {
	cases := map[string]struct {
		lose   int
		change func(s *leaseStore)
		writes int // at the end
	}{
		"calm": {writes: 1},
		"write done late after its response was lost": {lose: 1, writes: 2, change: func(s *leaseStore) {
			for _, apply := range s.late {
				apply()
			}
		}},
		"under another lease": {writes: 2, change: func(s *leaseStore) {
			s.renewedAt["old"] = time.Now()
			e := *s.entry
			e.Value = []byte(strings.Replace(string(e.Value), `"lease":"`+s.lease, `"lease":"old`, 1))
			s.put(e, "old")
		}},
		"gone": {writes: 2, change: func(s *leaseStore) { s.remove() }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLeaseStore()
			s.lose = c.lose
			n := New(Config{
				Self: Member{VM: "a", DataCentre: "oban", Address: "127.0.0.1:1"}, Store: s, Decoder: nopDecoder{},
				Post: func(jdaw.Event) {}, Log: discardLog(),
			})
			defer n.Close()
			eventually(t, 3*time.Second, "the VM is registered", s.isRegistered)
			time.Sleep(1500 * time.Millisecond)
			if c.change != nil {
				s.mu.Lock()
				c.change(s)
				s.mu.Unlock()
			}
			// The watch sees the change within its pause, the VM acts within two seconds.
			time.Sleep(2*time.Second + defaultApplyWithin - applyMargin)
			for range 25 {
				if !s.isRegistered() {
					t.Fatal("the VM is not registered")
				}
				time.Sleep(100 * time.Millisecond)
			}
			if got := s.writeCount(); got != c.writes {
				t.Errorf("the VM wrote its entry %d times, want %d", got, c.writes)
			}
		})
	}
}
