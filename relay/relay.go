package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/dial"
	"jackdawbarrow/fleet"
	"jackdawbarrow/intake"
)

const (
	// responseMargin is subtracted from the caller's deadline for network latency.
	responseMargin = 20 * time.Millisecond
	// defaultTimeout is used if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
)

// Fleet provides the state of the deployment.
type Fleet interface {
	State() *fleet.State
	// IsCurrent reports whether the store's changes are read without undue lag.
	IsCurrent() bool
	// Count records the outcome of a request during a roll-out.
	Count(o fleet.Outcome)
}

// Config configures a Relay.
type Config struct {
	Self     jdaw.VMID
	Fleet    Fleet
	Protocol jdaw.CallProtocol
	Pool     *dial.Pool
	Planner  jdaw.Planner
	Learner  jdaw.Learner
	// Backlogs may be nil; then only this VM's requests count as load.
	Backlogs Backlogs
	// Poison may be nil; then no prompt part is kept from upstreams.
	Poison Poison
	// Demand returns the demand of workspaces at other VMs; may be nil.
	Demand func() jdaw.Demand
	// IsOn reports whether plain requests for a service are queued at the VM. By
	// default, they are once an upstream of the service has stated its slowdown.
	IsOn func(service string) bool
	// MaxWaiting is the number of requests that may wait for one service; 0 takes
	// the default.
	MaxWaiting int
	// QualityTarget is the confidence, 0..1, that a response must reach.
	QualityTarget float64
	// RankEscalations lets escalations of urgent routes go before those of others,
	// whatever the length of their prompts.
	RankEscalations bool
	// BodyMemory bounds the bodies of all requests and responses that are held at
	// once, in bytes; 0 takes the default.
	BodyMemory int64
	// HedgeShare is the share of a service's plain requests for which a second
	// upstream may be asked before the first has answered; 0 for none.
	HedgeShare float64
	Metrics    *Metrics
	Log        logrus.FieldLogger
}

// Relay forwards requests. It implements [http.Handler].
type Relay struct {
	cfg              Config
	picker           *picker
	retryBudget      *retryBudget
	eventTimesByKind *eventTimesByKind
	abandonBudget    *tokenBucket
	prefillRates     *prefillRates
	hedges           *hedges
	memory           *memoryBudget
	admission        *admission
	answerTimes      *answerTimes
	drain            atomic.Pointer[drain] // nil until the VM is stopped
	stopped          context.Context       // ends with the drain
	stop             context.CancelFunc
}

// New returns a relay.
func New(cfg Config) *Relay {
	stopped, stop := context.WithCancel(context.Background())
	x := &Relay{
		stopped: stopped, stop: stop,
		cfg: cfg, picker: newPicker(cfg.Self, cfg.Backlogs), retryBudget: newRetryBudget(), eventTimesByKind: newEventTimesByKind(),
		abandonBudget: newAbandonBudget(), prefillRates: newPrefillRates(), memory: newMemoryBudget(cfg.BodyMemory),
		hedges: newHedges(cfg.HedgeShare), answerTimes: newAnswerTimes(),
	}
	x.admission = newAdmission(cfg, x.picker)
	return x
}

// Forget drops the state of removed upstreams and closes the connections to them.
func (x *Relay) Forget(st *fleet.State) {
	at := time.Now()
	x.picker.forget(at, st)
	x.answerTimes.forget(at)
	addrs := map[string]bool{}
	for _, list := range st.Upstreams {
		for i := range list {
			addrs[list[i].Address] = true
		}
	}
	x.cfg.Pool.Retain(addrs)
}

// Backlog returns this VM's work and recent outcomes at upstreams.
func (x *Relay) Backlog() jdaw.Backlog {
	at := time.Now()
	x.recordSpeeds(at)
	return x.picker.backlog(at)
}

// call is the state of one request of a caller.
type call struct {
	x         *Relay
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	info      jdaw.Call
	route     config.Route
	workspace jdaw.WorkspaceID
	priority  int
	service   string
	sample    fleet.Sample
	body      []byte
	hasBody   bool
	memory    heldMemory // of the bodies of request and responses
	startedAt time.Time
	deadline  time.Time

	attempts    int // dispatches that reached an upstream
	dispatches  int // with failed connections
	exclude     []jdaw.UpstreamID
	dispatched  []jdaw.UpstreamID // upstreams of all dispatches
	unreachable []jdaw.UpstreamID // failed to connect twice
	mayHaveRun  bool              // an upstream may have run the request
	upstream    jdaw.UpstreamID
	model       string
	isStarted   bool // the response header was written
	status      int
	last        *attempt // the attempt that completed a stream
	// quarantineEnd is set if a part of the prompt is quarantined.
	quarantineEnd time.Time
	streaming     *streaming
	hedgeSentAt   time.Time // zero if no hedge was sent
	admitted      admitted  // of a plain request
}

// ServeHTTP implements [http.Handler].
func (x *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{x: x, w: w, r: r, startedAt: time.Now(), priority: -1, memory: heldMemory{budget: x.memory, conn: intake.FromContext(r.Context())}}
	defer c.memory.release()
	err := c.prepare()
	if err == nil {
		ctx, cancel := c.context()
		c.ctx = ctx
		if c.route.Kind == config.RouteStreaming {
			err = c.stream()
		} else {
			err = c.plain()
		}
		cancel()
	}
	c.finish(err)
}

