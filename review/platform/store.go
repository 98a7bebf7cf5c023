package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in a page of a range.
const pageItems = 500

// item is an entry of the store, or its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease,omitempty"`
	Removed    bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end *time.Timer
}

// txn is a call of /kv-txn.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// store stands in for the platform's metadata store.
type store struct {
	rec *record

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{} // closed at the next change
}

func newStore(rec *record) *store {
	return &store{rec: rec, items: map[string]item{}, revision: 100, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// put writes as the operator or a runner does.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a fault of the case
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeAt(key)
	s.wake()
}

// The methods below are called with mu held.

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	s.writeAt(key, value, leaseID)
	s.wake()
}

func (s *store) writeAt(key string, value []byte, leaseID uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) removeAt(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) endLease(id uint64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.end.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.rec.add("store: %s is removed, its lease %d has ended", key, id)
			s.removeAt(key)
		}
	}
	s.wake()
}

// apply does a transaction and returns the status.
func (s *store) apply(t txn) int {
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.writeAt(p.Key, p.Value, p.Lease)
		s.rec.add("store: revision %d writes %s, lease %d", s.revision, p.Key, p.Lease)
	}
	for _, key := range t.Deletes {
		s.removeAt(key)
	}
	s.wake()
	return http.StatusOK
}

// ServeHTTP implements [http.Handler].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, r, false)
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveKeep(w, r, true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	n := min(len(list), pageItems)
	reply(w, http.StatusOK, map[string]any{"items": list[:n], "hasMore": n < len(list), "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		events := []item{}
		for _, e := range s.events[from:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			isOver = true
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, revision := s.apply(t), s.revision
	s.mu.Unlock()
	reply(w, status, map[string]any{"revision": revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	l := &lease{ttl: time.Duration(max(body.TTLMs, 1000)) * time.Millisecond}
	l.end = time.AfterFunc(l.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})
	s.leases[id] = l
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request, isEnd bool) {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil && isEnd {
		s.endLease(id)
	} else if l != nil {
		l.end.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
