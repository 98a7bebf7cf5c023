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
)

const (
	// maxTries bounds the connections that one request tries, with those that
	// could not be made.
	maxTries = 5
	// unsafeIdle is the longest idle time of a connection that carries a
	// request which must not be repeated.
	unsafeIdle = 700 * time.Millisecond
	// firstTryShare is the part of the time left after which a request that may
	// be repeated goes to another upstream.
	firstTryShare = 0.45
	// maxPlainAnswer bounds an answer that is held until it is whole.
	maxPlainAnswer = 8 << 20
)

// errCallerGone says that the caller left; there is nobody to answer.
var errCallerGone = errors.New("the caller has left")

// attempt is one request to one upstream.
type attempt struct {
	asked  placeRequest
	place  place
	answer *dial.Answer
	info   jdaw.Answer
	cancel context.CancelFunc
	sentAt time.Time
	first  time.Time // arrival of the first event
	last   time.Time // arrival of the last event so far, or the end of the stream
	events int
	// isTimed says that the speed was counted while the stream went on.
	isTimed bool
	// silence gives the attempt up; nil for plain answers.
	silence *time.Timer
	gaveUp  atomic.Bool
}

func (a *attempt) sawEvent(at time.Time) {
	if a.events == 0 {
		a.first = at
		a.place.began()
	}
	a.last = at
	a.events++
}

// pace returns the mean time between two events, 0 if there were too few.
func (a *attempt) pace() time.Duration {
	if a.events < minPaceEvents {
		return 0
	}
	return a.last.Sub(a.first) / time.Duration(a.events-1)
}

// minPaceEvents is the number of events from which on their pace says
// something: the prefill of other requests delays single ones.
const minPaceEvents = 4

// earlyPaceEvents is the number of events after which the pace of a stream is
// counted. At its end it would be too late: the streams of a version that is
// slow are still running when the version is about to complete.
const earlyPaceEvents = 8

// end closes the answer and notes the outcome.
func (a *attempt) end(o outcome) {
	if a.silence != nil {
		a.silence.Stop()
	}
	if a.answer != nil {
		a.answer.Close()
	}
	a.cancel()
	a.place.done(time.Now(), o)
}

// verdict says what to do after a failed attempt.
type verdict struct {
	outcome  outcome
	mayRetry bool
	err      error
}

// next chooses an upstream and sends the request to it. The error says why no
// upstream could take it.
func (c *call) next(model, resumeAfter string, limit time.Duration) (*attempt, error) {
	st := c.x.cfg.Fleet.State()
	at := time.Now()
	q := c.placeRequest(st, model, c.streaming.isEscalated())
	q.exclude = c.exclude
	pl, ok := c.x.placer.choose(at, st, q)
	if !ok && len(c.exclude) > 0 && c.mayRepeatAt() {
		q.exclude = c.dead
		pl, ok = c.x.placer.choose(at, st, q)
	}
	if !ok {
		return nil, c.refusal(jdaw.CodeNoUpstream, "no upstream of the service can take the request")
	}
	c.tries++
	c.upstream = pl.ID
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	h := cloneHeader(c.r.Header)
	c.x.cfg.Protocol.WriteAttempt(h, jdaw.Attempt{
		Upstream: pl.ID, Workspace: c.workspace, Deadline: min(limit, c.left()),
		ResumeAfter: resumeAfter, Model: model, Urgency: c.urgency(at, pl.queue),
	})
	req := dial.Request{
		Address: pl.Address, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: h, Body: c.body, HasBody: c.hasBody,
	}
	if !c.route.IsRepeatable() {
		req.MaxIdle = unsafeIdle
	}
	a := &attempt{asked: q, place: pl, cancel: cancel, sentAt: at}
	req.IsOwn = func(status int, h http.Header) bool {
		a.info = c.x.cfg.Protocol.ReadAnswer(status, h)
		return a.info.RequestID == "" || a.info.RequestID == c.info.ID
	}
	if c.streaming != nil {
		a.silence = time.AfterFunc(c.streaming.patience(false), func() { c.streaming.giveUp(a) })
	}
	answer, err := c.x.cfg.Pool.Do(ctx, req)
	if err != nil {
		return a, err
	}
	a.answer = answer
	return a, nil
}

