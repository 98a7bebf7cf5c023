package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
	"jackdawbarrow/relay"
)

// hedgedUpstreams are two upstreams that answer usual requests after a short time.
// For a request whose id begins with "slow", first and second serve its two first
// arrivals.
type hedgedUpstreams struct {
	slowdown      string
	first, second http.HandlerFunc
	cancelled     atomic.Int32 // requests whose connection was closed while they ran
	mu            sync.Mutex
	arrivals      map[string]int
}

func (u *hedgedUpstreams) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if u.slowdown != "" {
		w.Header().Set("Slowdown", u.slowdown)
	}
	id := r.Header.Get("Id")
	if !strings.HasPrefix(id, "slow") {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	u.mu.Lock()
	u.arrivals[id]++
	n := u.arrivals[id]
	u.mu.Unlock()
	switch n {
	case 1:
		u.first(w, r)
	case 2:
		u.second(w, r)
	default:
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// hang waits until its connection is closed.
func (u *hedgedUpstreams) hang(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
	u.cancelled.Add(1)
}

// learnFrom is a number of answers from which the usual time is learned.
const learnFrom = 48

func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Id"))
}

func startHedged(t *testing.T, r config.Route, cfg relay.Config, u *hedgedUpstreams) (*deployment, string) {
	t.Helper()
	u.arrivals = map[string]int{}
	return startConfigured(t, r, cfg, u.serve, u.serve)
}

// sendUsual sends requests from which the usual time is learned, and which add to
// the share of hedges.
func sendUsual(t *testing.T, base, round string, n int) {
	t.Helper()
	for i := range n {
		id := fmt.Sprintf("usual-%s-%d", round, i)
		if got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": id}); got.status != http.StatusOK || got.body != "answer to "+id {
			t.Fatalf("%s got %+v", id, got)
		}
	}
}

// hedgesOf returns the log lines about hedges of a request by message.
func (d *deployment) hedgesOf(id string) map[string]string {
	found := map[string]string{}
	for _, e := range d.log.AllEntries() {
		if e.Data["request"] == id && strings.HasPrefix(e.Message, "hedge ") {
			found[e.Message] = fmt.Sprint(e.Data["result"])
		}
	}
	return found
}

// Guards against a late answer that the caller waits for although another upstream
// would answer, a first attempt that goes on at its upstream, an answer of one
// request that reaches another, and answers that the guard counts twice.
func TestHedgeCutsALateAnswerShort(t *testing.T) {
	u := &hedgedUpstreams{slowdown: "1.5", second: answer}
	u.first = u.hang
	d, base := startHedged(t, route(config.RouteSafe), relay.Config{HedgeShare: 0.25}, u)
	sendUsual(t, base, "learn", learnFrom)
	const rounds = 5
	for i := range rounds {
		id := fmt.Sprint("slow-", i)
		got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": id})
		if got.status != http.StatusOK || got.body != "answer to "+id {
			t.Errorf("%s got %+v", id, got)
		}
		if h := d.hedgesOf(id); h["hedge ended"] != "won" || d.arrivedWith(id) != 2 {
			t.Errorf("%s: %v, %d arrivals; want a hedge that won, and two", id, h, d.arrivedWith(id))
		}
		sendUsual(t, base, id, 12)
	}
	eventually(t, "the late attempts are cancelled", func() bool { return u.cancelled.Load() == rounds })
	if n := len(d.counted()); n != learnFrom+rounds*13 {
		t.Errorf("the guard counted %d answers of %d requests", n, learnFrom+rounds*13)
	}
}

// Guards against a second run of what may run once, and against hedges where the
// operator, the upstreams or a roll-out forbid them.
func TestNoHedge(t *testing.T) {
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(250 * time.Millisecond)
		answer(w, r)
	}
	cases := map[string]struct {
		kind     config.RouteKind
		share    float64
		slowdown string
		attempts int
		change   func(st *fleet.State)
	}{
		"unsafe":             {config.RouteUnsafe, 0.25, "1.5", 3, nil},
		"no share set":       {config.RouteSafe, 0, "1.5", 3, nil},
		"no slowdown stated": {config.RouteSafe, 0.25, "", 3, nil},
		"one attempt":        {config.RouteSafe, 0.25, "1.5", 1, nil},
		"in a roll-out": {config.RouteSafe, 0.25, "1.5", 3, func(st *fleet.State) {
			st.Rollouts = map[string]fleet.Rollout{"s": {Version: "v2"}}
		}},
		"no second upstream": {config.RouteSafe, 0.25, "1.5", 3, func(st *fleet.State) {
			st.Upstreams["s"] = st.Upstreams["s"][:1]
		}},
		"second upstream cold": {config.RouteSafe, 0.25, "1.5", 3, func(st *fleet.State) {
			for i := range st.Upstreams["s"] {
				st.Upstreams["s"][i].ColdUntil = time.Now().Add(time.Hour)
			}
		}},
		"second upstream leaving": {config.RouteSafe, 0.25, "1.5", 3, func(st *fleet.State) { st.Upstreams["s"][1].Leaving = true }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := &hedgedUpstreams{slowdown: c.slowdown, first: late, second: answer}
			r := route(c.kind)
			r.MaxAttempts = c.attempts
			d, base := startHedged(t, r, relay.Config{HedgeShare: c.share}, u)
			if c.change != nil {
				c.change(d.state)
			}
			sendUsual(t, base, "learn", learnFrom)
			got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "slow"})
			if n := d.arrivedWith("slow"); n != 1 || got.status != http.StatusOK {
				t.Errorf("%d arrivals, got %+v", n, got)
			}
			if h := d.hedgesOf("slow"); len(h) > 0 {
				t.Errorf("hedged: %v", h)
			}
		})
	}
}

