package relay

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

const (
	// defaultRetryAfter is sent in the Retry-After header. Most refusals end with
	// the next change of the list of upstreams.
	defaultRetryAfter = 300 * time.Millisecond
	// retrySpread is the share of a pause by which the return of callers is spread
	// after its end.
	retrySpread = 0.25
)

// retryAfter returns when the caller should repeat a refused request: after the
// end of the quarantine of a part of its prompt. If all
// upstreams have paused the requests of this VM, that is when the first pause
// ends; callers return one by one, since the upstreams were overloaded.
func (c *call) retryAfter(code jdaw.Code) time.Duration {
	if code == jdaw.CodeQuarantined {
		return max(time.Until(c.quarantineEnd), defaultRetryAfter).Round(time.Second)
	}
	if c.admitted.rejection != nil {
		return c.admitted.rejection.RetryAfter.Round(time.Millisecond)
	}
	if code != jdaw.CodeNoUpstream && code != jdaw.CodeUpstreamRefused {
		return defaultRetryAfter
	}
	st := c.x.cfg.Fleet.State()
	pause := c.x.picker.nextReturn(time.Now(), st, c.pickRequest(st, "", false))
	if pause <= 0 {
		return defaultRetryAfter
	}
	spread := rand.Float64() * retrySpread * float64(pause)
	return (pause + time.Duration(spread)).Round(time.Millisecond)
}

// problem is the body of an error response of the router.
type problem struct {
	Code      jdaw.Code  `json:"code"`
	Name      string     `json:"name"`
	Message   string     `json:"message"`
	Ran       jdaw.Ran   `json:"ran"`
	Retry     jdaw.Retry `json:"retry"`
	RequestID string     `json:"requestId"`
}

// finish writes an error response if there is an error, and logs the result.
func (c *call) finish(err error) {
	took := time.Since(c.startedAt)
	code := jdaw.CodeOK
	message := ""
	if err != nil {
		code = jdaw.CodeOf(err).Code
		message = err.Error()
	}
	gone := errors.Is(err, errCallerGone) || err != nil && c.r.Context().Err() != nil
	if err != nil && !gone && !c.isStarted {
		c.writeProblem(err)
	}
	c.x.cfg.Metrics.observe(c.route.Name, code, gone, took)
	c.logEnd(code, message, gone, took)
	if err != nil && (gone || c.isStarted) {
		// Abort the connection, so that the truncated response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) logEnd(code jdaw.Code, message string, gone bool, took time.Duration) {
	entry := c.x.cfg.Log.WithFields(logrus.Fields{
		"request": c.info.ID, "route": c.route.Name, "service": c.service, "workspace": c.workspace,
		"upstream": c.upstream, "model": c.model, "attempts": c.attempts, "tries": c.dispatches,
		"status": c.status, "code": int(code), "callerGone": gone, "tookMs": took.Milliseconds(),
	})
	if a := c.last; a != nil {
		entry = entry.WithFields(logrus.Fields{
			"version": a.reservation.Version, "candidates": a.reservation.candidates, "inUse": a.reservation.inUse,
			"relativeTime": math.Round(a.reservation.relativeTime*100) / 100,
			"ahead":        int(a.reservation.queue.ahead), "isHome": a.reservation.queue.hasAffinity, "promptTokens": c.info.PromptTokens,
			"events": a.events, "firstEventMs": a.first.Sub(a.sentAt).Milliseconds(), "paceUs": a.interEventTime().Microseconds(),
		})
	}
	entry = entry.WithFields(c.queueFields())
	if s := c.streaming; s != nil && s.cascade != nil {
		entry = entry.WithFields(s.cascade.decision)
	}
	if message == "" {
		entry.Info("request ended")
		return
	}
	entry.WithField("cause", message).Info("request ended")
}

// writeProblem writes an error response of the router.
func (c *call) writeProblem(err error) {
	coded := jdaw.CodeOf(err)
	info := coded.Code.Info()
	c.status = info.Status
	body, encodeErr := json.Marshal(problem{
		Code: coded.Code, Name: info.Name, Message: coded.Message, Ran: info.Ran, Retry: info.Retry, RequestID: c.info.ID,
	})
	if encodeErr != nil {
		c.x.cfg.Log.WithError(encodeErr).Error("error response not encoded")
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if info.Ran == jdaw.NotRun && info.Retry != jdaw.RetryNo {
		h.Set("Retry-After", strconv.FormatFloat(c.retryAfter(coded.Code).Seconds(), 'f', -1, 64))
	}
	c.isStarted = true
	c.w.WriteHeader(c.status)
	if _, err := c.w.Write(body); err != nil {
		c.x.cfg.Log.WithError(err).Debug("error response not written")
	}
	c.isStarted = false
}
