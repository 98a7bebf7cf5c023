package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
	"jackdawbarrow/retry"
)

const (
	// hedgeBurst limits the hedges that a VM may send at once to a service.
	hedgeBurst = 3
	// occupancyWeight is the weight of one response in the mean occupancy that the
	// upstreams of a service state.
	occupancyWeight = 0.1
)

// hedgeResult says what became of a hedge.
type hedgeResult string

const (
	hedgeSent   hedgeResult = "sent"
	hedgeWon    hedgeResult = "won"    // its answer went to the caller
	hedgeWasted hedgeResult = "wasted" // it failed, or the first attempt answered
)

// latencyKey is the kind of answers that share an estimate.
type latencyKey struct{ route, service string }

// hedgedService is the state of a service whose upstreams state their slowdown.
type hedgedService struct {
	occupancy float64 // decayed mean of the slots in use as stated, 0..1 or above
	share     *tokenBucket
}

// hedges keeps what the hedges of a VM depend on. It is safe for concurrent use.
type hedges struct {
	extraShare float64 // 0 for no hedges

	mu       sync.Mutex
	latency  map[latencyKey]retry.Latency
	services map[string]*hedgedService
}

func newHedges(extraShare float64) *hedges {
	return &hedges{extraShare: extraShare, latency: map[latencyKey]retry.Latency{}, services: map[string]*hedgedService{}}
}

// observe records the load that an upstream states in a response.
func (h *hedges) observe(service string, load jdaw.LoadReport) {
	if h.extraShare <= 0 || load.Slowdown <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		// The bucket starts empty, so that the hedges of all VMs stay within the
		// share from the first request on.
		s = &hedgedService{share: &tokenBucket{refillTokens: h.extraShare, burst: hedgeBurst}}
		h.services[service] = s
	}
	if load.IsKnown() {
		stated := float64(load.Running+load.Waiting) / float64(load.Slots)
		s.occupancy += occupancyWeight * (stated - s.occupancy)
	}
}

// of returns the state of a service and an estimate; the service is nil if its
// upstreams state no slowdown.
func (h *hedges) of(key latencyKey) (*hedgedService, float64, retry.Latency) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[key.service]
	if s == nil {
		return nil, 0, retry.Latency{}
	}
	return s, s.occupancy, h.latency[key]
}

// learn updates an estimate by an answer, or by an attempt that was cancelled.
func (h *hedges) learn(key latencyKey, took time.Duration, isCancelled bool) {
	if h.extraShare <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if isCancelled {
		h.latency[key] = h.latency[key].WithCancelled(took)
		return
	}
	h.latency[key] = h.latency[key].With(took)
}

// answer is the end of one attempt of a plain request.
type answer struct {
	a       *attempt
	err     error // of the dispatch
	body    []byte
	bodyErr error
	memory  heldMemory // of the body
}

// exchange sends the attempt and reads the body of its response. It uses nothing of
// the call that changes, since a hedged call runs two at a time.
func (c *call) exchange(a *attempt) answer {
	r := answer{a: a, memory: heldMemory{budget: c.x.memory, conn: c.memory.conn}}
	if r.err = a.send(); r.err == nil && a.hasOwnBody() {
		r.body, r.bodyErr = r.memory.readBody(a.response.Body, maxPlainAnswer)
	}
	return r
}

// hasOwnBody reports whether the body of the response is the upstream's answer.
func (a *attempt) hasOwnBody() bool {
	return !a.info.NotRun && !a.info.IsOtherUpstream && a.info.IsSigned && !a.info.IsEncoded
}

