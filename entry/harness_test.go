package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/engine"
	"jackdawbarrow/entry"
	"jackdawbarrow/fakes"
)

const secret = "jdw_heats_0123456789"

// harness is an entry with the real client, fake upstreams, and in-memory
// implementations of its dependencies.
type harness struct {
	t       testing.TB
	entry   *entry.Entry
	url     string
	config  atomic.Pointer[config.Snapshot]
	view    atomic.Pointer[jdaw.View]
	doc     config.Document
	engines map[jdaw.UpstreamID]*fakes.Engine
	plain   *fakes.Plain
	plain2  *fakes.Plain
	rating  *fakes.Rating
	planner *planner

	mu         sync.Mutex
	sequence   int
	open       map[jdaw.RequestID]jdaw.Bill
	settled    map[jdaw.RequestID][]jdaw.Bill
	held       map[string]jdaw.Credit
	results    []jdaw.CreditResult
	claims     map[string]*claim
	events     []jdaw.TimelineEvent
	learned    []jdaw.StepOutcome
	onAcquire  func(q jdaw.CreditRequest)       // before a credit is granted
	refusal    func(q jdaw.CreditRequest) error // in place of a credit
	useBefore  time.Duration
	openErr    error
	forwarded  []entry.Forwarded
	drainCalls int
}

type claim struct {
	id       jdaw.RequestID
	bodyHash string
	answer   *jdaw.StoredAnswer
}

func (h *harness) Snapshot() *config.Snapshot { return h.config.Load() }
func (h *harness) View() *jdaw.View           { return h.view.Load() }

// planner starts at a given step and escalates while the rating is too low.
type planner struct{ start int }

func (p *planner) Start(jdaw.PlanRequest) int { return p.start }
func (p *planner) Next(q jdaw.PlanRequest, step int, rated bool, rating float64) (int, bool) {
	return step + 1, rated && rating < q.Target
}

