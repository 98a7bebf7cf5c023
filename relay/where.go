package relay

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// WhereRequest describes a request whose way is asked for.
type WhereRequest struct {
	Host, Path   string
	Workspace    jdaw.WorkspaceID
	Model        string
	Prompt       []jdaw.PromptPart
	PromptTokens int // 0 takes the sum of the parts
	Session      string
	Deadline     time.Duration // 0 if not stated
	Draws        WhereDraws
}

// WhereDraws are the random numbers of the decision. The same draws and state give the
// same decision. The first three are uniform in 0..1.
type WhereDraws struct {
	Service float64 `json:"service"` // selects the service of the route
	Version float64 `json:"version"` // selects the side of a roll-out, without a session
	Share   float64 `json:"share"`   // for the queue's share of a workspace
	Salt    uint64  `json:"salt"`    // selects between equal upstreams
}

// Where is where a request would go, and why.
type Where struct {
	VM        jdaw.VMID        `json:"vm"`
	At        time.Time        `json:"at"`
	Revision  jdaw.Revision    `json:"revision"`
	IsCurrent bool             `json:"isCurrent"` // the store's changes are read in time
	Draws     WhereDraws       `json:"draws"`
	Route     *WhereRoute      `json:"route,omitempty"`
	Workspace jdaw.WorkspaceID `json:"workspace,omitempty"`
	Rank      int              `json:"rank"`
	Service   string           `json:"service,omitempty"`
	Rollout   *WhereRollout    `json:"rollout,omitempty"`
	Cascade   *WhereCascade    `json:"cascade,omitempty"`
	Queue     *WhereQueue      `json:"queue,omitempty"`
	Upstreams []WhereUpstream  `json:"upstreams,omitempty"` // of the service, by id
	Pick      jdaw.UpstreamID  `json:"pick,omitempty"`
	Version   string           `json:"version,omitempty"` // of the pick
	Refusal   *WhereRefusal    `json:"refusal,omitempty"`
}

// WhereRoute is the route that matches.
type WhereRoute struct {
	Name     string             `json:"name"`
	Prefix   string             `json:"prefix"`
	Kind     config.RouteKind   `json:"kind"`
	LimitMs  int64              `json:"limitMs"`  // time within which the response must be complete
	Services map[string]float64 `json:"services"` // shares
}

// WhereRollout is the roll-out of the service.
type WhereRollout struct {
	Version      string             `json:"version"`
	State        fleet.RolloutState `json:"state"`
	Share        float64            `json:"share"`        // of the requests without a session
	SessionShare float64            `json:"sessionShare"` // of the sessions
	Sample       float64            `json:"sample"`       // of this request; below the share it gets the new version
	IsSession    bool               `json:"isSession"`
}

// WhereCascade is the plan of a request whose model the router selects.
type WhereCascade struct {
	Models []string  `json:"models"`
	Costs  []float64 `json:"costs"`
	Target float64   `json:"target"`
	// First is the first model, if this start doesn't explore; empty if the planner
	// can't tell without counting a start.
	First string `json:"first,omitempty"`
}

// WhereQueue is what the queue of a plain service would decide.
type WhereQueue struct {
	Waiting  int   `json:"waiting"`  // at this VM
	InFlight int   `json:"inFlight"` // of this VM
	Places   int   `json:"places"`   // of this VM
	Slots    int   `json:"slots"`    // of the usable upstreams
	Others   int   `json:"others"`   // in flight of other VMs
	WaitMs   int64 `json:"waitMs"`   // estimated
}

// WhereUpstream is one upstream of the service.
type WhereUpstream struct {
	ID         jdaw.UpstreamID `json:"id"`
	DataCentre jdaw.DataCentre `json:"dataCentre"`
	Version    string          `json:"version"`
	Slots      int             `json:"slots"`
	InUse      int             `json:"inUse"` // requests of this VM
	// Running, OtherTokens and the samples of speed are as other VMs reported them.
	Running       int     `json:"running"`
	PendingTokens float64 `json:"pendingTokens"` // of this VM
	OtherTokens   int     `json:"otherTokens"`
	// Work and RelativeTime are those of the decision; of candidates only.
	Work         float64 `json:"work,omitempty"`
	RelativeTime float64 `json:"relativeTime,omitempty"`
	// Stated is the load that the upstream stated last to this VM.
	Stated    *WhereStated `json:"stated,omitempty"`
	IsCold    bool         `json:"isCold,omitempty"`
	EjectedMs int64        `json:"ejectedMs,omitempty"` // until the end of the ejection
	IsOutlier bool         `json:"isOutlier,omitempty"`
	IsLeaving bool         `json:"isLeaving,omitempty"` // by its notice
	PausedMs  int64        `json:"pausedMs,omitempty"`  // until the end of its pause
	NoticeMs  int64        `json:"noticeMs,omitempty"`  // age of its last notice
	IsHome    bool         `json:"isHome,omitempty"`    // the affinity upstream of the prompt
	// LeftOut is why it is no candidate; empty for candidates. LeftOutFirst is why it
	// was none before ejected and full upstreams and outliers were allowed.
	LeftOut      exclusion `json:"leftOut,omitempty"`
	LeftOutFirst exclusion `json:"leftOutFirst,omitempty"`
	IsPick       bool      `json:"isPick,omitempty"`
}

// WhereStated is the load that an upstream stated in a response.
type WhereStated struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Slots    int     `json:"slots"`
	Slowdown float64 `json:"slowdown"`
	AgeMs    int64   `json:"ageMs"`
}

// WhereRefusal is the error that the caller would get.
type WhereRefusal struct {
	Code         jdaw.Code `json:"code"`
	Name         string    `json:"name"`
	Status       int       `json:"status"`
	Message      string    `json:"message"`
	RetryAfterMs int64     `json:"retryAfterMs,omitempty"` // the spread of returns is drawn anew
}

// excludedNoSlot is set for a candidate that holds as many requests of this VM as it may.
const excludedNoSlot exclusion = "noSlot"

// Where returns where a request would go now. The code that decides about requests
// runs on a copy of the state, so that nothing is reserved or counted.
func (x *Relay) Where(r WhereRequest) Where {
	at, st := time.Now(), x.cfg.Fleet.State()
	w := Where{VM: x.cfg.Self, At: at.UTC(), IsCurrent: x.cfg.Fleet.IsCurrent(), Draws: r.Draws}
	if r.PromptTokens == 0 {
		for _, part := range r.Prompt {
			r.PromptTokens += part.Tokens
		}
	}
	shadow := x.shadow(st)
	defer shadow.stop()
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		target = &url.URL{Path: r.Path}
	}
	c := &call{
		x: shadow, ctx: context.Background(), startedAt: at, priority: -1,
		r: &http.Request{Host: r.Host, URL: target},
		info: jdaw.Call{
			Deadline: r.Deadline, Model: r.Model, Prompt: r.Prompt, PromptTokens: r.PromptTokens, Session: r.Session,
		},
	}
	if err := c.where(x, st, r, &w); err != nil {
		w.refuse(c, err)
	}
	return w
}

// fixedFleet is the state of the deployment at one time.
type fixedFleet struct {
	Fleet
	st *fleet.State
}

func (f fixedFleet) State() *fleet.State { return f.st }
func (fixedFleet) Count(fleet.Outcome)   {}

// previewer is implemented by planners that tell the first model without counting a
// start.
type previewer interface {
	Preview(q jdaw.PlanRequest) int
}

// previewPlanner is a planner whose starts aren't counted.
type previewPlanner struct {
	jdaw.Planner
}

// Start implements [jdaw.Planner].
func (p previewPlanner) Start(q jdaw.PlanRequest) int {
	if v, ok := p.Planner.(previewer); ok {
		return v.Preview(q)
	}
	return 0
}

// shadow returns a relay with the same configuration and an empty state.
func (x *Relay) shadow(st *fleet.State) *Relay {
	cfg := x.cfg
	cfg.Fleet, cfg.Planner = fixedFleet{Fleet: x.cfg.Fleet, st: st}, previewPlanner{x.cfg.Planner}
	s := New(cfg)
	s.drain.Store(x.drain.Load())
	s.answerTimes = x.answerTimes
	return s
}

// fixedBacklogs is what other VMs reported until one time.
type fixedBacklogs struct {
	others   jdaw.Backlog
	outliers map[jdaw.UpstreamKey]bool
}

func (b fixedBacklogs) Others() jdaw.Backlog                { return b.others }
func (b fixedBacklogs) Outliers() map[jdaw.UpstreamKey]bool { return b.outliers }

