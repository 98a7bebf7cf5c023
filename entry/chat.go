package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// sampleNeverInRollout is not below any share of a roll-out.
const sampleNeverInRollout = 1

// maxIdleResumes bounds consecutive resumes without a new chunk.
const maxIdleResumes = 1

// chatRequest is a chat request after validation.
type chatRequest struct {
	*request
	fields chatFields
	choice choice
	stream bool // answer as server-sent events
	sse    *sseWriter
}

// answer is the result of one model.
type answer struct {
	credit       jdaw.Credit
	target       target
	text         strings.Builder
	position     int // chunks received
	finishReason string
	promptTokens int
	outputTokens int
	duration     time.Duration // of all attempts

	// Of the last attempt:
	startPosition int // position of its first chunk
	dispatched    time.Time
	firstToken    time.Duration
	incarnation   string
	leaving       bool
}

func (e *Entry) chat(w http.ResponseWriter, hr *http.Request, _ httprouter.Params, snap *config.Snapshot) {
	r, err := e.newRequest(w, hr, "chat", snap)
	if err != nil {
		e.refuse(w, hr, "", "", err)
		return
	}
	defer r.cancel()
	c, err := r.newChat()
	if err != nil {
		e.refuse(w, hr, "", r.workspace, err)
		return
	}
	if done := c.forwardOrOpen(); done {
		return
	}
	stored, err := r.claim()
	if err != nil {
		c.answerError(err)
		return
	}
	if stored != nil {
		r.replay()
		c.deliverStored(*stored)
		return
	}
	c.run()
}

func (r *request) newChat() (*chatRequest, error) {
	fields, err := parseChat(r.body)
	if err != nil {
		return nil, err
	}
	ch, err := r.choose(*fields.Model)
	if err != nil {
		return nil, err
	}
	return &chatRequest{request: r, fields: fields, choice: ch, stream: fields.Stream && !r.forwarded}, nil
}

// forwardOrOpen returns true if the request has been answered.
func (c *chatRequest) forwardOrOpen() bool {
	forwarded, done, err := c.forward()
	if err != nil {
		c.e.refuse(c.w, c.http, "", c.workspace, err)
		return true
	}
	if done {
		c.id = forwarded.RequestID
		c.w.Header().Set(headerRequestID, string(c.id))
		c.deliverStored(jdaw.StoredAnswer{Status: forwarded.Status, ContentType: forwarded.ContentType, Body: forwarded.Body})
		return true
	}
	if err := c.open(""); err != nil {
		c.e.refuse(c.w, c.http, "", c.workspace, err)
		return true
	}
	return false
}

// run produces the answer, settles the bill and writes the end of the answer.
func (c *chatRequest) run() {
	var a *answer
	var err error
	if c.choice.cascade != nil {
		a, err = c.runCascade()
	} else {
		a, err = c.runSingleModel()
	}
	if err != nil {
		c.answerError(err)
		return
	}
	c.deliver(a)
}

// runSingleModel runs a request without a cascade.
func (c *chatRequest) runSingleModel() (*answer, error) {
	c.bill.Steps = 1
	a, err := c.runModel(c.choice.model, c.callerSink())
	if err != nil {
		c.billPartial(a)
		return nil, err
	}
	c.addCost(a)
	c.releaseAfterRating(a, c.inRollout(a.credit.Version.Model), nil)
	return a, nil
}

// callerSink returns the sink that streams chunks to the caller.
func (c *chatRequest) callerSink() func(a *answer, text string) error {
	if !c.stream {
		return func(*answer, string) error { return nil }
	}
	return func(a *answer, text string) error {
		if c.sse == nil {
			if err := c.openStream(a); err != nil {
				return err
			}
		}
		// A keyed request continues without its caller, who may fetch the
		// stored answer later.
		if err := c.sse.chunk(text); err != nil && !c.claimed {
			return err
		}
		return nil
	}
}

func (c *chatRequest) openStream(a *answer) error {
	if err := c.setHeaders(a); err != nil {
		return err
	}
	c.sse = newSSEWriter(c.w, c.id, c.start.Unix(), a.credit.Version.String())
	return nil
}

