package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/dial"
	"jackdawbarrow/fakes"
	"jackdawbarrow/fleet"
	"jackdawbarrow/relay"
)

// protocol is a plain set of headers for the tests.
type protocol struct{}

func (protocol) ReadCall(h http.Header) (jdaw.Call, error) {
	c := jdaw.Call{ID: h.Get("Id"), WorkspaceKey: h.Get("Key"), Model: h.Get("Model")}
	if c.ID == "" {
		return c, errors.New("no id")
	}
	if ms, err := strconv.Atoi(h.Get("Wait")); err == nil {
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	if p := h.Get("Prompt"); p != "" {
		c.Prompt = []jdaw.PromptPart{{ID: p, Tokens: 100}, {ID: c.ID, Tokens: 10}}
		c.PromptTokens = 110
	}
	return c, nil
}

func (protocol) WriteAttempt(h http.Header, a jdaw.Attempt) {
	h.Set("Upstream", string(a.Upstream))
	h.Set("Resume", a.ResumeAfter)
	h.Set("Urgency", strconv.Itoa(a.Urgency))
	h.Set("Left", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	if a.Model != "" {
		h.Set("Model", a.Model)
	}
}

func (protocol) ReadAnswer(_ int, h http.Header) jdaw.Answer {
	a := jdaw.Answer{
		RequestID: h.Get("Id"), IsSigned: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Confidence: -1,
		IsLeaving: h.Get("Leaving") != "", InvalidPause: h.Get("Bad-Pause"),
	}
	if pause, err := time.ParseDuration(h.Get("Pause")); err == nil {
		a.Pause = pause
	}
	if slowdown, err := strconv.ParseFloat(h.Get("Slowdown"), 64); err == nil {
		a.Load.Slowdown = slowdown
	}
	if n, err := strconv.Atoi(h.Get("Confidence")); err == nil {
		a.Confidence = n
	}
	if slowdown, err := strconv.ParseFloat(h.Get("Slowdown"), 64); err == nil {
		a.Load = jdaw.LoadReport{Running: 1, Slots: 4, Slowdown: slowdown}
	}
	return a
}

// deployment is a fixed state with fake upstreams.
type deployment struct {
	relay     *relay.Relay
	state     *fleet.State
	isBehind  bool
	log       *logtest.Hook
	listeners []net.Listener // of the upstreams
	mu        sync.Mutex
	runs      []string // "upstream id model resume" of each request that arrived
	requests  []string // ids of the requests that arrived
	outcomes  []fleet.Outcome
}

func (d *deployment) State() *fleet.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// withUpstreams puts a state with other upstreams of the service in force.
func (d *deployment) withUpstreams(list []fleet.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := *d.state
	st.Upstreams = map[string][]fleet.Upstream{"s": list}
	d.state = &st
}

func (d *deployment) IsCurrent() bool { return !d.isBehind }
func (d *deployment) Count(o fleet.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, o)
}

func (d *deployment) counted() []fleet.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]fleet.Outcome(nil), d.outcomes...)
}

func (d *deployment) arrived() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.runs...)
}

// arrivedWith returns the number of requests with an id that arrived.
func (d *deployment) arrivedWith(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, request := range d.requests {
		if request == id {
			n++
		}
	}
	return n
}

func route(kind config.RouteKind) config.Route {
	return config.Route{
		Name: "r", Host: "h.example", Prefix: "/a/", Kind: kind, IsResumable: true, Timeout: 5 * time.Second,
		Target: time.Second, MaxGap: 500 * time.Millisecond, MaxAttempts: 3,
		Shares: []config.ServiceShare{{Service: "s", Weight: 1}},
	}
}

// start serves a relay before upstreams with these handlers.
func start(t *testing.T, r config.Route, handlers ...http.HandlerFunc) (*deployment, string) {
	t.Helper()
	return startWith(t, r, nil, handlers...)
}

