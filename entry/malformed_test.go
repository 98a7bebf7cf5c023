package entry_test

import (
	"net/http"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/fakes"
)

// checkMalformed sends chats and calls to upstreams of which the first one's
// responses are malformed. Callers must get the answer of the sound one, or learn
// that the request may have run.
func checkMalformed(t *testing.T, malformed http.Handler) {
	t.Helper()
	h := newHarness(t, nil)
	address := h.serve(malformed)
	for i, u := range h.doc.Upstreams {
		if u.ID == "e1" || u.ID == "p1" {
			h.doc.Upstreams[i].Address = address
		}
	}
	h.adopt()
	for name, q := range map[string]struct {
		path, body   string
		isRepeatable bool
	}{
		"chat":            {"/v1/chat/completions", chatBody("small@v1", "p", false), true},
		"stream":          {"/v1/chat/completions", chatBody("small@v1", "p", true), true},
		"idempotent call": {"/v1/services/desk/lookup/7", "{}", true},
		"call":            {"/v1/services/desk/disqualify", "{}", false},
	} {
		got := h.do("POST", q.path, q.body)
		if q.isRepeatable {
			if got.status != http.StatusOK {
				t.Errorf("%s: got %d %q, want the answer of the other upstream", name, got.status, got.body)
			}
			continue
		}
		if code, ran := got.code(t); got.status != http.StatusBadGateway || code != jdaw.CodeOutcomeUnknown || ran != jdaw.OutcomeUnknown {
			t.Errorf("%s: got %d %q, want an unknown outcome", name, got.status, got.body)
		}
	}
	h.checkBooks()
}

// Guards against a response whose status is none of HTTP's that reaches the caller
// as an answer, as a closed connection, or as a refusal.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range fakes.InvalidStatuses {
		for name, field := range map[string]string{"answer": "", "refusal": "\nX-Not-Run: true"} {
			t.Run(status+" "+name, func(t *testing.T) {
				checkMalformed(t, fakes.RawText("HTTP/1.1 "+status+" Text\nContent-Length: 4"+field, "text"))
			})
		}
	}
}

// Guards against a response with a malformed field that reaches the caller as an
// answer, with the line passed on or with a body that the line frames.
func TestInvalidFields(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) {
			checkMalformed(t, fakes.RawText("HTTP/1.1 200 OK\nContent-Type: text/plain\n"+line, "text"))
		})
	}
}
