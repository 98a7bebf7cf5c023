package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outage says how the key-value service fails.
type Outage string

// Kinds of outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // answers 500 at once
	OutageCut    Outage = "cut"    // closes the connection without an answer
	OutageHang   Outage = "hang"   // answers nothing until the outage ends
)

// KeyValueFault tells a [KeyValue] how to misbehave. The zero value ends all
// faults. Shares are between 0 and 1.
type KeyValueFault struct {
	Outage      Outage `json:"outage,omitempty"`
	DelayMillis int    `json:"delayMillis,omitempty"`
	// LoseAnswers is the share of writes that take effect and whose
	// connection is then cut.
	LoseAnswers float64 `json:"loseAnswers,omitempty"`
	// LoseRequests is the share of writes whose connection is cut before they
	// take effect.
	LoseRequests float64 `json:"loseRequests,omitempty"`
	// SkipWatch makes a watch answer only after this many further changes of
	// its key, or at the end of its wait.
	SkipWatch int `json:"skipWatch,omitempty"`
	// Prefix limits the faults to keys with this prefix.
	Prefix string `json:"prefix,omitempty"`
	// LapseSessions ends all sessions whose name has this prefix, once; "*"
	// ends all.
	LapseSessions string `json:"lapseSessions,omitempty"`
	// Seed starts the random choices over when it is not 0.
	Seed uint64 `json:"seed,omitempty"`
}

// KeyValueWrite is one accepted change of a key.
type KeyValueWrite struct {
	Index  uint64    `json:"index"`
	Kind   string    `json:"kind"` // put, delete, acquire, release or lapse
	Key    string    `json:"key"`
	Bytes  int       `json:"bytes"`
	At     time.Time `json:"at"`
	Answer string    `json:"answer,omitempty"` // "lost" if the answer was cut
}

// KeyValueState is the answer of GET /fake/state.
type KeyValueState struct {
	Index  uint64           `json:"index"`
	Keys   int              `json:"keys"`
	Counts map[string]int64 `json:"counts"`
	Writes []KeyValueWrite  `json:"writes"`
}

// Limits of the service.
const (
	maxValueBytes     = 1 << 20
	minSessionTTL     = 10 * time.Second
	maxSessionTTL     = 24 * time.Hour
	defaultLockDelay  = 15 * time.Second
	defaultQueryWait  = 5 * time.Minute
	maxLoggedKVWrites = 1 << 18
)

// KeyValue is a stand-in for the platform's key-value service. It speaks the
// KV and session parts of Consul's published HTTP API and keeps everything in
// memory. Faults are set with [KeyValue.SetFault], or from another process
// with POST /fake/fault and a [KeyValueFault] as JSON body; GET /fake/state
// answers a [KeyValueState].
type KeyValue struct {
	mu       sync.Mutex
	index    uint64
	keys     map[string]*kvEntry
	deleted  map[string]uint64 // index of the deletion of keys that are gone
	sessions map[string]*kvSession
	changed  chan struct{} // closed and replaced at each change
	fault    KeyValueFault
	faultSet chan struct{} // closed and replaced at each SetFault
	random   *rand.Rand
	counts   map[string]int64
	writes   []KeyValueWrite
}

type kvEntry struct {
	Key         string
	Value       []byte
	Flags       uint64
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Session     string `json:",omitempty"`

	lockedUntil time.Time // lock delay after a lapsed session
}

type kvSession struct {
	ID        string
	Name      string
	TTL       string
	Behavior  string
	LockDelay time.Duration

	ttl   time.Duration
	timer *time.Timer
}

// NewKeyValue makes an empty stand-in without faults.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		// A query of a missing key answers index 1, so the first write must
		// have a higher one for a watch to notice it.
		index:    1,
		keys:     map[string]*kvEntry{},
		deleted:  map[string]uint64{},
		sessions: map[string]*kvSession{},
		changed:  make(chan struct{}),
		faultSet: make(chan struct{}),
		random:   rand.New(rand.NewPCG(1, 1)),
		counts:   map[string]int64{},
	}
}

