package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"jackdawbarrow/config"
)

// unframed answers with neither a length nor chunks. The body ends with the
// connection, which is closed or reset.
func unframed(contentType string, isReset bool, body func(resume int) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		resume, _ := strconv.Atoi(r.Header.Get("Resume"))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: u\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("Id"), contentType, body(resume))
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// unframedEvents returns the events after the resume point, and tail.
func unframedEvents(until int, tail string) func(int) string {
	return func(resume int) string {
		text := ""
		for n := resume + 1; n <= until; n++ {
			text += fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
		}
		return text + tail
	}
}

// Guards against an answer without a length or chunks that was broken off and
// reaches the caller as complete, and against one that is complete and fails.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	stream := func(until int, tail string, isReset bool) http.HandlerFunc {
		return unframed("text/event-stream", isReset, unframedEvents(until, tail))
	}
	plain := func(isReset bool) http.HandlerFunc {
		return unframed("text/plain", isReset, func(int) string { return strings.Repeat("x", 100) })
	}
	cases := map[string]struct {
		kind        config.RouteKind
		handler     http.HandlerFunc
		wantWhole   bool // without another upstream
		wantResumed bool // by another upstream
	}{
		"whole stream":                {config.RouteStreaming, stream(8, "", false), true, false},
		"ends inside an event":        {config.RouteStreaming, stream(3, "id: 4\nda", false), false, true},
		"ends before the blank line":  {config.RouteStreaming, stream(3, "id: 4\ndata: 4\n", false), false, true},
		"reset between two events":    {config.RouteStreaming, stream(3, "", true), false, true},
		"ends before the first event": {config.RouteStreaming, stream(0, "", false), false, true},
		"whole body":                  {config.RouteSafe, plain(false), true, false},
		"reset after a part":          {config.RouteSafe, plain(true), false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(c.kind)
			d, base := start(t, r, c.handler)
			got := send(t, base, http.MethodPost, "/a/x", nil)
			isWhole := got.err == nil && got.status == http.StatusOK
			if isWhole != c.wantWhole {
				t.Errorf("alone: status %d, %v, %q after %v", got.status, got.err, got.body, d.arrived())
			}
			if !c.wantResumed {
				return
			}
			for range 4 {
				_, base = start(t, r, c.handler, streamUntil(8))
				got = send(t, base, http.MethodPost, "/a/x", nil)
				if n := len(ids(t, got.body)); got.err != nil || n != 8 {
					t.Fatalf("with another upstream: %d events, %v: %q", n, got.err, got.body)
				}
			}
		})
	}
}