// Acquire grants a credit on the first upstream that serves a version.
func (h *harness) Acquire(_ context.Context, q jdaw.CreditRequest) (jdaw.Credit, error) {
	if h.onAcquire != nil {
		h.onAcquire(q)
	}
	if h.refusal != nil {
		if err := h.refusal(q); err != nil {
			return jdaw.Credit{}, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range h.Snapshot().Pool(q.Pool) {
		if contains(q.Exclude, u.ID) {
			continue
		}
		credit := jdaw.Credit{Pool: q.Pool, Upstream: u.ID, Address: u.Address, UseBefore: time.Now().Add(h.useBefore)}
		if len(q.Versions) > 0 {
			mv, ok := firstServed(u, q.Versions)
			if !ok {
				continue
			}
			credit.Version = mv
		}
		h.sequence++
		credit.ID = fmt.Sprintf("c%d", h.sequence)
		h.held[credit.ID] = credit
		return credit, nil
	}
	return jdaw.Credit{}, jdaw.Fail(jdaw.CodeNoUpstream, "no upstream left").WithRetryAfter(1)
}

func contains(list []jdaw.UpstreamID, id jdaw.UpstreamID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

func firstServed(u config.Upstream, versions []jdaw.ModelVersion) (jdaw.ModelVersion, bool) {
	for _, mv := range versions {
		for _, v := range u.Versions {
			if v == mv.String() {
				return mv, true
			}
		}
	}
	return jdaw.ModelVersion{}, false
}

func (h *harness) Started(c jdaw.Credit, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.held[c.ID]; !ok {
		h.t.Errorf("credit %q started after its release", c.ID)
	}
}

func (h *harness) Release(r jdaw.CreditResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.held[r.Credit.ID]; !ok {
		h.t.Errorf("credit %q released twice", r.Credit.ID)
	}
	delete(h.held, r.Credit.ID)
	h.results = append(h.results, r)
}

func (h *harness) Open(_ context.Context, b jdaw.Bill) (jdaw.RequestID, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openErr != nil {
		return "", h.openErr
	}
	h.sequence++
	b.RequestID = jdaw.RequestID(fmt.Sprintf("inc1-%d", h.sequence))
	h.open[b.RequestID] = b
	return b.RequestID, nil
}

func (h *harness) Settle(_ context.Context, b jdaw.Bill) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled[b.RequestID] = append(h.settled[b.RequestID], b)
	for _, c := range h.claims {
		if c.id == b.RequestID && c.answer == nil && b.Ran == jdaw.NotRun {
			c.id = ""
		}
	}
	return nil
}

func (h *harness) Claim(_ context.Context, w jdaw.WorkspaceID, key string, id jdaw.RequestID, bodyHash string) (jdaw.Claim, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.claims[string(w)+key]
	switch {
	case c == nil || c.id == "":
		h.claims[string(w)+key] = &claim{id: id, bodyHash: bodyHash}
		return jdaw.Claim{State: jdaw.ClaimMine, RequestID: id}, nil
	case c.bodyHash != bodyHash:
		return jdaw.Claim{}, jdaw.Fail(jdaw.CodeKeyReused, "the key was used with another body")
	case c.answer != nil:
		return jdaw.Claim{State: jdaw.ClaimSettled, RequestID: c.id, Answer: *c.answer}, nil
	}
	return jdaw.Claim{State: jdaw.ClaimRunning, RequestID: c.id}, nil
}

func (h *harness) BeginDispatch(jdaw.RequestID) bool { return true }

func (h *harness) Finish(_ context.Context, w jdaw.WorkspaceID, key string, _ jdaw.RequestID, a jdaw.StoredAnswer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims[string(w)+key].answer = &a
	return nil
}

func (h *harness) Record(e jdaw.TimelineEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *harness) Learn(o jdaw.StepOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learned = append(h.learned, o)
}

func newHarness(t testing.TB, change func(h *harness, cfg *entry.Config)) *harness {
	t.Helper()
	h := &harness{
		t: t, engines: map[jdaw.UpstreamID]*fakes.Engine{}, planner: &planner{},
		open: map[jdaw.RequestID]jdaw.Bill{}, settled: map[jdaw.RequestID][]jdaw.Bill{},
		held: map[string]jdaw.Credit{}, claims: map[string]*claim{}, useBefore: time.Second,
	}
	h.plain, h.plain2 = fakes.NewPlain(fakes.PlainConfig{Name: "p"}), fakes.NewPlain(fakes.PlainConfig{Name: "q"})
	h.rating = fakes.NewRating(fakes.RatingConfig{})
	h.doc = config.Document{
		Revision:    1,
		DataCentres: []config.DataCentre{{Name: "oban", Region: "west"}, {Name: "largs", Region: "west"}},
		Models: []config.Model{
			{Name: "small", Kind: "lm", CostPer1000: 1, Versions: []config.Version{{Name: "v1", State: config.VersionActive}, {Name: "v2", State: config.VersionRollout}}},
			{Name: "large", Kind: "lm", CostPer1000: 10, Versions: []config.Version{{Name: "v1", State: config.VersionActive}}},
			{Name: "other", Kind: "lm", Versions: []config.Version{{Name: "v1", State: config.VersionActive}}},
		},
		Cascades: []config.Cascade{{Name: "chain", Models: []string{"small", "large"}, QualityTarget: 0.8}},
		Services: []config.Service{
			{Name: "desk", Kind: "desk", Calls: []config.Call{{Method: "POST", PathPrefix: "/lookup", Idempotent: true}}},
			{Name: "till", Kind: "desk"},
		},
		Workspaces: []config.Workspace{{
			ID: "heats", Keys: []config.SecretHash{config.HashSecret("heats", secret)}, Allow: []string{"small", "large@*"},
			Services: []string{"desk"}, Cascade: "chain",
			Outlets: []config.Outlet{
				{Name: "bench", WaitMillis: 10000, DataCentres: []jdaw.DataCentre{"largs"}},
				{Name: "hasty", WaitMillis: 150},
				{Name: "closed", Opens: "00:00", Closes: "00:00"},
			},
		}},
		SessionKeys: []config.SessionKey{{ID: "k1", Secret: strings.Repeat("ab", 32)}},
	}
	now := time.Now().UTC()
	h.doc.Workspaces[0].Outlets[2].Opens = now.Add(2 * time.Hour).Format("15:04")
	h.doc.Workspaces[0].Outlets[2].Closes = now.Add(3 * time.Hour).Format("15:04")
	h.doc.Workspaces[0].Outlets[2].TimeZone = "UTC"
	h.addEngine("e1", "oban")
	h.addEngine("e2", "largs")
	for id, p := range map[jdaw.UpstreamID]*fakes.Plain{"p1": h.plain, "p2": h.plain2} {
		dc := jdaw.DataCentre("oban")
		if id == "p2" {
			dc = "largs"
		}
		h.doc.Upstreams = append(h.doc.Upstreams, config.Upstream{ID: id, Kind: "desk", Protocol: config.ProtocolService, DataCentre: dc, Address: h.serve(p)})
	}
	h.adopt()
	h.view.Store(&jdaw.View{Self: "vm1", Members: []jdaw.Member{
		{VM: "vm1", DataCentre: "oban", Region: "west", EntryAddr: "http://10.0.0.1:80", State: jdaw.MemberAlive},
		{VM: "vm2", DataCentre: "largs", Region: "west", EntryAddr: "http://10.0.0.2:80", State: jdaw.MemberAlive},
		{VM: "vm3", DataCentre: "largs", Region: "west", EntryAddr: "http://10.0.0.3:80", State: jdaw.MemberDraining},
	}})
	client := engine.New(engine.Config{})
	t.Cleanup(client.Close)
	cfg := entry.Config{
		VM: "vm1", DataCentre: "oban", Region: "west", Credits: h, Ledger: h, Claims: h, Engine: client, Service: client,
		Rater: engine.NewRater(client, h.serve(h.rating)), Planner: h.planner, Learner: h, Views: h, Config: h, Recorder: h,
		MaxBodyBytes: 4096, ListTTL: 50 * time.Millisecond, ListTTLExtra: 50 * time.Millisecond,
		OnDrain: func() { h.drainCalls++ },
	}
	if change != nil {
		change(h, &cfg)
	}
	h.entry = entry.New(cfg)
	h.url = h.serve(h.entry.Handler())
	return h
}

func (h *harness) serve(handler http.Handler) string {
	srv := httptest.NewServer(handler)
	h.t.Cleanup(srv.Close)
	return srv.URL
}

func (h *harness) addEngine(id jdaw.UpstreamID, dc jdaw.DataCentre) {
	versions := []string{"small@v1", "small@v2", "large@v1", "other@v1"}
	h.addEngineFake(id, dc, fakes.NewEngine(fakes.EngineConfig{Name: string(id) + "i", Versions: versions, Capacity: 64}))
}

func (h *harness) addEngineFake(id jdaw.UpstreamID, dc jdaw.DataCentre, e *fakes.Engine) {
	h.engines[id] = e
	h.doc.Upstreams = append(h.doc.Upstreams, config.Upstream{
		ID: id, Kind: "lm", Protocol: config.ProtocolEngine, DataCentre: dc, Address: h.serve(e),
		Versions: []string{"small@v1", "small@v2", "large@v1", "other@v1"},
	})
}

// adopt makes the current document the configuration snapshot.
func (h *harness) adopt() { h.config.Store(config.NewSnapshot(h.doc, nil)) }

// runs returns the log lines of all engines.
func (h *harness) runs() []fakes.EngineRun {
	var all []fakes.EngineRun
	for _, e := range h.engines {
		all = append(all, e.Log()...)
	}
	return all
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (h *harness) do(method, path, body string, header ...string) reply {
	h.t.Helper()
	r, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b)}
}

func (r reply) code(t *testing.T) (code jdaw.Code, ran jdaw.Ran) {
	t.Helper()
	var e struct {
		Error struct {
			Code jdaw.Code `json:"code"`
			Ran  jdaw.Ran  `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(r.body), &e); err != nil {
		t.Fatalf("%v in %q", err, r.body)
	}
	if e.Error.Code == 0 {
		return jdaw.CodeOK, jdaw.DidRun
	}
	return e.Error.Code, e.Error.Ran
}

// checkBooks fails unless each opened request was settled once, nothing else
// was settled, and all credits were released.
func (h *harness) checkBooks() {
	h.t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for {
		h.mu.Lock()
		left := len(h.held)
		h.mu.Unlock()
		if left == 0 {
			break
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("%d credits were not released within 2 s", left)
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.open {
		if n := len(h.settled[id]); n != 1 {
			h.t.Errorf("request %s was settled %d times, want 1", id, n)
		}
	}
	if len(h.settled) != len(h.open) {
		h.t.Errorf("%d requests settled, %d opened", len(h.settled), len(h.open))
	}
}

// bill returns the only bill of a request.
func (h *harness) bill(id string) jdaw.Bill {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	bills := h.settled[jdaw.RequestID(id)]
	if len(bills) != 1 {
		h.t.Fatalf("request %q was settled %d times, want 1", id, len(bills))
	}
	return bills[0]
}

func (h *harness) eventNames() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, e := range h.events {
		names = append(names, e.Name)
	}
	return strings.Join(names, " ")
}

func chatBody(model, prompt string, stream bool) string {
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []any{map[string]string{"role": "user", "content": prompt}},
	})
	return string(b)
}

// want returns the complete answer of a version to a prompt.
func want(version, prompt string) string { return fakes.Answer(version, "user\n"+prompt+"\n", 24) }

// sseText returns the text of a stream; it fails on a missing, repeated or
// wrongly numbered event and on a missing [DONE] event.
func sseText(t *testing.T, id, body string) string {
	t.Helper()
	var text strings.Builder
	next, done := 0, false
	sc := bufio.NewScanner(bytes.NewReader([]byte(body)))
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		if n, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			if n != fmt.Sprintf("%s:%d", id, next) {
				t.Fatalf("event id %q, want %s:%d", n, id, next)
			}
			next++
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			t.Fatalf("event %q: %v", data, err)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if !done {
		t.Fatalf("no [DONE] event in %q", body)
	}
	return text.String()
}

func wholeText(t *testing.T, body string) string {
	t.Helper()
	var c struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(body), &c); err != nil || len(c.Choices) != 1 {
		t.Fatalf("answer %q: %v", body, err)
	}
	return c.Choices[0].Message.Content
}

// await waits until condition returns true; it calls it with h.mu held.
func (h *harness) await(condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		h.mu.Lock()
		ok := condition()
		h.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			h.t.Fatal("the condition did not hold within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
