package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a runner began to work on.
type run struct {
	runner, version string
	method, target  string
	workspace       string
	body            string
	beganAt         time.Time
	endedAt         time.Time // zero while it runs
	isWhole         bool      // the whole answer was written
	status          int
	expected        string // Expect-Instance
}

// runLog records the runs of all runners, by request.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func newRunLog() *runLog { return &runLog{runs: map[string][]*run{}} }

func (l *runLog) begin(id string, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *runLog) end(r *run, isWhole bool, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.endedAt, r.isWhole, r.status = time.Now(), isWhole, status
}

// of returns the runs of a request.
func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, r := range l.runs[id] {
		list = append(list, *r)
	}
	return list
}

// runner is a sound stand-in for a runner. A streaming one takes its number of events
// from the header Length-Hint, the client's estimate, which is exact here.
type runner struct {
	id, service, zone, version string
	slots                      int
	isStreaming                bool
	eventTime                  time.Duration
	workTime                   time.Duration
	log                        *runLog
	address                    string
	born                       int64
	// crashes, if set, reports whether a request ends the process as it begins to
	// write the answer.
	crashes func(q *http.Request) bool
	// crashed is called once when the process ends.
	crashed func(r *runner)

	srv     *http.Server
	mu      sync.Mutex
	running int
	isDead  bool
}

func (r *runner) start() error {
	if r.address == "" {
		r.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.address, r.born = l.Addr().String(), time.Now().UnixMilli()
	r.srv = &http.Server{
		Handler: r, ReadHeaderTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew {
				_ = tcp.SetLinger(0) // a close resets, as it does when a process ends with unread input
			}
		},
	}
	go func() { _ = r.srv.Serve(l) }() // ends with the process, or a crash
	return nil
}

// crash ends the process: all connections are reset, and further ones refused.
func (r *runner) crash() {
	r.mu.Lock()
	isDead := r.isDead
	r.isDead = true
	r.mu.Unlock()
	if !isDead {
		_ = r.srv.Close()
		r.crashed(r)
	}
}

// entry is the entry of the runner in the store.
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": r.born,
	}
}

// take reserves a slot and returns the requests that run.
func (r *runner) take() (running int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return r.running, false
	}
	r.running++
	return r.running, true
}

func (r *runner) free() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// ServeHTTP implements [http.Handler].
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if q.URL.Path == "/health" {
		h.Set("Instance-Id", r.id)
		return
	}
	id := q.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // it came without its end and doesn't run
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running, ok := r.take()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	if !ok {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.free()
	begun := &run{
		runner: r.id, version: r.version, method: q.Method, target: q.RequestURI, workspace: q.Header.Get("Tenant"),
		body: string(body), beganAt: time.Now(), expected: q.Header.Get("Expect-Instance"),
	}
	r.log.begin(id, begun)
	h.Set("Server-Signature", signature(r.id, id))
	if r.isStreaming {
		isWhole := r.stream(w, q, id)
		r.log.end(begun, isWhole, http.StatusOK)
		return
	}
	select {
	case <-time.After(r.workTime):
	case <-q.Context().Done():
		r.log.end(begun, false, 0)
		return
	}
	_, err = io.WriteString(w, "done "+id)
	r.log.end(begun, err == nil, http.StatusOK)
}

// stream writes the events and reports whether all were written.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	events, _ := strconv.Atoi(q.Header.Get("Length-Hint"))
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // absent: from the first
	out := http.NewResponseController(w)
	if r.crashes != nil && r.crashes(q) {
		select {
		case <-time.After(r.eventTime):
			r.crash()
		case <-q.Context().Done():
		}
		return false
	}
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(r.eventTime):
		case <-q.Context().Done():
			return false
		}
		if _, err := io.WriteString(w, event(id, n)); err != nil || out.Flush() != nil {
			return false
		}
	}
	return true
}

func signature(runner, id string) string { return "sig." + runner + "." + id }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }
