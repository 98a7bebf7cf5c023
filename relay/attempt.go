package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/dial"
	"jackdawbarrow/fleet"
	"jackdawbarrow/guard"
	"jackdawbarrow/retry"
)

const (
	// unsafeIdle is the longest idle time of a connection that is reused for a
	// non-idempotent request.
	unsafeIdle = 700 * time.Millisecond
	// firstAttemptShare is the share of the remaining time after which an
	// idempotent request is retried at another upstream.
	firstAttemptShare = 0.45
	// maxPlainAnswer limits the size of a buffered response in bytes.
	maxPlainAnswer = 8 << 20
)

// errCallerGone means that the caller closed the connection.
var errCallerGone = errors.New("the caller closed the connection")

// attempt is one dispatch to an upstream.
type attempt struct {
	request     pickRequest
	reservation reservation
	response    *dial.Answer
	info        jdaw.Answer
	cancel      context.CancelFunc
	sentAt      time.Time
	first       time.Time // arrival of the first event
	last        time.Time // arrival of the last event so far, or the end of the stream
	events      int
	// isTimed is set if the speed was counted before the end of the stream.
	isTimed bool
	// idleTimer abandons the attempt; nil for plain responses.
	idleTimer   *time.Timer
	isAbandoned atomic.Bool
	// attempts and dispatches are those of the request with this one.
	attempts   int
	dispatches int
	// send dispatches the request and sets the response.
	send func() error
}

func (a *attempt) sawEvent(at time.Time) {
	if a.events == 0 {
		a.first = at
		a.reservation.started()
		a.reservation.sawFirst(at)
	}
	a.last = at
	a.events++
}

// interEventTime returns the mean time between two events, 0 if there were too few.
func (a *attempt) interEventTime() time.Duration {
	if a.events < minTimedEvents {
		return 0
	}
	return a.last.Sub(a.first) / time.Duration(a.events-1)
}

// minTimedEvents is the number of events required for an inter-event time: the
// prefill of other requests delays single events.
const minTimedEvents = 4

// earlyTimedEvents is the number of events after which the inter-event time of a
// stream is counted. The end would be too late: the streams of a slow version
// still run when its roll-out is about to complete.
const earlyTimedEvents = 8

// end closes the response and records the outcome.
func (a *attempt) end(o outcome) {
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	a.reservation.sawEvents(time.Now(), a.interEventTime())
	a.reservation.release(time.Now(), o)
}

// attemptResult is the outcome of an attempt and whether to retry.
type attemptResult struct {
	outcome  outcome
	mayRetry bool
	err      error
}

// dispatch picks an upstream and sends the request to it.
func (c *call) dispatch(model, resumeAfter string, limit time.Duration) (*attempt, error) {
	a, err := c.reserve(model, resumeAfter, limit)
	if err != nil {
		return nil, err
	}
	a.idleTimer = time.AfterFunc(c.streaming.idleTimeout(a, false), func() { c.streaming.abandon(a) })
	if err := a.send(); err != nil {
		return a, err
	}
	c.notice(a)
	return a, nil
}

// reserve picks an upstream for an attempt.
func (c *call) reserve(model, resumeAfter string, limit time.Duration) (*attempt, error) {
	st := c.x.cfg.Fleet.State()
	at := time.Now()
	if !c.mayHaveRun && !c.isStarted {
		if err := c.checkDrain(); err != nil {
			return nil, err
		}
	}
	if err := c.checkQuarantine(at); err != nil {
		return nil, err
	}
	q := c.pickRequest(st, model, c.streaming.isEscalated())
	q.exclude = c.exclude
	res, ok := c.x.picker.pick(at, st, q)
	if !ok && len(c.exclude) > 0 && c.mayReuseUpstreams() {
		q.exclude = c.unreachable
		res, ok = c.x.picker.pick(at, st, q)
	}
	if !ok {
		return nil, c.notRunError(jdaw.CodeNoUpstream, "no upstream of the service can take the request")
	}
	return c.newAttempt(at, q, res, model, resumeAfter, limit), nil
}

