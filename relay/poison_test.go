package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// poisonLog records what a relay reports, and quarantines one part.
type poisonLog struct {
	mu          sync.Mutex
	crashes     []jdaw.Crash
	answers     []string
	quarantined string
}

func (p *poisonLog) Crashed(_ time.Time, c jdaw.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, c)
}

func (p *poisonLog) Answered(_ time.Time, service string, parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(parts) > 0 {
		p.answers = append(p.answers, service+" "+strings.Join(parts, ","))
	}
}

func (p *poisonLog) Find(at time.Time, service string, parts []string) (jdaw.Quarantine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range parts {
		if id == p.quarantined {
			return jdaw.Quarantine{Part: jdaw.NewSuspectPart(service, id), Service: service, Until: at.Add(time.Minute)}, true
		}
	}
	return jdaw.Quarantine{}, false
}

// writeEvents writes the first events of an answer.
func writeEvents(n int) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		for i := range n {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against crashes in the middle of an answer that are not reported, or whose
// prompt counts as answered by its first events, and against failures of other
// kinds that count as crashes.
func TestCrashesBeforeTheEndOfAnAnswerAreReported(t *testing.T) {
	cases := map[string]struct {
		end                    func(w http.ResponseWriter) // of an upstream
		stops                  bool                        // the process ends as well
		completes              bool                        // the answer is whole
		isLeaving, isGone      bool                        // by the list of upstreams when it ends
		wantCrash, wantAnswers int
	}{
		"crash before the head":                        {end: func(http.ResponseWriter) {}, stops: true, wantCrash: 1},
		"crash in the first event":                     {end: func(w http.ResponseWriter) { _, _ = w.Write([]byte("id: 1\nda")) }, stops: true, wantCrash: 1},
		"crash after the first event":                  {end: writeEvents(1), stops: true, wantCrash: 1},
		"crash after the fifth event":                  {end: writeEvents(5), stops: true, wantCrash: 1},
		"crash after the whole answer":                 {end: writeEvents(3), stops: true, completes: true, wantAnswers: 1},
		"a whole answer":                               {end: writeEvents(3), completes: true, wantAnswers: 1},
		"a connection that ends":                       {end: func(http.ResponseWriter) {}},
		"a stream that ends":                           {end: func(w http.ResponseWriter) { _, _ = w.Write([]byte("id: 1\nda")) }},
		"a stream that ends after the first event":     {end: writeEvents(1)},
		"a planned end of the process":                 {end: writeEvents(1), stops: true, isLeaving: true},
		"a planned end of a process without its entry": {end: writeEvents(1), stops: true, isGone: true},
		"a planned end announced in the answer": {end: func(w http.ResponseWriter) {
			w.Header().Set("Leaving", "1")
			writeEvents(1)(w)
		}, stops: true},
		"a failure of the upstream": {end: func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, completes: true},
		"a failure cut by a crash": {
			end: func(w http.ResponseWriter) {
				w.Header().Set("Content-Length", "9")
				w.WriteHeader(http.StatusNotFound)
				_, _ = w.Write([]byte("no"))
				_ = http.NewResponseController(w).Flush()
			}, stops: true, wantCrash: 1,
		},
		"a refusal before a crash ends": {end: func(w http.ResponseWriter) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, stops: true, completes: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(config.RouteStreaming)
			r.MaxAttempts = 1
			log := &poisonLog{}
			var d *deployment
			d, url := startWith(t, r, log, func(w http.ResponseWriter, _ *http.Request) {
				if c.isLeaving {
					u := d.State().Upstreams["s"][0]
					u.Leaving = true
					d.withUpstreams([]fleet.Upstream{u})
				}
				if c.isGone {
					d.withUpstreams(nil)
				}
				c.end(w)
				if c.stops {
					_ = d.listeners[0].Close()
				}
				if !c.completes {
					panic(http.ErrAbortHandler)
				}
			})
			send(t, url, http.MethodPost, "/a/b", map[string]string{"Prompt": "doc"})
			log.mu.Lock()
			defer log.mu.Unlock()
			if len(log.crashes) != c.wantCrash || len(log.answers) != c.wantAnswers {
				t.Fatalf("%d crashes and answers %q are reported, want %d and %d", len(log.crashes), log.answers, c.wantCrash, c.wantAnswers)
			}
			// The protocol of the tests takes the request's id for its own part.
			wantParts := []jdaw.SuspectPart{jdaw.NewSuspectPart("s", "doc"), jdaw.NewSuspectPart("s", "q1")}
			for _, answer := range log.answers {
				if answer != "s doc,q1" {
					t.Errorf("an answer to %q is reported", answer)
				}
			}
			for _, crash := range log.crashes {
				if crash.Service != "s" || !slices.Equal(crash.Parts, wantParts) || !crash.Ended.After(crash.Sent) {
					t.Errorf("reported %+v", crash)
				}
			}
		})
	}
}