// Guards against a failure that reaches the caller while the other attempt of the
// request can still answer, and against more attempts than the route allows when
// both fail.
func TestHedgeAndFailures(t *testing.T) {
	after := func(d time.Duration, then http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(d)
			then(w, r)
		}
	}
	const late, later = 150 * time.Millisecond, 300 * time.Millisecond
	cases := map[string]struct {
		first, second http.HandlerFunc
		arrivals      int
		status        int
		result        string
	}{
		"first wins":             {after(late, answer), after(later, answer), 2, http.StatusOK, "wasted"},
		"hedge wins":             {after(later, answer), answer, 2, http.StatusOK, "won"},
		"first crashes":          {after(late, hangUp), after(later, answer), 2, http.StatusOK, "won"},
		"hedge crashes":          {after(later, answer), after(late, hangUp), 2, http.StatusOK, "wasted"},
		"hedge refused":          {after(later, answer), shed, 2, http.StatusOK, "wasted"},
		"both fail, one more":    {after(late, failed), failed, 3, http.StatusOK, "wasted"},
		"both crash, one more":   {after(late, hangUp), hangUp, 3, http.StatusOK, "wasted"},
		"first cut, hedge whole": {after(late, cut), after(later, answer), 2, http.StatusOK, "won"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := &hedgedUpstreams{slowdown: "1.5", first: c.first, second: c.second}
			d, base := startHedged(t, route(config.RouteSafe), relay.Config{HedgeShare: 0.25}, u)
			sendUsual(t, base, "learn", learnFrom)
			got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "slow"})
			if got.status != c.status || got.body != "answer to slow" || d.arrivedWith("slow") != c.arrivals {
				t.Errorf("got %+v after %d arrivals, want %d", got, d.arrivedWith("slow"), c.arrivals)
			}
			if h := d.hedgesOf("slow"); h["hedge ended"] != c.result {
				t.Errorf("hedge %v, want %s", h, c.result)
			}
		})
	}
}

// Guards against hedges, over many late answers, beyond the operator's share.
func TestHedgesStayWithinTheShare(t *testing.T) {
	const share, requests = 0.1, 200
	u := &hedgedUpstreams{slowdown: "1.5", second: answer}
	u.first = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(40 * time.Millisecond)
		answer(w, r)
	}
	d, base := startHedged(t, route(config.RouteSafe), relay.Config{HedgeShare: share}, u)
	sendUsual(t, base, "learn", requests/2)
	for i := range requests / 2 {
		send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": fmt.Sprint("slow-", i)})
	}
	sent := 0
	for _, e := range d.log.AllEntries() {
		if e.Message == "hedge sent" {
			sent++
		}
	}
	if float64(sent) > share*requests || sent == 0 {
		t.Errorf("%d hedges of %d requests, the share is %.2f", sent, requests, share)
	}
	// A hedge whose first attempt answers meanwhile is cancelled, also before it arrives.
	if extra := len(d.arrived()) - requests; extra > sent {
		t.Errorf("%d arrivals beyond the first, %d hedges", extra, sent)
	}
}

// Guards against memory for bodies that cancelled attempts keep, until no request
// can be served.
func TestCancelledAttemptsFreeTheirMemory(t *testing.T) {
	u := &hedgedUpstreams{slowdown: "1.5", second: answer}
	u.first = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = w.Write(make([]byte, 150_000))
		w.(http.Flusher).Flush()
		u.hang(w, r)
	}
	d, base := startHedged(t, route(config.RouteSafe), relay.Config{HedgeShare: 0.25, BodyMemory: 1 << 20}, u)
	sendUsual(t, base, "learn", learnFrom)
	for i := range 12 {
		id := fmt.Sprint("slow-", i)
		if got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": id}); got.status != http.StatusOK {
			t.Fatalf("%s got %+v, hedge %v", id, got, d.hedgesOf(id))
		}
		sendUsual(t, base, id, 12)
	}
}

// Guards against attempts that go on at their upstreams, or further ones that are
// sent, after the caller has left or the deadline has passed while two run.
func TestHedgeEndsWithItsRequest(t *testing.T) {
	cases := map[string]struct {
		timeout  time.Duration // of the route
		patience time.Duration // of the caller
		status   int
	}{
		"deadline":      {800 * time.Millisecond, 10 * time.Second, http.StatusGatewayTimeout},
		"caller leaves": {10 * time.Second, 500 * time.Millisecond, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := &hedgedUpstreams{slowdown: "1.5"}
			u.first, u.second = u.hang, u.hang
			r := route(config.RouteSafe)
			r.Timeout = c.timeout
			d, base := startHedged(t, r, relay.Config{HedgeShare: 0.25}, u)
			sendUsual(t, base, "learn", learnFrom)
			ctx, cancel := context.WithTimeout(context.Background(), c.patience)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/a/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Id", "slow")
			req.Header.Set("Key", "k")
			status := 0
			if resp, err := http.DefaultClient.Do(req); err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
			if status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			eventually(t, "both attempts are cancelled", func() bool { return u.cancelled.Load() == 2 })
			if n := d.arrivedWith("slow"); n != 2 {
				t.Errorf("%d arrivals, want 2", n)
			}
		})
	}
}
