package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Guards against durations that don't reach the picker, so that upstreams count
// as equally fast, and against learning from upstreams that state no slowdown.
func TestSpeedsAreLearned(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 6 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		}
	}
	plain := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }
	stating := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Slowdown", "1.5")
			h(w, r)
		}
	}
	cases := map[string]struct {
		kind    config.RouteKind
		handler http.HandlerFunc
		samples uint32 // of 20 requests; the first few are compared with nothing
	}{
		"plain":                {config.RouteSafe, stating(plain), 15},
		"stream":               {config.RouteStreaming, stating(stream), 23}, // first events count half
		"plain, none stated":   {config.RouteSafe, plain, 0},
		"streams, none stated": {config.RouteStreaming, stream, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, route(c.kind), c.handler)
			header := map[string]string{}
			if c.kind == config.RouteStreaming {
				header["Prompt"] = "p"
			}
			for range 20 {
				if got := send(t, base, "POST", "/a/x", header); got.status != http.StatusOK || got.err != nil {
					t.Fatalf("status %d, %v", got.status, got.err)
				}
			}
			got := d.relay.Backlog()[jdaw.UpstreamID("u0").Key()]
			if n := (got.Timed + jdaw.OutcomeUnit/2) / jdaw.OutcomeUnit; n > c.samples || c.samples > 0 && n+3 < c.samples {
				t.Errorf("%d samples, want about %d", n, c.samples)
			}
			if got.Running != 0 {
				t.Errorf("%d requests in flight after the last one", got.Running)
			}
		})
	}
}