// prepare validates and authenticates the request and finds its route.
func (c *call) prepare() error {
	st := c.x.cfg.Fleet.State()
	if st == nil || st.Table == nil {
		return jdaw.Fail(jdaw.CodeNoConfiguration, "this VM has read no configuration yet")
	}
	limits := st.Table.Limits.WithDefaults()
	if err := checkHeader(c.r, limits); err != nil {
		return err
	}
	info, err := c.x.cfg.Protocol.ReadCall(c.r.Header)
	c.info = info
	if err != nil {
		return jdaw.Fail(jdaw.CodeBadField, "%s", err)
	}
	if err := c.findRoute(st.Table); err != nil {
		return err
	}
	c.deadline = c.startedAt.Add(c.timeLimit())
	if err := c.checkDrain(); err != nil {
		return err
	}
	if err := c.authenticate(st.Table); err != nil {
		return err
	}
	if err := c.readBody(limits); err != nil {
		return err
	}
	c.service = pickService(c.route.Shares, rand.Float64())
	c.sample = sessionSample(c.info)
	return nil
}

// sessionSample returns the same sample for all requests of a session. The
// session is the one named in the request, or else the last shared part of the
// prompt.
func sessionSample(info jdaw.Call) fleet.Sample {
	session := info.Session
	if session == "" {
		session = sharedPart(info.Prompt)
	}
	if session == "" {
		return fleet.Sample{Value: rand.Float64()}
	}
	return fleet.Sample{Value: float64(xxhash.Sum64String("session/"+session)) / math.MaxUint64, IsSession: true}
}

// sharedPart returns the ID of the last part of a prompt that other requests
// share, or "". The final part is the request's own.
func sharedPart(parts []jdaw.PromptPart) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// partIDs returns the IDs of the parts of a prompt. Other requests may share all but
// the last, which only repeats of the same prompt have.
func partIDs(parts []jdaw.PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

func sharedPartIDs(parts []jdaw.PromptPart) []string {
	return partIDs(parts[:max(len(parts)-1, 0)])
}

// timeLimit returns the time within which the response must be complete.
func (c *call) timeLimit() time.Duration {
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if c.info.Deadline > 0 {
		limit = min(limit, c.info.Deadline)
	}
	return max(limit-responseMargin, time.Millisecond)
}

func (c *call) findRoute(t *config.RouteTable) error {
	host := c.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	found, ok := t.Match(host, c.r.URL.EscapedPath())
	if !ok {
		return c.notFound(jdaw.CodeNoRoute, "no route of host %q matches the path", host)
	}
	c.route = found
	return nil
}

// notFound rejects what the configuration does not contain. A VM that has lost
// the store may have a stale configuration and returns CodeStoreUnavailable.
func (c *call) notFound(code jdaw.Code, format string, args ...any) error {
	if !c.x.cfg.Fleet.IsCurrent() {
		return jdaw.Fail(jdaw.CodeStoreUnavailable, "the configuration may be stale: "+format, args...)
	}
	return jdaw.Fail(code, format, args...)
}

func (c *call) authenticate(t *config.RouteTable) error {
	if c.route.IsPublic || !t.HasKeys {
		return nil
	}
	if c.info.WorkspaceKey == "" {
		return jdaw.Fail(jdaw.CodeNoKey, "the request carries no workspace key")
	}
	grant, ok := t.Keys[c.info.WorkspaceKey]
	if !ok {
		return c.notFound(jdaw.CodeWrongKey, "the key belongs to no workspace")
	}
	c.workspace = grant.Workspace
	c.priority = grant.Rank
	return nil
}

func (c *call) readBody(limits config.CallerLimits) error {
	c.hasBody = c.r.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	limit := limits.BodyBytes
	if c.r.ContentLength > limit {
		return jdaw.Fail(jdaw.CodeBodyTooLarge, "the body has %d bytes, the limit is %d", c.r.ContentLength, limit)
	}
	body, err := c.memory.readBody(c.r.Body, limit)
	switch {
	case errors.Is(err, errLongBody):
		return jdaw.Fail(jdaw.CodeBodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	case errors.Is(err, errNoMemory):
		return jdaw.Fail(jdaw.CodeNoMemory, "the VM holds too many bodies to read another one")
	case err != nil:
		return errors.Mark(err, errCallerGone)
	}
	c.body = body
	return nil
}

// pickService selects a service by weight, with draw in 0..1.
func pickService(shares []config.ServiceShare, draw float64) string {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	for _, s := range shares {
		draw -= s.Weight / total
		if draw < 0 {
			return s.Service
		}
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Service
}

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// upstreamPriority is the request's priority in an upstream's queue. Short work
// goes first: the larger model of a cascade takes upstreams ten times the time
// of the first one and would block everything behind it. Among escalations,
// prompts with a long prefill go first, since they have the least slack.
func (c *call) upstreamPriority(at time.Time, q queue) int {
	priority := min(c.rank(), escalatedPriority-1)
	if !c.streaming.isEscalated() {
		return priority
	}
	isLong := c.x.prefillRates.predict(at, c.service, q.own) > time.Duration(longPrefillShare*float64(c.route.Target))
	if !c.x.cfg.RankEscalations {
		if isLong {
			return escalatedPriority
		}
		return escalatedPriority + priority
	}
	// Without a long prompt, the step after that of the long ones of its rank.
	step := escalatedPriority + 2*priority
	if !isLong && priority > mostUrgentRank {
		step++
	}
	return min(step, lastPriority)
}

// rank is the rank of the workspace, or else of the route.
func (c *call) rank() int {
	if c.priority >= 0 {
		return c.priority
	}
	return c.route.Rank
}

const (
	// escalatedPriority is the first priority of escalations. Upstreams have
	// priorities 0 to 9, 0 first.
	escalatedPriority = 5
	lastPriority      = 9
	// mostUrgentRank is the rank of the requests that go before all others.
	mostUrgentRank = 0
	// longPrefillShare is the share of the target above which a prefill is long.
	// With a quarter, these are the largest fifth of the longest kind of prompt.
	longPrefillShare = 0.25
)