// startWith serves a relay that reports crashes of upstreams to p.
func startWith(t *testing.T, r config.Route, p relay.Poison, handlers ...http.HandlerFunc) (*deployment, string) {
	t.Helper()
	return startConfigured(t, r, relay.Config{Poison: p, BodyMemory: 32 << 20}, handlers...)
}

// startConfigured serves a relay with a configuration whose other fields it fills in.
func startConfigured(t *testing.T, r config.Route, cfg relay.Config, handlers ...http.HandlerFunc) (*deployment, string) {
	t.Helper()
	table := config.RouteTable{Services: map[string]config.ServiceSpec{"s": {Name: "s"}}, HasKeys: true, Keys: map[string]config.KeyGrant{
		"k": {Workspace: "w", Rank: -1},
	}}.WithRoutes([]config.Route{r})
	d := &deployment{}
	st := &fleet.State{
		Table: &table, Upstreams: map[string][]fleet.Upstream{}, Baseline: map[string]string{"s": "v1"},
		Members: []fleet.Member{{VM: "vm"}},
	}
	for i, handler := range handlers {
		id := fmt.Sprintf("u%d", i)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.mu.Lock()
			d.requests = append(d.requests, r.Header.Get("Id"))
			d.runs = append(d.runs, strings.TrimSpace(id+" "+r.Header.Get("Model")+" "+r.Header.Get("Resume")))
			d.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Signed", id)
			handler(w, r)
		}))
		t.Cleanup(srv.Close)
		d.listeners = append(d.listeners, srv.Listener)
		st.Upstreams["s"] = append(st.Upstreams["s"], fleet.Upstream{
			ID: jdaw.UpstreamID(id), Service: "s", Address: srv.Listener.Addr().String(), Version: "v1", Slots: 4,
		})
	}
	d.state = st
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.log = logtest.NewLocal(log)
	pool := dial.New(dial.Config{})
	t.Cleanup(pool.Close)
	cfg.Self, cfg.Fleet, cfg.Protocol, cfg.Pool, cfg.Log = "vm", d, protocol{}, pool, log
	cfg.Planner, cfg.Learner, cfg.QualityTarget = planner{}, planner{}, 0.5
	d.relay = relay.New(cfg)
	srv := httptest.NewServer(d.relay)
	t.Cleanup(srv.Close)
	return d, srv.URL
}

// planner escalates to the next model whenever a rating is under the target.
type planner struct{}

func (planner) Start(jdaw.PlanRequest) int { return 0 }
func (planner) Next(q jdaw.PlanRequest, step int, _ bool, rating float64) (int, bool) {
	return step + 1, rating < q.Target && step+1 < len(q.Models) && q.Remaining > 0
}
func (planner) Learn(jdaw.StepOutcome) {}

type reply struct {
	status int
	body   string
	err    error // of the body
	header http.Header
}

func send(t *testing.T, base, method, path string, header map[string]string) reply {
	t.Helper()
	return sendBody(t, base, method, path, "body", header)
}

func sendBody(t *testing.T, base, method, path, body string, header map[string]string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "q1")
	req.Header.Set("Key", "k")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(b), err: err, header: resp.Header}
}

