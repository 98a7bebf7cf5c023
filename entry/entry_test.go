package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/entry"
	"jackdawbarrow/fakes"
)

// Guards against answers that differ from the engine's, wrong bills, and
// timeline events that are missing or contain prompts.
func TestChatWholeAndStreamed(t *testing.T) {
	h := newHarness(t, nil)
	whole := h.do("POST", "/v1/chat/completions", chatBody("small", "ask \"this\"", false))
	id := whole.header.Get("X-Jackdaw-Request-Id")
	if got := wholeText(t, whole.body); whole.status != 200 || got != want("small@v1", `ask "this"`) {
		t.Fatalf("status %d, text %q", whole.status, got)
	}
	b := h.bill(id)
	if b.Code != jdaw.CodeOK || b.Model != "small@v1" || b.OutputTokens != 24 || b.PromptTokens != 3 || b.Cost != 0.027 || b.Steps != 1 {
		t.Fatalf("bill %+v", b)
	}
	streamed := h.do("POST", "/v1/chat/completions", chatBody("small@v1", "two", true))
	if got := sseText(t, streamed.header.Get("X-Jackdaw-Request-Id"), streamed.body); got != want("small@v1", "two") {
		t.Fatalf("text %q", got)
	}
	h.checkBooks()
	if got := h.eventNames(); got != strings.Repeat("admitted credit dispatched firstToken settled ", 2)[:2*len("admitted credit dispatched firstToken settled ")-1] {
		t.Fatalf("timeline %q", got)
	}
	for _, e := range h.events {
		if strings.Contains(e.Text, "two") || strings.Contains(e.Text, secret) {
			t.Fatalf("event %+v carries a prompt or a key", e)
		}
	}
}

