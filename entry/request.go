package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/strict"
)

// request is one admitted request. It is not safe for concurrent use.
type request struct {
	e         *Entry
	w         http.ResponseWriter
	http      *http.Request
	ctx       context.Context
	cancel    context.CancelFunc
	api       string // chat or service, a label of metrics
	snap      *config.Snapshot
	workspace jdaw.WorkspaceID
	outlet    config.Outlet
	body      []byte
	start     time.Time
	deadline  time.Time
	forwarded bool // by another VM; the answer is not streamed

	key     string // idempotency key
	claimed bool

	id      jdaw.RequestID
	bill    jdaw.Bill
	retries int
	exclude []jdaw.UpstreamID
	// ranErr is the error of the first attempt that may have run. While it is
	// set, no error that says "not run" may be returned.
	ranErr     error
	callerGone bool
}

// forwardKey marks the context of a request that another VM has forwarded.
type forwardKey struct{}

// newRequest authenticates the caller, resolves the outlet and reads the body.
func (e *Entry) newRequest(w http.ResponseWriter, hr *http.Request, api string, snap *config.Snapshot) (*request, error) {
	r := &request{e: e, w: w, http: hr, api: api, snap: snap, start: e.cfg.Clock.Now()}
	if err := r.authenticate(); err != nil {
		return nil, err
	}
	if err := r.findOutlet(); err != nil {
		return nil, err
	}
	if err := r.readBody(); err != nil {
		return nil, err
	}
	r.key = hr.Header.Get(headerKey)
	if len(r.key) > maxNameLength*2 {
		return nil, jdaw.Fail(jdaw.CodeBadField, "the idempotency key is longer than %d bytes", maxNameLength*2)
	}
	r.deadline = r.start.Add(r.wait())
	ctx := hr.Context()
	if r.key != "" {
		// A keyed request runs to its end even if its caller disconnects: a
		// retry with the key must find an outcome.
		ctx = context.WithoutCancel(ctx)
	}
	r.ctx, r.cancel = context.WithDeadline(ctx, time.Now().Add(r.wait()))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.wait() + writeSlack))
	return r, nil
}

func (r *request) wait() time.Duration {
	if r.outlet.WaitMillis > 0 {
		return time.Duration(r.outlet.WaitMillis) * time.Millisecond
	}
	return r.e.cfg.DefaultWait
}

func (r *request) remaining() time.Duration { return r.deadline.Sub(r.e.cfg.Clock.Now()) }

func (r *request) authenticate() error {
	if w, ok := r.http.Context().Value(forwardKey{}).(jdaw.WorkspaceID); ok {
		r.workspace = w
		r.forwarded = true
		return nil
	}
	header := r.http.Header.Get("Authorization")
	if header == "" {
		return jdaw.Fail(jdaw.CodeNoKey, "the Authorization header is missing")
	}
	scheme, secret, _ := strings.Cut(header, " ")
	w, ok := r.snap.Authenticate(strings.TrimSpace(secret))
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return jdaw.Fail(jdaw.CodeWrongKey, "the key belongs to no workspace")
	}
	r.workspace = w
	return nil
}

func (r *request) findOutlet() error {
	name := r.http.Header.Get(headerOutlet)
	if name == "" {
		r.outlet = config.Outlet{Priority: jdaw.PriorityNormal}
		return nil
	}
	o, ok := r.snap.Outlet(r.workspace, name)
	if !ok {
		return jdaw.Fail(jdaw.CodeUnknownOutlet, "the workspace has no outlet %q", name)
	}
	if !o.IsOpen(r.e.cfg.Clock.Now()) {
		return jdaw.Fail(jdaw.CodeOutletClosed, "outlet %q is open from %s to %s", name, o.Opens, o.Closes)
	}
	r.outlet = o
	return nil
}

