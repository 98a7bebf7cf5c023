package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/metric"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Defaults of Config.
const (
	defaultMaxBody      = 4 << 20
	defaultWait         = 30 * time.Second
	defaultListTTL      = 5 * time.Second
	defaultListTTLExtra = 2 * time.Second
	defaultRateTimeout  = 500 * time.Millisecond
	defaultBodyTimeout  = 30 * time.Second
	// settleTimeout bounds how long an answer is held until its bill is
	// settled. The ledger closes bills that were never settled.
	settleTimeout = 5 * time.Second
	// writeSlack is added to the deadline for writing an answer to a slow
	// caller.
	writeSlack = 10 * time.Second
)

// KeyIssuer is the VM that issued an idempotency key.
type KeyIssuer struct {
	VM          jdaw.VMID
	Incarnation jdaw.Incarnation
	Self        bool // this process issued it
}

// Forwarded is a keyed request that is sent to the VM that issued its key.
type Forwarded struct {
	Workspace   jdaw.WorkspaceID
	Key         string
	Method      string
	Path        string // with the query
	Outlet      string
	ContentType string
	Body        []byte
}

// ForwardAnswer is the issuing VM's answer to a forwarded request.
type ForwardAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	RequestID   jdaw.RequestID
}

// Config configures an Entry. Rater, Planner, Learner, Recorder, IssueKey,
// VerifyKey, Forward, OnDrain, Meter, Log and Clock are optional.
type Config struct {
	VM         jdaw.VMID
	DataCentre jdaw.DataCentre
	Region     jdaw.Region

	Credits  jdaw.Credits
	Ledger   jdaw.Ledger
	Claims   jdaw.Claims
	Engine   jdaw.Engine
	Service  jdaw.Service
	Rater    jdaw.Rater
	Planner  jdaw.Planner
	Learner  jdaw.Learner
	Views    jdaw.ViewSource
	Config   config.Source
	Recorder jdaw.Recorder
	Clock    jdaw.Clock
	Meter    metric.Meter
	Log      *logrus.Entry

	// IssueKey returns a new idempotency key issued by this VM.
	IssueKey func(w jdaw.WorkspaceID) (string, error)
	// VerifyKey returns the issuing VM of a key; issued is false for a key
	// that the caller made up. A forged key is an error with CodeKeyUnknown.
	VerifyKey func(w jdaw.WorkspaceID, key string) (home KeyIssuer, issued bool, err error)
	// Forward sends a request to the VM that issued its key. The outcome is
	// unknown after an error whose code does not mean "not run".
	Forward func(ctx context.Context, home KeyIssuer, q Forwarded) (ForwardAnswer, error)
	// OnDrain is called at the start of a drain, so that other VMs remove this
	// one from their entry lists.
	OnDrain func()

	MaxBodyBytes int64         // 0 means 4 MiB
	DefaultWait  time.Duration // deadline of requests without an outlet; 0 means 30 s
	ListTTL      time.Duration // cache lifetime of the entry list at callers; 0 means 5 s
	ListTTLExtra time.Duration // grace period after ListTTL in a drain; 0 means 2 s
	RateTimeout  time.Duration // 0 means 500 ms
	BodyTimeout  time.Duration // for reading a request body; 0 means 30 s
}

// drainState is the progress of a drain.
type drainState int32

const (
	serving   drainState = iota
	leaving              // not on the entry list, still accepting
	refusing             // rejecting new requests
	drainPoll = 5 * time.Millisecond
)

// Entry serves the HTTP API for callers.
type Entry struct {
	cfg        Config
	handler    http.Handler
	metrics    metrics
	budgets    sync.Map // jdaw.PoolID to *retryBudget
	rotation   atomic.Uint64
	state      atomic.Int32
	drainOnce  sync.Once
	inProgress atomic.Int64
	background conc.WaitGroup // ratings after the answer
}

// New returns an Entry.
func New(cfg Config) *Entry {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	setDefault(&cfg.DefaultWait, defaultWait)
	setDefault(&cfg.ListTTL, defaultListTTL)
	setDefault(&cfg.ListTTLExtra, defaultListTTLExtra)
	setDefault(&cfg.RateTimeout, defaultRateTimeout)
	setDefault(&cfg.BodyTimeout, defaultBodyTimeout)
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxBody
	}
	e := &Entry{cfg: cfg, metrics: newMetrics(cfg.Meter)}
	e.handler = e.routes()
	return e
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Handler returns the handler of the API.
func (e *Entry) Handler() http.Handler { return e.handler }

