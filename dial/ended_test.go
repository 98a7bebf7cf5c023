package dial_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"jackdawbarrow/dial"
)

// Guards against a request that is written on an idle connection although its
// context has ended.
func TestNothingIsSentAfterTheContext(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	u := startUpstream(t, answer, answer, answer, answer, answer, answer, answer, answer, answer, answer, answer)
	p := dial.New(dial.Config{})
	defer p.Close()
	for range 5 {
		if _, err := u.do(t, p, dial.Request{}); err != nil {
			t.Fatal(err)
		}
		before := u.requests.Load()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := p.Do(ctx, dial.Request{Address: u.addr, Method: http.MethodGet, Target: "/x", Host: "h"})
		time.Sleep(10 * time.Millisecond)
		if err == nil || dial.WasSent(err) || u.requests.Load() != before {
			t.Errorf("error %v, sent %t, %d requests arrived", err, dial.WasSent(err), u.requests.Load()-before)
		}
	}
}

// Guards against a cancelled attempt whose connection is used again, so that the
// rest of its response, or a late copy, reaches another request.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, isRead := range map[string]bool{"after the whole response": true, "before its body is read": false} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, answer, answer)
			p := dial.New(dial.Config{})
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a, err := p.Do(ctx, dial.Request{Address: u.addr, Method: http.MethodGet, Target: "/x", Host: "h"})
			if err != nil {
				t.Fatal(err)
			}
			if isRead {
				if _, err := io.ReadAll(a.Body); err != nil {
					t.Fatal(err)
				}
			}
			cancel()
			a.Close()
			if got, err := u.do(t, p, dial.Request{}); err != nil || got != "ok" || u.accepted.Load() != 2 {
				t.Errorf("got %q, %v on connection %d, want the second", got, err, u.accepted.Load())
			}
		})
	}
}
