package relay_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"jackdawbarrow/config"
)

// hang reads a request and doesn't answer until the connection ends.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server sees the end of the connection only then
	<-r.Context().Done()
}

// Guards against requests that are taken during a planned stop, run, and are cut off
// without an answer at its end.
func TestDrain(t *testing.T) {
	once := route(config.RouteStreaming)
	once.IsResumable = false
	cases := map[string]struct {
		route      config.Route // with a time limit of 5 s
		left       time.Duration
		isAnswered bool
		want       int
		wantRuns   int
	}{
		"unsafe, which may not end in time": {route: route(config.RouteUnsafe), left: time.Second, want: http.StatusServiceUnavailable},
		"a stream that may run once":        {route: once, left: time.Second, want: http.StatusServiceUnavailable},
		"unsafe, with time enough":          {route: route(config.RouteUnsafe), left: 6 * time.Second, isAnswered: true, want: http.StatusOK, wantRuns: 1},
		"safe":                              {route: route(config.RouteSafe), left: time.Second, isAnswered: true, want: http.StatusOK, wantRuns: 1},
		"a stream that may be resumed":      {route: route(config.RouteStreaming), left: time.Second, isAnswered: true, want: http.StatusOK, wantRuns: 1},
		"safe, without an answer":           {route: route(config.RouteSafe), left: 300 * time.Millisecond, want: http.StatusGatewayTimeout, wantRuns: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, c.route, func(w http.ResponseWriter, r *http.Request) {
				if !c.isAnswered {
					hang(w, r)
					return
				}
				writeEvents(1)(w)
			})
			began := time.Now()
			d.relay.Drain(began.Add(c.left))
			got := send(t, base, http.MethodPost, "/a/x", nil)
			if got.status != c.want || len(d.arrived()) != c.wantRuns {
				t.Errorf("got status %d %s and %d runs, want %d and %d", got.status, got.body, len(d.arrived()), c.want, c.wantRuns)
			}
			if got.status == http.StatusServiceUnavailable && (!strings.Contains(got.body, `"code":1303`) || got.header.Get("Retry-After") == "") {
				t.Errorf("refused with %s, Retry-After %q", got.body, got.header.Get("Retry-After"))
			}
			if took := time.Since(began); took > c.left+time.Second {
				t.Errorf("it took %v, the drain ends after %v", took, c.left)
			}
		})
	}
	t.Run("unsafe, in progress at the end", func(t *testing.T) {
		d, base := start(t, route(config.RouteUnsafe), hang)
		time.AfterFunc(100*time.Millisecond, func() { d.relay.Drain(time.Now().Add(200 * time.Millisecond)) })
		if got := send(t, base, http.MethodPost, "/a/x", nil); got.status != http.StatusGatewayTimeout || len(d.arrived()) != 1 {
			t.Errorf("got status %d %s and %d runs, want 504 and one", got.status, got.body, len(d.arrived()))
		}
	})
}