func (r *request) readBody() error {
	limit := r.e.cfg.MaxBodyBytes
	tooLarge := jdaw.Fail(jdaw.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	if r.http.ContentLength > limit {
		return tooLarge
	}
	rc := http.NewResponseController(r.w)
	_ = rc.SetReadDeadline(time.Now().Add(r.e.cfg.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(r.w, r.http.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge
	case err != nil:
		return jdaw.Fail(jdaw.CodeBodyCut, "the connection ended before the whole body arrived")
	}
	_ = rc.SetReadDeadline(time.Time{})
	r.body = body
	return nil
}

// open records the request in the ledger.
func (r *request) open(service string) error {
	r.bill = jdaw.Bill{
		Workspace: r.workspace, Outlet: r.outlet.Name, State: jdaw.BillOpen, Service: service, At: r.e.cfg.Clock.Now(),
	}
	id, err := r.e.cfg.Ledger.Open(r.ctx, r.bill)
	if err != nil {
		return err
	}
	r.id = id
	r.bill.RequestID = id
	r.w.Header().Set(headerRequestID, string(id))
	r.e.record("admitted", id, r.workspace, "", r.api)
	return nil
}

// settle records the outcome, even if the caller has disconnected. An answer is
// delivered even if the settlement fails: the ledger closes bills that were
// never settled.
func (r *request) settle(code jdaw.Code, ran jdaw.Ran) {
	bill := r.bill.WithSettlement(code, r.e.cfg.Clock.Now())
	bill.Ran = ran
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), settleTimeout)
	defer cancel()
	if err := r.e.cfg.Ledger.Settle(ctx, bill); err != nil {
		r.e.cfg.Log.WithError(err).WithField("requestId", r.id).Warn("could not settle the bill")
	}
	r.e.record("settled", r.id, r.workspace, "", code.String())
	r.e.metrics.ended(ctx, r.api, code, r.e.cfg.Clock.Now().Sub(r.start))
	r.e.metrics.used(ctx, bill.PromptTokens, bill.OutputTokens)
}

// store saves the answer for retries with the same key. It must precede
// settle: a settled request without an answer would count as unknown.
func (r *request) store(a jdaw.StoredAnswer) {
	if !r.claimed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), settleTimeout)
	defer cancel()
	if err := r.e.cfg.Claims.Finish(ctx, r.workspace, r.key, r.id, a); err != nil {
		r.e.cfg.Log.WithError(err).WithField("requestId", r.id).Warn("could not store the answer of a keyed request")
	}
}

// fail settles an opened request with an error and returns the error for the
// caller. Failed answers are not billed.
func (r *request) fail(err error) *jdaw.CodeError {
	coded := r.finalError(err)
	ran := coded.Code.Info().Ran
	if ran != jdaw.NotRun {
		r.store(jdaw.StoredAnswer{Status: coded.Code.Info().Status, ContentType: "application/json", Body: errorJSON(r.id, coded)})
	}
	r.settle(coded.Code, ran)
	r.e.logEnd("failed", r.id, r.workspace, coded)
	return coded
}

// finalError ensures that "not run" is reported correctly: once an attempt may
// have run, its error replaces a later one that means "not run".
func (r *request) finalError(err error) *jdaw.CodeError {
	coded := jdaw.CodeOf(err)
	if r.ranErr != nil && coded.Code.Info().Ran == jdaw.NotRun {
		return jdaw.CodeOf(r.ranErr)
	}
	return coded
}

// refuse rejects a request that was not opened: nothing ran, nothing is billed.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, id jdaw.RequestID, ws jdaw.WorkspaceID, err error) {
	coded := jdaw.CodeOf(err)
	e.record("refused", id, ws, "", coded.Code.String())
	e.metrics.ended(r.Context(), "refused", coded.Code, 0)
	e.logEnd("refused", id, ws, coded)
	writeError(w, id, coded)
}

// logEnd logs a rejected or failed request. Messages of coded errors are
// returned to callers and contain neither keys nor prompts.
func (e *Entry) logEnd(text string, id jdaw.RequestID, ws jdaw.WorkspaceID, coded *jdaw.CodeError) {
	fields := logrus.Fields{"requestId": id, "workspace": ws, "code": int(coded.Code), "name": coded.Code.String(), "ran": coded.Code.Info().Ran}
	if snap := e.cfg.Config.Snapshot(); snap != nil {
		fields["revision"] = snap.Revision()
	}
	e.cfg.Log.WithFields(fields).Info(text + ": " + coded.Detail())
}

// Bounds of the backoff while another request holds the claim.
const (
	minClaimWait = 50 * time.Millisecond
	maxClaimWait = time.Second
)

// claim claims the idempotency key. It returns the stored answer if the request
// has run before, and waits up to the deadline for a running one.
func (r *request) claim() (*jdaw.StoredAnswer, error) {
	if r.key == "" {
		return nil, nil
	}
	wait := minClaimWait
	for {
		c, err := r.e.cfg.Claims.Claim(r.ctx, r.workspace, r.key, r.id, r.bodyHash())
		if err != nil {
			return nil, err
		}
		switch c.State {
		case jdaw.ClaimMine:
			r.claimed = true
			return nil, nil
		case jdaw.ClaimSettled:
			if err := checkStatus(c.Answer.Status); err != nil {
				return nil, err
			}
			return &c.Answer, nil
		case jdaw.ClaimUnknown:
			return nil, jdaw.Fail(jdaw.CodeOutcomeUnknown, "request %s used this idempotency key and its outcome is not known", c.RequestID)
		}
		if r.remaining() <= wait || !jdaw.Sleep(r.ctx, wait) {
			return nil, jdaw.Fail(jdaw.CodeKeyRunning, "request %s with this idempotency key is still running", c.RequestID).WithRetryAfter(1)
		}
		wait = min(2*wait, maxClaimWait)
	}
}