// settle records the end of an attempt. The second result is false if its response
// is to be forwarded to the caller.
func (c *call) settle(r answer) (attemptResult, bool) {
	c.memory.bytes += r.memory.bytes
	if r.a.response != nil {
		c.notice(r.a)
	}
	v, ended := c.classify(r.a, r.err)
	if r.bodyErr != nil {
		v, ended = c.unknownOutcome(r.a, "the response was truncated", r.bodyErr), true
	}
	c.count(r.a, v)
	c.logAttempt(r.a, v)
	r.a.end(v.outcome)
	c.reportCrash(r.a, v)
	if !ended {
		c.upstream = r.a.reservation.ID
		if c.route.Kind == config.RouteSafe {
			c.x.hedges.learn(c.latencyKey(), time.Since(r.a.sentAt), false)
		}
	}
	return v, ended
}

func (c *call) latencyKey() latencyKey { return latencyKey{route: c.route.Name, service: c.service} }

// hedgeDelay returns the time after which a hedge may be sent, or false if none can
// follow in this attempt.
func (c *call) hedgeDelay() (time.Duration, bool) {
	if c.x.hedges.extraShare <= 0 || c.route.Kind != config.RouteSafe || c.hedgeSentAt != (time.Time{}) {
		return 0, false
	}
	_, _, latency := c.x.hedges.of(c.latencyKey())
	delay := latency.Delay()
	return delay, delay > 0 && delay < c.remaining()
}

// attemptPlain makes one attempt, and a second one beside it if the first is late.
// It returns when a whole answer has arrived or all attempts have ended.
func (c *call) attemptPlain(first *attempt) (answer, attemptResult, bool) {
	c.refillHedges()
	delay, mayHedge := c.hedgeDelay()
	if !mayHedge {
		r := c.exchange(first)
		v, ended := c.settle(r)
		return r, v, ended
	}
	answers := make(chan answer)
	over := make(chan struct{})
	defer close(over)
	c.launch(first, answers, over)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := []*attempt{first}
	var hedge *attempt
	var failure answer
	var failed attemptResult
	for {
		select {
		case <-timer.C:
			if hedge = c.hedge(first); hedge != nil {
				c.launch(hedge, answers, over)
				running = append(running, hedge)
			}
		case r := <-answers:
			timer.Stop()
			v, ended := c.settle(r)
			running = without(running, r.a)
			if !ended {
				c.cancelLosers(running)
				c.logHedge(hedge, r.a)
				return r, v, false
			}
			// A failure that an upstream answered is better than none.
			if failure.a == nil || v.err == nil || failed.err != nil {
				failure, failed = r, v
			}
			if len(running) == 0 {
				c.logHedge(hedge, nil)
				return failure, failed, true
			}
		}
	}
}

// launch makes an attempt beside the call. An attempt that ends after the call is
// over is dropped.
func (c *call) launch(a *attempt, answers chan<- answer, over <-chan struct{}) {
	go func() {
		r := c.exchange(a)
		select {
		case answers <- r:
		case <-over:
			if a.response != nil {
				c.notice(a)
			}
			a.end(outcomeNeutral)
			r.memory.conn = nil // serves the caller's next request by now
			r.memory.release()
		}
	}()
}

func without(list []*attempt, a *attempt) []*attempt {
	kept := make([]*attempt, 0, len(list))
	for _, x := range list {
		if x != a {
			kept = append(kept, x)
		}
	}
	return kept
}

// cancelLosers cancels attempts whose answer is no longer needed, which closes their
// connections and so stops their upstreams.
func (c *call) cancelLosers(running []*attempt) {
	for _, a := range running {
		a.cancel()
		c.attempts++
		c.x.hedges.learn(c.latencyKey(), time.Since(a.sentAt), true)
	}
}

// refillHedges adds the share of one request to the hedges of its service.
func (c *call) refillHedges() {
	if c.dispatches != 1 {
		return
	}
	if s, _, _ := c.x.hedges.of(c.latencyKey()); s != nil {
		s.share.refill()
	}
}