// newAttempt returns an attempt at a reserved upstream.
func (c *call) newAttempt(at time.Time, q pickRequest, res reservation, model, resumeAfter string, limit time.Duration) *attempt {
	c.dispatches++
	c.upstream = res.ID
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	h := cloneHeader(c.r.Header)
	c.x.cfg.Protocol.WriteAttempt(h, jdaw.Attempt{
		Upstream: res.ID, Workspace: c.workspace, Deadline: min(limit, c.remaining()),
		ResumeAfter: resumeAfter, Model: model, Urgency: c.upstreamPriority(at, res.queue),
	})
	req := dial.Request{
		Address: res.Address, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: h, Body: c.body, HasBody: c.hasBody, NewConn: contains(c.dispatched, res.ID),
	}
	c.dispatched = append(c.dispatched, res.ID)
	if !c.route.IsRepeatable() {
		req.MaxIdle = unsafeIdle
	}
	a := &attempt{request: q, reservation: res, cancel: cancel, sentAt: at, attempts: c.attempts + 1, dispatches: c.dispatches}
	req.Owner = func(status int, h http.Header) dial.Owner {
		a.info = c.x.cfg.Protocol.ReadAnswer(status, h)
		switch a.info.RequestID {
		case "":
			return dial.OwnerUnnamed
		case c.info.ID:
			return dial.OwnerThis
		}
		return dial.OwnerOther
	}
	a.send = func() error {
		response, err := c.x.cfg.Pool.Do(ctx, req)
		a.response = response
		return err
	}
	return a
}

// notice records and logs what the upstream says about itself in its response.
func (c *call) notice(a *attempt) {
	c.x.hedges.observe(c.service, a.info.Load)
	for _, kind := range a.reservation.notice(time.Now(), a.info) {
		c.x.cfg.Metrics.noticed(kind)
		entry := c.x.cfg.Log.WithFields(logrus.Fields{
			"request": c.info.ID, "upstream": a.reservation.ID, "address": a.reservation.Address, "service": c.service,
			"status": a.response.Status, "revision": a.reservation.Revision,
		})
		switch kind {
		case noticeLeaving:
			entry.Info("upstream says that it is leaving")
		case noticePause:
			entry.WithField("pauseMs", a.info.Pause.Milliseconds()).Info("upstream wants no requests for a while")
		case noticeInvalid:
			entry.WithField("value", a.info.InvalidPause).Warn("malformed pause ignored")
		}
	}
}

// pickRequest returns the request to pick an upstream for a model, by default
// the caller's. isEscalated is set for the model of an escalation.
func (c *call) pickRequest(st *fleet.State, model string, isEscalated bool) pickRequest {
	if model == "" {
		model = c.info.Model
	}
	isRanked := c.x.cfg.RankEscalations && isEscalated
	return pickRequest{
		service: c.service, name: c.route.Name, sample: c.sample, prefix: prefixHash(c.info.Prompt, model), salt: rand.Uint64(),
		work: c.work(st, model), isEscalated: isEscalated,
		isUrgent: isRanked && c.rank() <= mostUrgentRank, isLessUrgent: isRanked && c.rank() > mostUrgentRank,
	}
}

// work returns the prefill work of the request. The configured costs of the
// models stand for their relative prefill times.
func (c *call) work(st *fleet.State, model string) promptWork {
	weight := 1.0
	costs := st.Table.Services[c.service].Costs
	if models := c.route.Models; len(models) > 0 && costs[model] > 0 {
		largest := 0.0
		for _, m := range models {
			largest = max(largest, costs[m])
		}
		weight = costs[model] / max(largest, costs[model])
	}
	shared := 0
	if n := len(c.info.Prompt); n > 0 {
		for _, part := range c.info.Prompt[:n-1] {
			shared += part.Tokens
		}
	}
	return promptWork{shared: weight * float64(shared), own: weight * float64(max(c.info.PromptTokens-shared, 0))}
}

// mayReuseUpstreams reports whether the request may go to an upstream that has had it.
func (c *call) mayReuseUpstreams() bool { return c.route.IsRepeatable() || !c.mayHaveRun }

// hasUpstream reports whether an upstream can take a retry now.
func (c *call) hasUpstream() bool {
	st := c.x.cfg.Fleet.State()
	q := c.pickRequest(st, "", false)
	if !c.mayReuseUpstreams() {
		q.exclude = c.exclude
	}
	return c.x.picker.canPick(time.Now(), st, q)
}

