package entry

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/julienschmidt/httprouter"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// serviceRequest is a call of a plain service after validation.
type serviceRequest struct {
	*request
	service    config.Service
	path       string // decoded
	idempotent bool
}

func (e *Entry) callService(w http.ResponseWriter, hr *http.Request, p httprouter.Params, snap *config.Snapshot) {
	r, err := e.newRequest(w, hr, "service", snap)
	if err != nil {
		e.refuse(w, hr, "", "", err)
		return
	}
	defer r.cancel()
	s, err := r.newService(p.ByName("service"), p.ByName("path"))
	if err != nil {
		e.refuse(w, hr, "", r.workspace, err)
		return
	}
	forwarded, done, err := r.forward()
	if err == nil && !done {
		err = r.open(s.service.Name)
	}
	if err != nil {
		e.refuse(w, hr, "", r.workspace, err)
		return
	}
	if done {
		w.Header().Set(headerRequestID, string(forwarded.RequestID))
		writeBody(w, forwarded.Status, forwarded.ContentType, forwarded.Body)
		return
	}
	s.run()
}

func (r *request) newService(name, callPath string) (*serviceRequest, error) {
	svc, ok := r.snap.Service(name)
	if !ok {
		return nil, jdaw.Fail(jdaw.CodeUnknownService, "no service is named %q", name)
	}
	if !r.snap.MayUseService(r.workspace, name) {
		return nil, jdaw.Fail(jdaw.CodeServiceNotAllowed, "the workspace may not use service %q", name)
	}
	// A service that normalizes paths would run a different call from the one
	// looked up here.
	clean := path.Clean(callPath)
	if clean != callPath && clean+"/" != callPath {
		return nil, jdaw.Fail(jdaw.CodeBadField, "the path must not contain empty, \".\" or \"..\" segments")
	}
	return &serviceRequest{request: r, service: svc, path: callPath, idempotent: isIdempotent(svc, r.http.Method, callPath)}, nil
}

// isIdempotent looks up the call with the longest matching prefix.
func isIdempotent(svc config.Service, method, callPath string) bool {
	idempotent := method == http.MethodGet || method == http.MethodHead
	longest := -1
	for _, call := range svc.Calls {
		if call.Method == method && len(call.PathPrefix) > longest && strings.HasPrefix(callPath, call.PathPrefix) {
			longest = len(call.PathPrefix)
			idempotent = call.Idempotent
		}
	}
	return idempotent
}

func (s *serviceRequest) run() {
	stored, err := s.claim()
	if err != nil {
		s.answerError(err)
		return
	}
	if stored != nil {
		s.replay()
		writeBody(s.w, stored.Status, stored.ContentType, stored.Body)
		return
	}
	answer, err := s.call()
	if err != nil {
		s.answerError(err)
		return
	}
	s.bill.Steps = 1
	code := jdaw.CodeOK
	if answer.Status >= http.StatusInternalServerError {
		code = jdaw.CodeUpstreamFailed
	}
	s.store(jdaw.StoredAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	s.settle(code, jdaw.DidRun)
	writeBody(s.w, answer.Status, answer.ContentType, answer.Body)
}

func (s *serviceRequest) target() target {
	return target{
		kind: func(snap *config.Snapshot) string {
			svc, _ := snap.Service(s.service.Name)
			return svc.Kind
		},
		versions: func(snap *config.Snapshot) ([]jdaw.ModelVersion, error) { return nil, s.allowed(snap) },
		allowed:  func(snap *config.Snapshot, _ jdaw.Credit) error { return s.allowed(snap) },
	}
}

func (s *serviceRequest) allowed(snap *config.Snapshot) error {
	if !snap.MayUseService(s.workspace, s.service.Name) {
		return jdaw.Fail(jdaw.CodeServiceNotAllowed, "the workspace may not use service %q", s.service.Name)
	}
	return nil
}

// call runs the call at one upstream and retries at others where that is safe.
func (s *serviceRequest) call() (jdaw.ServiceAnswer, error) {
	t := s.target()
	for {
		credit, err := s.acquire(t)
		if err != nil {
			return jdaw.ServiceAnswer{}, err
		}
		if s.retries == 0 {
			s.e.budget(credit.Pool).earn()
		}
		answer, err := s.attempt(t, credit)
		failed := err
		if failed == nil && answer.Status >= http.StatusInternalServerError {
			failed = jdaw.Fail(jdaw.CodeUpstreamFailed, "the service answered status %d", answer.Status)
		}
		if failed == nil {
			return answer, nil
		}
		s.recordAttemptError(failed)
		if s.callerGone || !s.isRepeatable(failed) || !s.mayRetry(credit, failed) {
			return answer, err
		}
	}
}

// isRepeatable permits retries of calls that are not idempotent only if no byte
// was written to the upstream.
func (s *serviceRequest) isRepeatable(err error) bool {
	return s.idempotent || jdaw.CodeOf(err).Code == jdaw.CodeUpstreamConnection
}

func (s *serviceRequest) attempt(t target, credit jdaw.Credit) (jdaw.ServiceAnswer, error) {
	if err := s.beginDispatch(); err != nil {
		s.release(credit, t, jdaw.OutcomeUnused)
		return jdaw.ServiceAnswer{}, err
	}
	began := s.e.cfg.Clock.Now()
	s.e.record("dispatched", s.id, s.workspace, credit.Upstream, s.service.Name)
	ctx := s.ctx
	if !s.idempotent {
		// Not cancelled once sent, so that its outcome is known.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(s.ctx), s.remaining())
		defer cancel()
	}
	answer, err := s.e.cfg.Service.Call(ctx, credit.Address, jdaw.ServiceCall{
		RequestID: s.id, Method: s.http.Method, Path: s.upstreamPath(), ContentType: s.http.Header.Get("Content-Type"),
		Body: s.body, Idempotent: s.idempotent, Key: s.key, UseBefore: credit.UseBefore,
	})
	took := s.e.cfg.Clock.Now().Sub(began)
	outcome := s.outcomeOf(err, 0)
	if err == nil && answer.Status >= http.StatusInternalServerError {
		outcome = jdaw.OutcomeFailed
	}
	s.e.cfg.Credits.Release(jdaw.CreditResult{
		Credit: credit, Workspace: s.workspace, Outcome: outcome, FirstToken: took, Duration: took,
		Leaving: answer.Leaving || isLeaving(err),
	})
	return answer, err
}

func (s *serviceRequest) upstreamPath() string {
	u := url.URL{Path: s.path, RawQuery: s.http.URL.RawQuery}
	return u.RequestURI()
}

func (s *serviceRequest) answerError(err error) {
	coded := s.fail(err)
	s.e.record("refused", s.id, s.workspace, "", coded.Code.String())
	writeError(s.w, s.id, coded)
}
