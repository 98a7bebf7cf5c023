package fakes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of the engine's protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerStreamID    = "X-Stream-Id"
	headerIncarnation = "X-Incarnation"
	headerNotRun      = "X-Not-Run" // the refused request has not been run
	headerLeaving     = "X-Leaving" // the upstream is leaving
)

// EngineConfig configures an Engine. Zero durations mean no delay.
type EngineConfig struct {
	Name     string   // incarnations are "<name>1", "<name>2", ...; empty means "a"
	Versions []string // "model@version"
	Capacity int      // requests in the batch; 0 means 8
	// QueueLimit bounds the requests waiting for the batch; more are refused.
	// 0 means twice the capacity, a negative value no queue.
	QueueLimit int
	FirstToken time.Duration
	PerToken   time.Duration
	Tokens     int // length of an answer; 0 means 24
	// PrefixCache bounds the cached prompt prefixes; 0 means 32.
	PrefixCache int
	// CachedFirstToken is the first-token time after a prefix hit; 0 means a
	// quarter of FirstToken.
	CachedFirstToken time.Duration
	// ColdFor is the time after a start in which more than ColdCapacity
	// running requests make the engine fall over.
	ColdFor      time.Duration
	ColdCapacity int           // 0 means 1
	DownFor      time.Duration // time with errors after falling over
	ReportLag    time.Duration // age of load reports
	EventLag     time.Duration // age at which cache events become visible
	EventLoss    float64       // share of cache events that never become visible
	ChecksFence  bool
	// ResumeFor is how long a stream without a reader keeps running; 0 means 2 s.
	ResumeFor time.Duration
	Seed      uint64
	Clock     func() time.Time `json:"-"`
}

// Break says at which point of a request the engine closes the connection.
type Break string

// Points at which the connection is closed.
const (
	BreakBefore    Break = "before"    // before the body is read; nothing runs
	BreakDuring    Break = "during"    // after half of the body; nothing runs
	BreakAfter     Break = "after"     // the request runs, no answer is sent
	BreakMidStream Break = "midStream" // after BreakAt chunks
)

// EngineFault is the body of POST /fake/fault. It replaces the faults in force.
type EngineFault struct {
	FailShare map[string]float64 `json:"failShare,omitempty"` // "model@version": share answered with 500
	Break     Break              `json:"break,omitempty"`
	BreakAt   int                `json:"breakAt,omitempty"`
	Count     int                `json:"count,omitempty"` // requests to break or refuse; 0 means all
	// ForgetStreams makes a resume answer 404 and cancels broken streams.
	ForgetStreams bool `json:"forgetStreams,omitempty"`
	SlowMillis    int  `json:"slowMillis,omitempty"` // added to each token
	Refuse        bool `json:"refuse,omitempty"`     // 503, not run
	// Duplicate sends each n-th chunk twice, Skip leaves each n-th out once.
	Duplicate int `json:"duplicate,omitempty"`
	Skip      int `json:"skip,omitempty"`
	// Quality adds a mark to the answers of a version that [Rating] reads.
	Quality map[string]float64 `json:"quality,omitempty"`
	Leaving bool               `json:"leaving,omitempty"`
	// ReportLeaving says so in load reports only and still takes requests.
	ReportLeaving bool `json:"reportLeaving,omitempty"`
	Restart       bool `json:"restart,omitempty"` // new incarnation at once
}

// EngineRun is one line of the engine's log: a request that it started to run.
type EngineRun struct {
	RequestID   string    `json:"requestId"`
	Incarnation string    `json:"incarnation"`
	Model       string    `json:"model"`
	Version     string    `json:"version"` // "model@version"
	Position    int       `json:"position"`
	Running     int       `json:"running"` // including this one
	At          time.Time `json:"at"`
}