// setHeaders adds the version, and the token of a new session.
func (c *chatRequest) setHeaders(a *answer) error {
	c.w.Header().Set(headerModel, a.credit.Version.String())
	if c.choice.start == "" {
		return nil
	}
	token, err := signSession(c.e.cfg.Config.Snapshot().Doc.SessionKeys, session{
		Workspace: c.workspace, Session: c.choice.start, Model: a.credit.Version.Model, Version: a.credit.Version.Version,
	})
	c.w.Header().Set(headerSession, token)
	return err
}

// chatTarget returns a target with the permitted versions of a model, or with
// the version of the answer once chunks of it have been received.
func (c *chatRequest) chatTarget(model string, a *answer) target {
	return target{
		prefix: c.fields.prefixHash(),
		kind: func(snap *config.Snapshot) string {
			m, _ := snap.Model(model)
			return m.Kind
		},
		versions: func(snap *config.Snapshot) ([]jdaw.ModelVersion, error) {
			if a.position == 0 {
				return c.versions(snap, c.choice, model)
			}
			return c.exactVersion(snap, choice{exact: a.credit.Version, pinned: c.choice.pinned})
		},
		allowed: func(snap *config.Snapshot, credit jdaw.Credit) error {
			if !snap.IsAllowed(c.workspace, credit.Version) {
				return errStaleCredit
			}
			return nil
		},
	}
}

// runModel reads the complete answer of a model and passes each chunk to sink.
// The credit of a complete answer is still held; the caller releases it. On
// error, the returned answer holds what was received.
func (c *chatRequest) runModel(model string, sink func(a *answer, text string) error) (*answer, error) {
	began := c.e.cfg.Clock.Now()
	a := &answer{}
	a.target = c.chatTarget(model, a)
	first := true
	for {
		credit, err := c.acquire(a.target)
		if err != nil {
			return a, err
		}
		if first {
			c.e.budget(credit.Pool).earn()
			first = false
		}
		if a.position > 0 {
			c.e.metrics.resumed(c.ctx, "continued")
			c.e.record("resumed", c.id, c.workspace, credit.Upstream, "continued")
		}
		a.credit = credit
		err = c.attempt(a, sink)
		if err == nil {
			a.duration = c.e.cfg.Clock.Now().Sub(began)
			return a, nil
		}
		c.recordAttemptError(err)
		c.releaseAnswer(a, c.outcomeOf(err, a.position))
		if c.callerGone || !c.mayRetry(credit, err) {
			return a, err
		}
		// A roll-out must not make requests fail: after a failed attempt, the
		// retry runs on the stable version.
		c.choice.sample = sampleNeverInRollout
	}
}

// attempt runs the request on the upstream of the credit, starting at the
// current position.
func (c *chatRequest) attempt(a *answer, sink func(a *answer, text string) error) error {
	a.startPosition = a.position
	a.dispatched = c.e.cfg.Clock.Now()
	a.firstToken = 0
	if err := c.beginDispatch(); err != nil {
		return err
	}
	q := jdaw.ChatRequest{
		RequestID: c.id, Version: a.credit.Version, Body: c.body, Priority: c.outlet.Priority,
		Position: a.startPosition, Text: a.text.String(), UseBefore: a.credit.UseBefore,
	}
	a.incarnation, a.leaving = "", false
	c.e.record("dispatched", c.id, c.workspace, a.credit.Upstream, a.credit.Version.String())
	stream, err := c.e.cfg.Engine.Chat(c.ctx, a.credit.Address, q)
	if err != nil {
		a.leaving = isLeaving(err)
		return err
	}
	defer func() { stream.Close() }()
	c.e.cfg.Credits.Started(a.credit, stream.UpstreamIncarnation())
	idle := 0
	for {
		a.incarnation = stream.UpstreamIncarnation()
		a.leaving = isLeaving(stream)
		before := a.position
		err := c.readChunks(a, stream, sink)
		if err == nil {
			return nil
		}
		if a.position > before {
			idle = 0
		}
		if idle >= maxIdleResumes || stream.StreamID() == "" || c.ctx.Err() != nil || jdaw.CodeOf(err).Code != jdaw.CodeStreamBroken {
			return err
		}
		idle++
		resumed, failed := c.e.cfg.Engine.Chat(c.ctx, a.credit.Address, jdaw.ChatRequest{
			RequestID: c.id, Version: a.credit.Version, StreamID: stream.StreamID(), StreamStart: a.startPosition, Position: a.position,
		})
		if failed != nil {
			// A restarted upstream cannot resume; its new incarnation is
			// reported to the owner.
			if resumed != nil && resumed.UpstreamIncarnation() != "" {
				a.incarnation = resumed.UpstreamIncarnation()
			}
			return err
		}
		// Closing the broken stream would cancel the resumed one.
		stream = resumed
		c.e.metrics.resumed(c.ctx, "resumed")
		c.e.record("resumed", c.id, c.workspace, a.credit.Upstream, "same upstream")
	}
}

