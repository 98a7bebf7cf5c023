package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/retry"
)

const (
	// firstEventShare times the target is the timeout for the first event, after
	// which another upstream is tried. With 0.6, the work of busy upstreams was
	// wasted, which cost a tenth of the result on days of low load.
	firstEventShare = 1.5
	// gapFactor times the route's longest acceptable gap is the idle timeout
	// between events. Shorter gaps are those of a busy upstream.
	gapFactor = 1.5
	// minIdleTimeout keeps tight targets from abandoning upstreams that make progress.
	minIdleTimeout = 700 * time.Millisecond
	// eventBuffer holds most events whole.
	eventBuffer = 2 << 10
	// maxEvent limits the size of one event in bytes.
	maxEvent = 1 << 20
)

var (
	errTruncatedEvent = errors.New("the stream ended in the middle of an event")
	errMalformedEvent = errors.New("a line of an event is no field")
	errNoEvent        = errors.New("the connection ended before the first event")
)

// cascade is the state of a request whose model the router selects.
type cascade struct {
	plan jdaw.PlanRequest
	step int
	// decision holds the log fields of the last escalation decision.
	decision logrus.Fields
}

// stream serves a request whose response is forwarded event by event.
func (c *call) stream() error {
	c.x.retryBudget.refill(c.service)
	s := &streaming{c: c, last: c.info.ResumeAfter}
	c.streaming = s
	c.startCascade(s)
	for {
		a, err := c.dispatch(s.model(), s.last, c.remaining())
		v, ended := c.classify(a, err)
		if !ended && !s.canContinue(a) {
			v, ended = c.brokenStream(a), true
		}
		if !ended && a.response.Status == http.StatusOK {
			if s.escalate(a) {
				continue
			}
			err = s.forwardEvents(a)
			if err == nil {
				c.last = a
				c.count(a, v)
				a.end(outcomeOK)
				c.reportAnswer(a.last)
				c.observeAnswer(a.last, s.firstAt)
				return nil
			}
			v, ended = c.unknownOutcome(a, "the stream broke", err), true
			if errors.Is(err, errCallerGone) || c.r.Context().Err() != nil {
				v = attemptResult{outcome: outcomeNeutral, err: errCallerGone}
			}
		}
		if !ended {
			return c.forwardWhole(a, v.outcome)
		}
		if a != nil {
			c.count(a, v)
			c.logAttempt(a, v)
			a.end(v.outcome)
			c.reportCrash(a, v)
		}
		if c.canRetry(v, s.isPrepaid.Swap(false)) {
			continue
		}
		if !c.isStarted {
			c.x.abandonBudget.refill()
		}
		if v.err == nil {
			v.err = jdaw.Fail(jdaw.CodeUpstreamFailed, "the upstreams failed the request")
		}
		return v.err
	}
}

// canContinue reports whether a response can go on with a stream that another
// upstream began.
func (s *streaming) canContinue(a *attempt) bool {
	return !s.c.isStarted || a.response.Status == s.c.status && mediaType(a.response.Header) == s.mediaType
}

func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// brokenStream returns the result of an attempt whose response is no continuation
// of the stream.
func (c *call) brokenStream(a *attempt) attemptResult {
	c.exclude = append(c.exclude, a.reservation.ID)
	return attemptResult{
		outcome: outcomeNeutral, mayRetry: c.route.IsRepeatable(),
		err: jdaw.Fail(jdaw.CodeStreamBroken, "the next upstream answered with status %d and type %q", a.response.Status, mediaType(a.response.Header)),
	}
}

// forwardWhole forwards a response that is not a stream.
func (c *call) forwardWhole(a *attempt, o outcome) error {
	body, err := c.memory.readBody(a.response.Body, maxPlainAnswer)
	if err != nil {
		v := c.unknownOutcome(a, "the response was truncated", err)
		a.end(v.outcome)
		c.reportCrash(a, v)
		return v.err
	}
	a.end(o)
	return c.writePlain(a.response, body)
}

// prefixHash hashes the shared prompt prefix and the model: models don't share
// KV caches.
func prefixHash(parts []jdaw.PromptPart, model string) uint64 {
	shared := sharedPart(parts)
	if shared == "" {
		return 0
	}
	return xxhash.Sum64String(model + "\x00" + shared)
}

// startCascade selects the first model.
func (c *call) startCascade(s *streaming) {
	c.model = c.info.Model
	models := c.route.Models
	if c.info.Model != "" || len(models) == 0 {
		return
	}
	st := c.x.cfg.Fleet.State()
	costs := st.Table.Services[c.service].Costs
	// Use only the smallest and the largest: a model in between costs the time
	// of an attempt, and its response is often rejected as well.
	chosen := []string{models[0]}
	if len(models) > 1 {
		chosen = append(chosen, models[len(models)-1])
	}
	s.cascade = &cascade{plan: jdaw.PlanRequest{
		Workspace: c.workspace, Task: c.route.Name, Models: chosen, Target: c.x.cfg.QualityTarget,
	}}
	for _, m := range chosen {
		s.cascade.plan.Costs = append(s.cascade.plan.Costs, costs[m])
	}
	s.cascade.plan.Remaining = c.untilEnd()
	s.cascade.step = c.x.cfg.Planner.Start(s.cascade.plan)
	c.model = chosen[s.cascade.step]
}