// LoadReport is the answer of GET /v1/load.
type LoadReport struct {
	Incarnation   string    `json:"incarnation"`
	UptimeSeconds float64   `json:"uptimeSeconds"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	Capacity      int       `json:"capacity"`
	Versions      []string  `json:"versions"`
	Leaving       bool      `json:"leaving"`
	MeasuredAt    time.Time `json:"measuredAt"`
}

// CacheEvent tells that a prefix was stored in or removed from the cache. A
// missing number means that an event was lost.
type CacheEvent struct {
	Number uint64    `json:"number"`
	Kind   string    `json:"kind"`   // stored, removed, cleared
	Prefix string    `json:"prefix"` // hash in hex, see PrefixHash
	At     time.Time `json:"at"`
}

// EngineOrder is the body of POST /v1/orders.
type EngineOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"` // load, unload, leave, stay
	Version string `json:"version,omitempty"`
	From    string `json:"from,omitempty"` // operator or VM
}

// Engine is a stand-in of a model engine. Its answers depend only on the
// prompt and the version.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu       sync.Mutex
	rng      *rand.Rand
	number   int // of the incarnation
	started  time.Time
	downTill time.Time
	leaving  bool
	versions []string
	running  int
	waiting  []*waiter
	streams  map[string]*stream
	streamNo int
	cache    []string // least recently used first
	events   []CacheEvent
	eventNo  uint64
	fault    EngineFault
	faulted  int
	fence    uint64
	orders   []EngineOrder
	log      []EngineRun
	reports  []LoadReport
}