// Guards against answers and errors that OpenAI clients cannot read.
func TestOpenAIClient(t *testing.T) {
	h := newHarness(t, nil)
	client := openai.NewClient(option.WithAPIKey(secret), option.WithBaseURL(h.url+"/v1/"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:    "small",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	c, err := client.Chat.Completions.New(context.Background(), params)
	if err != nil || c.Choices[0].Message.Content != want("small@v1", "hello") || c.Usage.CompletionTokens != 24 {
		t.Fatalf("answer %+v, %v", c, err)
	}
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if stream.Err() != nil || acc.Choices[0].Message.Content != want("small@v1", "hello") || acc.Usage.CompletionTokens != 24 || acc.Choices[0].FinishReason != "stop" {
		t.Fatalf("stream %+v, %v", acc, stream.Err())
	}
	models, err := client.Models.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, m := range models.Data {
		ids = append(ids, m.ID)
	}
	if got := strings.Join(ids, " "); got != "small small@v1 small@v2 large large@v1 chain cascade" {
		t.Fatalf("models %q", got)
	}
	params.Model = "nonesuch"
	_, err = client.Chat.Completions.New(context.Background(), params)
	apiErr, ok := err.(*openai.Error)
	if !ok || apiErr.StatusCode != 404 || apiErr.Type != "unknownModel" || apiErr.Message == "" {
		t.Fatalf("error %#v", err)
	}
}

// Guards against invalid input that reaches an upstream or the ledger, and
// against wrong result codes.
func TestBadInputRunsNothing(t *testing.T) {
	withdrawn := func(h *harness) { h.doc.Models[0].Versions[0].State = config.VersionWithdrawn }
	cases := map[string]struct {
		path, body string
		header     []string
		prepare    func(h *harness)
		code       jdaw.Code
	}{
		"broken json":       {body: `{"model":`, code: jdaw.CodeBrokenJSON},
		"trailing data":     {body: chatBody("small", "x", false) + "}", code: jdaw.CodeBrokenJSON},
		"not an object":     {body: `[1]`, code: jdaw.CodeBadField},
		"null":              {body: `null`, code: jdaw.CodeBadField},
		"model number":      {body: `{"model":3,"messages":[{"role":"user","content":"x"}]}`, code: jdaw.CodeBadField},
		"stream string":     {body: `{"model":"small","stream":"yes","messages":[{"role":"user","content":"x"}]}`, code: jdaw.CodeBadField},
		"content number":    {body: `{"model":"small","messages":[{"role":"user","content":7}]}`, code: jdaw.CodeBadField},
		"no messages":       {body: `{"model":"small"}`, code: jdaw.CodeBadField},
		"negative tokens":   {body: `{"model":"small","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, code: jdaw.CodeBadField},
		"two choices":       {body: `{"model":"small","n":2,"messages":[{"role":"user","content":"x"}]}`, code: jdaw.CodeBadField},
		"too large":         {body: chatBody("small", strings.Repeat("x", 5000), false), code: jdaw.CodeBodyTooLarge},
		"unknown model":     {body: chatBody("nonesuch", "x", false), code: jdaw.CodeUnknownModel},
		"unknown version":   {body: chatBody("small@v9", "x", false), code: jdaw.CodeUnknownModel},
		"not allowed":       {body: chatBody("other", "x", false), code: jdaw.CodeModelNotAllowed},
		"version forbidden": {body: chatBody("other@v1", "x", false), code: jdaw.CodeModelNotAllowed},
		"withdrawn":         {body: chatBody("small@v1", "x", false), prepare: withdrawn, code: jdaw.CodeVersionWithdrawn},
		"all withdrawn":     {body: chatBody("small", "x", false), prepare: withdrawn, code: jdaw.CodeVersionWithdrawn},
		"no key":            {body: chatBody("small", "x", false), header: []string{"Authorization", ""}, code: jdaw.CodeNoKey},
		"wrong key":         {body: chatBody("small", "x", false), header: []string{"Authorization", "Bearer jdw_heats_x"}, code: jdaw.CodeWrongKey},
		"wrong scheme":      {body: chatBody("small", "x", false), header: []string{"Authorization", "Basic " + secret}, code: jdaw.CodeWrongKey},
		"unknown outlet":    {body: chatBody("small", "x", false), header: []string{"X-Jackdaw-Outlet", "moon"}, code: jdaw.CodeUnknownOutlet},
		"closed outlet":     {body: chatBody("small", "x", false), header: []string{"X-Jackdaw-Outlet", "closed"}, code: jdaw.CodeOutletClosed},
		"bad session":       {body: chatBody("small", "x", false), header: []string{"X-Jackdaw-Session", "jds1.e30.k1.00"}, code: jdaw.CodeBadSession},
		"unknown service":   {path: "/v1/services/moon/x", code: jdaw.CodeUnknownService},
		"service forbidden": {path: "/v1/services/till/x", code: jdaw.CodeServiceNotAllowed},
		"dotted path":       {path: "/v1/services/desk/lookup/../entries", code: jdaw.CodeBadField},
		"no route":          {path: "/v1/moon", code: jdaw.CodeNoRoute},
		"wrong method":      {path: "/v1/models", code: jdaw.CodeMethodNotAllowed},
		"isolated":          {body: "{", prepare: func(h *harness) { h.view.Store(&jdaw.View{Isolated: true}) }, code: jdaw.CodeIsolated},
		"data centre out":   {body: "{", prepare: func(h *harness) { h.doc.DataCentres[0].Out = true }, code: jdaw.CodeDataCentreOut},
		"journal full":      {body: chatBody("small", "x", false), prepare: func(h *harness) { h.openErr = jdaw.Fail(jdaw.CodeJournalFull, "full") }, code: jdaw.CodeJournalFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			if c.prepare != nil {
				c.prepare(h)
				h.adopt()
			}
			if c.path == "" {
				c.path = "/v1/chat/completions"
			}
			got := h.do("POST", c.path, c.body, c.header...)
			code, ran := got.code(t)
			if code != c.code || ran != jdaw.NotRun || got.status != c.code.Info().Status {
				t.Fatalf("status %d, code %s, ran %s, want %s, not run: %s", got.status, code, ran, c.code, got.body)
			}
			if len(h.runs()) != 0 || len(h.plain.Log()) != 0 || len(h.open) != 0 {
				t.Fatalf("runs %v, calls %v, bills %v", h.runs(), h.plain.Log(), h.open)
			}
		})
	}
}

// Guards against running a request with a truncated body, and against rejecting
// unknown fields.
func TestCutBodyAndUnknownFields(t *testing.T) {
	h := newHarness(t, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n%s", secret, chatBody("small", "x", false))
	_ = conn.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(conn)
	if !strings.Contains(string(answer), `"name":"bodyCut"`) || len(h.runs()) != 0 || len(h.open) != 0 {
		t.Fatalf("answer %q, runs %v", answer, h.runs())
	}
	got := h.do("POST", "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"x","name":"n"}],"logit_bias":{"1":2},"new_field":[1]}`)
	if got.status != 200 {
		t.Fatalf("unknown fields: status %d: %s", got.status, got.body)
	}
}

// Guards against chat requests that fail because of one failing upstream, and
// against more than two retries.
func TestChatRetriesElsewhere(t *testing.T) {
	for name, fault := range map[string]fakes.EngineFault{
		"refused": {Refuse: true}, "failed": {FailShare: map[string]float64{"small@v1": 1}},
		"before": {Break: fakes.BreakBefore}, "during": {Break: fakes.BreakDuring}, "after": {Break: fakes.BreakAfter},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.engines["e1"].SetFault(fault)
			got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", false))
			if got.status != 200 || wholeText(t, got.body) != want("small@v1", "x") {
				t.Fatalf("status %d: %s", got.status, got.body)
			}
			h.engines["e2"].SetFault(fault)
			got = h.do("POST", "/v1/chat/completions", chatBody("small", "x", false))
			code, ran := got.code(t)
			if mayHaveRun := name != "refused"; mayHaveRun == (ran == jdaw.NotRun) {
				t.Fatalf("code %s, ran %s", code, ran)
			}
			if b := h.bill(got.header.Get("X-Jackdaw-Request-Id")); b.Cost != 0 || b.Ran != ran {
				t.Fatalf("bill %+v", b)
			}
			h.checkBooks()
		})
	}
}

// Guards against lost or repeated text when a broken stream is resumed at the
// same engine or continued at another one.
func TestBrokenStreamIsCompleted(t *testing.T) {
	for name, fault := range map[string]fakes.EngineFault{
		"resumed":       {Break: fakes.BreakMidStream, BreakAt: 7, Count: 1},
		"continued":     {Break: fakes.BreakMidStream, BreakAt: 7, ForgetStreams: true},
		"after the end": {Break: fakes.BreakMidStream, BreakAt: 24, Count: 1},
		"at the start":  {Break: fakes.BreakMidStream, BreakAt: 0, ForgetStreams: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.engines["e1"].SetFault(fault)
			got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", true))
			id := got.header.Get("X-Jackdaw-Request-Id")
			if text := sseText(t, id, got.body); text != want("small@v1", "x") {
				t.Fatalf("text %q, want %q", text, want("small@v1", "x"))
			}
			runs := 1
			if fault.ForgetStreams {
				runs = 2
			}
			if n := len(h.runs()); n != runs {
				t.Fatalf("%d runs, want %d", n, runs)
			}
			if b := h.bill(id); b.OutputTokens != 24 || b.PromptTokens != 2 || b.Cost != 0.026 {
				t.Fatalf("bill %+v", b)
			}
			h.checkBooks()
		})
	}
}