// streaming is the state of a stream to the caller.
type streaming struct {
	c       *call
	cascade *cascade
	last    string    // ID of the last event sent to the caller
	firstAt time.Time // when the response head was sent
	// mediaType is that of the response whose head was sent.
	mediaType string
	// isPrepaid is set if the budget for the next retry was already taken.
	isPrepaid atomic.Bool
	// isUnmarked is set if events without an ID were sent to the caller, after
	// which no other upstream can continue the stream.
	isUnmarked atomic.Bool
}

// canResume reports whether another upstream can go on after what was sent to the
// caller. It is false for nil, which stands for a request that is not a stream.
func (s *streaming) canResume() bool { return s != nil && !s.isUnmarked.Load() }

// model returns the model to request from the upstream; empty for the caller's.
func (s *streaming) model() string {
	if s.cascade == nil {
		return ""
	}
	return s.c.model
}

// isEscalated reports whether a cascade is past its first model. It is false
// for nil, which stands for a request that is not a stream.
func (s *streaming) isEscalated() bool { return s != nil && s.cascade != nil && s.cascade.step > 0 }

// escalate drops a low-confidence response if a larger model can still answer in
// time, and returns true if another attempt follows.
func (s *streaming) escalate(a *attempt) bool {
	c := s.c
	if s.cascade == nil || c.isStarted || a.info.Confidence < 0 {
		return false
	}
	plan := s.cascade.plan
	plan.Remaining = c.untilEnd()
	rating := float64(a.info.Confidence) / 100
	next, ok := c.x.cfg.Planner.Next(plan, s.cascade.step, true, rating)
	c.x.cfg.Learner.Learn(jdaw.StepOutcome{
		Workspace: plan.Workspace, Task: plan.Task, Model: plan.Models[s.cascade.step],
		Rated: true, Rating: rating, Accepted: rating >= plan.Target, Escalated: s.cascade.step > 0,
		Duration: time.Since(a.sentAt), Tokens: c.info.PromptTokens/4 + c.info.OutputTokens,
	})
	s.cascade.decision = logrus.Fields{
		"confidence": a.info.Confidence, "target": plan.Target, "remainingMs": plan.Remaining.Milliseconds(),
	}
	ok = ok && s.canEscalate(plan.Models[next]) && retry.Decide(c.retryRequest(), retry.CauseEscalated, func() bool {
		return c.x.retryBudget.take(c.service, retryReserve)
	}) == retry.Allowed
	if !ok {
		return false // the decision is logged with the end of the request
	}
	c.x.cfg.Log.WithFields(s.cascade.decision).WithFields(logrus.Fields{"request": c.info.ID, "model": c.model}).
		Info("answer dropped for a larger model")
	c.count(a, attemptResult{outcome: outcomeOK})
	a.end(outcomeOK)
	s.cascade.step = next
	c.model = plan.Models[next]
	return true
}

// maxQueueShare limits the queueing time of an escalation, as a share of the
// time left to the target. The largest model takes ten times the upstreams' time
// of the smallest: without a limit, its queue also slows the running streams
// until they miss their deadlines.
const maxQueueShare = 0.9

// fitsQueue reports whether an escalation may queue for queueTime. Only the work
// ahead of the prompt counts, so that long prompts escalate as often as short
// ones. Once the target is missed, an escalation requires an empty queue.
func fitsQueue(queueTime, left time.Duration) bool {
	return queueTime <= time.Duration(maxQueueShare*float64(max(left, 0)))
}

// canEscalate reports whether the queue of the larger model's upstream is short
// enough.
func (s *streaming) canEscalate(model string) bool {
	c := s.c
	st := c.x.cfg.Fleet.State()
	at := time.Now()
	q, ok := c.x.picker.peek(at, st, c.pickRequest(st, model, true))
	queueTime := c.x.prefillRates.predict(at, c.service, q.ahead)
	s.cascade.decision["queueMs"] = queueTime.Milliseconds()
	return ok && (c.route.Target <= 0 || fitsQueue(queueTime, c.route.Target-at.Sub(c.startedAt)))
}

