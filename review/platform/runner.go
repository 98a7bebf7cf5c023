package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two entries of a runner.
const heartbeat = 1200 * time.Millisecond

// run is a request that a runner began to work on.
type run struct {
	at      time.Time
	id      string // of the request
	runner  string
	service string
	isBad   bool // has the part on which runners crash
}

// runLog holds the runs of all runners.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns the runs in their order.
func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// runnerConfig configures a runner.
type runnerConfig struct {
	id, service, zone, version string
	slots                      int
	work                       time.Duration // of a request
	events                     int           // of a stream; 0 for plain answers
	cold                       time.Duration // after the start
	// hangs, if set, says that a request is run and never answered.
	hangs func(id string) bool
	// crashesOn is a part of a prompt. Once the first event of an answer on it is
	// written, crashed is called, which ends the runner.
	crashesOn string
	crashed   func(u *runner)
}

// runner stands in for a runner of a service.
type runner struct {
	cfg      runnerConfig
	rec      *record
	store    *store
	log      *runLog
	address  string
	srv      *http.Server
	slots    chan struct{}
	waiting  atomic.Int32
	born     time.Time
	stop     context.CancelFunc
	mu       sync.Mutex
	state    string
	sequence int
}

func (d *deployment) startRunner(cfg runnerConfig) (*runner, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(d.ip(0), "0"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	u := &runner{
		cfg: cfg, rec: d.rec, store: d.store, log: d.runs, address: l.Addr().String(), slots: make(chan struct{}, cfg.slots),
		born: time.Now(), stop: stop, state: "ready",
	}
	u.srv = &http.Server{Handler: u, IdleTimeout: 6 * time.Second}
	go func() { _ = u.srv.Serve(l) }() // ends with the runner
	d.mu.Lock()
	d.runners = append(d.runners, u)
	d.mu.Unlock()
	u.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				u.beat()
			}
		}
	}()
	return u, nil
}

func (u *runner) coldLeft() time.Duration { return max(u.cfg.cold-time.Since(u.born), 0) }

// beat writes the runner's entry.
func (u *runner) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		return
	}
	u.sequence++
	u.store.put("servers/"+u.cfg.id, map[string]any{
		"service": u.cfg.service, "address": u.address, "zone": u.cfg.zone, "version": u.cfg.version, "slots": u.cfg.slots,
		"state": u.state, "coldRemainingMs": u.coldLeft().Milliseconds(), "sequence": u.sequence, "born": u.born.UnixMilli(),
	})
}

// leave reports draining, serves for the time, and ends.
func (u *runner) leave(drain time.Duration) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.beat()
	time.Sleep(drain)
	u.end()
	u.store.remove("servers/" + u.cfg.id)
}

// end ends the process of the runner.
func (u *runner) end() {
	u.stop()
	u.mu.Lock()
	u.state = ""
	u.mu.Unlock()
	_ = u.srv.Close()
}

// ServeHTTP implements [http.Handler].
func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Keep-Alive", "timeout=6")
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(u.slots), u.waiting.Load(), u.cfg.slots))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", u.cfg.id)
		h.Set("Cold-Ms", strconv.FormatInt(u.coldLeft().Milliseconds(), 10))
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.cfg.id {
		h.Set("Instance-Id", u.cfg.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // cut off, so it does not run
	}
	limit := 60 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	if !u.admit(ctx) {
		u.rec.add("%s does not run %s: full, or its deadline has passed in the queue", u.cfg.id, id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	isBad := u.cfg.crashesOn != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), u.cfg.crashesOn)
	u.log.add(run{at: time.Now(), id: id, runner: u.cfg.id, service: u.cfg.service, isBad: isBad})
	u.rec.add("%s runs %s, Deadline-Ms %s", u.cfg.id, id, r.Header.Get("Deadline-Ms"))
	h.Set("Server-Signature", "sig."+u.cfg.id+"."+id)
	switch {
	case u.cfg.hangs != nil && u.cfg.hangs(id):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case u.cfg.events > 0:
		u.stream(ctx, w, r, id, isBad)
	default:
		u.plain(ctx, w, len(body))
	}
}

// admit waits for a slot; a few requests may wait for each.
func (u *runner) admit(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if int(u.waiting.Load()) >= 4*u.cfg.slots {
		return false
	}
	u.waiting.Add(1)
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *runner) plain(ctx context.Context, w http.ResponseWriter, size int) {
	select {
	case <-time.After(u.cfg.work):
		_, _ = fmt.Fprintf(w, "%s answers %d bytes", u.cfg.id, size) // the caller may be gone
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// stream sends the events that follow Last-Event-Id.
func (u *runner) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, isBad bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: from the first
	pause := u.cfg.work / time.Duration(u.cfg.events)
	for n := last + 1; n <= u.cfg.events; n++ {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n); err != nil || rc.Flush() != nil {
			return
		}
		if isBad {
			u.cfg.crashed(u)
			panic(http.ErrAbortHandler)
		}
	}
}