func ok(w http.ResponseWriter, _ *http.Request)     { _, _ = io.WriteString(w, "fine") }
func failed(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
func unsigned(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("Signed")
	_, _ = io.WriteString(w, "forged")
}

func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

// silent reads the body, because the server detects a closed connection only
// after that.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Guards against running a non-idempotent request twice, against "not run" for
// one that may have run, and against failing an idempotent one while another
// upstream can serve it.
func TestRepeats(t *testing.T) {
	cases := map[string]struct {
		kind     config.RouteKind
		handlers []http.HandlerFunc
		status   int
		runs     int
	}{
		"unsafe, shed":             {config.RouteUnsafe, []http.HandlerFunc{shed, shed}, http.StatusServiceUnavailable, 3},
		"unsafe, connection ends":  {config.RouteUnsafe, []http.HandlerFunc{hangUp, hangUp}, http.StatusBadGateway, 1},
		"unsafe, cut":              {config.RouteUnsafe, []http.HandlerFunc{cut, cut}, http.StatusBadGateway, 1},
		"unsafe, failed":           {config.RouteUnsafe, []http.HandlerFunc{failed, failed}, http.StatusInternalServerError, 1},
		"unsafe, not the upstream": {config.RouteUnsafe, []http.HandlerFunc{unsigned, unsigned}, http.StatusBadGateway, 1},
		"safe, failed everywhere":  {config.RouteSafe, []http.HandlerFunc{failed, failed}, http.StatusInternalServerError, 3},
		"safe, cut everywhere":     {config.RouteSafe, []http.HandlerFunc{cut, cut}, http.StatusBadGateway, 3},
		"no upstream":              {config.RouteUnsafe, nil, http.StatusServiceUnavailable, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, route(c.kind), c.handlers...)
			got := send(t, base, http.MethodPost, "/a/x", nil)
			if got.status != c.status || len(d.arrived()) != c.runs {
				t.Errorf("status %d after %v; want %d after %d", got.status, d.arrived(), c.status, c.runs)
			}
		})
	}
	for name, bad := range map[string]http.HandlerFunc{"failed": failed, "connection ends": hangUp, "cut": cut, "unsigned": unsigned, "shed": shed} {
		t.Run("safe, one upstream "+name, func(t *testing.T) {
			for range 5 {
				_, base := start(t, route(config.RouteSafe), bad, ok)
				if got := send(t, base, http.MethodGet, "/a/x", nil); got.status != http.StatusOK || got.body != "fine" {
					t.Fatalf("got %+v", got)
				}
			}
		})
	}
}

// Guards against exceeding the configured timeout, and against an error that
// hides that the request was sent.
func TestTimeLimit(t *testing.T) {
	for _, kind := range []config.RouteKind{config.RouteSafe, config.RouteUnsafe, config.RouteStreaming} {
		t.Run(string(kind), func(t *testing.T) {
			r := route(kind)
			r.Timeout = 400 * time.Millisecond
			_, base := start(t, r, silent)
			began := time.Now()
			got := send(t, base, http.MethodPost, "/a/x", nil)
			if took := time.Since(began); got.status != http.StatusGatewayTimeout || took > 600*time.Millisecond {
				t.Errorf("got %d after %v", got.status, took)
			}
		})
	}
}

// Guards against forwarding headers above the configured limit, and against
// rejecting headers within it.
func TestHeaderLimit(t *testing.T) {
	cases := map[string]struct {
		limit, bytes, want int
	}{
		"within the limit":            {32 << 10, 30 << 10, http.StatusOK},
		"beyond it":                   {8 << 10, 9 << 10, http.StatusRequestHeaderFieldsTooLarge},
		"none stated":                 {0, 12 << 10, http.StatusOK},
		"none stated, beyond default": {0, 17 << 10, http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, route(config.RouteSafe), ok)
			table := *d.state.Table
			table.Limits.HeaderBytes = c.limit
			d.state.Table = &table
			got := send(t, base, http.MethodGet, "/a/x", map[string]string{"Note": strings.Repeat("x", c.bytes)})
			if got.status != c.want {
				t.Errorf("status %d, want %d", got.status, c.want)
			}
			if ran := len(d.arrived()) > 0; ran != (c.want == http.StatusOK) {
				t.Errorf("status %d, and the request ran: %t", got.status, ran)
			}
		})
	}
}

