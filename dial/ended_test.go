package dial_test

import (
	"context"
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