// copyOf returns a copy of the state of one service. It shares nothing that a pick
// changes.
func (p *picker) copyOf(service string) *picker {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := newPicker(p.self, nil)
	if p.backlogs != nil {
		c.backlogs = fixedBacklogs{others: p.backlogs.Others(), outliers: p.backlogs.Outliers()}
	}
	if s := p.services[service]; s != nil {
		c.services[service] = s.Clone()
	}
	for id, s := range p.upstreams {
		if s.service != service {
			continue
		}
		copied := *s
		copied.coldSent = slices.Clone(s.coldSent)
		copied.pace = s.pace.WithService(c.services[service])
		c.upstreams[id] = &copied
	}
	return c
}

// where fills in the decision about the request in its order. It returns the refusal.
func (c *call) where(x *Relay, st *fleet.State, r WhereRequest, w *Where) error {
	if st == nil || st.Table == nil {
		return jdaw.Fail(jdaw.CodeNoConfiguration, "this VM has read no configuration yet")
	}
	w.Revision = st.Table.Revision
	if err := c.findRoute(st.Table); err != nil {
		return err
	}
	limit := c.timeLimit()
	c.deadline = c.startedAt.Add(limit)
	w.Route = &WhereRoute{
		Name: c.route.Name, Prefix: c.route.Prefix, Kind: c.route.Kind, LimitMs: limit.Milliseconds(), Services: map[string]float64{},
	}
	for _, share := range c.route.Shares {
		w.Route.Services[share.Service] = share.Weight
	}
	if err := c.checkDrain(); err != nil {
		return err
	}
	if err := c.authenticateAs(st.Table, r.Workspace); err != nil {
		return err
	}
	w.Workspace, w.Rank = c.workspace, c.rank()
	c.service = pickService(c.route.Shares, r.Draws.Service)
	c.sample = sessionSample(c.info)
	if !c.sample.IsSession {
		c.sample.Value = r.Draws.Version
	}
	w.Service = c.service
	if ro, ok := st.Rollouts[c.service]; ok {
		w.Rollout = &WhereRollout{
			Version: ro.Version, State: ro.State, Share: ro.Share, SessionShare: ro.SessionShare, Sample: c.sample.Value, IsSession: c.sample.IsSession,
		}
	}
	c.x.picker = x.picker.copyOf(c.service)
	if c.route.Kind == config.RouteStreaming {
		c.whereCascade(w)
	}
	q := c.pickRequest(st, c.streaming.whereModel(), false)
	q.salt = r.Draws.Salt
	// The upstreams are shown also if the request would be refused before the pick.
	picked := w.addUpstreams(c.x.picker, c.startedAt, st, q)
	if c.route.Kind != config.RouteStreaming {
		if err := c.whereQueue(x, st, r, w); err != nil {
			return err
		}
	}
	if err := c.checkQuarantine(c.startedAt); err != nil {
		return err
	}
	if picked < 0 {
		return jdaw.Fail(jdaw.CodeNoUpstream, "no upstream of the service can take the request")
	}
	w.Upstreams[picked].IsPick = true
	w.Pick, w.Version = w.Upstreams[picked].ID, w.Upstreams[picked].Version
	return nil
}

// authenticateAs does what authenticate does for the most urgent key of a workspace.
func (c *call) authenticateAs(t *config.RouteTable, workspace jdaw.WorkspaceID) error {
	best := ""
	for key, grant := range t.Keys {
		if grant.Workspace != workspace {
			continue
		}
		if best == "" || grant.Rank < t.Keys[best].Rank {
			best = key
		}
	}
	if best == "" && workspace != "" && !c.route.IsPublic && t.HasKeys {
		return c.notFound(jdaw.CodeWrongKey, "no key belongs to the workspace")
	}
	c.info.WorkspaceKey = best
	return c.authenticate(t)
}

// whereModel is the model of the first attempt; empty for the caller's. It is that
// also for nil, which stands for a request that is not a stream.
func (s *streaming) whereModel() string {
	if s == nil {
		return ""
	}
	return s.model()
}

func (c *call) whereCascade(w *Where) {
	s := &streaming{c: c}
	c.streaming = s
	c.startCascade(s)
	if s.cascade == nil {
		return
	}
	plan := s.cascade.plan
	w.Cascade = &WhereCascade{Models: plan.Models, Costs: plan.Costs, Target: plan.Target}
	if p, ok := c.x.cfg.Planner.(previewPlanner); ok {
		if _, ok := p.Planner.(previewer); ok {
			w.Cascade.First = c.model
		}
	}
}

