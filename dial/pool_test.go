package dial_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"jackdawbarrow/dial"
)

// answers returns n responses to requests without an id.
func answers(n int) []string {
	var list []string
	for range n {
		list = append(list, response("1", "ok"))
	}
	return list
}

func awaitOpen(t *testing.T, p *dial.Pool, want int) {
	t.Helper()
	for startedAt := time.Now(); p.Stats().Open != want; time.Sleep(10 * time.Millisecond) {
		if time.Since(startedAt) > 5*time.Second {
			t.Fatalf("%+v after 5 s, want %d open", p.Stats(), want)
		}
	}
}

// Guards against idle connections that stay open until a request asks for them: the
// descriptors of a VM ran out after 215 replaced upstreams.
func TestIdleConnectionsExpireUnasked(t *testing.T) {
	u := startUpstream(t, answers(1)...)
	p := dial.New(dial.Config{IdleTime: 50 * time.Millisecond})
	t.Cleanup(p.Close)
	if _, err := u.do(t, p, dial.Request{}); err != nil {
		t.Fatal(err)
	}
	if got := p.Stats(); got != (dial.Stats{Open: 1, Idle: 1}) {
		t.Fatalf("%+v after the response, want one idle connection", got)
	}
	awaitOpen(t, p, 0)
	if got := p.Stats().Idle; got != 0 {
		t.Errorf("%d idle connections are left", got)
	}
}

// Guards against idle connections that take the descriptors that callers need.
func TestIdleConnectionsAreBoundedOverAll(t *testing.T) {
	p := dial.New(dial.Config{MaxIdle: 3})
	t.Cleanup(p.Close)
	var list []*upstream
	for range 5 {
		u := startUpstream(t, answers(2)...)
		list = append(list, u)
		if _, err := u.do(t, p, dial.Request{}); err != nil {
			t.Fatal(err)
		}
	}
	if got := p.Stats(); got != (dial.Stats{Open: 3, Idle: 3}) {
		t.Errorf("%+v, want three connections", got)
	}
	for i, want := range map[int]int32{0: 2, 4: 1} {
		if _, err := list[i].do(t, p, dial.Request{}); err != nil {
			t.Fatal(err)
		}
		if got := list[i].accepted.Load(); got != want {
			t.Errorf("upstream %d accepted %d connections, want %d: the least recently used are closed", i, got, want)
		}
	}
}

// Guards against a connection that is in use while its upstream leaves, and is kept
// for good after the response.
func TestConnectionInUseOfALeftUpstream(t *testing.T) {
	left, stays := startUpstream(t, answers(1)...), startUpstream(t, answers(2)...)
	p := dial.New(dial.Config{IdleTime: time.Minute})
	t.Cleanup(p.Close)
	if _, err := stays.do(t, p, dial.Request{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, dial.Request{Address: left.addr, Method: http.MethodGet, Target: "/x", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	p.Retain(map[string]bool{stays.addr: true})
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != "ok" {
		t.Errorf("the response in progress: %q, %v", b, err)
	}
	a.Close()
	if got := p.Stats(); got != (dial.Stats{Open: 1, Idle: 1}) {
		t.Errorf("%+v, want the connection to the upstream that stays", got)
	}
	if _, err := stays.do(t, p, dial.Request{}); err != nil || stays.accepted.Load() != 1 {
		t.Errorf("%v; the upstream that stays accepted %d connections, want 1", err, stays.accepted.Load())
	}
}
