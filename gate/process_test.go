package gate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/fleet"
)

// memoryStore is an in-memory ChangeStore; leases end only by EndLease.
type memoryStore struct {
	mu      sync.Mutex
	changes []jdaw.Change
	down    bool
}

func (s *memoryStore) add(key string, value []byte, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, jdaw.Change{Key: key, Value: value, Revision: uint64(len(s.changes) + 1), Removed: removed})
}

func (s *memoryStore) Load(ctx context.Context) ([]jdaw.Change, uint64, error) {
	c, rev, err := s.Changes(ctx, 0, 0)
	return c, rev, err
}

func (s *memoryStore) Changes(ctx context.Context, after uint64, wait time.Duration) ([]jdaw.Change, uint64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		down, n := s.down, uint64(len(s.changes))
		list := append([]jdaw.Change(nil), s.changes[min(after, n):]...)
		s.mu.Unlock()
		if down {
			return nil, 0, errors.New("store unavailable")
		}
		if len(list) > 0 || ctx.Err() != nil || time.Now().After(end) {
			return list, n, ctx.Err()
		}
	}
}

func (s *memoryStore) PutIf(context.Context, string, []byte, uint64, string) (bool, error) {
	return false, nil
}

func (s *memoryStore) Put(_ context.Context, entries []jdaw.Entry, _ string) error {
	for _, e := range entries {
		s.add(e.Key, e.Value, false)
	}
	return nil
}
func (s *memoryStore) Lease(context.Context, time.Duration) (string, error) { return "1", nil }
func (s *memoryStore) RenewLease(context.Context, string) (bool, error)     { return true, nil }
func (s *memoryStore) EndLease(context.Context, string) error {
	s.add("jdaw/vm/vm1", nil, true)
	return nil
}
func (s *memoryStore) setDown(down bool) { s.mu.Lock(); defer s.mu.Unlock(); s.down = down }

// codec decodes the keys "table" and "upstream", the address of an upstream.
type codec struct{}

func (codec) DecodeChange(c jdaw.Change) (jdaw.Event, error) {
	switch c.Key {
	case "table":
		t := config.RouteTable{Revision: jdaw.Revision(c.Revision), Services: map[string]config.ServiceSpec{"s": {Name: "s"}}}.WithRoutes([]config.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: config.RouteSafe, Timeout: 5 * time.Second, MaxAttempts: 2,
			Shares: []config.ServiceShare{{Service: "s", Weight: 1}},
		}, {
			Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Kind: config.RouteStreaming, IsResumable: true, Timeout: 25 * time.Second, MaxAttempts: 2,
			Shares: []config.ServiceShare{{Service: "s", Weight: 1}},
		}})
		return fleet.RoutesSeen{Table: &t}, nil
	case "upstream":
		return fleet.UpstreamSeen{Upstream: fleet.Upstream{ID: "u", Service: "s", Address: string(c.Value), Version: "v1", Slots: 4, Revision: c.Revision}}, nil
	}
	return nil, nil
}

func (codec) EncodeRollout(string, string, fleet.RolloutState) (string, []byte, error) {
	return "", nil, nil
}

func (codec) Paths() (string, string) { return "/directory", "/ready" }

func (codec) EncodeAddresses(addresses []string, _ time.Duration) ([]byte, error) {
	return json.Marshal(addresses)
}
func (codec) ReadCall(h http.Header) (jdaw.Call, error) { return jdaw.Call{ID: h.Get("Id")}, nil }
func (codec) WriteAttempt(http.Header, jdaw.Attempt)    {}
func (codec) ReadAnswer(int, http.Header) jdaw.Answer {
	return jdaw.Answer{IsSigned: true, Confidence: -1}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := fakes.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func startProcess(t *testing.T, upstream http.HandlerFunc) (*Process, *memoryStore) {
	t.Helper()
	srv := httptest.NewServer(upstream)
	t.Cleanup(srv.Close)
	st := &memoryStore{}
	st.add("table", nil, false)
	st.add("upstream", []byte(srv.Listener.Addr().String()), false)
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := New(Config{
		Settings: config.RelaySettings{
			VM: "vm1", DataCentre: "oban", Region: "west", DataCentres: map[jdaw.DataCentre]jdaw.Region{"oban": "west"},
			Listen: config.RelayAddresses{Callers: freeAddr(t), Directory: freeAddr(t), Ready: freeAddr(t), Metrics: freeAddr(t)},
		},
		Store: st, Decoder: codec{}, Encoder: codec{}, Protocol: codec{}, Directory: codec{}, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	s := p.cfg.Settings.Listen
	for startedAt := time.Now(); get(s.Ready, "/ready") != http.StatusOK || get(s.Directory, "/directory") != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Since(startedAt) > 5*time.Second {
			t.Fatal("not ready after 5 s")
		}
	}
	return p, st
}

// get returns the response status, or 0 without a response.
func get(addr, path string) int {
	c := http.Client{Timeout: 5 * time.Second}
	resp, err := c.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a drain that aborts a request in flight, rejects callers with a
// stale directory response, or leaves the VM in the directory.
func TestDrain(t *testing.T) {
	started := make(chan struct{}, 1)
	p, _ := startProcess(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started <- struct{}{}
			time.Sleep(1200 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "fine")
	})
	s := p.cfg.Settings.Listen
	long := make(chan int, 1)
	go func() { long <- get(s.Callers, "/long") }()
	<-started
	drained := make(chan struct{})
	go func() { p.Drain(3 * time.Second); close(drained) }()
	time.Sleep(200 * time.Millisecond)
	if got := get(s.Ready, "/ready"); got != http.StatusServiceUnavailable {
		t.Errorf("the readiness probe returned %d during the drain", got)
	}
	if got := get(s.Directory, "/directory"); got == http.StatusOK {
		t.Error("the directory still lists the draining VM")
	}
	if got := get(s.Callers, "/short"); got != http.StatusOK {
		t.Errorf("a late request got status %d", got)
	}
	if got := <-long; got != http.StatusOK {
		t.Errorf("the request in flight ended with status %d", got)
	}
	select {
	case <-drained:
	case <-time.After(4 * time.Second):
		t.Error("the drain took longer than the grace time")
	}
}

// Guards against a VM that stops serving or reporting ready because the store is
// unavailable.
func TestStoreOutage(t *testing.T) {
	p, st := startProcess(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	st.setDown(true)
	time.Sleep(time.Second)
	s := p.cfg.Settings.Listen
	if get(s.Ready, "/ready") != http.StatusOK || get(s.Callers, "/x") != http.StatusOK || get(s.Directory, "/directory") != http.StatusOK {
		t.Error("the VM doesn't serve without the store")
	}
}

// Guards against metrics that are not served.
func TestMetrics(t *testing.T) {
	p, _ := startProcess(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	s := p.cfg.Settings.Listen
	if get(s.Callers, "/x") != http.StatusOK {
		t.Fatal("the request failed")
	}
	resp, err := http.Get("http://" + s.Metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, _ := io.ReadAll(resp.Body); !strings.Contains(string(b), "relay_requests") || !strings.Contains(string(b), "relay_duration") {
		t.Errorf("request metrics are missing: %s", b)
	}
}