// Guards against an incomplete stream that ends like a complete one, and against
// continuing an answer on a version that has been withdrawn since.
func TestContinuationNeedsPermission(t *testing.T) {
	h := newHarness(t, nil)
	h.engines["e1"].SetFault(fakes.EngineFault{Break: fakes.BreakMidStream, BreakAt: 7, ForgetStreams: true})
	calls := 0
	h.onAcquire = func(jdaw.CreditRequest) {
		if calls++; calls == 2 {
			h.doc.Models[0].Versions[0].State = config.VersionWithdrawn
			h.adopt()
		}
	}
	got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", true))
	if strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, `"name":"streamBroken"`) {
		t.Fatalf("answer %q", got.body)
	}
	if n := len(h.runs()); n != 1 {
		t.Fatalf("%d runs, want 1", n)
	}
	h.checkBooks()
}

// Guards against a request that fails because the owner of the pool changes
// while the request waits for a credit.
func TestOwnerChangesWhileWaiting(t *testing.T) {
	h := newHarness(t, nil)
	waits := 0
	h.refusal = func(q jdaw.CreditRequest) error {
		switch {
		case waits > 2:
			return nil
		case q.Wait == 0:
			return jdaw.Fail(jdaw.CodeNoCapacity, "full")
		}
		waits++
		return jdaw.Fail(jdaw.CodeNoOwner, "the owner changes")
	}
	if got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", false)); got.status != 200 {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	h.checkBooks()
}