// Guards against 401 and 404 from a VM whose configuration may be stale.
func TestUnknownKeyOrRoute(t *testing.T) {
	cases := map[string]struct {
		path, key string
		isBehind  bool
		want      int
	}{
		"route":                    {path: "/b/x", key: "k", want: http.StatusNotFound},
		"key":                      {path: "/a/x", key: "other", want: http.StatusUnauthorized},
		"no key":                   {path: "/a/x", key: "", want: http.StatusUnauthorized},
		"route, without the store": {path: "/b/x", key: "k", isBehind: true, want: http.StatusServiceUnavailable},
		"key, without the store":   {path: "/a/x", key: "other", isBehind: true, want: http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, route(config.RouteSafe), ok)
			d.isBehind = c.isBehind
			if got := send(t, base, http.MethodGet, c.path, map[string]string{"Key": c.key}); got.status != c.want {
				t.Errorf("status %d, want %d", got.status, c.want)
			}
		})
	}
}

// events writes events from the one after the resume point.
func events(w http.ResponseWriter, r *http.Request, until, total int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Resume"))
	for n := from + 1; n <= total; n++ {
		if n > until {
			// The cut is in the middle of an event.
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func streamUntil(until int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { events(w, r, until, 8) }
}

func ids(t *testing.T, body string) []string {
	t.Helper()
	var out []string
	s := bufio.NewScanner(strings.NewReader(body))
	for s.Scan() {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

// Guards against lost, duplicate or partial events when a stream is resumed at
// another upstream, and against a truncated stream that looks complete.
func TestStreams(t *testing.T) {
	cases := map[string]struct {
		handlers  []http.HandlerFunc
		resumable bool
		whole     bool
	}{
		"whole":                 {[]http.HandlerFunc{streamUntil(8)}, true, true},
		"broken once or twice":  {[]http.HandlerFunc{streamUntil(3), streamUntil(5), streamUntil(8)}, true, true},
		"broken, not resumable": {[]http.HandlerFunc{streamUntil(3), streamUntil(3)}, false, false},
		"broken everywhere":     {[]http.HandlerFunc{streamUntil(3), streamUntil(3)}, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(config.RouteStreaming)
			r.IsResumable = c.resumable
			_, base := start(t, r, c.handlers...)
			got := send(t, base, http.MethodPost, "/a/x", nil)
			if (got.err == nil) != c.whole {
				t.Errorf("the end is %v", got.err)
			}
			for i, id := range ids(t, got.body) {
				if id != strconv.Itoa(i+1) {
					t.Fatalf("events %v", ids(t, got.body))
				}
			}
			if c.whole && len(ids(t, got.body)) != 8 {
				t.Errorf("events %v", ids(t, got.body))
			}
		})
	}
}

// Guards against abandoning a slow upstream when no other upstream can resume
// the stream.
func TestSilentStreamGoesOnWithoutAnother(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1700 * time.Millisecond)
		events(w, r, 8, 8)
	}
	r := route(config.RouteStreaming)
	r.MaxAttempts = 2
	d, base := start(t, r, slow)
	got := send(t, base, http.MethodPost, "/a/x", nil)
	if got.err != nil || len(ids(t, got.body)) != 8 || len(d.arrived()) != 1 {
		t.Errorf("events %v, %v after %v", ids(t, got.body), got.err, d.arrived())
	}
}

// Guards against delivering a low-confidence response while there is time for the
// larger model, and against escalating too late.
func TestCascade(t *testing.T) {
	confident := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Confidence", "10")
		if r.Header.Get("Model") == "large" {
			w.Header().Set("Confidence", "90")
		}
		events(w, r, 8, 8)
	}
	r := route(config.RouteStreaming)
	r.Models = []string{"small", "middle", "large"}
	r.Target = time.Nanosecond // passed; the caller waits on
	d, base := start(t, r, confident)
	if got := send(t, base, http.MethodPost, "/a/x", nil); got.err != nil || len(ids(t, got.body)) != 8 {
		t.Fatalf("got %+v", got)
	}
	if runs := d.arrived(); len(runs) != 2 || runs[0] != "u0 small" || runs[1] != "u0 large" {
		t.Errorf("models asked: %v", runs)
	}
}

// Guards against first steps of cascades that queue behind the long work of
// larger models, and against configured priorities that are ignored.
func TestUrgency(t *testing.T) {
	cases := map[string]struct {
		route, workspace int // -1: the workspace has no rank
		first, escalated string
	}{
		"of the route":        {1, -1, "1", "6"},
		"of the workspace":    {1, 3, "3", "8"},
		"beyond the last one": {40, -1, "4", "9"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(config.RouteStreaming)
			r.Models, r.Rank = []string{"small", "large"}, c.route
			var mu sync.Mutex
			var got []string
			d, base := start(t, r, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				got = append(got, r.Header.Get("Urgency"))
				mu.Unlock()
				w.Header().Set("Confidence", "10")
				events(w, r, 8, 8)
			})
			d.state.Table.Keys["k"] = config.KeyGrant{Workspace: "w", Rank: c.workspace}
			send(t, base, http.MethodPost, "/a/x", nil)
			if len(got) != 2 || got[0] != c.first || got[1] != c.escalated {
				t.Errorf("ranks %v, want %s and %s", got, c.first, c.escalated)
			}
		})
	}
}