// Guards against a request with a quarantined part that reaches an upstream or is
// told to come back before the quarantine ends, and against one that is called
// not run after an upstream has crashed with it.
func TestQuarantinedPartReachesNoUpstream(t *testing.T) {
	log := &poisonLog{quarantined: "doc"}
	d, url := startWith(t, route(config.RouteStreaming), log, func(w http.ResponseWriter, _ *http.Request) { writeEvents(1)(w) })
	got := send(t, url, http.MethodPost, "/a/b", map[string]string{"Prompt": "doc"})
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"code":1314`) || err != nil || after < 59 || after > 61 {
		t.Errorf("answered %d %s, Retry-After %q", got.status, got.body, got.header.Get("Retry-After"))
	}
	if n := len(d.arrived()); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
	log.mu.Lock()
	log.quarantined = "q1" // the last part, which repeats of the prompt have
	log.mu.Unlock()
	if got := send(t, url, http.MethodPost, "/a/b", map[string]string{"Prompt": "other"}); got.status != http.StatusServiceUnavailable || len(d.arrived()) != 0 {
		t.Errorf("a request whose last part is quarantined is answered %d", got.status)
	}
	log.mu.Lock()
	log.quarantined = "doc"
	log.mu.Unlock()
	if got := send(t, url, http.MethodPost, "/a/b", map[string]string{"Prompt": "other"}); got.status != http.StatusOK {
		t.Errorf("a request without the part is answered %d", got.status)
	}

	log = &poisonLog{}
	d, url = startWith(t, route(config.RouteStreaming), log, func(http.ResponseWriter, *http.Request) {
		log.mu.Lock()
		log.quarantined = "doc"
		log.mu.Unlock()
		panic(http.ErrAbortHandler)
	}, ok)
	d.state.Upstreams["s"] = d.state.Upstreams["s"][:1]
	got = send(t, url, http.MethodPost, "/a/b", map[string]string{"Prompt": "doc"})
	if got.status != http.StatusBadGateway || len(d.arrived()) != 1 {
		t.Errorf("after a crash answered %d, %d requests arrived", got.status, len(d.arrived()))
	}
}

// Guards against prompts of plain requests whose crashes and answers no VM hears
// of.
func TestPlainRequestsWithPromptsAreReported(t *testing.T) {
	cases := map[string]struct {
		stops                  bool
		wantCrash, wantAnswers int
	}{
		"answered": {wantAnswers: 1},
		"crash":    {stops: true, wantCrash: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(config.RouteSafe)
			r.MaxAttempts = 1
			log := &poisonLog{}
			var d *deployment
			d, url := startWith(t, r, log, func(w http.ResponseWriter, r *http.Request) {
				if c.stops {
					_ = d.listeners[0].Close()
					panic(http.ErrAbortHandler)
				}
				ok(w, r)
			})
			send(t, url, http.MethodPost, "/a/b", map[string]string{"Prompt": "doc"})
			log.mu.Lock()
			defer log.mu.Unlock()
			if len(log.crashes) != c.wantCrash || len(log.answers) != c.wantAnswers {
				t.Errorf("%d crashes and answers %q are reported, want %d and %d", len(log.crashes), log.answers, c.wantCrash, c.wantAnswers)
			}
		})
	}
}