// Guards against dispatch to a version that was withdrawn while the request
// waited for its credit, and against dispatch on an expired credit.
func TestPermissionIsCheckedBeforeDispatch(t *testing.T) {
	h := newHarness(t, nil)
	h.onAcquire = func(jdaw.CreditRequest) {
		h.doc.Models[0].Versions[0].State = config.VersionWithdrawn
		h.adopt()
	}
	code, ran := h.do("POST", "/v1/chat/completions", chatBody("small", "x", false)).code(t)
	if code != jdaw.CodeVersionWithdrawn || ran != jdaw.NotRun || len(h.runs()) != 0 {
		t.Fatalf("code %s, ran %s, runs %v", code, ran, h.runs())
	}
	h.checkBooks()

	h = newHarness(t, nil)
	h.useBefore = -time.Millisecond
	code, ran = h.do("POST", "/v1/chat/completions", chatBody("small", "x", false)).code(t)
	if code != jdaw.CodeNoCapacity || ran != jdaw.NotRun || len(h.runs()) != 0 {
		t.Fatalf("code %s, ran %s, runs %v", code, ran, h.runs())
	}
	h.checkBooks()

	h = newHarness(t, nil)
	h.onAcquire = func(q jdaw.CreditRequest) {
		if q.Pool.DataCentre == "oban" {
			h.doc.DataCentres[0].Out = true
			h.adopt()
		}
	}
	if got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", false)); got.status != 200 {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	if n := len(h.engines["e1"].Log()); n != 0 {
		t.Fatalf("the data centre that was taken out ran %d requests", n)
	}
}

// Guards against a request that ignores the outlet's order of data centres.
func TestOutletChoosesTheDataCentre(t *testing.T) {
	h := newHarness(t, nil)
	h.do("POST", "/v1/chat/completions", chatBody("small", "x", false), "X-Jackdaw-Outlet", "bench")
	h.do("POST", "/v1/chat/completions", chatBody("small", "x", false))
	if a, b := len(h.engines["e2"].Log()), len(h.engines["e1"].Log()); a != 1 || b != 1 {
		t.Fatalf("largs ran %d, oban %d, want 1 and 1", a, b)
	}
}

// Guards against a session that changes its version during a roll-out, after
// a rotation of keys or after a withdrawal.
func TestSessionKeepsItsVersion(t *testing.T) {
	h := newHarness(t, nil)
	h.doc.Rollouts = []config.Rollout{{Model: "small", Version: "v2", SharePercent: 100, State: config.RolloutRunning}}
	h.adopt()
	first := h.do("POST", "/v1/chat/completions", chatBody("small", "x", true), "X-Jackdaw-New-Session", "s1")
	token := first.header.Get("X-Jackdaw-Session")
	if token == "" || first.header.Get("X-Jackdaw-Model") != "small@v2" {
		t.Fatalf("headers %v", first.header)
	}
	h.doc.Rollouts[0].SharePercent = 0
	h.doc.SessionKeys = append([]config.SessionKey{{ID: "k2", Secret: strings.Repeat("cd", 32)}}, h.doc.SessionKeys...)
	h.adopt()
	for _, model := range []string{"small", "cascade"} {
		got := h.do("POST", "/v1/chat/completions", chatBody(model, "y", false), "X-Jackdaw-Session", token)
		if got.status != 200 || wholeText(t, got.body) != want("small@v2", "y") {
			t.Fatalf("%s: status %d: %s", model, got.status, got.body)
		}
	}
	if code, _ := h.do("POST", "/v1/chat/completions", chatBody("large", "y", false), "X-Jackdaw-Session", token).code(t); code != jdaw.CodeBadSession {
		t.Fatalf("other model: %s", code)
	}
	h.doc.Models[0].Versions[1].State = config.VersionWithdrawn
	h.adopt()
	runs := len(h.runs())
	code, ran := h.do("POST", "/v1/chat/completions", chatBody("small", "y", false), "X-Jackdaw-Session", token).code(t)
	if code != jdaw.CodeSessionVersionWithdrawn || ran != jdaw.NotRun || len(h.runs()) != runs {
		t.Fatalf("code %s, ran %s", code, ran)
	}
}

// Guards against a wrong share of requests on the new version of a roll-out, and
// against unrated answers of a roll-out.
func TestRolloutShare(t *testing.T) {
	h := newHarness(t, nil)
	h.doc.Rollouts = []config.Rollout{{Model: "small", Version: "v2", SharePercent: 30, State: config.RolloutRunning}}
	h.adopt()
	for i := range 200 {
		h.do("POST", "/v1/chat/completions", chatBody("small", fmt.Sprint(i), false))
	}
	h.checkBooks()
	v2 := 0
	for _, r := range h.results {
		if r.Credit.Version.Version == "v2" {
			v2++
		}
		if !r.Rated {
			t.Fatalf("result without a rating: %+v", r)
		}
	}
	// 200 samples at 0.3 fall outside 30..90 with a probability below 1e-5.
	if v2 < 30 || v2 > 90 {
		t.Fatalf("%d of 200 requests went to the new version, want about 60", v2)
	}
}

