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
)

// desk is an upstream of 4 slots that states its slowdown.
type desk struct {
	running atomic.Int32
	hold    chan struct{}

	mu   sync.Mutex
	most int32 // requests at once
}

// deskPlaces is the number of requests that a VM without others sends to it at once.
const deskPlaces = 6

func newDesk() *desk { return &desk{hold: make(chan struct{})} }

func (u *desk) serve(w http.ResponseWriter, r *http.Request) {
	n := u.running.Add(1)
	defer u.running.Add(-1)
	u.mu.Lock()
	u.most = max(u.most, n)
	u.mu.Unlock()
	w.Header().Set("Slowdown", "1")
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Quick") == "" {
		select {
		case <-u.hold:
		case <-r.Context().Done():
		}
	}
	_, _ = io.WriteString(w, "fine")
}

// sendMany sends n requests at once and returns their replies.
func sendMany(t *testing.T, base string, n int, header map[string]string) func() []reply {
	t.Helper()
	replies := make([]reply, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := map[string]string{"Id": fmt.Sprint("many", i)}
			for name, value := range header {
				h[name] = value
			}
			replies[i] = send(t, base, http.MethodPost, "/a/x", h)
		}()
	}
	return func() []reply {
		wg.Wait()
		return replies
	}
}

func eventually(t *testing.T, what string, isSo func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !isSo(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Guards against requests that pile up at an upstream, are lost in the queue, or run
// more than once; and against a queue for a service that states no slowdown.
func TestQueue(t *testing.T) {
	t.Run("off", func(t *testing.T) {
		u := newDesk()
		d, base := start(t, route(config.RouteUnsafe), func(w http.ResponseWriter, r *http.Request) {
			u.serve(w, r)
		})
		replies := sendMany(t, base, 12, nil)
		eventually(t, "12 requests don't reach the upstream", func() bool { return len(d.arrived()) == 12 })
		close(u.hold)
		replies()
	})
	t.Run("on", func(t *testing.T) {
		u := newDesk()
		d, base := start(t, route(config.RouteUnsafe), u.serve)
		send(t, base, http.MethodPost, "/a/x", map[string]string{"Quick": "1"})
		replies := sendMany(t, base, 20, nil)
		eventually(t, "4 slots aren't used", func() bool { return u.running.Load() >= 4 })
		time.Sleep(50 * time.Millisecond)
		close(u.hold)
		for i, got := range replies() {
			if id := fmt.Sprint("many", i); got.status != http.StatusOK || d.arrivedWith(id) != 1 {
				t.Errorf("%s: status %d %s, arrived %d times", id, got.status, got.body, d.arrivedWith(id))
			}
		}
		if u.most > deskPlaces {
			t.Errorf("%d requests at once at 4 slots", u.most)
		}
	})
}

// Guards against a caller who waits for what can't be served in time, and against a
// refusal that isn't true or says nothing about its reason.
func TestQueueRefuses(t *testing.T) {
	u := newDesk()
	d, base := start(t, route(config.RouteUnsafe), u.serve)
	send(t, base, http.MethodPost, "/a/x", map[string]string{"Quick": "1"})
	replies := sendMany(t, base, deskPlaces, nil)
	eventually(t, "the places aren't used", func() bool { return u.running.Load() == deskPlaces })
	began := time.Now()
	got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "late", "Wait": "300"})
	if got.status != http.StatusTooManyRequests || !strings.Contains(got.body, `"code":1305`) || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s, Retry-After %q", got.status, got.body, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 400*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	close(u.hold)
	replies()
	if d.arrivedWith("late") != 0 {
		t.Error("a refused request ran")
	}
	found := false
	for _, e := range d.log.AllEntries() {
		if e.Data["request"] == "late" && e.Data["queueCause"] != nil && e.Data["queueSlots"] == 4 {
			found = true
		}
	}
	if !found {
		t.Error("the log doesn't say why the request was refused")
	}
}

// Guards against a planned stop that waits for requests in the queue or leaves them
// without an answer.
func TestQueueInDrain(t *testing.T) {
	u := newDesk()
	d, base := start(t, route(config.RouteSafe), u.serve)
	send(t, base, http.MethodPost, "/a/x", map[string]string{"Quick": "1"})
	running := sendMany(t, base, deskPlaces, nil)
	eventually(t, "the places aren't used", func() bool { return u.running.Load() == deskPlaces })
	waiting := sendMany(t, base, 3, map[string]string{"Id": "waits"})
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	d.relay.Drain(began.Add(2 * time.Second))
	for _, got := range waiting() {
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"code":1303`) {
			t.Errorf("got %d %s", got.status, got.body)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("it took %v", took)
	}
	if d.arrivedWith("waits") != 0 {
		t.Error("a refused request ran")
	}
	close(u.hold)
	for _, got := range running() {
		if got.status != http.StatusOK {
			t.Errorf("got %d %s", got.status, got.body)
		}
	}
}

// Guards against a caller who left while waiting and is served, or keeps a place.
func TestQueueCallerLeaves(t *testing.T) {
	u := newDesk()
	d, base := start(t, route(config.RouteUnsafe), u.serve)
	send(t, base, http.MethodPost, "/a/x", map[string]string{"Quick": "1"})
	running := sendMany(t, base, deskPlaces, nil)
	eventually(t, "the places aren't used", func() bool { return u.running.Load() == deskPlaces })
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/a/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "left")
	req.Header.Set("Key", "k")
	time.AfterFunc(50*time.Millisecond, cancel)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Errorf("answered with %d", resp.StatusCode)
	}
	time.Sleep(50 * time.Millisecond)
	close(u.hold)
	running()
	again := sendMany(t, base, deskPlaces, nil)
	for _, got := range again() {
		if got.status != http.StatusOK {
			t.Errorf("got %d %s", got.status, got.body)
		}
	}
	if d.arrivedWith("left") != 0 {
		t.Error("the request of a caller who left was sent")
	}
}

// Guards against places that are never given back by requests that get one while the
// VM begins to shut down, and are refused then: later requests would find no room.
func TestRefusedInDrainKeepsNoPlace(t *testing.T) {
	u := newDesk()
	close(u.hold)
	d, base := start(t, route(config.RouteUnsafe), u.serve)
	send(t, base, http.MethodPost, "/a/x", nil)
	var rests []*io.PipeWriter
	statuses := make(chan int, deskPlaces)
	for i := range deskPlaces {
		body, rest := io.Pipe()
		rests = append(rests, rest)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/a/x", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Id", fmt.Sprint("long", i))
		req.Header.Set("Key", "k")
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
		if _, err := io.WriteString(rest, "bo"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond) // the relay reads the bodies
	d.relay.Drain(time.Now().Add(2 * time.Second))
	for _, rest := range rests {
		_ = rest.Close()
	}
	for range deskPlaces {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Fatalf("status %d for a request that may last longer than the VM", status)
		}
	}
	got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "short", "Wait": "1000"})
	if got.status != http.StatusOK {
		t.Errorf("got %d %s for a request that ends before the VM does", got.status, got.body)
	}
}