// bodyHash covers method and path, so that a key reused for another call is
// detected.
func (r *request) bodyHash() string {
	h := sha256.New()
	_, _ = io.WriteString(h, r.http.Method+" "+r.http.URL.RequestURI()+"\n")
	_, _ = h.Write(r.body)
	return hex.EncodeToString(h.Sum(nil))
}

// replay settles a request that is answered from the stored answer of an
// earlier one, which has been billed.
func (r *request) replay() {
	r.settle(jdaw.CodeOK, jdaw.NotRun)
}

// forward sends a request to the VM that issued its key. It returns false if
// this VM has to run the request itself.
func (r *request) forward() (ForwardAnswer, bool, error) {
	if r.key == "" || r.e.cfg.VerifyKey == nil {
		return ForwardAnswer{}, false, nil
	}
	home, issued, err := r.e.cfg.VerifyKey(r.workspace, r.key)
	if err != nil {
		return ForwardAnswer{}, false, err
	}
	if !issued || home.Self {
		return ForwardAnswer{}, false, nil
	}
	if r.forwarded || r.e.cfg.Forward == nil {
		return ForwardAnswer{}, false, jdaw.Fail(jdaw.CodeKeyHomeDead, "the VM that issued the idempotency key is gone")
	}
	answer, err := r.e.cfg.Forward(r.ctx, home, Forwarded{
		Workspace: r.workspace, Key: r.key, Method: r.http.Method, Path: r.http.URL.RequestURI(),
		Outlet: r.outlet.Name, ContentType: r.http.Header.Get("Content-Type"), Body: r.body,
	})
	var coded *jdaw.CodeError
	if err != nil && !errors.As(err, &coded) {
		err = jdaw.Fail(jdaw.CodeOutcomeUnknown, "the VM that issued the idempotency key did not answer: %v", err)
	}
	if err == nil {
		err = checkStatus(answer.Status)
	}
	return answer, err == nil, err
}

// checkStatus returns an error if a forwarded or stored answer has an invalid status.
// Its VM may be of a version that takes such answers from upstreams.
func checkStatus(status int) error {
	if strict.IsFinalStatus(status) {
		return nil
	}
	return jdaw.Fail(jdaw.CodeOutcomeUnknown, "the upstream answered with the invalid status %03d", status)
}

// HandleForward runs a request that another VM forwarded because this VM issued
// its key. The answer is not streamed.
func (e *Entry) HandleForward(ctx context.Context, q Forwarded) ForwardAnswer {
	ctx = context.WithValue(ctx, forwardKey{}, q.Workspace)
	hr, err := http.NewRequestWithContext(ctx, q.Method, q.Path, strings.NewReader(string(q.Body)))
	if err != nil {
		coded := jdaw.Fail(jdaw.CodeBadField, "the path is not valid: %v", err)
		return ForwardAnswer{Status: coded.Code.Info().Status, ContentType: "application/json", Body: errorJSON("", coded)}
	}
	hr.RequestURI = q.Path
	hr.Header.Set("Content-Type", q.ContentType)
	hr.Header.Set(headerKey, q.Key)
	if q.Outlet != "" {
		hr.Header.Set(headerOutlet, q.Outlet)
	}
	w := &memoryWriter{header: http.Header{}, status: http.StatusOK}
	e.handler.ServeHTTP(w, hr)
	return ForwardAnswer{
		Status: w.status, ContentType: w.header.Get("Content-Type"), Body: w.body,
		RequestID: jdaw.RequestID(w.header.Get(headerRequestID)),
	}
}

// memoryWriter is an http.ResponseWriter that buffers the answer.
type memoryWriter struct {
	header http.Header
	status int
	body   []byte
}

func (w *memoryWriter) Header() http.Header    { return w.header }
func (w *memoryWriter) WriteHeader(status int) { w.status = status }
func (w *memoryWriter) Write(b []byte) (int, error) {
	w.body = append(w.body, b...)
	return len(b), nil
}