// Guards against a cascade that delivers a rejected answer, bills twice, or
// fails while the rating service is down.
func TestCascade(t *testing.T) {
	h := newHarness(t, nil)
	set := func(small float64, down bool) {
		h.rating.SetFault(fakes.RatingFault{Down: down, Quality: map[string]float64{"small": small}})
	}
	for name, c := range map[string]struct {
		small  float64
		down   bool
		model  string
		steps  int
		tokens int
	}{
		"accepted":       {small: 0.9, model: "small@v1", steps: 1, tokens: 24},
		"escalated":      {small: 0.5, model: "large@v1", steps: 2, tokens: 48},
		"without rating": {small: 0.5, down: true, model: "small@v1", steps: 1, tokens: 24},
	} {
		for _, stream := range []bool{false, true} {
			set(c.small, c.down)
			got := h.do("POST", "/v1/chat/completions", chatBody("cascade", name, stream))
			id := got.header.Get("X-Jackdaw-Request-Id")
			var text string
			if stream {
				text = sseText(t, id, got.body)
			} else {
				text = wholeText(t, got.body)
			}
			if text != want(c.model, name) {
				t.Fatalf("%s: text %q", name, text)
			}
			if b := h.bill(id); b.Model != c.model || b.Steps != c.steps || b.OutputTokens != c.tokens {
				t.Fatalf("%s: bill %+v", name, b)
			}
		}
	}
	h.engines["e1"].SetFault(fakes.EngineFault{FailShare: map[string]float64{"large@v1": 1}})
	h.engines["e2"].SetFault(fakes.EngineFault{FailShare: map[string]float64{"large@v1": 1}})
	set(0.5, false)
	got := h.do("POST", "/v1/chat/completions", chatBody("chain", "best", false))
	if wholeText(t, got.body) != want("small@v1", "best") {
		t.Fatalf("a failed escalation lost the earlier answer: %s", got.body)
	}
	h.checkBooks()
}

// Guards against mixed-up answers of concurrent streams.
func TestManyStreamsOutOfOrder(t *testing.T) {
	h := newHarness(t, nil)
	h.engines["e1"].SetFault(fakes.EngineFault{Duplicate: 3, Skip: 5})
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			prompt := fmt.Sprintf("question %d", i)
			got := h.do("POST", "/v1/chat/completions", chatBody("small", prompt, true))
			if text := sseText(t, got.header.Get("X-Jackdaw-Request-Id"), got.body); text != want("small@v1", prompt) {
				t.Errorf("request %d: text %q", i, text)
			}
		})
	}
	wg.Wait()
	h.checkBooks()
}

// Guards against a shutdown that interrupts a stream, a draining VM that lists
// itself, and rejections before the callers' cached lists have expired.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.engines["e1"].SetFault(fakes.EngineFault{SlowMillis: 20})
	long := make(chan reply)
	go func() { long <- h.do("POST", "/v1/chat/completions", chatBody("small", "long", true)) }()
	for h.entry.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	if list := h.do("GET", "/v1/entries", ""); !strings.Contains(list.body, "vm1") || !strings.Contains(list.body, "vm2") || strings.Contains(list.body, "vm3") {
		t.Fatalf("entries %s", list.body)
	}
	drained := make(chan error)
	go func() { drained <- h.entry.Drain(context.Background()) }()
	for h.do("GET", "/readyz", "").status == 200 {
		time.Sleep(time.Millisecond)
	}
	if list := h.do("GET", "/v1/entries", ""); strings.Contains(list.body, "vm1") || !strings.Contains(list.body, "vm2") {
		t.Fatalf("entries during the drain: %s", list.body)
	}
	if got := h.do("POST", "/v1/chat/completions", chatBody("small@v1", "x", false), "X-Jackdaw-Outlet", "bench"); got.status != 200 {
		t.Fatalf("a request before the list has expired: %d %s", got.status, got.body)
	}
	time.Sleep(120 * time.Millisecond)
	if code, ran := h.do("POST", "/v1/chat/completions", chatBody("small", "x", false)).code(t); code != jdaw.CodeDraining || ran != jdaw.NotRun {
		t.Fatalf("code %s, ran %s", code, ran)
	}
	select {
	case err := <-drained:
		t.Fatalf("the drain ended before the stream: %v", err)
	default:
	}
	got := <-long
	if sseText(t, got.header.Get("X-Jackdaw-Request-Id"), got.body) != want("small@v1", "long") {
		t.Fatalf("the stream was interrupted: %q", got.body)
	}
	if err := <-drained; err != nil || h.drainCalls != 1 {
		t.Fatalf("drain: %v, %d calls", err, h.drainCalls)
	}
}

