package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"jackdawbarrow/admin"
	"jackdawbarrow/fakes"
)

// checkMalformed calls an administration API whose response is malformed. Calls
// must fail.
func checkMalformed(t *testing.T, malformed http.Handler) {
	t.Helper()
	srv := httptest.NewServer(malformed)
	defer srv.Close()
	c := admin.NewClient(admin.ClientConfig{Address: srv.URL})
	if _, err := c.Status(context.Background()); err == nil {
		t.Error("the call succeeds")
	}
}

// Guards against a call that succeeds by a status that is none of HTTP's.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range fakes.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, fakes.RawText("HTTP/1.1 "+status+" Text\nContent-Length: 2", "{}"))
		})
	}
}

// Guards against a call that succeeds by a response with a malformed field.
func TestInvalidFields(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) { checkMalformed(t, fakes.RawText("HTTP/1.1 200 OK\nNote: x\n"+line, "{}")) })
	}
}