// classify returns the result of an attempt. The second result is false if the
// upstream's response is to be forwarded to the caller.
func (c *call) classify(a *attempt, err error) (attemptResult, bool) {
	switch {
	case a == nil:
		return attemptResult{outcome: outcomeNeutral, err: err}, true
	case err != nil && c.r.Context().Err() != nil:
		return attemptResult{outcome: outcomeNeutral, err: errCallerGone}, true
	case err != nil && !dial.WasSent(err) && c.ctx.Err() != nil:
		// The deadline ended the attempt, which says nothing about the upstream.
		return attemptResult{
			outcome: outcomeNeutral, err: c.notRunError(jdaw.CodeUpstreamRefused, "no upstream could be reached before the deadline"),
		}, true
	case err != nil && !dial.WasSent(err):
		if contains(c.exclude, a.reservation.ID) {
			c.unreachable = append(c.unreachable, a.reservation.ID)
		}
		c.exclude = append(c.exclude, a.reservation.ID)
		c.x.cfg.Pool.Forget(a.reservation.Address)
		return attemptResult{
			outcome: outcomeUnreachable, mayRetry: true,
			err: c.notRunError(jdaw.CodeUpstreamRefused, "no upstream could be reached"),
		}, true
	case err != nil:
		c.attempts++
		return c.unknownOutcome(a, "the upstream sent no valid response", err), true
	case a.info.NotRun || a.info.IsOtherUpstream:
		c.attempts++
		c.exclude = append(c.exclude, a.reservation.ID)
		o := outcomeShed
		if a.info.IsOtherUpstream {
			o = outcomeReplaced
		}
		return attemptResult{
			outcome: o, mayRetry: true,
			err: c.notRunError(jdaw.CodeUpstreamRefused, "the upstreams refused the request without running it"),
		}, true
	case !a.info.IsSigned || a.info.IsEncoded:
		c.attempts++
		return c.unknownOutcome(a, "the response is not signed by the upstream, or is encoded", nil), true
	case a.response.Status >= http.StatusInternalServerError:
		c.attempts++
		c.mayHaveRun = true
		c.exclude = append(c.exclude, a.reservation.ID)
		return attemptResult{outcome: outcomeFailed, mayRetry: c.route.IsRepeatable()}, c.route.IsRepeatable()
	}
	c.attempts++
	c.mayHaveRun = true
	return attemptResult{outcome: outcomeOK}, false
}

// unknownOutcome returns the result of a failed attempt that may have run.
func (c *call) unknownOutcome(a *attempt, why string, cause error) attemptResult {
	c.mayHaveRun = true
	c.exclude = append(c.exclude, a.reservation.ID)
	v := attemptResult{outcome: outcomeFailed, mayRetry: c.route.IsRepeatable()}
	if c.ctx.Err() != nil {
		v.err = jdaw.Fail(jdaw.CodeUpstreamTimeout, "the upstream did not answer in time").WithCause(cause)
		return v
	}
	v.err = jdaw.Fail(jdaw.CodeOutcomeUnknown, "%s", why).WithCause(cause)
	return v
}

// notRunError returns an error that says the request has not run, unless an earlier
// attempt may have run it.
func (c *call) notRunError(code jdaw.Code, format string, args ...any) error {
	if c.mayHaveRun {
		return jdaw.Fail(jdaw.CodeOutcomeUnknown, "an earlier attempt may have run; "+format, args...)
	}
	return jdaw.Fail(code, format, args...)
}

// canRetry reports whether a retry is within all limits. isPaid is set if it was
// taken from the retry budget before.
func (c *call) canRetry(v attemptResult, isPaid bool) bool {
	cause := retry.CauseFailed
	switch v.outcome {
	case outcomeUnreachable:
		cause = retry.CauseUnreachable
	case outcomeShed, outcomeReplaced:
		cause = retry.CauseRefused
	}
	return v.mayRetry && retry.Decide(c.retryRequest(), cause, func() bool {
		return isPaid || c.x.retryBudget.take(c.service, 0)
	}) == retry.Allowed
}

// retryRequest returns the state of the request between two attempts.
func (c *call) retryRequest() retry.Request {
	return retry.Request{
		IsRepeatable: c.route.IsRepeatable(), MayHaveRun: c.mayHaveRun, IsCallerGone: c.r.Context().Err() != nil,
		Remaining: c.timeLeft(), Attempts: c.attempts, MaxAttempts: c.route.MaxAttempts, Dispatches: c.dispatches,
		HasBegun: c.isStarted, CanContinue: c.streaming.canResume(),
	}
}

// timeLeft returns the time until another attempt is pointless; 0 at the deadline
// and when a stopping VM ends its requests.
func (c *call) timeLeft() time.Duration {
	if c.ctx.Err() != nil {
		return 0
	}
	return c.untilEnd()
}