// Guards against a call that runs twice, and against a false "not run".
func TestServiceCallsRunAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		fault fakes.PlainFault
		code  jdaw.Code
		ran   int
	}{
		"clean":   {code: jdaw.CodeOK, ran: 1},
		"refused": {fault: fakes.PlainFault{Refuse: true}, code: jdaw.CodeUpstreamRefused},
		"before":  {fault: fakes.PlainFault{Break: fakes.BreakBefore}, code: jdaw.CodeOutcomeUnknown},
		"during":  {fault: fakes.PlainFault{Break: fakes.BreakDuring}, code: jdaw.CodeOutcomeUnknown},
		"after":   {fault: fakes.PlainFault{Break: fakes.BreakAfter}, code: jdaw.CodeOutcomeUnknown, ran: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.plain.SetFault(c.fault)
			for _, key := range []string{"", "k1"} {
				var got reply
				// The second call with the key gets the stored outcome.
				for range 1 + len(key)/2 {
					got = h.do("POST", "/v1/services/desk/disqualify?x=1", `{"n":1}`, "Idempotency-Key", key)
					if code, _ := got.code(t); code != c.code {
						t.Fatalf("key %q: code %s, want %s: %s", key, code, c.code, got.body)
					}
				}
			}
			if n := len(h.plain.Log()); n != 2*c.ran || len(h.plain2.Log()) != 0 {
				t.Fatalf("ran %d and %d times, want %d and 0", n, len(h.plain2.Log()), 2*c.ran)
			}
			h.checkBooks()
		})
	}
}

// Guards against idempotent calls that fail because of one failing instance.
func TestIdempotentServiceCallIsRetried(t *testing.T) {
	h := newHarness(t, nil)
	h.plain.SetFault(fakes.PlainFault{Break: fakes.BreakAfter})
	for _, q := range [][2]string{{"POST", "/v1/services/desk/lookup/7"}, {"GET", "/v1/services/desk/results"}} {
		if got := h.do(q[0], q[1], ""); got.status != 200 {
			t.Fatalf("%v: status %d: %s", q, got.status, got.body)
		}
	}
	if n := len(h.plain2.Log()); n != 2 {
		t.Fatalf("the other instance ran %d calls, want 2", n)
	}
	h.checkBooks()
}

// Guards against a keyed request that runs twice, runs with a different body, or
// loses its answer; also for chat, where the retry streams the stored answer.
func TestKeyedRequests(t *testing.T) {
	h := newHarness(t, nil)
	h.plain.SetFault(fakes.PlainFault{SlowMillis: 100})
	var wg sync.WaitGroup
	bodies := make([]string, 4)
	for i := range bodies {
		wg.Go(func() {
			bodies[i] = h.do("POST", "/v1/services/desk/register", `{"n":1}`, "Idempotency-Key", "k1").body
		})
	}
	wg.Wait()
	for _, b := range bodies {
		if b != bodies[0] || !strings.Contains(b, `"execution":1`) {
			t.Fatalf("answers differ: %q", bodies)
		}
	}
	if n := len(h.plain.Log()); n != 1 {
		t.Fatalf("ran %d times, want 1", n)
	}
	if code, ran := h.do("POST", "/v1/services/desk/register", `{"n":2}`, "Idempotency-Key", "k1").code(t); code != jdaw.CodeKeyReused || ran != jdaw.NotRun {
		t.Fatalf("other body: %s, %s", code, ran)
	}
	h.plain.SetFault(fakes.PlainFault{SlowMillis: 400})
	running := make(chan reply)
	go func() {
		running <- h.do("POST", "/v1/services/desk/register", "", "Idempotency-Key", "k2")
	}()
	for len(h.plain.Log()) == 1 {
		time.Sleep(time.Millisecond)
	}
	if code, _ := h.do("POST", "/v1/services/desk/register", "", "Idempotency-Key", "k2", "X-Jackdaw-Outlet", "hasty").code(t); code != jdaw.CodeKeyRunning {
		t.Fatalf("beyond the deadline: %s", code)
	}
	<-running
	for range 2 {
		got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", true), "Idempotency-Key", "k3")
		if !strings.Contains(got.body, "[DONE]") {
			t.Fatalf("answer %q", got.body)
		}
	}
	if n := len(h.runs()); n != 1 {
		t.Fatalf("chat ran %d times, want 1", n)
	}
	h.checkBooks()
}

