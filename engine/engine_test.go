package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/engine"
	"jackdawbarrow/fakes"
)

const chatJSON = `{"model":"cascade","messages":[{"role":"system","content":"rules"},{"role":"user","content":"hi"}],"extra":1}`

var (
	v1       = jdaw.ModelVersion{Model: "small", Version: "v1"}
	expected = fakes.Answer("small@v1", "system\nrules\nuser\nhi\n", 24)
)

func startEngine(t *testing.T, cfg fakes.EngineConfig) (*fakes.Engine, string) {
	t.Helper()
	cfg.Versions = []string{"small@v1"}
	e := fakes.NewEngine(cfg)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return e, srv.URL
}

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	c := engine.New(engine.Config{})
	t.Cleanup(c.Close)
	return c
}

func request() jdaw.ChatRequest {
	return jdaw.ChatRequest{RequestID: "r-1", Version: v1, Body: []byte(chatJSON)}
}

// readAll reads a stream and checks that its positions are consecutive.
func readAll(t *testing.T, s jdaw.ChatStream, from int) (text string, last jdaw.Chunk, err error) {
	t.Helper()
	var b strings.Builder
	for next := from; ; next++ {
		c, err := s.Next()
		if err != nil {
			return b.String(), last, err
		}
		if c.Position != next {
			t.Fatalf("position %d, want %d", c.Position, next)
		}
		b.WriteString(c.Text)
		last = c
		if c.Final {
			return b.String(), last, nil
		}
	}
}

// Guards against lost, repeated or reordered chunks, and wrong unescaping.
func TestChatDeliversTheWholeAnswer(t *testing.T) {
	cases := map[string]fakes.EngineFault{
		"clean":      {},
		"duplicates": {Duplicate: 3},
		"gaps":       {Skip: 5},
		"both":       {Duplicate: 2, Skip: 7},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			e, url := startEngine(t, fakes.EngineConfig{})
			e.SetFault(fault)
			s, err := newClient(t).Chat(context.Background(), url, request())
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			text, last, err := readAll(t, s, 0)
			if err != nil || text != expected {
				t.Fatalf("error %v, text %q, want %q", err, text, expected)
			}
			if last.OutputTokens != 24 || last.PromptTokens != 4 || last.FinishReason != "stop" {
				t.Fatalf("final chunk %+v", last)
			}
			if _, err := s.Next(); err != io.EOF {
				t.Fatalf("after the final chunk: %v, want EOF", err)
			}
		})
	}
}

// Guards against a resumed or continued answer that repeats or loses text.
func TestBrokenStreamResumesAndContinues(t *testing.T) {
	for _, forget := range []bool{false, true} {
		e, url := startEngine(t, fakes.EngineConfig{})
		e.SetFault(fakes.EngineFault{Break: fakes.BreakMidStream, BreakAt: 9, Count: 1, ForgetStreams: forget})
		c := newClient(t)
		s, err := c.Chat(context.Background(), url, request())
		if err != nil {
			t.Fatal(err)
		}
		head, _, err := readAll(t, s, 0)
		if jdaw.CodeOf(err).Code != jdaw.CodeStreamBroken {
			t.Fatalf("error %v, want streamBroken", err)
		}
		q := request()
		q.Position = 9
		q.StreamID = s.StreamID()
		tail, err := c.Chat(context.Background(), url, q)
		if forget {
			if jdaw.CodeOf(err).Code != jdaw.CodeStreamBroken {
				t.Fatalf("resume of a forgotten stream: %v", err)
			}
			q.StreamID = ""
			q.Text = head
			tail, err = c.Chat(context.Background(), url, q)
		}
		if err != nil {
			t.Fatal(err)
		}
		rest, _, err := readAll(t, tail, 9)
		if err != nil || head+rest != expected {
			t.Fatalf("forget %v: error %v, text %q, want %q", forget, err, head+rest, expected)
		}
		tail.Close()
	}
}