// attemptLimit returns the time for one attempt.
func (c *call) attemptLimit() time.Duration {
	remaining := c.remaining()
	if c.route.Kind == config.RouteSafe && c.attempts+1 < c.route.MaxAttempts {
		return time.Duration(float64(remaining) * firstAttemptShare)
	}
	return remaining
}

// plain serves a request whose response is buffered.
func (c *call) plain() error {
	c.x.retryBudget.refill(c.service)
	defer c.leaveQueue(false) // also if the request is refused after it got a place
	if err := c.admit(); err != nil {
		return err
	}
	for {
		a, err := c.reserve("", c.info.ResumeAfter, c.attemptLimit())
		if err != nil {
			return err
		}
		r, v, ended := c.attemptPlain(a)
		if !ended {
			c.leaveQueue(true)
			at := time.Now()
			c.reportAnswer(at)
			c.observeAnswer(at, time.Time{})
			return c.writePlain(r.a.response, r.body)
		}
		// A failure that an upstream answered is better than none.
		if (v.err != nil || c.hasUpstream()) && c.canRetry(v, false) {
			continue
		}
		if v.err == nil {
			return c.writePlain(r.a.response, r.body)
		}
		return v.err
	}
}

// writePlain forwards a buffered response.
func (c *call) writePlain(a *dial.Answer, body []byte) error {
	h := c.w.Header()
	copyHeader(h, a.Header)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.isStarted = true
	c.status = a.Status
	c.w.WriteHeader(a.Status)
	if _, err := io.Copy(c.w, bytes.NewReader(body)); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// count records the outcome of an attempt for the canary analysis. Rejections
// and lost connections don't indicate the health of the version.
func (c *call) count(a *attempt, v attemptResult) {
	if a.isAbandoned.Load() {
		c.x.cfg.Fleet.Count(fleet.Outcome{Service: c.service, Version: a.reservation.Version, IsTimed: true, IsSlow: true})
		return
	}
	if a.response == nil || v.outcome == outcomeShed || v.outcome == outcomeReplaced {
		return
	}
	took := a.interEventTime()
	if c.route.Kind != config.RouteStreaming {
		took = time.Since(a.sentAt)
	}
	o := fleet.Outcome{Service: c.service, Version: a.reservation.Version, Failed: a.response.Status >= http.StatusInternalServerError}
	if took > 0 && !o.Failed && !a.isTimed {
		o = c.withSpeed(o, took)
	}
	c.x.cfg.Fleet.Count(o)
}

// countEarly counts the speed of a running stream.
func (c *call) countEarly(a *attempt) {
	a.isTimed = true
	o := fleet.Outcome{Service: c.service, Version: a.reservation.Version, IsRunning: true}
	c.x.cfg.Fleet.Count(c.withSpeed(o, a.interEventTime()))
}

// withSpeed rates a duration against the estimates of its kind, which are
// updated by the stable version only.
func (c *call) withSpeed(o fleet.Outcome, took time.Duration) fleet.Outcome {
	kind := c.route.Name
	if c.route.Kind == config.RouteStreaming {
		// An upstream batches the requests of all routes and models, so they
		// share one inter-event time.
		kind = c.service
	}
	known := c.x.eventTimesByKind.of(kind)
	o.Speed, o.IsSlow, o.IsTimed = guard.Speed(took, known.median), known.isSlow(took), true
	if r, ok := c.x.cfg.Fleet.State().Rollouts[c.service]; !ok || r.Version != o.Version {
		c.x.eventTimesByKind.observe(kind, took)
	}
	return o
}

func (c *call) logAttempt(a *attempt, v attemptResult) {
	if v.outcome == outcomeOK {
		return
	}
	fields := logrus.Fields{
		"request": c.info.ID, "upstream": a.reservation.ID, "address": a.reservation.Address, "version": a.reservation.Version,
		"outcome": v.outcome, "attempt": c.dispatches, "mayRetry": v.mayRetry, "tookMs": time.Since(a.sentAt).Milliseconds(),
		"revision": c.x.cfg.Fleet.State().Table.Revision, "candidates": a.reservation.candidates, "inUse": a.reservation.inUse,
	}
	if c.streaming != nil {
		fields["events"] = a.events
		fields["sharedParts"] = sharedPartIDs(c.info.Prompt)
	}
	if a.response != nil {
		fields["status"] = a.response.Status
	}
	if v.err != nil {
		fields["cause"] = v.err.Error()
	}
	c.x.cfg.Log.WithFields(fields).Info("attempt failed")
}
