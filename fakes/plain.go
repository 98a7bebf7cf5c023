package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// PlainConfig configures a Plain.
type PlainConfig struct {
	Name      string // incarnations are "<name>1", ...; empty means "p"
	Capacity  int    // 0 means 8; more calls at a time are refused
	Delay     time.Duration
	ReportLag time.Duration
	Clock     func() time.Time `json:"-"`
}

// PlainFault is the body of POST /fake/fault. It replaces the faults in force.
type PlainFault struct {
	Break      Break `json:"break,omitempty"` // before, during or after
	Count      int   `json:"count,omitempty"` // calls to break, fail or refuse; 0 means all
	Refuse     bool  `json:"refuse,omitempty"`
	Fail       bool  `json:"fail,omitempty"` // answer 500 after the execution
	SlowMillis int   `json:"slowMillis,omitempty"`
	Leaving    bool  `json:"leaving,omitempty"`
}

// PlainRun is one line of the log: a call that was executed.
type PlainRun struct {
	RequestID string    `json:"requestId"`
	Key       string    `json:"key"` // Idempotency-Key
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
}

// Plain is a stand-in of a plain service. It executes every call that reaches
// it, without looking at the idempotency key, and answers
// {"execution":n,"path":"...","body":"..."}; a GET does not count as an
// execution and answers {"executions":n,"path":"..."}.
type Plain struct {
	cfg PlainConfig
	mux *http.ServeMux

	mu         sync.Mutex
	started    time.Time
	running    int
	executions int
	fault      PlainFault
	faulted    int
	log        []PlainRun
	reports    []LoadReport
}

// NewPlain makes a stand-in plain service.
func NewPlain(cfg PlainConfig) *Plain {
	if cfg.Name == "" {
		cfg.Name = "p"
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = 8
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	p := &Plain{cfg: cfg, started: cfg.Clock(), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /v1/load", p.load)
	p.mux.HandleFunc("POST /fake/fault", p.setFault)
	p.mux.HandleFunc("GET /fake/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Log()) })
	p.mux.HandleFunc("/", p.call)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Log returns the executed calls.
func (p *Plain) Log() []PlainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainRun{}, p.log...)
}

// SetFault replaces the faults in force.
func (p *Plain) SetFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.faulted = 0
}

func (p *Plain) call(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	fault := p.fault
	if fault.Count > 0 {
		if p.faulted >= fault.Count {
			fault = PlainFault{Leaving: fault.Leaving}
		}
		p.faulted++
	}
	full := p.running >= p.cfg.Capacity
	if !full {
		p.running++
	}
	p.measure()
	p.mu.Unlock()
	if full {
		writeFakeError(w, http.StatusServiceUnavailable, "service is at its capacity", true)
		return
	}
	defer p.done()
	breakBeforeRun(fault.Break, r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if fault.Leaving {
		w.Header().Set(headerLeaving, "true")
	}
	if fault.Refuse || fault.Leaving {
		writeFakeError(w, http.StatusServiceUnavailable, "service takes no calls", true)
		return
	}
	number := p.execute(r, string(body))
	time.Sleep(p.cfg.Delay + time.Duration(fault.SlowMillis)*time.Millisecond)
	switch {
	case fault.Break == BreakAfter:
		panic(http.ErrAbortHandler)
	case fault.Fail:
		writeFakeError(w, http.StatusInternalServerError, "failed by a fault", false)
	case r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, map[string]any{"executions": number, "path": r.URL.Path})
	default:
		writeJSON(w, http.StatusOK, map[string]any{"execution": number, "path": r.URL.Path, "body": string(body)})
	}
}

func (p *Plain) execute(r *http.Request, body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method != http.MethodGet {
		p.executions++
	}
	p.log = append(p.log, PlainRun{
		RequestID: r.Header.Get(headerRequestID), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Body: body, At: p.cfg.Clock(),
	})
	return p.executions
}

func (p *Plain) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.measure()
}

func (p *Plain) measure() {
	now := p.cfg.Clock()
	p.reports = append(p.reports, LoadReport{
		Incarnation: fmt.Sprintf("%s1", p.cfg.Name), UptimeSeconds: now.Sub(p.started).Seconds(),
		Running: p.running, Capacity: p.cfg.Capacity, Versions: []string{}, Leaving: p.fault.Leaving, MeasuredAt: now,
	})
	const kept = 4096
	if len(p.reports) > 2*kept {
		p.reports = append([]LoadReport(nil), p.reports[kept:]...)
	}
}

func (p *Plain) load(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.measure()
	limit := p.cfg.Clock().Add(-p.cfg.ReportLag)
	report := p.reports[0]
	for _, rep := range p.reports {
		if rep.MeasuredAt.After(limit) {
			break
		}
		report = rep
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (p *Plain) setFault(w http.ResponseWriter, r *http.Request) {
	var f PlainFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeFakeError(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	p.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}
