package relay_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"jackdawbarrow/config"
)

// Guards against an error that gets into a stream that another upstream began, or
// that ends it as if it were complete.
func TestErrorOfTheNextUpstreamStaysOutOfTheStream(t *testing.T) {
	const text = "error: no such model\n\n"
	answer := func(status int, contentType string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, text)
		}
	}
	cases := map[string]http.HandlerFunc{
		"500":                 answer(http.StatusInternalServerError, "text/plain"),
		"404":                 answer(http.StatusNotFound, "text/plain"),
		"429 without Not-Run": answer(http.StatusTooManyRequests, "application/json"),
		"400 as a stream":     answer(http.StatusBadRequest, "text/event-stream"),
		"200 in plain text":   answer(http.StatusOK, "text/plain"),
		"200 without a type":  answer(http.StatusOK, ""),
		"206":                 answer(http.StatusPartialContent, "text/event-stream"),
		"refused":             shed,
		"connection ends":     hangUp,
		"head inside an event": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror")
		},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(config.RouteStreaming)
			r.MaxAttempts = 2
			isBroken := false
			for range 12 {
				d, base := start(t, r, streamUntil(3), bad)
				got := send(t, base, http.MethodPost, "/a/x", nil)
				if runs := d.arrived(); len(runs) == 0 || !strings.HasPrefix(runs[0], "u0") {
					continue // the stream didn't begin at the first upstream
				}
				isBroken = true
				if got.err == nil || strings.Contains(got.body, "rror") || len(ids(t, got.body)) != 3 {
					t.Fatalf("the stream ends with %v: %q", got.err, got.body)
				}
			}
			if !isBroken {
				t.Error("no stream began at the upstream that breaks it")
			}
			for range 4 {
				r.MaxAttempts = 3
				_, base := start(t, r, streamUntil(3), bad, streamUntil(8))
				got := send(t, base, http.MethodPost, "/a/x", nil)
				if got.status == http.StatusOK && got.err == nil && len(ids(t, got.body)) != 8 && strings.HasPrefix(got.body, "id: 1") {
					t.Fatalf("the stream ends as complete: %q", got.body)
				}
			}
		})
	}
}

// Guards against a long line that is taken for several ones, since it does not fit
// the buffer.
func TestLongLinesOfEvents(t *testing.T) {
	for _, size := range []int{1, eventBufferBytes - 7, eventBufferBytes - 6, eventBufferBytes, 3*eventBufferBytes + 1, 100 << 10} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			want := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\nid: 2\ndata\n\n"
			_, base := start(t, route(config.RouteStreaming), func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, want)
			})
			if got := send(t, base, http.MethodPost, "/a/x", nil); got.err != nil || got.body != want {
				t.Errorf("got %d bytes, %v; want %d", len(got.body), got.err, len(want))
			}
		})
	}
}

// eventBufferBytes is the size of the relay's buffer for events.
const eventBufferBytes = 2 << 10
