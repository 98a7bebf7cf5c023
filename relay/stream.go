package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

const (
	// firstEventShare is the part of the target after which a stream without an
	// event goes to another upstream. With 0.6, a busy upstream's work was thrown
	// away and quiet days lost a tenth of their worth.
	firstEventShare = 1.5
	// gapFactor is the same for the longest good pause between events. A
	// shorter pause is that of a busy upstream and ends by itself.
	gapFactor = 1.5
	// minPatience keeps tight targets from giving up upstreams that only work.
	minPatience = 700 * time.Millisecond
	// eventBuffer holds most events whole.
	eventBuffer = 2 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

var errNoEnd = errors.New("the stream ended within an event")

// cascade is the state of a request whose model the system chooses.
type cascade struct {
	plan jdaw.PlanRequest
	step int
	// decision is what the last step was decided by, for the log.
	decision logrus.Fields
}

// stream serves a request whose answer is passed on event by event.
func (c *call) stream() error {
	c.x.budget.earn(c.service)
	s := &streaming{c: c, last: c.info.ResumeAfter}
	c.streaming = s
	c.startCascade(s)
	for {
		a, err := c.next(s.model(), s.last, c.left())
		v, ended := c.judge(a, err)
		if !ended && a.answer.Status == http.StatusOK {
			if s.escalate(a) {
				continue
			}
			err = s.pass(a)
			if err == nil {
				c.last = a
				c.count(a, v)
				a.end(outcomeOK)
				return nil
			}
			v, ended = c.broken(a, "the stream broke: "+err.Error()), true
			if errors.Is(err, errCallerGone) || c.r.Context().Err() != nil {
				v = verdict{outcome: outcomeNeutral, err: errCallerGone}
			}
		}
		if !ended {
			return c.passWhole(a, v.outcome)
		}
		if a != nil {
			c.count(a, v)
			c.logAttempt(a, v)
			a.end(v.outcome)
		}
		if s.hasBudget.Swap(false) || c.mayTry(v) {
			continue
		}
		if !c.isStarted {
			c.x.giveUps.earn()
		}
		if v.err == nil {
			v.err = jdaw.Fail(jdaw.CodeUpstreamFailed, "the upstreams failed the request")
		}
		return v.err
	}
}

// passWhole passes on an answer that is no stream.
func (c *call) passWhole(a *attempt, o outcome) error {
	body, err := readWhole(a.answer)
	if err != nil {
		a.end(outcomeFailed)
		return jdaw.Fail(jdaw.CodeOutcomeUnknown, "the answer was cut: %s", err)
	}
	a.end(o)
	return c.writePlain(a.answer, body)
}

// promptPrefix names the part of the prompt that other requests share, for one
// model: what one model has cached is of no use to another.
func promptPrefix(parts []jdaw.PromptPart, model string) uint64 {
	shared := sharedPart(parts)
	if shared == "" {
		return 0
	}
	return xxhash.Sum64String(model + "\x00" + shared)
}

// startCascade chooses the model to begin with.
func (c *call) startCascade(s *streaming) {
	c.model = c.info.Model
	models := c.route.Models
	if c.info.Model != "" || len(models) == 0 {
		return
	}
	st := c.x.cfg.Fleet.State()
	costs := st.Table.Services[c.service].Costs
	// The smallest and the largest: in between, a model costs the time of an
	// attempt and its answer is often rejected as well.
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
	s.cascade.plan.Remaining = c.left()
	s.cascade.step = c.x.cfg.Planner.Start(s.cascade.plan)
	c.model = chosen[s.cascade.step]
}

// streaming is a stream on its way to the caller.
type streaming struct {
	c       *call
	cascade *cascade
	last    string // id of the last event that the caller has
	// hasBudget says that the next attempt is paid for already.
	hasBudget atomic.Bool
}

// model returns the model to name to the upstream; empty leaves the caller's.
func (s *streaming) model() string {
	if s.cascade == nil {
		return ""
	}
	return s.c.model
}

// isEscalated reports whether a cascade has left its first model.
// A request that is no stream has none.
func (s *streaming) isEscalated() bool { return s != nil && s.cascade != nil && s.cascade.step > 0 }

// escalate drops the answer of a model that is not confident, if a larger one
// can still answer in time, and returns true if another attempt follows.
func (s *streaming) escalate(a *attempt) bool {
	c := s.c
	if s.cascade == nil || c.isStarted || a.info.Confidence < 0 {
		return false
	}
	plan := s.cascade.plan
	plan.Remaining = c.left()
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
	ok = ok && c.attempts < c.route.MaxAttempts && s.canEscalate(plan.Models[next]) && c.x.budget.spend(c.service, retryReserve)
	if !ok {
		return false // the line of the end tells the decision
	}
	c.x.cfg.Log.WithFields(s.cascade.decision).WithFields(logrus.Fields{"request": c.info.ID, "model": c.model}).
		Info("answer dropped for a larger model")
	c.count(a, verdict{outcome: outcomeOK})
	a.end(outcomeOK)
	s.cascade.step = next
	c.model = plan.Models[next]
	return true
}

// maxQueueShare is the largest part of the time left to the target that a later
// step of a cascade may wait at its upstream. The largest model takes ten times
// the upstreams' time of the smallest: without a bound, what waits for it also
// slows the streams that run there until they miss their deadlines.
const maxQueueShare = 0.9

// hasRoom reports whether a larger model may be asked behind work that takes
// its upstream this long. Only the work before the prompt counts, so that long
// prompts get it as often as short ones. Once the target is missed, a larger
// model is asked if nothing waits.
func hasRoom(wait, left time.Duration) bool {
	return wait <= time.Duration(maxQueueShare*float64(max(left, 0)))
}

// canEscalate reports whether the upstream of a larger model has room for the
// request.
func (s *streaming) canEscalate(model string) bool {
	c := s.c
	st := c.x.cfg.Fleet.State()
	at := time.Now()
	q, ok := c.x.placer.peek(at, st, c.placeRequest(st, model, true))
	wait := c.x.reading.predict(at, c.service, q.ahead)
	s.cascade.decision["queueMs"] = wait.Milliseconds()
	return ok && (c.route.Target <= 0 || hasRoom(wait, c.route.Target-at.Sub(c.began)))
}

// pass passes the events of one answer on. It returns nil at the whole end.
func (s *streaming) pass(a *attempt) error {
	c := s.c
	r := bufio.NewReaderSize(a.answer.Body, eventBuffer)
	for {
		event, id, err := readEvent(r)
		if err == io.EOF {
			a.last = time.Now()
			s.begin(a)
			return nil
		}
		if err != nil {
			return err
		}
		a.silence.Reset(s.patience(true))
		a.sawEvent(time.Now())
		if a.events == 1 && s.isEscalated() {
			c.x.reading.learn(a.first, c.service, a.place.queue, a.first.Sub(a.sentAt))
		}
		if a.events == earlyPaceEvents {
			c.countEarly(a)
		}
		if id != "" && !s.follows(id) {
			if isBefore(id, s.last) {
				continue
			}
			return errors.Newf("event %s does not follow %s", id, s.last)
		}
		s.begin(a)
		if _, err := c.w.Write(event); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		if err := http.NewResponseController(c.w).Flush(); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		if id != "" {
			s.last = id
		}
	}
}

// patience is the time to wait for the next event while another upstream may
// still take over.
func (s *streaming) patience(hasEvent bool) time.Duration {
	c := s.c
	if c.attempts >= c.route.MaxAttempts || !c.route.IsRepeatable() {
		return c.left()
	}
	limit := time.Duration(float64(c.route.Target) * firstEventShare)
	if hasEvent {
		limit = time.Duration(float64(c.route.MaxGap) * gapFactor)
	}
	return max(limit, minPatience)
}

// giveUp ends a silent attempt if another upstream can take over. Without one,
// silence is no reason to end an answer.
func (s *streaming) giveUp(a *attempt) {
	c := s.c
	q := a.asked
	q.exclude = []jdaw.UpstreamID{a.place.ID}
	_, hasPlace := c.x.placer.peek(time.Now(), c.x.cfg.Fleet.State(), q)
	if hasPlace && c.x.giveUps.spend(0) && c.x.budget.spend(c.service, 0) {
		s.hasBudget.Store(true)
		a.gaveUp.Store(true)
		a.cancel()
	}
}

// begin sends the head of the answer once; an answer that goes on at another
// upstream keeps that of its first.
func (s *streaming) begin(a *attempt) {
	c := s.c
	if c.isStarted {
		return
	}
	copyHeader(c.w.Header(), a.answer.Header)
	c.isStarted = true
	c.status = a.answer.Status
	c.x.giveUps.earn()
	c.w.WriteHeader(a.answer.Status)
}

// follows reports whether the event is the next one; only numbered ids tell.
func (s *streaming) follows(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.last == "" {
		return true
	}
	last, err := strconv.ParseInt(s.last, 10, 64)
	return err != nil || n == last+1
}

func isBefore(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	m, lastErr := strconv.ParseInt(last, 10, 64)
	return err == nil && lastErr == nil && n <= m
}

// readEvent reads one event with its blank line. It returns io.EOF at the end
// between events only.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull && len(event) < maxEvent {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(event)) > 0 {
			return nil, "", errNoEnd
		}
		if err != nil {
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
