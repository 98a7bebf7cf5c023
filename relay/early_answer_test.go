package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/relay"
)

// upload sends a body that doesn't fit into the buffers of the connection to an
// upstream.
func upload(t *testing.T, base string) reply {
	t.Helper()
	return sendBody(t, base, http.MethodPost, "/a/x", strings.Repeat("x", 8<<20), nil)
}

// Guards against an answer that broke off while the request was still being written,
// and that reaches the caller as complete, and against a whole one that is lost.
func TestUploadsAnsweredEarly(t *testing.T) {
	const events = "id: 1\ndata: 1\n\n"
	cases := map[string]struct {
		framing, body string
		isWhole       bool
	}{
		"cut, ends with its connection": {"", events, false},
		"cut, with a length":            {"Content-Length: 100\r\n", events, false},
		"cut, in chunks":                {"Transfer-Encoding: chunked\r\n", "f\r\n" + events + "\r\n", false},
		"whole, with a length":          {"Content-Length: 15\r\n", events, true},
		"whole, in chunks":              {"Transfer-Encoding: chunked\r\n", "f\r\n" + events + "\r\n0\r\n\r\n", true},
	}
	for name, c := range cases {
		early := fakes.Raw(fakes.RawConfig{ResetAfter: 20 * time.Millisecond, Response: func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: u\r\nContent-Type: text/event-stream\r\n%s\r\n%s", r.Header.Get("Id"), c.framing, c.body)
		}})
		for _, kind := range []config.RouteKind{config.RouteSafe, config.RouteUnsafe, config.RouteStreaming} {
			t.Run(name+" "+string(kind), func(t *testing.T) {
				_, base := startUploads(t, kind, early)
				for range 5 {
					switch got := upload(t, base); {
					case c.isWhole && (got.err != nil || got.status != http.StatusOK || got.body != events):
						t.Fatalf("got %d, %v, %q, want the answer", got.status, got.err, got.body)
					case c.isWhole:
					case kind == config.RouteStreaming && got.status == http.StatusOK:
						if got.err == nil {
							t.Fatalf("got %d, %q as a complete stream", got.status, got.body)
						}
					default:
						checkOutcomeUnknown(t, got)
					}
				}
			})
		}
	}
}

// Guards against a caller that doesn't get the answer of a sound upstream after one
// that broke off while the request was being written.
func TestUploadGoesOnToASoundUpstream(t *testing.T) {
	cut := fakes.Raw(fakes.RawConfig{ResetAfter: 20 * time.Millisecond, Response: func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: u\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n", r.Header.Get("Id"))
	}})
	for kind, sound := range map[config.RouteKind]http.HandlerFunc{config.RouteSafe: ok, config.RouteStreaming: streamUntil(8)} {
		t.Run(string(kind), func(t *testing.T) {
			for range 5 {
				_, base := startUploads(t, kind, cut, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					sound(w, r)
				})
				got := upload(t, base)
				if isSound := got.body == "fine" || len(ids(t, got.body)) == 8; got.err != nil || got.status != http.StatusOK || !isSound {
					t.Errorf("got %d, %v, %q", got.status, got.err, got.body)
				}
			}
		})
	}
}

// startUploads serves a relay that takes large bodies.
func startUploads(t *testing.T, kind config.RouteKind, handlers ...http.HandlerFunc) (*deployment, string) {
	t.Helper()
	d, base := startConfigured(t, route(kind), relay.Config{BodyMemory: 64 << 20}, handlers...)
	table := *d.state.Table
	table.Limits.BodyBytes = 16 << 20
	d.state.Table = &table
	return d, base
}