type waiter struct {
	priority int
	admitted chan bool // false if the engine restarted meanwhile
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatBody struct {
	Model                string        `json:"model"`
	Messages             []chatMessage `json:"messages"`
	Stream               bool          `json:"stream"`
	MaxTokens            int           `json:"max_tokens"`
	MaxCompletionTokens  int           `json:"max_completion_tokens"`
	Priority             int           `json:"priority"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
	StreamOptions        struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// NewEngine makes a stand-in engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Name == "" {
		cfg.Name = "a"
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = 8
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 2 * cfg.Capacity
	}
	if cfg.Tokens == 0 {
		cfg.Tokens = 24
	}
	if cfg.PrefixCache == 0 {
		cfg.PrefixCache = 32
	}
	if cfg.CachedFirstToken == 0 {
		cfg.CachedFirstToken = cfg.FirstToken / 4
	}
	if cfg.ColdCapacity == 0 {
		cfg.ColdCapacity = 1
	}
	if cfg.ResumeFor == 0 {
		cfg.ResumeFor = 2 * time.Second
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	e := &Engine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		number:   1,
		started:  cfg.Clock(),
		versions: append([]string(nil), cfg.Versions...),
		streams:  map[string]*stream{},
	}
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("POST /fake/fault", e.setFaultHandler)
	e.mux.HandleFunc("GET /fake/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Log()) })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Log returns the requests that the engine started to run.
func (e *Engine) Log() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineRun{}, e.log...)
}

// Orders returns the orders that the engine has carried out.
func (e *Engine) Orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineOrder{}, e.orders...)
}

// SetFault replaces the faults in force.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.faulted = 0
	e.leaving = f.Leaving
	if f.Restart {
		e.restart(0)
	}
	e.measure()
}

// Answer returns the whole answer of a version to a prompt. The prompt is the
// role and the text of each message, each followed by a line feed.
func Answer(version, prompt string, tokens int) string {
	return strings.Join(answerTokens(version, prompt, tokens), "")
}

// PrefixHash names the prompt prefix of a request: the first message.
func PrefixHash(role, text string) uint64 {
	return xxhash.Sum64String(role + "\n" + text)
}

// The list has characters that need escaping in JSON and in SSE.
var words = []string{"the ", "shell ", "opens ", "cleanly ", "\"quoted\" ", "señal ", "score\n", "back\\slash ", "牡蠣 ", "clean ", "judge ", "<cut> ", "& ", "time ", "penalty ", "grit "}

func answerTokens(version, prompt string, n int) []string {
	seed := xxhash.Sum64String(version + "\n" + prompt)
	rng := rand.New(rand.NewPCG(seed, 2))
	tokens := make([]string, 0, n)
	for range n {
		tokens = append(tokens, words[rng.IntN(len(words))])
	}
	return tokens
}

func (e *Engine) incarnation() string { return e.cfg.Name + strconv.Itoa(e.number) }

// restart breaks all streams and starts a new, cold incarnation. Called with
// the lock held.
func (e *Engine) restart(down time.Duration) {
	for _, s := range e.streams {
		s.stop(true)
	}
	for _, wt := range e.waiting {
		wt.admitted <- false
	}
	e.streams = map[string]*stream{}
	e.cache = nil
	e.waiting = nil
	e.running = 0 // what ran before does not load the new incarnation
	e.number++
	e.started = e.cfg.Clock().Add(down)
	e.downTill = e.started
	e.addEvent("cleared", "")
	e.measure()
}

// takeFault reports whether the fault is to be applied to one more request.
// Called with the lock held.
func (e *Engine) takeFault() bool {
	if e.fault.Count > 0 && e.faulted >= e.fault.Count {
		return false
	}
	e.faulted++
	return true
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault := e.fault
	broken := fault.Break != "" && e.takeFault()
	refused := fault.Refuse && e.takeFault()
	e.mu.Unlock()
	if broken {
		breakBeforeRun(fault.Break, r)
	}
	var body chatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeFakeError(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if refused {
		e.refuse(w, "refused by a fault")
		return
	}
	number, ok := e.enter(w, r, body)
	if !ok {
		return
	}
	defer e.leave(number)
	s, ok := e.start(w, r, body)
	if !ok {
		return
	}
	if broken && fault.Break == BreakAfter {
		panic(http.ErrAbortHandler)
	}
	cut := -1
	if broken && fault.Break == BreakMidStream {
		cut = fault.BreakAt
		if fault.ForgetStreams {
			defer e.drop(s)
		}
	}
	if body.Stream {
		e.serveStream(w, r, s, 0, cut, body.StreamOptions.IncludeUsage)
		return
	}
	e.serveWhole(w, r, s)
}

func breakBeforeRun(b Break, r *http.Request) {
	switch b {
	case BreakBefore:
		panic(http.ErrAbortHandler)
	case BreakDuring:
		half := make([]byte, max(1, r.ContentLength/2))
		_, _ = r.Body.Read(half)
		panic(http.ErrAbortHandler)
	}
}

// enter takes a place in the batch, waiting by priority if it is full. It
// returns the incarnation whose batch it entered.
func (e *Engine) enter(w http.ResponseWriter, r *http.Request, body chatBody) (int, bool) {
	e.mu.Lock()
	now := e.cfg.Clock()
	switch {
	case now.Before(e.downTill):
		e.mu.Unlock()
		writeFakeError(w, http.StatusInternalServerError, "engine is restarting", false)
		return 0, false
	case e.leaving:
		e.mu.Unlock()
		e.refuse(w, "engine is leaving")
		return 0, false
	case !contains(e.versions, body.Model):
		e.mu.Unlock()
		w.Header().Set(headerNotRun, "true")
		writeFakeError(w, http.StatusNotFound, "version is not loaded: "+body.Model, true)
		return 0, false
	}
	if now.Sub(e.started) < e.cfg.ColdFor && e.running >= e.cfg.ColdCapacity {
		e.restart(e.cfg.DownFor)
		e.mu.Unlock()
		writeFakeError(w, http.StatusInternalServerError, "engine fell over during its cold start", false)
		return 0, false
	}
	number := e.number
	if e.running < e.cfg.Capacity {
		e.running++
		e.measure()
		e.mu.Unlock()
		return number, true
	}
	if len(e.waiting) >= e.cfg.QueueLimit {
		e.mu.Unlock()
		e.refuse(w, "queue is full")
		return 0, false
	}
	wt := &waiter{priority: body.Priority, admitted: make(chan bool, 1)}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < wt.priority {
		at--
	}
	e.waiting = append(e.waiting[:at], append([]*waiter{wt}, e.waiting[at:]...)...)
	e.measure()
	e.mu.Unlock()
	select {
	case ok := <-wt.admitted:
		if !ok {
			panic(http.ErrAbortHandler)
		}
		return number, true
	case <-r.Context().Done():
		e.abandon(wt, number)
		return 0, false
	}
}

func (e *Engine) abandon(wt *waiter, number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == wt {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	e.leaveLocked(number) // the place was given to it meanwhile
}

func (e *Engine) leave(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveLocked(number)
}

func (e *Engine) leaveLocked(number int) {
	if number != e.number {
		return // the batch of an earlier incarnation
	}
	if len(e.waiting) > 0 {
		e.waiting[0].admitted <- true
		e.waiting = e.waiting[1:]
	} else {
		e.running--
	}
	e.measure()
}

// start logs the request and starts to make its tokens.
func (e *Engine) start(w http.ResponseWriter, r *http.Request, body chatBody) (*stream, bool) {
	messages := body.Messages
	partial := ""
	if n := len(messages); body.ContinueFinalMessage && n > 0 {
		partial = messageText(messages[n-1].Content)
		messages = messages[:n-1]
	}
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role + "\n" + messageText(m.Content) + "\n")
	}
	tokens := answerTokens(body.Model, prompt.String(), e.cfg.Tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if q, ok := e.fault.Quality[body.Model]; ok {
		tokens = append(tokens, qualityMark(q))
	}
	reason := "stop"
	if limit := max(body.MaxTokens, body.MaxCompletionTokens); limit > 0 && limit < len(tokens) {
		tokens = tokens[:limit]
		reason = "length"
	}
	from, ok := tokensIn(tokens, partial)
	if !ok {
		writeFakeError(w, http.StatusBadRequest, "the text to continue is not the start of the answer", true)
		return nil, false
	}
	e.streamNo++
	s := &stream{
		id:      fmt.Sprintf("%s-%d", e.incarnation(), e.streamNo),
		version: body.Model,
		tokens:  tokens[from:],
		from:    from,
		reason:  reason,
		prompt:  len(strings.Fields(prompt.String())) + from,
		changed: make(chan struct{}),
		cancel:  make(chan struct{}),
	}
	model, _, _ := strings.Cut(body.Model, "@")
	e.log = append(e.log, EngineRun{
		RequestID: r.Header.Get(headerRequestID), Incarnation: e.incarnation(), Model: model,
		Version: body.Model, Position: from, Running: e.running, At: e.cfg.Clock(),
	})
	if e.rng.Float64() < e.fault.FailShare[body.Model] {
		writeFakeError(w, http.StatusInternalServerError, "failed by a fault", false)
		return nil, false
	}
	first := e.cfg.FirstToken
	if len(messages) > 0 && e.touchPrefix(PrefixHash(messages[0].Role, messageText(messages[0].Content))) {
		first = e.cfg.CachedFirstToken
	}
	slow := time.Duration(e.fault.SlowMillis) * time.Millisecond
	e.streams[s.id] = s
	w.Header().Set(headerIncarnation, e.incarnation())
	go e.generate(s, first+slow, slow)
	return s, true
}

func (e *Engine) refuse(w http.ResponseWriter, message string) {
	w.Header().Set(headerNotRun, "true")
	e.mu.Lock()
	if e.leaving {
		w.Header().Set(headerLeaving, "true")
	}
	w.Header().Set(headerIncarnation, e.incarnation())
	e.mu.Unlock()
	writeFakeError(w, http.StatusServiceUnavailable, message, true)
}

// measure appends a load report. Called with the lock held.
func (e *Engine) measure() {
	e.reports = append(e.reports, e.report())
	const kept = 4096
	if len(e.reports) > 2*kept {
		e.reports = append([]LoadReport(nil), e.reports[kept:]...)
	}
}

func (e *Engine) report() LoadReport {
	now := e.cfg.Clock()
	return LoadReport{
		Incarnation: e.incarnation(), UptimeSeconds: max(0, now.Sub(e.started).Seconds()),
		Running: e.running, Queued: len(e.waiting), Capacity: e.cfg.Capacity,
		Versions: append([]string{}, e.versions...), Leaving: e.leaving || e.fault.ReportLeaving, MeasuredAt: now,
	}
}

// load answers the newest report that is at least ReportLag old. The version
// list, the incarnation and the leaving state are as old as the load.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.cfg.Clock()
	if now.Before(e.downTill) {
		e.mu.Unlock()
		writeFakeError(w, http.StatusInternalServerError, "engine is restarting", false)
		return
	}
	e.measure()
	report := e.reports[0]
	for _, rep := range e.reports {
		if rep.MeasuredAt.After(now.Add(-e.cfg.ReportLag)) {
			break
		}
		report = rep
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// touchPrefix reports whether the prefix is cached, and caches it. Called with
// the lock held.
func (e *Engine) touchPrefix(hash uint64) bool {
	key := fmt.Sprintf("%016x", hash)
	for i, k := range e.cache {
		if k == key {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), key)
			return true
		}
	}
	if len(e.cache) >= e.cfg.PrefixCache {
		e.addEvent("removed", e.cache[0])
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, key)
	e.addEvent("stored", key)
	return false
}

func (e *Engine) addEvent(kind, prefix string) {
	e.eventNo++
	if e.rng.Float64() < e.cfg.EventLoss {
		return
	}
	e.events = append(e.events, CacheEvent{Number: e.eventNo, Kind: kind, Prefix: prefix, At: e.cfg.Clock()})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	visible := e.cfg.Clock().Add(-e.cfg.EventLag)
	events := []CacheEvent{}
	for _, ev := range e.events {
		if ev.Number > after && !ev.At.After(visible) {
			events = append(events, ev)
		}
	}
	incarnation := e.incarnation()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"incarnation": incarnation, "events": events})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeFakeError(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && o.Fence < e.fence {
		writeFakeError(w, http.StatusConflict, fmt.Sprintf("fencing number %d is older than %d", o.Fence, e.fence), true)
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case "load":
		if !contains(e.versions, o.Version) {
			e.versions = append(e.versions, o.Version)
		}
	case "unload":
		e.versions = without(e.versions, o.Version)
	case "leave":
		e.leaving = true
	case "stay":
		e.leaving = false
	default:
		writeFakeError(w, http.StatusBadRequest, "unknown order: "+o.Kind, true)
		return
	}
	e.orders = append(e.orders, o)
	e.measure()
	writeJSON(w, http.StatusOK, map[string]any{"fence": e.fence})
}

func (e *Engine) setFaultHandler(w http.ResponseWriter, r *http.Request) {
	var f EngineFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeFakeError(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// tokensIn returns how many tokens the text consists of.
func tokensIn(tokens []string, text string) (int, bool) {
	for i, tok := range tokens {
		if text == "" {
			return i, true
		}
		if !strings.HasPrefix(text, tok) {
			return 0, false
		}
		text = text[len(tok):]
	}
	return len(tokens), text == ""
}

// messageText returns the text of a message's content, which is a string or a
// list of parts.
func messageText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &parts)
	for _, p := range parts {
		text += p.Text
	}
	return text
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func without(list []string, s string) []string {
	var out []string
	for _, v := range list {
		if v != s {
			out = append(out, v)
		}
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeFakeError answers an error object; notRun adds the header that says so.
func writeFakeError(w http.ResponseWriter, status int, message string, notRun bool) {
	if notRun {
		w.Header().Set(headerNotRun, "true")
	}
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message, "type": "engine_error"}})
}