// Guards against a false "not run": the code must agree with the engine's log.
func TestChatCodesAgreeWithTheLog(t *testing.T) {
	cases := map[string]struct {
		fault fakes.EngineFault
		code  jdaw.Code
		ran   int
	}{
		"refused":       {fakes.EngineFault{Refuse: true}, jdaw.CodeUpstreamRefused, 0},
		"leaving":       {fakes.EngineFault{Leaving: true}, jdaw.CodeUpstreamRefused, 0},
		"failed":        {fakes.EngineFault{FailShare: map[string]float64{"small@v1": 1}}, jdaw.CodeUpstreamFailed, 1},
		"broken before": {fakes.EngineFault{Break: fakes.BreakBefore}, jdaw.CodeOutcomeUnknown, 0},
		"broken during": {fakes.EngineFault{Break: fakes.BreakDuring}, jdaw.CodeOutcomeUnknown, 0},
		"broken after":  {fakes.EngineFault{Break: fakes.BreakAfter}, jdaw.CodeOutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, url := startEngine(t, fakes.EngineConfig{})
			e.SetFault(c.fault)
			_, err := newClient(t).Chat(context.Background(), url, request())
			if got := jdaw.CodeOf(err).Code; got != c.code {
				t.Fatalf("code %s, want %s: %v", got, c.code, err)
			}
			if n := len(e.Log()); n != c.ran {
				t.Fatalf("engine ran %d requests, want %d", n, c.ran)
			}
			leaving, ok := err.(jdaw.LeavingReporter)
			if (ok && leaving.Leaving()) != (name == "leaving") {
				t.Fatalf("leaving reported wrongly: %v", err)
			}
		})
	}
}

// Guards against dispatch on an expired credit.
func TestNothingIsWrittenAfterUseBefore(t *testing.T) {
	e, url := startEngine(t, fakes.EngineConfig{})
	q := request()
	q.UseBefore = time.Now().Add(-time.Millisecond)
	_, err := newClient(t).Chat(context.Background(), url, q)
	if jdaw.CodeOf(err).Code != jdaw.CodeUpstreamConnection || len(e.Log()) != 0 {
		t.Fatalf("error %v, log %v", err, e.Log())
	}
}

// Guards against a new connection for each stream, which would add a round trip
// to the time to first token.
func TestStreamsReuseConnections(t *testing.T) {
	var dialled atomic.Int32
	srv := httptest.NewUnstartedServer(fakes.NewEngine(fakes.EngineConfig{Versions: []string{"small@v1"}}))
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			dialled.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	c := newClient(t)
	for range 10 {
		s, err := c.Chat(context.Background(), srv.URL, request())
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := readAll(t, s, 0); err != nil {
			t.Fatal(err)
		}
		s.Close()
	}
	if n := dialled.Load(); n != 1 {
		t.Fatalf("10 streams took %d connections, want 1", n)
	}
}

// flakyServer answers the first request of the first connection and then
// closes every connection when the next request has arrived on it.
func flakyServer(t *testing.T, received *atomic.Int32) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.ReadAll(req.Body)
					if received.Add(1) > 1 {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against replays by net/http: when an idle connection breaks, it resends
// a request that has no body or has an idempotency key.
func TestNoReplayOnBrokenIdleConnection(t *testing.T) {
	for name, q := range map[string]jdaw.ServiceCall{
		"body and key":  {Method: "POST", Path: "/x", Body: []byte("once"), Key: "k1"},
		"key, no body":  {Method: "POST", Path: "/x", Key: "k1"},
		"get, no body":  {Method: "GET", Path: "/x"},
		"body, no key":  {Method: "POST", Path: "/x", Body: []byte("once")},
		"neither":       {Method: "POST", Path: "/x"},
		"get with body": {Method: "GET", Path: "/x", Body: []byte("b")},
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			url := flakyServer(t, &received)
			c := newClient(t)
			if _, err := c.Call(context.Background(), url, q); err != nil {
				t.Fatal(err)
			}
			_, err := c.Call(context.Background(), url, q)
			if got := jdaw.CodeOf(err).Code; err == nil || got != jdaw.CodeOutcomeUnknown {
				t.Fatalf("error %v, want outcomeUnknown", err)
			}
			if n := received.Load(); n != 2 {
				t.Fatalf("the service received %d requests, want 2", n)
			}
		})
	}
}