// placeRequest asks for an upstream for a model; without one it is the caller's.
// isLater says that it is that of a later step of a cascade.
func (c *call) placeRequest(st *fleet.State, model string, isLater bool) placeRequest {
	if model == "" {
		model = c.info.Model
	}
	return placeRequest{
		service: c.service, draw: c.draw, prefix: promptPrefix(c.info.Prompt, model), salt: rand.Uint64(),
		work: c.work(st, model), isLater: isLater,
	}
}

// work returns what the request costs an upstream before its first event. The
// costs of the models stand for the time that they take.
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

// mayRepeatAt reports whether the request may go to an upstream that has had it.
func (c *call) mayRepeatAt() bool { return c.route.IsRepeatable() || !c.mayHaveRun }

// judge decides about an attempt that gave no answer or a refusal. The second
// result is false if the answer is the upstream's own word for the caller.
func (c *call) judge(a *attempt, err error) (verdict, bool) {
	switch {
	case a == nil:
		return verdict{outcome: outcomeNeutral, err: err}, true
	case err != nil && c.r.Context().Err() != nil:
		return verdict{outcome: outcomeNeutral, err: errCallerGone}, true
	case err != nil && !dial.WasSent(err):
		if contains(c.exclude, a.place.ID) {
			c.dead = append(c.dead, a.place.ID)
		}
		c.exclude = append(c.exclude, a.place.ID)
		c.x.cfg.Pool.Forget(a.place.Address)
		return verdict{
			outcome: outcomeUnreachable, mayRetry: true,
			err: c.refusal(jdaw.CodeUpstreamRefused, "no upstream could be reached"),
		}, true
	case err != nil:
		c.attempts++
		return c.broken(a, "the connection to the upstream broke: "+err.Error()), true
	case a.info.NotRun || a.info.IsOther:
		c.attempts++
		c.exclude = append(c.exclude, a.place.ID)
		o := outcomeShed
		if a.info.IsOther {
			o = outcomeReplaced
		}
		return verdict{
			outcome: o, mayRetry: true,
			err: c.refusal(jdaw.CodeUpstreamRefused, "the upstreams refused the request without running it"),
		}, true
	case !a.info.IsSigned || a.info.IsEncoded:
		c.attempts++
		return c.broken(a, "the answer is not the upstream's own"), true
	case a.answer.Status >= http.StatusInternalServerError:
		c.attempts++
		c.mayHaveRun = true
		c.exclude = append(c.exclude, a.place.ID)
		return verdict{outcome: outcomeFailed, mayRetry: c.route.IsRepeatable()}, c.route.IsRepeatable()
	}
	c.attempts++
	c.mayHaveRun = true
	return verdict{outcome: outcomeOK}, false
}

// broken is the verdict on an attempt that may have run.
func (c *call) broken(a *attempt, why string) verdict {
	c.mayHaveRun = true
	c.exclude = append(c.exclude, a.place.ID)
	v := verdict{outcome: outcomeFailed, mayRetry: c.route.IsRepeatable()}
	if c.ctx.Err() != nil {
		v.err = jdaw.Fail(jdaw.CodeUpstreamTimeout, "the upstream did not answer in time")
		return v
	}
	v.err = jdaw.Fail(jdaw.CodeOutcomeUnknown, "%s", why)
	return v
}

// refusal refuses the request as not run, unless an earlier attempt may have
// run it.
func (c *call) refusal(code jdaw.Code, format string, args ...any) error {
	if c.mayHaveRun {
		return jdaw.Fail(jdaw.CodeOutcomeUnknown, "an earlier attempt may have run; "+format, args...)
	}
	return jdaw.Fail(code, format, args...)
}

// mayTry reports whether another attempt is within all limits.
func (c *call) mayTry(v verdict) bool {
	if !v.mayRetry || c.ctx.Err() != nil || c.tries >= maxTries || c.attempts >= max(c.route.MaxAttempts, 1) {
		return false
	}
	if v.outcome == outcomeUnreachable {
		return true // nothing arrived
	}
	return c.x.budget.spend(c.service, 0)
}