// Guards against losing the outcome of a keyed or non-idempotent call whose
// caller disconnects while it runs.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	h := newHarness(t, nil)
	h.plain.SetFault(fakes.PlainFault{SlowMillis: 150})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "POST", h.url+"/v1/services/desk/register", strings.NewReader("a"))
	r.Header.Set("Authorization", "Bearer "+secret)
	r.Header.Set("Idempotency-Key", "k1")
	go func() {
		for len(h.plain.Log()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("the call ended before its caller disconnected")
	}
	got := h.do("POST", "/v1/services/desk/register", "a", "Idempotency-Key", "k1")
	if got.status != 200 || !strings.Contains(got.body, `"execution":1`) || len(h.plain.Log()) != 1 {
		t.Fatalf("status %d: %s, runs %v", got.status, got.body, h.plain.Log())
	}
	h.checkBooks()
}

// Guards against cancelling a keyed chat when its caller disconnects: a retry
// with the key would find no answer.
func TestKeyedChatOutlivesItsCaller(t *testing.T) {
	h := newHarness(t, nil)
	h.engines["e1"].SetFault(fakes.EngineFault{SlowMillis: 10})
	for _, stream := range []bool{false, true} {
		runs := len(h.runs())
		key := fmt.Sprint("k", stream)
		ctx, cancel := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, "POST", h.url+"/v1/chat/completions", strings.NewReader(chatBody("small", "x", stream)))
		r.Header.Set("Authorization", "Bearer "+secret)
		r.Header.Set("Idempotency-Key", key)
		time.AfterFunc(100*time.Millisecond, cancel)
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if err == nil {
			t.Fatal("the answer ended before its caller disconnected")
		}
		got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", stream), "Idempotency-Key", key)
		if got.status != 200 || strings.Contains(got.body, `"error"`) || len(h.runs()) != runs+1 {
			t.Fatalf("stream %v: status %d, %d runs: %s", stream, got.status, len(h.runs())-runs, got.body)
		}
	}
	h.checkBooks()
}

// Guards against metrics that are missing or renamed.
func TestMetrics(t *testing.T) {
	reader := metric.NewManualReader()
	h := newHarness(t, func(_ *harness, cfg *entry.Config) {
		cfg.Meter = metric.NewMeterProvider(metric.WithReader(reader)).Meter("entry")
	})
	h.engines["e1"].SetFault(fakes.EngineFault{Refuse: true})
	h.rating.SetFault(fakes.RatingFault{Quality: map[string]float64{"small": 0.1}})
	h.do("POST", "/v1/chat/completions", chatBody("cascade", "x", false))
	h.engines["e2"].SetFault(fakes.EngineFault{Break: fakes.BreakMidStream, BreakAt: 3, Count: 1})
	h.do("POST", "/v1/chat/completions", chatBody("small", "x", false))
	var data metricdata.ResourceMetrics
	if err := reader.Collect(context.Background(), &data); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, m := range data.ScopeMetrics[0].Metrics {
		names = append(names, strings.TrimPrefix(m.Name, "jackdaw.entry.")+" "+m.Unit)
	}
	slices.Sort(names)
	want := "duration s, escalations {step}, firstToken s, inProgress {request}, requests {request}, resumes {stream}, retries {attempt}, tokens {token}"
	if got := strings.Join(names, ", "); got != want {
		t.Fatalf("metrics %q, want %q", got, want)
	}
}