// Guards against a false "not run" of a plain service, as for engines.
func TestCallCodesAgreeWithTheLog(t *testing.T) {
	cases := map[string]struct {
		fault fakes.PlainFault
		code  jdaw.Code
		ran   int
	}{
		"ok":            {fakes.PlainFault{}, jdaw.CodeOK, 1},
		"refused":       {fakes.PlainFault{Refuse: true}, jdaw.CodeUpstreamRefused, 0},
		"broken before": {fakes.PlainFault{Break: fakes.BreakBefore}, jdaw.CodeOutcomeUnknown, 0},
		"broken during": {fakes.PlainFault{Break: fakes.BreakDuring}, jdaw.CodeOutcomeUnknown, 0},
		"broken after":  {fakes.PlainFault{Break: fakes.BreakAfter}, jdaw.CodeOutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := fakes.NewPlain(fakes.PlainConfig{})
			srv := httptest.NewServer(p)
			defer srv.Close()
			p.SetFault(c.fault)
			answer, err := newClient(t).Call(context.Background(), srv.URL, jdaw.ServiceCall{
				RequestID: "r-1", Method: "POST", Path: "/entries?x=1", Body: []byte(`{"a":1}`), Key: "k1",
			})
			code := jdaw.CodeOK
			if err != nil {
				code = jdaw.CodeOf(err).Code
			}
			log := p.Log()
			if code != c.code || len(log) != c.ran {
				t.Fatalf("code %s, want %s; ran %d, want %d; %v", code, c.code, len(log), c.ran, err)
			}
			if code == jdaw.CodeOK && (answer.Status != 200 || log[0].Key != "k1" || log[0].RequestID != "r-1") {
				t.Fatalf("answer %+v, log %+v", answer, log)
			}
		})
	}
	_, err := newClient(t).Call(context.Background(), "http://127.0.0.1:1", jdaw.ServiceCall{Method: "POST", Path: "/"})
	if jdaw.CodeOf(err).Code != jdaw.CodeUpstreamConnection {
		t.Fatalf("nothing listens: %v", err)
	}
}

// Guards against ratings that differ between calls, and against an invented
// rating when the service is down.
func TestRater(t *testing.T) {
	g := fakes.NewRating(fakes.RatingConfig{Quality: map[string]float64{"small@v1": 0.7}, Noise: 0.05, Seed: 3})
	srv := httptest.NewServer(g)
	defer srv.Close()
	rater := engine.NewRater(newClient(t), srv.URL)
	q := jdaw.RateRequest{Task: "t", Prompt: "p", Answer: "a", Model: "small@v1"}
	first, err := rater.Rate(context.Background(), q)
	if err != nil || first < 0.5 || first > 0.9 {
		t.Fatalf("rating %v, %v", first, err)
	}
	if second, _ := rater.Rate(context.Background(), q); second != first {
		t.Fatalf("ratings of the same answer differ: %v, %v", first, second)
	}
	g.SetFault(fakes.RatingFault{Down: true})
	if _, err := rater.Rate(context.Background(), q); err == nil {
		t.Fatal("no error although the service is down")
	}
}

// Guards against a fake that is more lenient than an engine: a cold engine
// crashes under load and restarts, and old fencing tokens are rejected.
func TestStandInColdStartAndFence(t *testing.T) {
	e, url := startEngine(t, fakes.EngineConfig{ColdFor: time.Minute, PerToken: 20 * time.Millisecond, ChecksFence: true})
	c := newClient(t)
	s, err := c.Chat(context.Background(), url, request())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Chat(context.Background(), url, request()); jdaw.CodeOf(err).Code != jdaw.CodeUpstreamFailed {
		t.Fatalf("second request during the cold start: %v", err)
	}
	if _, _, err := readAll(t, s, 0); jdaw.CodeOf(err).Code != jdaw.CodeStreamBroken {
		t.Fatalf("running stream of a crashed engine: %v", err)
	}
	resp, err := http.Get(url + "/v1/load")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var report fakes.LoadReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil || report.Incarnation != "a2" {
		t.Fatalf("load report %+v, %v, want incarnation a2", report, err)
	}
	post(t, url+"/v1/orders", `{"fence":7,"kind":"load","version":"small@v2"}`, 200)
	post(t, url+"/v1/orders", `{"fence":6,"kind":"unload","version":"small@v2"}`, 409)
	if n := len(e.Orders()); n != 1 {
		t.Fatalf("%d orders carried out, want 1", n)
	}
}

func post(t *testing.T, url, body string, want int) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		t.Fatalf("POST %s: status %d, want %d", url, resp.StatusCode, want)
	}
}

// Guards against a cancelled stream that keeps its slot in the engine's batch.
func TestCloseCancelsTheStream(t *testing.T) {
	_, url := startEngine(t, fakes.EngineConfig{PerToken: 50 * time.Millisecond, Capacity: 1, QueueLimit: -1})
	c := newClient(t)
	s, err := c.Chat(context.Background(), url, request())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		other, err := c.Chat(context.Background(), url, request())
		if err == nil {
			other.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the engine's only slot was still in use after 5 s: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
