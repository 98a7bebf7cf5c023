package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/dial"
	"jackdawbarrow/fleet"
	"jackdawbarrow/relay"
)

// Guards against connections to upstreams that have left and stay open: after 215
// replaced upstreams, a VM had no descriptors left and took no new connection.
func TestConnectionsToReplacedUpstreams(t *testing.T) {
	const upstreams, live, atOnce = 500, 4, 4
	pool := dial.New(dial.Config{IdleTime: time.Minute})
	t.Cleanup(pool.Close)
	x := relay.New(relay.Config{Self: "vm", Pool: pool})
	descriptors := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	before := descriptors()
	var servers []*httptest.Server
	var st fleet.State
	for i := range upstreams {
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) }))
		servers = append(servers, srv)
		list := append([]fleet.Upstream(nil), st.Upstreams["s"]...)
		list = append(list, fleet.Upstream{ID: jdaw.UpstreamID(fmt.Sprint("u", i)), Service: "s", Address: srv.Listener.Addr().String()})
		st = fleet.State{Upstreams: map[string][]fleet.Upstream{"s": list[max(len(list)-live, 0):]}}
		x.Forget(&st)
		var wg sync.WaitGroup
		for range atOnce {
			wg.Go(func() { exchange(t, pool, srv.Listener.Addr().String()) })
		}
		wg.Wait()
		if len(servers) > live {
			servers[0].Close()
			servers = servers[1:]
		}
	}
	// The servers run in this process: each connection has two ends.
	if got, limit := descriptors()-before, live*(2*atOnce+1)+10; got > limit {
		t.Errorf("%d descriptors more than at the start, want %d at most for %d live upstreams", got, limit, live)
	}
	for _, srv := range servers {
		srv.Close()
	}
}

// exchange sends a request, again while no connection is made in time.
func exchange(t *testing.T, pool *dial.Pool, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := pool.Do(ctx, dial.Request{Address: addr, Method: http.MethodGet, Target: "/", Host: "h"})
	for err != nil && !dial.WasSent(err) && ctx.Err() == nil {
		a, err = pool.Do(ctx, dial.Request{Address: addr, Method: http.MethodGet, Target: "/", Host: "h"})
	}
	if err != nil {
		t.Error(err)
		return
	}
	defer a.Close()
	if _, err := io.ReadAll(a.Body); err != nil {
		t.Error(err)
	}
}