// readChunks reads chunks up to the final one. Its loop runs once per token.
func (c *chatRequest) readChunks(a *answer, stream jdaw.ChatStream, sink func(a *answer, text string) error) error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		if a.firstToken == 0 {
			a.firstToken = max(1, c.e.cfg.Clock.Now().Sub(a.dispatched))
			if a.position == 0 {
				c.recordFirstToken(a)
			}
		}
		if chunk.Text != "" {
			a.text.WriteString(chunk.Text)
			if err := sink(a, chunk.Text); err != nil {
				c.callerGone = true
				return jdaw.Fail(jdaw.CodeStreamBroken, "the caller disconnected: %v", err)
			}
		}
		if !chunk.Final {
			a.position++
			continue
		}
		a.finishReason = chunk.FinishReason
		// The upstream counts continued text as part of the prompt.
		a.promptTokens = max(0, chunk.PromptTokens-a.startPosition)
		a.outputTokens = chunk.OutputTokens + a.startPosition
		return nil
	}
}

func (c *chatRequest) recordFirstToken(a *answer) {
	c.e.record("firstToken", c.id, c.workspace, a.credit.Upstream, a.credit.Version.String())
	c.e.metrics.firstToken.Record(c.ctx, c.e.cfg.Clock.Now().Sub(c.start).Seconds())
}

func (c *chatRequest) result(a *answer, outcome jdaw.Outcome) jdaw.CreditResult {
	return jdaw.CreditResult{
		Credit: a.credit, Workspace: c.workspace, Prefix: a.target.prefix, Outcome: outcome,
		FirstToken: a.firstToken, Duration: c.e.cfg.Clock.Now().Sub(a.dispatched),
		PromptTokens: a.promptTokens, OutputTokens: a.position - a.startPosition,
		Leaving: a.leaving, UpstreamIncarnation: a.incarnation,
	}
}

func (c *chatRequest) releaseAnswer(a *answer, outcome jdaw.Outcome) {
	c.e.cfg.Credits.Release(c.result(a, outcome))
}

// inRollout reports whether answers of the model must be rated to evaluate its
// roll-out.
func (c *chatRequest) inRollout(model string) bool {
	ro, ok := c.e.cfg.Config.Snapshot().Rollout(model)
	return ok && ro.State == config.RolloutRunning
}

// releaseAfterRating releases the credit of a delivered answer. If the answer
// must be rated, it rates it in the background first, within RateTimeout, since
// the owner accepts a rating only together with the release.
func (c *chatRequest) releaseAfterRating(a *answer, rate bool, learn func(rated bool, rating float64)) {
	if !rate || c.e.cfg.Rater == nil {
		c.releaseAnswer(a, jdaw.OutcomeOK)
		if learn != nil {
			learn(false, 0)
		}
		return
	}
	result := c.result(a, jdaw.OutcomeOK)
	q := c.rateRequest(a)
	ctx := context.WithoutCancel(c.ctx)
	c.e.background.Go(func() {
		rating, rated := c.e.rate(ctx, q)
		result.Rated, result.Rating = rated, rating
		c.e.cfg.Credits.Release(result)
		if learn != nil {
			learn(rated, rating)
		}
	})
}