// forwardEvents forwards the events of one response. It returns nil if the
// stream is complete.
func (s *streaming) forwardEvents(a *attempt) error {
	c := s.c
	r := bufio.NewReaderSize(a.response.Body, eventBuffer)
	held := c.memory.bytes
	for {
		// The slice of an event doubles when it grows.
		event, id, err := readEvent(r, func(size int) error { return c.memory.grow(held + 2*int64(size)) })
		if err == io.EOF && a.events == 0 && s.last == "" && !a.response.IsFramed() {
			return errNoEvent
		}
		if err == io.EOF {
			a.last = time.Now()
			s.writeHead(a)
			return nil
		}
		if err != nil {
			return err
		}
		a.idleTimer.Reset(s.idleTimeout(a, true))
		a.sawEvent(time.Now())
		if a.events == 1 {
			c.reportBegun(a.first)
		}
		if a.events == 1 && s.isEscalated() {
			c.x.prefillRates.observe(a.first, c.service, a.reservation.queue, a.first.Sub(a.sentAt))
		}
		if a.events == earlyTimedEvents {
			c.countEarly(a)
		}
		if id != "" && !s.isNext(id) {
			if isBefore(id, s.last) {
				continue
			}
			return errors.Newf("event %s does not follow %s", id, s.last)
		}
		s.writeHead(a)
		if _, err := c.w.Write(event); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		if err := http.NewResponseController(c.w).Flush(); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		if id != "" {
			s.last = id
		}
		if s.last == "" {
			s.isUnmarked.Store(true)
		}
	}
}

// idleTimeout is the time to wait for the next event; without a possible retry,
// the time to the deadline.
func (s *streaming) idleTimeout(a *attempt, hasEvent bool) time.Duration {
	c := s.c
	if a.attempts >= c.route.MaxAttempts || !c.route.IsRepeatable() {
		return c.remaining()
	}
	limit := time.Duration(float64(c.route.Target) * firstEventShare)
	if hasEvent {
		limit = time.Duration(float64(c.route.MaxGap) * gapFactor)
	}
	return max(limit, minIdleTimeout)
}

// abandon cancels an attempt after its idle timeout if another upstream can take
// over; otherwise the attempt continues.
func (s *streaming) abandon(a *attempt) {
	c := s.c
	q := a.request
	q.exclude = []jdaw.UpstreamID{a.reservation.ID}
	_, hasPlace := c.x.picker.peek(time.Now(), c.x.cfg.Fleet.State(), q)
	if !hasPlace {
		return
	}
	// The state of the call belongs to its own goroutine; the attempt has a copy.
	verdict := retry.Decide(retry.Request{
		IsRepeatable: c.route.IsRepeatable(), MayHaveRun: true, IsCallerGone: c.r.Context().Err() != nil, Remaining: c.timeLeft(),
		Attempts: a.attempts, MaxAttempts: c.route.MaxAttempts, Dispatches: a.dispatches,
		HasBegun: !s.canResume(), CanContinue: s.canResume(),
	}, retry.CauseAbandoned, func() bool { return c.x.abandonBudget.take(0) && c.x.retryBudget.take(c.service, 0) })
	if verdict == retry.Allowed {
		s.isPrepaid.Store(true)
		a.isAbandoned.Store(true)
		a.cancel()
	}
}

// writeHead sends the response header once; a stream that is resumed at another
// upstream keeps the first header.
func (s *streaming) writeHead(a *attempt) {
	c := s.c
	if c.isStarted {
		return
	}
	copyHeader(c.w.Header(), a.response.Header)
	c.isStarted = true
	s.firstAt = time.Now()
	c.status = a.response.Status
	s.mediaType = mediaType(a.response.Header)
	c.x.abandonBudget.refill()
	c.w.WriteHeader(a.response.Status)
}

// isNext reports whether the event is the next one; IDs that aren't numbers
// always pass.
func (s *streaming) isNext(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.last == "" {
		return true
	}
	last, err := strconv.ParseInt(s.last, 10, 64)
	return err != nil || n == last+1
}

// isField reports whether a line is a field of an event: a name with a colon, or
// one of the standard names alone.
func isField(line []byte) bool {
	if bytes.IndexByte(line, ':') >= 0 {
		return true
	}
	switch string(line) {
	case "data", "id", "event", "retry":
		return true
	}
	return false
}

func isBefore(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	m, lastErr := strconv.ParseInt(last, 10, 64)
	return err == nil && lastErr == nil && n <= m
}

// readEvent reads one event with its blank line. It returns io.EOF only at an
// end between events. grow reserves memory for an event of a size in bytes.
func readEvent(r *bufio.Reader, grow func(size int) error) (event []byte, id string, err error) {
	lineStart := 0 // a line may come in several pieces
	for {
		line, err := r.ReadSlice('\n')
		if len(event)+len(line) > maxEvent {
			return nil, "", errLongEvent
		}
		if growErr := grow(len(event) + len(line)); growErr != nil {
			return nil, "", growErr
		}
		event = append(event, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(event)) > 0 {
			return nil, "", errTruncatedEvent
		}
		if err != nil {
			return nil, "", err
		}
		text := bytes.TrimRight(event[lineStart:], "\r\n")
		lineStart = len(event)
		if len(text) == 0 {
			return event, id, nil
		}
		if !isField(text) {
			return nil, "", errMalformedEvent
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