// InProgress returns the number of requests in flight.
func (e *Entry) InProgress() int { return int(e.inProgress.Load()) }

// routes disables redirects: the caller's client would send a redirected POST
// twice, and a cleaned path could match the prefix of a different call.
func (e *Entry) routes() http.Handler {
	rt := httprouter.New()
	rt.RedirectFixedPath = false
	rt.RedirectTrailingSlash = false
	rt.HandleOPTIONS = false
	rt.POST("/v1/chat/completions", e.admitted(e.chat))
	rt.GET("/v1/models", e.admitted(e.models))
	rt.POST("/v1/keys", e.admitted(e.issueKey))
	rt.POST("/v1/services/:service/*path", e.admitted(e.callService))
	rt.GET("/v1/services/:service/*path", e.admitted(e.callService))
	rt.GET("/v1/entries", e.entries)
	rt.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeBody(w, http.StatusOK, "text/plain", []byte("ok\n"))
	})
	rt.GET("/readyz", e.ready)
	rt.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", jdaw.Fail(jdaw.CodeNoRoute, "the API has no path %q", r.URL.Path))
	})
	rt.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", jdaw.Fail(jdaw.CodeMethodNotAllowed, "%s does not support %s", r.URL.Path, r.Method))
	})
	return rt
}

type snapshotHandler func(w http.ResponseWriter, r *http.Request, p httprouter.Params, snap *config.Snapshot)

// admitted counts the request as in flight and rejects it if the VM accepts no
// new requests. It increments the counter before it reads the drain state, so
// that Drain either sees the request or the request sees the drain.
func (e *Entry) admitted(h snapshotHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		e.inProgress.Add(1)
		e.metrics.progress(r.Context(), 1)
		defer func() {
			// net/http would apply the write deadline to the next request on
			// the connection, too.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
			e.metrics.progress(r.Context(), -1)
			e.inProgress.Add(-1)
		}()
		snap, err := e.admission()
		if err != nil {
			e.refuse(w, r, "", "", err)
			return
		}
		if drainState(e.state.Load()) != serving {
			w.Header().Set("Connection", "close")
		}
		h(w, r, p, snap)
	}
}

// admission returns the current snapshot if the VM accepts new requests.
func (e *Entry) admission() (*config.Snapshot, error) {
	if drainState(e.state.Load()) == refusing {
		return nil, jdaw.Fail(jdaw.CodeDraining, "this VM is shutting down").WithRetryAfter(1)
	}
	snap := e.cfg.Config.Snapshot()
	if snap == nil {
		return nil, jdaw.Fail(jdaw.CodeNoConfiguration, "this VM has no configuration yet").WithRetryAfter(1)
	}
	view := e.cfg.Views.View()
	if view == nil || view.Isolated {
		return nil, jdaw.Fail(jdaw.CodeIsolated, "this VM reaches no other VM")
	}
	if snap.IsOut(e.cfg.DataCentre) {
		return nil, jdaw.Fail(jdaw.CodeDataCentreOut, "data centre %q has been taken out of service", e.cfg.DataCentre)
	}
	return snap, nil
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if drainState(e.state.Load()) != serving {
		writeError(w, "", jdaw.Fail(jdaw.CodeDraining, "this VM is shutting down"))
		return
	}
	if _, err := e.admission(); err != nil {
		writeError(w, "", err)
		return
	}
	writeBody(w, http.StatusOK, "text/plain", []byte("ready\n"))
}

// Drain removes this VM from the entry list, accepts requests until every
// cached list has expired, then rejects new ones and returns when the last
// request has ended. Further calls wait as well.
func (e *Entry) Drain(ctx context.Context) error {
	e.drainOnce.Do(func() {
		e.state.Store(int32(leaving))
		if e.cfg.OnDrain != nil {
			e.cfg.OnDrain()
		}
	})
	if !jdaw.Sleep(ctx, e.cfg.ListTTL+e.cfg.ListTTLExtra) {
		return ctx.Err()
	}
	e.state.Store(int32(refusing))
	for e.inProgress.Load() > 0 {
		if !jdaw.Sleep(ctx, drainPoll) {
			return ctx.Err()
		}
	}
	e.background.Wait()
	return nil
}

func (e *Entry) record(name string, id jdaw.RequestID, w jdaw.WorkspaceID, upstream jdaw.UpstreamID, text string) {
	if e.cfg.Recorder == nil {
		return
	}
	e.cfg.Recorder.Record(jdaw.TimelineEvent{
		Name: name, RequestID: id, Workspace: w, Upstream: upstream, DataCentre: e.cfg.DataCentre, Text: text,
	})
}