// whereQueue asks the queue of a plain service.
func (c *call) whereQueue(x *Relay, st *fleet.State, r WhereRequest, w *Where) error {
	room := c.x.picker.room(c.startedAt, st, c.service)
	p := x.admission.queue.Preview(c.startedAt, c.service, room, c.queueRequest(r.Draws.Share, 0))
	if !p.IsOn {
		return nil
	}
	w.Queue = &WhereQueue{
		Waiting: p.Waiting, InFlight: p.InFlight, Places: p.Places, Slots: room.Slots, Others: room.Others, WaitMs: p.Wait.Milliseconds(),
	}
	if p.Rejection == nil {
		return nil
	}
	c.admitted.rejection = p.Rejection
	return rejectionError(p.Rejection)
}

// addUpstreams adds the upstreams of the service, and returns the index of the one
// that would be picked, or -1. p is a copy.
func (w *Where) addUpstreams(p *picker, at time.Time, st *fleet.State, q pickRequest) int {
	others, outliers := jdaw.Backlog{}, map[jdaw.UpstreamKey]bool{}
	if p.backlogs != nil {
		others, outliers = p.backlogs.Others(), p.backlogs.Outliers()
	}
	picked := p.find(at, st, q)
	spec, list := st.Table.Services[q.service], st.Upstreams[q.service]
	strict, lenient := p.filterFor(at, st, spec, &q, true), p.filterFor(at, st, spec, &q, false)
	matches := map[jdaw.UpstreamID]int{}
	for i, u := range p.matches {
		matches[u.ID] = i
	}
	pick := -1
	for i := range list {
		u, s := &list[i], p.stateOf(&list[i])
		load := others[s.key]
		shown := WhereUpstream{
			ID: u.ID, DataCentre: u.DataCentre, Version: u.Version, Slots: u.Slots, InUse: s.inUse, Running: int(load.Running),
			PendingTokens: s.pendingTokens, OtherTokens: int(load.Tokens), Stated: statedOf(at, s), IsCold: p.isCold(at, u, s),
			EjectedMs: timeTo(at, s.ejectedUntil), IsOutlier: outliers[s.key], IsLeaving: s.notices.isLeaving, PausedMs: timeTo(at, s.notices.pausedUntil),
		}
		if !s.notices.at.IsZero() {
			shown.NoticeMs = at.Sub(s.notices.at).Milliseconds()
		}
		shown.LeftOutFirst, shown.LeftOut = strict.exclusionOf(u, s), lenient.exclusionOf(u, s)
		m, isCandidate := matches[u.ID]
		switch {
		case isCandidate:
			c := &p.candidates[m]
			shown.Work, shown.RelativeTime, shown.IsHome = c.Work, p.relativeTimes[m], m == p.affinity
			if !c.IsFree() {
				shown.LeftOut = excludedNoSlot
			}
			if m == picked {
				pick = i
			}
		case shown.LeftOut == notExcluded:
			// Others could be picked without it.
			shown.LeftOut = shown.LeftOutFirst
		}
		if shown.LeftOutFirst == shown.LeftOut {
			shown.LeftOutFirst = notExcluded
		}
		w.Upstreams = append(w.Upstreams, shown)
	}
	return pick
}

func statedOf(at time.Time, s *upstreamState) *WhereStated {
	load, stated := s.pace.LastReport()
	if !load.IsKnown() {
		return nil
	}
	return &WhereStated{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown, AgeMs: at.Sub(stated).Milliseconds(),
	}
}

// timeTo returns the milliseconds until a time, 0 if it has passed.
func timeTo(at, until time.Time) int64 { return max(until.Sub(at), 0).Milliseconds() }

// refuse sets the refusal that the caller would get.
func (w *Where) refuse(c *call, err error) {
	coded := jdaw.CodeOf(err)
	info := coded.Code.Info()
	w.Refusal = &WhereRefusal{Code: coded.Code, Name: info.Name, Status: info.Status, Message: coded.Message}
	if info.Ran == jdaw.NotRun && info.Retry != jdaw.RetryNo {
		w.Refusal.RetryAfterMs = c.retryAfter(coded.Code).Milliseconds()
	}
}
