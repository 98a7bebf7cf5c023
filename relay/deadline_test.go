package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow/config"
)

// answersWarm answers requests whose id begins with "warm", and is silent for others.
func answersWarm(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("Id"), "warm") {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
		return
	}
	silent(w, r)
}

// warmUp leaves idle connections to the upstreams.
func warmUp(t *testing.T, base string) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() { send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": fmt.Sprint("warm", i)}) })
	}
	wg.Wait()
}

// Guards against a stream that may run once and is sent again when its deadline
// ends the attempt, on connections that are kept open.
func TestStreamThatRunsOnceAtItsDeadline(t *testing.T) {
	r := route(config.RouteStreaming)
	r.IsResumable, r.MaxAttempts, r.Timeout = false, 1, 300*time.Millisecond
	d, base := start(t, r, answersWarm, answersWarm, answersWarm, answersWarm)
	for i := range 8 {
		warmUp(t, base)
		id := fmt.Sprint("q", i)
		send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": id})
		time.Sleep(20 * time.Millisecond) // a second copy would be under way
		if n := d.arrivedWith(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// Guards against a stream that is abandoned after its last attempt, and so reaches
// more upstreams than the route allows.
func TestAbandonedStreamStaysWithinItsAttempts(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			r := route(config.RouteStreaming)
			r.Target, r.MaxAttempts, r.Timeout = 100*time.Millisecond, attempts, 2500*time.Millisecond
			d, base := start(t, r, answersWarm, answersWarm, answersWarm, answersWarm)
			warmUp(t, base)
			send(t, base, http.MethodPost, "/a/x", nil)
			time.Sleep(20 * time.Millisecond)
			if n := d.arrivedWith("q1"); n != attempts {
				t.Errorf("the stream reached %d upstreams, want %d", n, attempts)
			}
		})
	}
}

// Guards against a stream whose events have no ids and which begins anew in the
// middle, at another upstream.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	half := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("data: 1\n\ndata: 2\n\n"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	d, base := start(t, route(config.RouteStreaming), half, half, half)
	got := send(t, base, http.MethodPost, "/a/x", nil)
	if n := d.arrivedWith("q1"); n != 1 || got.err == nil {
		t.Errorf("%d upstreams sent %q, %v; want one and a broken response", n, got.body, got.err)
	}
}
