package relay

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/dial"
	"jackdawbarrow/fleet"
)

const (
	// answerMargin is kept before the caller's deadline for the answer's way.
	answerMargin = 20 * time.Millisecond
	// defaultTimeout is used if neither the caller nor the route states one.
	defaultTimeout = 30 * time.Second
)

// Fleet is what the relay needs to know of the deployment.
type Fleet interface {
	State() *fleet.State
	// IsCurrent reports whether the store's changes are read in time.
	IsCurrent() bool
	// Count notes the outcome of a request during a roll-out.
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
	// Backlogs may be nil; placement then knows this VM's requests alone.
	Backlogs Backlogs
	// QualityTarget is the confidence, 0..1, that an answer must reach.
	QualityTarget float64
	Metrics       *Metrics
	Log           logrus.FieldLogger
}

// Relay forwards requests. It implements [http.Handler].
type Relay struct {
	cfg     Config
	placer  *placer
	budget  *budget
	paces   *paces
	giveUps *bucket
	reading *reading
}

// New returns a relay.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, placer: newPlacer(cfg.Self, cfg.Backlogs), budget: newBudget(), paces: newPaces(),
		giveUps: newGiveUps(), reading: newReading(),
	}
}

// Forget drops what was remembered of upstreams that are gone.
func (x *Relay) Forget(st *fleet.State) { x.placer.forget(st) }

// Backlog returns the work of this VM's requests at upstreams, and how they ended.
func (x *Relay) Backlog() jdaw.Backlog { return x.placer.backlog(time.Now()) }

// call is one request of a caller on its way.
type call struct {
	x         *Relay
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	info      jdaw.Call
	route     config.Route
	workspace jdaw.WorkspaceID
	rank      int
	service   string
	draw      fleet.Draw
	body      []byte
	hasBody   bool
	began     time.Time
	ends      time.Time

	attempts   int // upstreams that got the request
	tries      int // with those that could not be reached
	exclude    []jdaw.UpstreamID
	dead       []jdaw.UpstreamID // could not be reached twice
	mayHaveRun bool              // an upstream may have run the request
	upstream   jdaw.UpstreamID
	model      string
	isStarted  bool // the answer's head is on its way to the caller
	status     int
	last       *attempt // that ended a stream
	streaming  *streaming
}

// ServeHTTP implements [http.Handler].
func (x *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{x: x, w: w, r: r, began: time.Now(), rank: -1}
	err := c.prepare()
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.ends)
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

// prepare checks the request and finds its route.
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
	c.ends = c.began.Add(c.timeLimit())
	if err := c.authenticate(st.Table); err != nil {
		return err
	}
	if err := c.readBody(limits); err != nil {
		return err
	}
	c.service = pickService(c.route.Shares, rand.Float64())
	c.draw = sessionDraw(c.info)
	return nil
}

// sessionDraw gives all requests of a session the same value. Requests belong
// together if they state a session, or else by the last part of the prompt that
// they share.
func sessionDraw(info jdaw.Call) fleet.Draw {
	session := info.Session
	if session == "" {
		session = sharedPart(info.Prompt)
	}
	if session == "" {
		return fleet.Draw{Value: rand.Float64()}
	}
	return fleet.Draw{Value: float64(xxhash.Sum64String("session/"+session)) / math.MaxUint64, IsSession: true}
}

// sharedPart returns the last part of a prompt that other requests share; the
// part after it belongs to the request itself. It is empty if there is none.
func sharedPart(parts []jdaw.PromptPart) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// timeLimit returns the time in which the caller must have its final answer.
func (c *call) timeLimit() time.Duration {
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if c.info.Deadline > 0 {
		limit = min(limit, c.info.Deadline)
	}
	return max(limit-answerMargin, time.Millisecond)
}

func (c *call) findRoute(t *config.RouteTable) error {
	host := c.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	found, ok := t.Match(host, c.r.URL.EscapedPath())
	if !ok {
		return c.unknown(jdaw.CodeNoRoute, "no route of host %q begins the path", host)
	}
	c.route = found
	return nil
}

// unknown refuses what the configuration does not name. A VM that has lost the
// store may lack a newer configuration, so it only says that it cannot tell.
func (c *call) unknown(code jdaw.Code, format string, args ...any) error {
	if !c.x.cfg.Fleet.IsCurrent() {
		return jdaw.Fail(jdaw.CodeStoreUnavailable, "the configuration may be out of date: "+format, args...)
	}
	return jdaw.Fail(code, format, args...)
}

func (c *call) authenticate(t *config.RouteTable) error {
	if c.route.IsPublic || !t.HasKeys {
		return nil
	}
	if c.info.Key == "" {
		return jdaw.Fail(jdaw.CodeNoKey, "the request carries no workspace key")
	}
	grant, ok := t.Keys[c.info.Key]
	if !ok {
		return c.unknown(jdaw.CodeWrongKey, "the key belongs to no workspace")
	}
	c.workspace = grant.Workspace
	c.rank = grant.Rank
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
	if c.r.ContentLength > 0 {
		c.body = make([]byte, c.r.ContentLength)
		_, err := io.ReadFull(c.r.Body, c.body)
		return errors.Mark(err, errCallerGone)
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if int64(len(body)) > limit {
		return jdaw.Fail(jdaw.CodeBodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	}
	c.body = body
	return nil
}

// pickService draws one of the services by weight.
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

func (c *call) left() time.Duration { return time.Until(c.ends) }

// urgency is the request's rank in an upstream's queue. Short work goes before
// long work: the larger model of a cascade takes upstreams ten times the time of
// the first one, and everything behind it would wait. Among later steps, prompts
// that take long to read go first, since they have the least time to wait.
func (c *call) urgency(at time.Time, q queue) int {
	rank := c.route.Rank
	if c.rank >= 0 {
		rank = c.rank
	}
	rank = min(rank, escalatedRank-1)
	if !c.streaming.isEscalated() {
		return rank
	}
	if c.x.reading.predict(at, c.service, q.own) > time.Duration(longShare*float64(c.route.Target)) {
		return escalatedRank
	}
	return escalatedRank + rank
}

const (
	// escalatedRank is the rank from which on the later steps of cascades are
	// ordered. Upstreams have the ranks 0 to 9.
	escalatedRank = 5
	// longShare is the part of the target from which on a prompt takes long to
	// read. With a quarter, these are the largest fifth of the longest kind.
	longShare = 0.25
)