// Guards against a response with another length or framing than the upstream's.
func TestHeadersPass(t *testing.T) {
	_, base := start(t, route(config.RouteSafe), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Of-Upstream", "1")
		if r.Header.Get("X-Of-Caller") == "" || r.Header.Get("X-Hop") != "" || r.Header.Get("Connection") != "" {
			w.WriteHeader(http.StatusTeapot)
		}
	})
	got := send(t, base, http.MethodGet, "/a/x%2Fy?z=1", map[string]string{"X-Of-Caller": "1", "X-Hop": "1", "Connection": "X-Hop"})
	if got.status != http.StatusOK || got.header.Get("X-Of-Upstream") == "" {
		t.Errorf("got %+v", got)
	}
}

// Guards against retrying an unreachable upstream many times within a
// millisecond, which delays the error. One retry is enough for a connection
// that was closed while idle.
func TestDeadUpstreamIsTriedTwice(t *testing.T) {
	addr, err := fakes.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	d, base := start(t, route(config.RouteSafe))
	d.state.Upstreams["s"] = []fleet.Upstream{{ID: "u0", Service: "s", Address: addr, Version: "v1", Slots: 4}}
	got := send(t, base, http.MethodGet, "/a/x", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	end := d.log.LastEntry()
	if end == nil || end.Data["tries"] != 2 {
		t.Errorf("the last line is %+v, want 2 tries", end)
	}
}

// Guards against counting the streams of a slow version only at their end, after
// its roll-out has completed.
func TestSpeedIsCountedWhileAStreamRuns(t *testing.T) {
	goOn := make(chan struct{})
	d, base := start(t, route(config.RouteStreaming), func(w http.ResponseWriter, r *http.Request) {
		events(w, r, 10, 10)
		<-goOn
		_, _ = io.WriteString(w, "id: 11\ndata: 11\n\n")
	})
	got := make(chan reply, 1)
	go func() { got <- send(t, base, http.MethodPost, "/a/x", nil) }()
	for end := time.Now().Add(5 * time.Second); len(d.counted()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing is counted while the stream runs")
		}
	}
	close(goOn)
	if r := <-got; r.status != http.StatusOK {
		t.Fatalf("got %+v", r)
	}
	all := d.counted()
	if len(all) != 2 || !all[0].IsTimed || !all[0].IsRunning || all[1].IsTimed || all[1].IsRunning {
		t.Errorf("counted %+v, want one speed and one response", all)
	}
}

// withNotice answers as next does and adds what the upstream says about itself.
func withNotice(name, value string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		next(w, r)
	}
}