// Guards against running a request with an issued key at a VM other than the
// issuing one, and against a guessed outcome when that VM is dead.
func TestIssuedKeysGoToTheirHome(t *testing.T) {
	var home *harness
	keys := func(self string) func(h *harness, cfg *entry.Config) {
		return func(h *harness, cfg *entry.Config) {
			cfg.IssueKey = func(jdaw.WorkspaceID) (string, error) { return "issued-" + self, nil }
			cfg.VerifyKey = func(_ jdaw.WorkspaceID, key string) (entry.KeyIssuer, bool, error) {
				if key == "issued-forged" {
					return entry.KeyIssuer{}, true, jdaw.Fail(jdaw.CodeKeyUnknown, "forged")
				}
				rest, issued := strings.CutPrefix(key, "issued-")
				vm, _, _ := strings.Cut(rest, "/")
				return entry.KeyIssuer{VM: jdaw.VMID(vm), Self: vm == self}, issued, nil
			}
			cfg.Forward = func(ctx context.Context, to entry.KeyIssuer, q entry.Forwarded) (entry.ForwardAnswer, error) {
				if to.VM != "home" {
					return entry.ForwardAnswer{}, jdaw.Fail(jdaw.CodeKeyHomeDead, "the issuing VM is dead")
				}
				h.forwarded = append(h.forwarded, q)
				return home.entry.HandleForward(ctx, q), nil
			}
		}
	}
	home = newHarness(t, keys("home"))
	other := newHarness(t, keys("other"))
	if got := home.do("POST", "/v1/keys", ""); got.body != `{"key":"issued-home"}` {
		t.Fatalf("issued %q", got.body)
	}
	first := home.do("POST", "/v1/services/desk/register", "a", "Idempotency-Key", "issued-home")
	second := other.do("POST", "/v1/services/desk/register", "a", "Idempotency-Key", "issued-home")
	if first.body != second.body || first.status != 200 || len(home.plain.Log()) != 1 || len(other.plain.Log()) != 0 {
		t.Fatalf("%q, %q, runs %v, %v", first.body, second.body, home.plain.Log(), other.plain.Log())
	}
	for _, h := range []*harness{other, home, other} {
		got := h.do("POST", "/v1/chat/completions", chatBody("small", "x", true), "Idempotency-Key", "issued-home/2")
		if text := sseText(t, home.runs()[0].RequestID, got.body); text != want("small@v1", "x") {
			t.Fatalf("text %q", text)
		}
	}
	if a, b := len(home.runs()), len(other.runs()); a != 1 || b != 0 {
		t.Fatalf("the issuing VM ran %d chats, the other VM %d, want 1 and 0", a, b)
	}
	dead := other.do("POST", "/v1/chat/completions", chatBody("small", "x", true), "Idempotency-Key", "issued-gone")
	if code, ran := dead.code(t); code != jdaw.CodeKeyHomeDead || ran != jdaw.OutcomeUnknown {
		t.Fatalf("dead issuing VM: %s, %s", code, ran)
	}
	if code, ran := other.do("POST", "/v1/chat/completions", chatBody("small", "x", false), "Idempotency-Key", "issued-forged").code(t); code != jdaw.CodeKeyUnknown || ran != jdaw.NotRun {
		t.Fatalf("forged key: %s, %s", code, ran)
	}
	home.checkBooks()
	other.checkBooks()
}

// deadlineWriter records the last write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
	calls    int
}

func (w *deadlineWriter) SetWriteDeadline(at time.Time) error {
	w.deadline = at
	w.calls++
	return nil
}

// Guards against a write deadline that stays set after its request and breaks a
// later answer on the same connection.
func TestWriteDeadlineIsReset(t *testing.T) {
	h := newHarness(t, nil)
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatBody("small", "x", false)))
	r.Header.Set("Authorization", "Bearer "+secret)
	h.entry.Handler().ServeHTTP(w, r)
	if w.Code != 200 || w.calls != 2 || !w.deadline.IsZero() {
		t.Fatalf("status %d, %d deadlines set, the last is %v, want none", w.Code, w.calls, w.deadline)
	}
}

// Guards against a credit, an engine slot or a bill that leaks when the caller
// disconnects.
func TestCallerGoesAway(t *testing.T) {
	h := newHarness(t, nil)
	h.engines["e1"].SetFault(fakes.EngineFault{SlowMillis: 20})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "POST", h.url+"/v1/chat/completions", strings.NewReader(chatBody("small", "x", true)))
	r.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := resp.Body.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	cancel()
	deadline := time.Now().Add(5 * time.Second)
	for h.entry.InProgress() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	h.checkBooks()
	b := h.bill(resp.Header.Get("X-Jackdaw-Request-Id"))
	if b.OutputTokens == 0 || b.OutputTokens == 24 || h.results[0].Outcome != jdaw.OutcomeCancelled {
		t.Fatalf("bill %+v, result %+v", b, h.results[0])
	}
}
