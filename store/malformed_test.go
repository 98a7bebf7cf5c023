package store_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"jackdawbarrow/fakes"
)

// checkMalformed calls a key-value service whose responses are malformed. Calls must
// fail, since it is unknown whether they took effect.
func checkMalformed(t *testing.T, malformed http.Handler) {
	t.Helper()
	c, _ := start(t, malformed)
	ctx := context.Background()
	for name, call := range map[string]func() error{
		"read":    func() error { _, _, err := c.Get(ctx, "k"); return err },
		"list":    func() error { _, err := c.List(ctx, "k"); return err },
		"write":   func() error { _, err := c.Put(ctx, "k", []byte("v"), 0); return err },
		"lease":   func() error { _, err := c.Lease(ctx, "k", 10*time.Second); return err },
		"renewal": func() error { _, err := c.RenewLease(ctx, "l"); return err },
	} {
		if call() == nil {
			t.Errorf("%s: the call succeeds", name)
		}
	}
}

// Guards against a write that counts as done by a status that is none of HTTP's.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range fakes.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, fakes.RawText("HTTP/1.1 "+status+" Text\nContent-Length: 4", "true"))
		})
	}
}

// Guards against a write that counts as done by a response with a malformed field.
func TestInvalidFields(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) { checkMalformed(t, fakes.RawText("HTTP/1.1 200 OK\nNote: x\n"+line, "true")) })
	}
}