// attemptLimit returns the time for one attempt.
func (c *call) attemptLimit() time.Duration {
	left := c.left()
	if c.route.Kind == config.RouteSafe && c.attempts+1 < c.route.MaxAttempts {
		return time.Duration(float64(left) * firstTryShare)
	}
	return left
}

// plain serves a request whose answer is passed on when it is whole.
func (c *call) plain() error {
	c.x.budget.earn(c.service)
	for {
		a, err := c.next("", c.info.ResumeAfter, c.attemptLimit())
		v, ended := c.judge(a, err)
		var held []byte
		if !ended || v.err == nil {
			held, err = readWhole(a.answer)
			if err != nil {
				v, ended = c.broken(a, "the answer was cut: "+err.Error()), true
			}
		}
		if a != nil {
			c.count(a, v)
			c.logAttempt(a, v)
			defer a.cancel()
			a.end(v.outcome)
		}
		if !ended {
			return c.writePlain(a.answer, held)
		}
		if c.mayTry(v) {
			continue
		}
		if v.err == nil {
			return c.writePlain(a.answer, held)
		}
		return v.err
	}
}

func readWhole(a *dial.Answer) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxPlainAnswer+1))
	if err == nil && len(b) > maxPlainAnswer {
		err = errors.Newf("more than %d bytes", maxPlainAnswer)
	}
	return b, err
}

// writePlain passes an upstream's answer on.
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

// count notes the outcome of an attempt for the guard of a roll-out. Refusals
// and lost connections say nothing of the version.
func (c *call) count(a *attempt, v verdict) {
	if a.gaveUp.Load() {
		c.x.cfg.Fleet.Count(fleet.Outcome{Service: c.service, Version: a.place.Version, IsTimed: true, IsSlow: true})
		return
	}
	if a.answer == nil || v.outcome == outcomeShed || v.outcome == outcomeReplaced {
		return
	}
	took := a.pace()
	if c.route.Kind != config.RouteStreaming {
		took = time.Since(a.sentAt)
	}
	o := fleet.Outcome{Service: c.service, Version: a.place.Version, Failed: a.answer.Status >= http.StatusInternalServerError}
	if took > 0 && !o.Failed && !a.isTimed {
		o = c.withSpeed(o, took)
	}
	c.x.cfg.Fleet.Count(o)
}

// countEarly counts the speed of a stream that goes on.
func (c *call) countEarly(a *attempt) {
	a.isTimed = true
	o := fleet.Outcome{Service: c.service, Version: a.place.Version, IsRunning: true}
	c.x.cfg.Fleet.Count(c.withSpeed(o, a.pace()))
}

// withSpeed compares a duration with those of the kind, which the stable
// version sets.
func (c *call) withSpeed(o fleet.Outcome, took time.Duration) fleet.Outcome {
	kind := c.route.Name
	if c.route.Kind == config.RouteStreaming {
		// The time between events is that of an upstream's batch, in which the
		// requests of all routes and models run together.
		kind = c.service
	}
	known := c.x.paces.of(kind)
	o.Speed, o.IsSlow, o.IsTimed = guard.Speed(took, known.usual), known.isSlow(took), true
	if r, ok := c.x.cfg.Fleet.State().Rollouts[c.service]; !ok || r.Version != o.Version {
		c.x.paces.learn(kind, took)
	}
	return o
}

func (c *call) logAttempt(a *attempt, v verdict) {
	if v.outcome == outcomeOK {
		return
	}
	fields := logrus.Fields{
		"request": c.info.ID, "upstream": a.place.ID, "address": a.place.Address, "version": a.place.Version,
		"outcome": v.outcome, "attempt": c.tries, "mayRetry": v.mayRetry, "tookMs": time.Since(a.sentAt).Milliseconds(),
		"revision": c.x.cfg.Fleet.State().Table.Revision, "candidates": a.place.candidates, "inUse": a.place.inUse,
	}
	if a.answer != nil {
		fields["status"] = a.answer.Status
	}
	if v.err != nil {
		fields["cause"] = v.err.Error()
	}
	c.x.cfg.Log.WithFields(fields).Info("attempt failed")
}
