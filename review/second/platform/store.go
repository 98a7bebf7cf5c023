package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdRev,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease with its keys.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

const (
	storeAnswerTime = 4 * time.Millisecond
	pageItems       = 500
)

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{} // closed at the next change
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), items: map[string]item{}, leases: map[uint64]*lease{}, revision: 10,
		changed: make(chan struct{}),
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return s, nil
}

// door is the way of one machine to the store.
type door struct {
	*store
	address string

	mu       sync.Mutex
	isSilent bool // nothing is answered
	// onWatch is called when a watch arrives. If it returns true, its connection goes
	// silent for good, while new ones work.
	onWatch func() bool
}

// open returns a door to the store for one machine.
func (s *store) open() (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, address: l.Addr().String()}
	srv := &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return d, nil
}

func (d *door) setSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = true
}

func (d *door) setOnWatch(f func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onWatch = f
}

// holds reports whether a call gets no answer.
func (d *door) holds(r *http.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isSilent {
		return true
	}
	return r.URL.Path == "/kv-watch" && d.onWatch != nil && d.onWatch()
}

// ServeHTTP implements [http.Handler].
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.holds(r) {
		answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
		d.store.ServeHTTP(answer, r)
		d.mu.Lock()
		isSilent := d.isSilent
		d.mu.Unlock()
		if !isSilent {
			for name, values := range answer.header {
				w.Header()[name] = values
			}
			w.WriteHeader(answer.status)
			_, _ = w.Write(answer.body) // the caller may have left
			return
		}
	}
	<-r.Context().Done()
}

// heldAnswer keeps an answer, so that one to a machine that is cut off meanwhile isn't sent.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

// Header implements [http.ResponseWriter].
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements [http.ResponseWriter].
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements [http.ResponseWriter].
func (a *heldAnswer) Write(b []byte) (int, error) {
	a.body = append(a.body, b...)
	return len(b), nil
}

// put writes as the operator or a runner does.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a value of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeItem(key)
}

// The methods below are called with mu held.

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, Lease: leaseID}
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.events = append(s.events, i)
	s.wake()
}

func (s *store) removeItem(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

func (s *store) endLease(id uint64) {
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.removeItem(key)
		}
	}
}

// ServeHTTP implements [http.Handler].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	path, q := r.URL.Path, r.URL.Query()
	switch {
	case path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveKeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	list := []item{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		list = append(list, s.items[k])
	}
	reply(w, map[string]any{"items": list, "hasMore": len(keys) > pageItems, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision == e.Revision {
			continue
		}
		items := []item{}
		for _, known := range body.Expected {
			if i, ok := s.items[known.Key]; ok {
				items = append(items, i)
			}
		}
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]any{"items": items})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Deletes {
		s.removeItem(key)
	}
	reply(w, map[string]any{"revision": s.revision})
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
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	reply(w, map[string]any{"lease": id, "ttlMs": body.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		l.timer.Reset(l.ttl)
	}
	reply(w, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}