// hedge reserves an upstream for a second attempt beside the first, or returns nil
// if there must be none.
func (c *call) hedge(first *attempt) *attempt {
	st := c.x.cfg.Fleet.State()
	at := time.Now()
	q := c.pickRequest(st, "", false)
	unfit, occupancy := c.x.picker.hedgeRoom(at, st, q)
	q.exclude = append(append(unfit, c.exclude...), first.reservation.ID)
	if _, ok := c.x.picker.peek(at, st, q); !ok || c.checkQuarantine(at) != nil {
		return nil
	}
	service, stated, latency := c.x.hedges.of(c.latencyKey())
	_, isInRollout := st.Rollouts[c.service]
	request := c.retryRequest()
	request.Attempts, request.MayHaveRun = first.attempts, true
	verdict := retry.DecideHedge(request, retry.Hedge{
		Elapsed: at.Sub(first.sentAt), Latency: latency, IsHedged: c.hedgeSentAt != (time.Time{}), IsStated: service != nil,
		IsInRollout: isInRollout, Occupancy: max(stated, occupancy),
	}, func() bool { return c.takeHedge(service) })
	if verdict != retry.Allowed {
		c.x.cfg.Log.WithFields(logrus.Fields{"request": c.info.ID, "service": c.service, "verdict": verdict}).Debug("no hedge")
		return nil
	}
	res, ok := c.x.picker.pick(at, st, q)
	if !ok {
		return nil
	}
	c.hedgeSentAt = at
	c.x.cfg.Metrics.hedged(c.service, hedgeSent)
	c.x.cfg.Log.WithFields(logrus.Fields{
		"request": c.info.ID, "service": c.service, "first": first.reservation.ID, "upstream": res.ID, "address": res.Address,
		"waitedMs": at.Sub(first.sentAt).Milliseconds(), "delayMs": latency.Delay().Milliseconds(), "occupancy": max(stated, occupancy),
	}).Info("hedge sent")
	return c.newAttempt(at, q, res, "", c.info.ResumeAfter, c.remaining())
}

// takeHedge takes one hedge from the operator's share and from the retry budget.
func (c *call) takeHedge(s *hedgedService) bool {
	if !s.share.take(0) {
		return false
	}
	if !c.x.retryBudget.take(c.service, retryReserve) {
		s.share.put()
		return false
	}
	return true
}

// logHedge records what became of a hedge; winner is nil if all attempts failed.
func (c *call) logHedge(hedge, winner *attempt) {
	if hedge == nil {
		return
	}
	result := hedgeWasted
	if hedge == winner {
		result = hedgeWon
	}
	c.x.cfg.Metrics.hedged(c.service, result)
	c.x.cfg.Log.WithFields(logrus.Fields{
		"request": c.info.ID, "service": c.service, "upstream": hedge.reservation.ID, "result": result,
		"tookMs": time.Since(hedge.sentAt).Milliseconds(),
	}).Info("hedge ended")
}

// hedgeRoom returns the upstreams that must get no hedge, because they are cold,
// ejected, outliers or have no free slot, and the share of slots in use at all that
// serve the request. It counts the requests of all VMs as far as they are known. An
// upstream that has just rejected or failed requests counts as full.
func (p *picker) hedgeRoom(at time.Time, st *fleet.State, q pickRequest) (unfit []jdaw.UpstreamID, occupancy float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others jdaw.Backlog
	var outliers map[jdaw.UpstreamKey]bool
	if p.backlogs != nil {
		others, outliers = p.backlogs.Others(), p.backlogs.Outliers()
	}
	busy, slots := 0, 0
	list := st.Upstreams[q.service]
	for i := range list {
		u := &list[i]
		if !isEligible(st, u, q) {
			continue
		}
		s := p.stateOf(u)
		n := max(u.Slots, 1)
		used := min(s.inUse+int(others[s.key].Running), n)
		if at.Before(s.ejectedUntil) || at.Before(s.replacedUntil) || s.notices.forbidsRequests(at) {
			used = n
		}
		if used == n || p.isCold(at, u, s) || outliers[s.key] {
			unfit = append(unfit, u.ID)
		}
		busy += used
		slots += n
	}
	if slots == 0 {
		return unfit, 1
	}
	return unfit, float64(busy) / float64(slots)
}
