package demo

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"jackdawbarrow/fakes"
)

const completeAnswer = `{"choices":[{"message":{"content":"fine"}}]}`

// checkMalformed sends a request to a VM whose response is malformed. It must fail.
func checkMalformed(t *testing.T, malformed http.Handler) {
	t.Helper()
	srv := httptest.NewServer(malformed)
	defer srv.Close()
	c := NewCaller([]string{srv.URL})
	c.Fixed = true
	reply, err := c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"})
	if err == nil {
		t.Errorf("got %+v as an answer", reply)
	}
}

// Guards against a caller of the proofs that takes a response with a status that is
// none of HTTP's for an answer.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range fakes.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, fakes.RawText("HTTP/1.1 "+status+" Text", completeAnswer))
		})
	}
}

// Guards against a caller of the proofs that takes a response with a malformed field
// for an answer.
func TestInvalidFields(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) {
			checkMalformed(t, fakes.RawText("HTTP/1.1 200 OK\nNote: x\n"+line, completeAnswer))
		})
	}
}
