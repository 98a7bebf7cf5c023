package relay_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"jackdawbarrow/config"
)

// answerAfter answers a request with two events, the second one after d.
func answerAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(d)
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	}
}

// Guards against requests that a stopping VM accepts although answers of their route
// take longer than it has left: they were cut off, or failed after they had run.
func TestDrainRefusesWhatItCannotFinish(t *testing.T) {
	const left = 500 * time.Millisecond
	cases := map[string]struct {
		kind config.RouteKind
		took time.Duration
		want int
	}{
		"a long stream":  {config.RouteStreaming, 2 * left, http.StatusServiceUnavailable},
		"a short stream": {config.RouteStreaming, left / 10, http.StatusOK},
		"long, safe":     {config.RouteSafe, 2 * left, http.StatusServiceUnavailable},
		"short, safe":    {config.RouteSafe, left / 10, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, route(c.kind), answerAfter(c.took))
			if got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "before"}); got.status != http.StatusOK {
				t.Fatalf("status %d before the stop", got.status)
			}
			began := time.Now()
			d.relay.Drain(began.Add(left))
			got := send(t, base, http.MethodPost, "/a/x", nil)
			took := time.Since(began)
			wantRuns := 0
			if c.want == http.StatusOK {
				wantRuns = 1
			}
			if got.status != c.want || got.err != nil || d.arrivedWith("q1") != wantRuns {
				t.Errorf("status %d (%v) and %d runs, want %d and %d", got.status, got.err, d.arrivedWith("q1"), c.want, wantRuns)
			}
			if c.want != http.StatusOK && (took > left || !strings.Contains(got.body, `"code":1303`) || got.header.Get("Retry-After") == "") {
				t.Errorf("refused after %s with %s, Retry-After %q", took, got.body, got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against requests whose header came before the stop of the VM and which it
// dispatches afterwards: once their body is there, or once an upstream refused them.
func TestDrainRefusesWhatItHasNotDispatched(t *testing.T) {
	const left = 500 * time.Millisecond
	for _, kind := range []config.RouteKind{config.RouteSafe, config.RouteUnsafe, config.RouteStreaming} {
		t.Run("body/"+string(kind), func(t *testing.T) {
			d, base := start(t, route(kind), answerAfter(2*left))
			send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "before"})
			body, rest := io.Pipe()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/a/x", body)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Id", "q1")
			req.Header.Set("Key", "k")
			time.AfterFunc(100*time.Millisecond, func() {
				d.relay.Drain(time.Now().Add(left))
				_, _ = io.WriteString(rest, "body")
				_ = rest.Close()
			})
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable || d.arrivedWith("q1") != 0 {
				t.Errorf("status %d and %d runs, want 503 and none", resp.StatusCode, d.arrivedWith("q1"))
			}
		})
		t.Run("refused/"+string(kind), func(t *testing.T) {
			var d *deployment
			refuse := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") != "q1" {
					answerAfter(2*left)(w, r)
					return
				}
				if d.arrivedWith("q1") == 1 {
					d.relay.Drain(time.Now().Add(left))
				}
				shed(w, r)
			}
			d, base := start(t, route(kind), refuse, refuse)
			send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "before"})
			got := send(t, base, http.MethodPost, "/a/x", nil)
			if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"code":1303`) || d.arrivedWith("q1") != 1 {
				t.Errorf("status %d %s and %d upstreams asked, want 503 of a stopping VM and one", got.status, got.body, d.arrivedWith("q1"))
			}
		})
	}
}