func (c *chatRequest) rateRequest(a *answer) jdaw.RateRequest {
	return jdaw.RateRequest{Task: c.task(), Prompt: c.fields.prompt(), Answer: a.text.String(), Model: a.credit.Version.String()}
}

// rate returns false if there is no rating within RateTimeout.
func (e *Entry) rate(ctx context.Context, q jdaw.RateRequest) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.RateTimeout)
	defer cancel()
	rating, err := e.cfg.Rater.Rate(ctx, q)
	return rating, err == nil
}

func (c *chatRequest) task() string {
	if t := c.http.Header.Get(headerTask); t != "" {
		return t[:min(len(t), maxNameLength)]
	}
	t := c.fields.Metadata["task"]
	return t[:min(len(t), maxNameLength)]
}

// addCost adds a completed answer to the bill.
func (c *chatRequest) addCost(a *answer) {
	c.bill.Model = a.credit.Version.String()
	c.bill.PromptTokens += a.promptTokens
	c.bill.OutputTokens += a.outputTokens
	m, _ := c.e.cfg.Config.Snapshot().Model(a.credit.Version.Model)
	c.bill.Cost += m.CostPer1000 * float64(a.promptTokens+a.outputTokens) / 1000
}

// billPartial bills the chunks that a caller received before it disconnected.
// Answers that failed for other reasons are not billed.
func (c *chatRequest) billPartial(a *answer) {
	if !c.callerGone || a == nil || a.position == 0 {
		return
	}
	a.outputTokens = a.position
	c.addCost(a)
}

// deliver stores and settles the answer, then writes the rest of it.
func (c *chatRequest) deliver(a *answer) {
	u := usage{PromptTokens: a.promptTokens, CompletionTokens: a.outputTokens, TotalTokens: a.promptTokens + a.outputTokens}
	if c.stream && c.sse == nil {
		if err := c.openStream(a); err != nil {
			c.answerError(err)
			return
		}
	}
	var whole []byte
	if !c.stream || c.claimed {
		whole = mustJSON(completion{
			ID: c.id, Object: "chat.completion", Created: c.start.Unix(), Model: a.credit.Version.String(),
			Choices: []completionChoice{{Message: completionMessage{Role: "assistant", Content: a.text.String()}, FinishReason: a.finishReason}},
			Usage:   u,
		})
	}
	c.store(jdaw.StoredAnswer{Status: http.StatusOK, ContentType: "application/json", Body: whole})
	c.settle(jdaw.CodeOK, jdaw.DidRun)
	if c.stream {
		_ = c.sse.finish(a.finishReason, c.wantedUsage(u))
		return
	}
	if err := c.setHeaders(a); err != nil {
		c.e.cfg.Log.WithError(err).WithField("requestId", c.id).Warn("could not sign the session token")
	}
	writeBody(c.w, http.StatusOK, "application/json", whole)
}

func (c *chatRequest) wantedUsage(u usage) *usage {
	if c.fields.StreamOptions == nil || !c.fields.StreamOptions.IncludeUsage {
		return nil
	}
	return &u
}

// answerError ends an opened request with an error.
func (c *chatRequest) answerError(err error) {
	coded := c.fail(err)
	c.e.record("refused", c.id, c.workspace, "", coded.Code.String())
	if c.sse != nil && c.sse.open {
		c.sse.fail(coded)
		return
	}
	writeError(c.w, c.id, coded)
}

// deliverStored writes the stored answer of an earlier request, as server-sent
// events if the caller requests a stream.
func (c *chatRequest) deliverStored(s jdaw.StoredAnswer) {
	var whole completion
	if !c.stream || s.Status != http.StatusOK || json.Unmarshal(s.Body, &whole) != nil || len(whole.Choices) == 0 {
		writeBody(c.w, s.Status, s.ContentType, s.Body)
		return
	}
	c.w.Header().Set(headerModel, whole.Model)
	c.sse = newSSEWriter(c.w, whole.ID, whole.Created, whole.Model)
	if err := c.sse.chunk(whole.Choices[0].Message.Content); err != nil {
		return
	}
	_ = c.sse.finish(whole.Choices[0].FinishReason, c.wantedUsage(whole.Usage))
}
