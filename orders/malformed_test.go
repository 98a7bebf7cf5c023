package orders

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/fakes"
)

// checkMalformed sends an order to an upstream whose response is malformed. Its
// outcome must be unknown.
func checkMalformed(t *testing.T, malformed http.Handler) {
	t.Helper()
	srv := httptest.NewServer(malformed)
	defer srv.Close()
	n := New(Config{Self: "a", Region: "r", Post: func(jdaw.Event) {}})
	defer n.Close()
	if got := n.send(Order{Address: srv.URL, ValidUntil: time.Now().Add(time.Second)}); got != OrderUnknown {
		t.Errorf("the order is %s, want %s", got, OrderUnknown)
	}
}

// Guards against an order that counts as done or fenced by a status that is none of
// HTTP's.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range fakes.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, fakes.RawText("HTTP/1.1 "+status+" Text\nContent-Length: 2", "{}"))
		})
	}
}

// Guards against an order that counts as done by a response with a malformed field.
func TestInvalidFields(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) { checkMalformed(t, fakes.RawText("HTTP/1.1 200 OK\nNote: x\n"+line, "{}")) })
	}
}