// SetFault replaces the faults in force.
func (s *KeyValue) SetFault(f KeyValueFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Seed != 0 {
		s.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	}
	if f.LapseSessions != "" {
		for _, session := range s.sessions {
			if f.LapseSessions == "*" || strings.HasPrefix(session.Name, f.LapseSessions) {
				s.lapse(session)
			}
		}
		f.LapseSessions = ""
	}
	s.fault = f
	close(s.faultSet)
	s.faultSet = make(chan struct{})
}

// Counts returns the number of calls by kind: get, list, watch, put, delete,
// acquire, release, session. A watch counts once however long it waits.
func (s *KeyValue) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.counts))
	for k, n := range s.counts {
		out[k] = n
	}
	return out
}

// Writes returns the accepted writes in order.
func (s *KeyValue) Writes() []KeyValueWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]KeyValueWrite(nil), s.writes...)
}

// Keys returns the keys that exist, sorted.
func (s *KeyValue) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.keys))
	for k := range s.keys {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// ServeHTTP implements http.Handler.
func (s *KeyValue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/fake/fault":
		s.serveFault(w, r)
	case path == "/fake/state":
		s.serveState(w)
	case strings.HasPrefix(path, "/v1/kv/"):
		s.serveKey(w, r, strings.TrimPrefix(path, "/v1/kv/"))
	case strings.HasPrefix(path, "/v1/session/"):
		s.serveSession(w, r, strings.TrimPrefix(path, "/v1/session/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *KeyValue) serveFault(w http.ResponseWriter, r *http.Request) {
	var f KeyValueFault
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *KeyValue) serveState(w http.ResponseWriter) {
	keys := len(s.Keys())
	counts := s.Counts()
	writes := s.Writes()
	s.mu.Lock()
	index := s.index
	s.mu.Unlock()
	writeKVJSON(w, KeyValueState{Index: index, Keys: keys, Counts: counts, Writes: writes})
}

// enter counts the call and applies outage and delay. It returns false if the
// call has been answered or its client is gone.
func (s *KeyValue) enter(w http.ResponseWriter, r *http.Request, kind, key string) bool {
	s.mu.Lock()
	s.counts[kind]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		f, set := s.fault, s.faultSet
		s.mu.Unlock()
		if !strings.HasPrefix(key, f.Prefix) {
			return true
		}
		switch f.Outage {
		case OutageRefuse:
			http.Error(w, "No cluster leader", http.StatusInternalServerError)
			return false
		case OutageCut:
			panic(http.ErrAbortHandler)
		case OutageHang:
			select {
			case <-r.Context().Done():
				return false
			case <-set:
			}
			continue
		}
		if f.DelayMillis > 0 {
			select {
			case <-r.Context().Done():
				return false
			case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
			}
		}
		return true
	}
}

// draw reports whether a fault with this share strikes. The caller holds mu.
func (s *KeyValue) draw(key string, share float64) bool {
	return share > 0 && strings.HasPrefix(key, s.fault.Prefix) && s.random.Float64() < share
}

func (s *KeyValue) serveKey(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	switch r.Method {
	case http.MethodGet:
		s.serveRead(w, r, key)
		return
	case http.MethodPut, http.MethodDelete:
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kind := "put"
	switch {
	case r.Method == http.MethodDelete:
		kind = "delete"
	case query.Has("acquire"):
		kind = "acquire"
	case query.Has("release"):
		kind = "release"
	}
	if !s.enter(w, r, kind, key) {
		return
	}
	if len(value) > maxValueBytes {
		http.Error(w, "value exceeds 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	if s.draw(key, s.fault.LoseRequests) {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	done, err := s.apply(kind, key, value, query.Get("cas"), query.Has("cas"), query.Get(kind))
	lost := err == nil && s.draw(key, s.fault.LoseAnswers)
	if lost && done {
		s.writes[len(s.writes)-1].Answer = "lost"
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeKVJSON(w, done)
}

// apply carries out one write. The caller holds mu.
func (s *KeyValue) apply(kind, key string, value []byte, cas string, hasCAS bool, session string) (bool, error) {
	e := s.keys[key]
	if hasCAS {
		want, err := strconv.ParseUint(cas, 10, 64)
		if err != nil {
			return false, fmt.Errorf("cas index %q is not a number", cas)
		}
		var have uint64
		if e != nil {
			have = e.ModifyIndex
		}
		if want != have || kind == "delete" && e == nil {
			return false, nil
		}
	}
	switch kind {
	case "acquire":
		if s.sessions[session] == nil {
			return false, fmt.Errorf("invalid session %q", session)
		}
		if e != nil && (e.Session != "" && e.Session != session || time.Now().Before(e.lockedUntil)) {
			return false, nil
		}
	case "release":
		if e == nil || session == "" || e.Session != session {
			return false, nil
		}
	case "delete":
		delete(s.keys, key)
		s.change(kind, key, 0)
		s.deleted[key] = s.index
		return true, nil
	}
	s.change(kind, key, len(value))
	if e == nil {
		e = &kvEntry{Key: key, CreateIndex: s.index}
		s.keys[key] = e
	}
	e.Value = value
	e.ModifyIndex = s.index
	if kind == "acquire" && e.Session != session {
		e.Session = session
		e.LockIndex++
	}
	if kind == "release" {
		e.Session = ""
	}
	return true, nil
}

// change counts and logs a change and wakes the watches. The caller holds mu.
func (s *KeyValue) change(kind, key string, size int) {
	s.index++
	if len(s.writes) < maxLoggedKVWrites {
		s.writes = append(s.writes, KeyValueWrite{Index: s.index, Kind: kind, Key: key, Bytes: size, At: time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *KeyValue) serveRead(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	recurse := query.Has("recurse")
	if query.Has("keys") {
		s.serveNames(w, r, key, query.Get("separator"))
		return
	}
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	kind := "get"
	switch {
	case after > 0:
		kind = "watch"
	case recurse:
		kind = "list"
	}
	if !s.enter(w, r, kind, key) {
		return
	}
	wait := defaultQueryWait
	if d, err := time.ParseDuration(query.Get("wait")); err == nil {
		wait = d
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	skipped, last := 0, after
	for {
		s.mu.Lock()
		entries, index := s.lookup(key, recurse)
		changed, set := s.changed, s.faultSet
		skip := 0
		if strings.HasPrefix(key, s.fault.Prefix) {
			skip = s.fault.SkipWatch
		}
		body, _ := json.Marshal(entries)
		s.mu.Unlock()
		if index > last {
			skipped++
			last = index
		}
		if after == 0 || index > after && skipped > skip {
			s.answerRead(w, len(entries), body, index)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout.C:
			s.answerRead(w, len(entries), body, index)
			return
		case <-changed:
		case <-set:
		}
		// An outage also ends the watches that wait.
		s.mu.Lock()
		outage := s.fault.Outage
		if !strings.HasPrefix(key, s.fault.Prefix) {
			outage = OutageNone
		}
		s.mu.Unlock()
		if outage == OutageRefuse || outage == OutageCut {
			panic(http.ErrAbortHandler)
		}
	}
}

// serveNames answers the keys with a prefix, each cut after the separator that
// follows the prefix.
func (s *KeyValue) serveNames(w http.ResponseWriter, r *http.Request, prefix, separator string) {
	if !s.enter(w, r, "list", prefix) {
		return
	}
	s.mu.Lock()
	entries, index := s.lookup(prefix, true)
	s.mu.Unlock()
	names := []string{}
	for _, e := range entries {
		name := e.Key
		if at := strings.Index(name[len(prefix):], separator); separator != "" && at >= 0 {
			name = name[:len(prefix)+at+len(separator)]
		}
		if len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	body, _ := json.Marshal(names)
	s.answerRead(w, len(names), body, index)
}

func (s *KeyValue) answerRead(w http.ResponseWriter, n int, body []byte, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(index, 1), 10))
	w.Header().Set("Content-Type", "application/json")
	if n == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

// lookup returns the entries and the index of a query: the highest index of
// its keys and their deletions, or the service's index if there is none. The
// caller holds mu.
func (s *KeyValue) lookup(key string, recurse bool) ([]*kvEntry, uint64) {
	if !recurse {
		if e := s.keys[key]; e != nil {
			return []*kvEntry{e}, e.ModifyIndex
		}
		if at := s.deleted[key]; at > 0 {
			return nil, at
		}
		return nil, 1
	}
	var entries []*kvEntry
	index := uint64(1)
	for k, e := range s.keys {
		if strings.HasPrefix(k, key) {
			entries = append(entries, e)
			index = max(index, e.ModifyIndex)
		}
	}
	for k, at := range s.deleted {
		if strings.HasPrefix(k, key) {
			index = max(index, at)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, index
}

func (s *KeyValue) serveSession(w http.ResponseWriter, r *http.Request, path string) {
	if r.Method != http.MethodPut {
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.enter(w, r, "session", "") {
		return
	}
	verb, id, _ := strings.Cut(path, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "create":
		session, err := s.createSession(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if s.draw("", s.fault.LoseAnswers) {
			panic(http.ErrAbortHandler)
		}
		writeKVJSON(w, map[string]string{"ID": session.ID})
	case "renew":
		session := s.sessions[id]
		if session == nil {
			http.Error(w, "Session id '"+id+"' not found", http.StatusNotFound)
			return
		}
		session.timer.Reset(session.ttl)
		writeKVJSON(w, []*kvSession{session})
	case "destroy":
		if session := s.sessions[id]; session != nil {
			s.lapse(session)
		}
		writeKVJSON(w, true)
	default:
		http.Error(w, "unknown session call", http.StatusNotFound)
	}
}

// createSession makes a session. The caller holds mu.
func (s *KeyValue) createSession(body []byte) (*kvSession, error) {
	var q struct{ Name, TTL, Behavior, LockDelay string }
	if len(body) > 0 {
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, err
		}
	}
	ttl, err := time.ParseDuration(q.TTL)
	if err != nil || ttl < minSessionTTL || ttl > maxSessionTTL {
		return nil, fmt.Errorf("invalid Session TTL %q, must be between [10s=24h0m0s]", q.TTL)
	}
	delay := defaultLockDelay
	if q.LockDelay != "" {
		if delay, err = time.ParseDuration(q.LockDelay); err != nil {
			return nil, err
		}
	}
	id := fmt.Sprintf("%016x-%016x", s.random.Uint64(), s.random.Uint64())
	session := &kvSession{ID: id, Name: q.Name, TTL: q.TTL, Behavior: q.Behavior, LockDelay: delay, ttl: ttl}
	session.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse(session)
	})
	s.sessions[id] = session
	return session, nil
}

// lapse ends a session and frees or deletes its keys. The caller holds mu.
func (s *KeyValue) lapse(session *kvSession) {
	if s.sessions[session.ID] == nil {
		return
	}
	delete(s.sessions, session.ID)
	session.timer.Stop()
	for key, e := range s.keys {
		if e.Session != session.ID {
			continue
		}
		s.change("lapse", key, len(e.Value))
		if session.Behavior == "delete" {
			delete(s.keys, key)
			s.deleted[key] = s.index
			continue
		}
		e.Session = ""
		e.ModifyIndex = s.index
		e.lockedUntil = time.Now().Add(session.LockDelay)
	}
}

func writeKVJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
