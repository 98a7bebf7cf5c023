package relay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
)

// raw sends a text for each request, in which %s is the request's id, and closes
// the connection.
func raw(text string) http.HandlerFunc {
	return fakes.Raw(fakes.RawConfig{Response: func(r *http.Request) string { return fmt.Sprintf(text, r.Header.Get("Id")) }})
}

// checkOutcomeUnknown fails unless the reply is the relay's own and says that the
// request may have run.
func checkOutcomeUnknown(t *testing.T, got reply) {
	t.Helper()
	var p struct {
		Code jdaw.Code `json:"code"`
		Ran  jdaw.Ran  `json:"ran"`
	}
	err := json.Unmarshal([]byte(got.body), &p)
	if got.err != nil || got.status != http.StatusBadGateway || err != nil || p.Code != jdaw.CodeOutcomeUnknown || p.Ran != jdaw.OutcomeUnknown {
		t.Errorf("got %d, %v, %q, header %v; want %d with an unknown outcome", got.status, got.err, got.body, got.header, http.StatusBadGateway)
	}
}

// checkMalformed sends requests of each kind of route to an upstream whose response
// is malformed, alone and beside a sound one. The callers must get the answer of the
// sound one, or learn that the request may have run.
func checkMalformed(t *testing.T, malformed http.HandlerFunc) {
	t.Helper()
	for _, kind := range []config.RouteKind{config.RouteSafe, config.RouteUnsafe, config.RouteStreaming} {
		t.Run(string(kind), func(t *testing.T) {
			r := route(kind)
			_, base := start(t, r, malformed)
			checkOutcomeUnknown(t, send(t, base, http.MethodPost, "/a/x", nil))
			sound, isSound := http.HandlerFunc(ok), func(got reply) bool { return got.body == "fine" }
			if kind == config.RouteStreaming {
				sound, isSound = streamUntil(8), func(got reply) bool { return len(ids(t, got.body)) == 8 }
			}
			for range 4 {
				d, base := start(t, r, malformed, sound)
				got := send(t, base, http.MethodPost, "/a/x", nil)
				switch {
				case kind == config.RouteUnsafe && len(d.arrived()) > 1:
					t.Errorf("the request ran at %v", d.arrived())
				case got.err == nil && got.status == http.StatusOK && isSound(got):
				case kind == config.RouteUnsafe:
					checkOutcomeUnknown(t, got)
				default:
					t.Errorf("beside a sound upstream: got %d, %v, %q", got.status, got.err, got.body)
				}
			}
		})
	}
}

// Guards against a response whose status is none of HTTP's that reaches the caller
// as an answer, as a closed connection, or as a refusal.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range fakes.InvalidStatuses {
		for name, field := range map[string]string{"signed": "", "refusal": "Not-Run: 1\r\n"} {
			t.Run(status+" "+name, func(t *testing.T) {
				checkMalformed(t, raw("HTTP/1.1 "+status+" Text\r\nId: %s\r\nSigned: u\r\n"+field+"Content-Length: 4\r\n\r\ntext"))
			})
		}
	}
}

// Guards against rejecting a status that HTTP allows but does not name.
func TestUnnamedStatuses(t *testing.T) {
	cases := map[string]struct {
		kind   config.RouteKind
		status int
	}{
		"safe":             {config.RouteSafe, 299},
		"unsafe":           {config.RouteUnsafe, 209},
		"unsafe, rejected": {config.RouteUnsafe, 499},
		"unsafe, failed":   {config.RouteUnsafe, 599},
		"streaming":        {config.RouteStreaming, 418},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, base := start(t, route(c.kind), raw(fmt.Sprintf("HTTP/1.1 %d Text\r\nId: %%s\r\nSigned: u\r\nContent-Length: 4\r\n\r\ntext", c.status)))
			if got := send(t, base, http.MethodPost, "/a/x", nil); got.status != c.status || got.body != "text" {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// Guards against a response with a malformed field that reaches the caller as an
// answer, with the line passed on or with a body that the line frames.
func TestInvalidFields(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		for where, head := range map[string]string{
			"last":    "Id: %s\r\nSigned: u\r\n" + line,
			"between": "Id: %s\r\n" + line + "\r\nSigned: u",
			"first":   line + "\r\nId: %s\r\nSigned: u",
			"refusal": "Id: %s\r\nSigned: u\r\nNot-Run: 1\r\n" + line,
		} {
			status := "200 OK"
			if where == "refusal" {
				status = "503 Full"
			}
			t.Run(name+" "+where, func(t *testing.T) {
				checkMalformed(t, raw("HTTP/1.1 "+status+"\r\n"+head+"\r\n\r\nid: 1\ndata: 1\n\n"))
			})
		}
	}
}

// Guards against chunks of HTTP/1.0, which has none, that reach the caller with their
// marks as a body.
func TestChunksOfHTTP10(t *testing.T) {
	checkMalformed(t, raw("HTTP/1.0 200 OK\r\nId: %s\r\nSigned: u\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n"))
}

// Guards against bytes of a rejected response that reach the caller in the error's
// message, and against a log without them.
func TestErrorsQuoteNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"status":       "HTTP/1.1 000 Quoted\r\nId: %s\r\n",
		"status line":  "Quoted\r\nId: %s\r\n",
		"blank":        "HTTP/1.1 200 OK\r\nId: %s\r\nQuoted Name: x\r\n",
		"control byte": "HTTP/1.1 200 OK\r\nId: %s\r\nQuoted\x01: x\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			d, base := start(t, route(config.RouteUnsafe), raw(head+"\r\ntext"))
			got := send(t, base, http.MethodPost, "/a/x", nil)
			checkOutcomeUnknown(t, got)
			if strings.Contains(got.body, "Quoted") {
				t.Errorf("the caller got %q", got.body)
			}
			isLogged := false
			for _, e := range d.log.AllEntries() {
				cause, _ := e.Data["cause"].(string)
				isLogged = isLogged || strings.Contains(cause, "Quoted")
			}
			if !isLogged {
				t.Error("the log doesn't say what was wrong")
			}
		})
	}
}