// Guards against further requests, retries, resumed streams and escalations to
// an upstream that said in any answer that it is leaving, or that it wants none
// for a while; and against a caller who waits although no upstream takes the
// request.
func TestNoticesOfUpstreams(t *testing.T) {
	unsure := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Confidence", "10")
		events(w, r, 8, 8)
	}
	cases := map[string]struct {
		kind     config.RouteKind
		name     string // of the notice's header
		handlers []http.HandlerFunc
		first    int // status of the first request
		runs     int // requests that arrive at the upstreams with a notice
		second   int // status of the requests after it
	}{
		"leaving, success":           {config.RouteSafe, "Leaving", []http.HandlerFunc{ok}, 200, 1, 503},
		"leaving, refusal":           {config.RouteUnsafe, "Leaving", []http.HandlerFunc{shed}, 503, 1, 503},
		"leaving, error":             {config.RouteSafe, "Leaving", []http.HandlerFunc{failed}, 500, 1, 503},
		"leaving, head of a stream":  {config.RouteStreaming, "Leaving", []http.HandlerFunc{streamUntil(8)}, 200, 1, 503},
		"leaving, cut stream":        {config.RouteStreaming, "Leaving", []http.HandlerFunc{streamUntil(3)}, 200, 1, 503},
		"leaving, unsure stream":     {config.RouteStreaming, "Leaving", []http.HandlerFunc{unsure}, 200, 1, 503},
		"leaving, all of three":      {config.RouteSafe, "Leaving", []http.HandlerFunc{shed, shed, shed}, 503, 3, 503},
		"pause, one upstream":        {config.RouteUnsafe, "Pause", []http.HandlerFunc{shed}, 503, 1, 503},
		"pause, all of three":        {config.RouteSafe, "Pause", []http.HandlerFunc{shed, shed, shed}, 503, 3, 503},
		"pause, stream, all of two":  {config.RouteStreaming, "Pause", []http.HandlerFunc{shed, shed}, 503, 2, 503},
		"malformed pause is ignored": {config.RouteUnsafe, "Bad-Pause", []http.HandlerFunc{ok}, 200, 6, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(c.kind)
			r.Models = []string{"small", "large"}
			var handlers []http.HandlerFunc
			for _, h := range c.handlers {
				handlers = append(handlers, withNotice(c.name, "20s", h))
			}
			d, base := start(t, r, handlers...)
			if got := send(t, base, http.MethodPost, "/a/x", nil); got.status != c.first {
				t.Fatalf("the first request got %d, want %d", got.status, c.first)
			}
			for range 5 {
				began := time.Now()
				got := send(t, base, http.MethodPost, "/a/x", nil)
				if got.status != c.second || time.Since(began) > time.Second {
					t.Fatalf("got %d after %v, want %d", got.status, time.Since(began), c.second)
				}
				after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status == 503 && (after <= 0 || (after > 19) != (c.name == "Pause")) {
					t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
				}
			}
			if runs := d.arrived(); len(runs) != c.runs {
				t.Errorf("%d requests arrived, want %d: %v", len(runs), c.runs, runs)
			}
		})
	}
	t.Run("another upstream serves", func(t *testing.T) {
		d, base := start(t, route(config.RouteSafe), withNotice("Pause", "20s", shed), withNotice("Leaving", "1", ok), ok)
		for range 30 {
			if got := send(t, base, http.MethodPost, "/a/x", nil); got.status != http.StatusOK {
				t.Fatalf("got %+v", got)
			}
		}
		of := map[string]int{}
		for _, run := range d.arrived() {
			of[run]++
		}
		if of["u0"] > 1 || of["u1"] > 1 || of["u2"] < 28 {
			t.Errorf("requests by upstream: %v", of)
		}
	})
	t.Run("a new process serves", func(t *testing.T) {
		d, base := start(t, route(config.RouteSafe), withNotice("Leaving", "1", ok))
		send(t, base, http.MethodPost, "/a/x", nil)
		d.state.Upstreams["s"][0].Born++
		if got := send(t, base, http.MethodPost, "/a/x", nil); got.status != http.StatusOK {
			t.Errorf("got %+v", got)
		}
	})
}
