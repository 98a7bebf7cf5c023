package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/strict"
)

// Headers of the protocol between the router and the upstreams.
const (
	headerRequestID   = "X-Request-Id"
	headerStreamID    = "X-Stream-Id"
	headerIncarnation = "X-Incarnation"
	headerNotRun      = "X-Not-Run"
	headerLeaving     = "X-Leaving"
)

const (
	defaultDialTimeout = 500 * time.Millisecond // a credit expires after 1 s
	defaultMaxAnswer   = 8 << 20
	// maxIdlePerUpstream lets 200 concurrent streams at one upstream reuse
	// their connections.
	maxIdlePerUpstream = 256
	idleTimeout        = 30 * time.Second
	cancelTimeout      = 2 * time.Second
	drainTimeout       = 100 * time.Millisecond
	maxErrorBody       = 4 << 10
)

// Config configures a Client.
type Config struct {
	DialTimeout    time.Duration // 0 means 500 ms
	MaxAnswerBytes int64         // of a plain service; 0 means 8 MiB
}

// Client implements jdaw.Engine and jdaw.Service.
type Client struct {
	cfg       Config
	transport *strict.Transport
}

var (
	_ jdaw.Engine  = (*Client)(nil)
	_ jdaw.Service = (*Client)(nil)
	_ jdaw.Rater   = (*Rater)(nil)
)

// New returns a client with its own connection pool.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswer
	}
	return &Client{cfg: cfg, transport: newTransport(cfg.DialTimeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// plainBody hides the type of its reader, so that net/http sets no GetBody. It
// is never nil: net/http treats a request with a nil body as replayable if it is
// a GET or has an idempotency key.
type plainBody struct{ r io.Reader }

func (b plainBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b plainBody) Close() error               { return nil }

// newRequest returns a request that net/http never replays.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, jdaw.Fail(jdaw.CodeUpstreamConnection, "the upstream's address is not a URL: %v", err)
	}
	r.Body = plainBody{r: bytes.NewReader(body)}
	r.ContentLength = int64(len(body))
	r.GetBody = nil
	return r, nil
}

// roundTrip sends one request. If a reused connection turns out to be broken
// before a byte was written, that is no evidence of a failed upstream, so
// roundTrip retries once.
func (c *Client) roundTrip(ctx context.Context, useBefore time.Time, build func(ctx context.Context) (*http.Request, error)) (*http.Response, error) {
	for again := true; ; again = false {
		a := &attempt{useBefore: useBefore}
		r, err := build(a.trace(ctx))
		if err != nil {
			return nil, err
		}
		resp, err := c.transport.RoundTrip(r)
		if err == nil {
			return resp, nil
		}
		ran := a.mayHaveRun()
		if !ran && a.reused && again && ctx.Err() == nil {
			continue
		}
		return nil, connectionError(ctx, r.URL.Host, ran, err)
	}
}

func connectionError(ctx context.Context, host string, ran bool, err error) error {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case !ran && timedOut:
		return jdaw.Fail(jdaw.CodeDeadline, "the deadline passed before the request was sent to %s", host)
	case !ran:
		return jdaw.Fail(jdaw.CodeUpstreamConnection, "no connection to %s", host).WithCause(err)
	case timedOut:
		return jdaw.Fail(jdaw.CodeUpstreamTimeout, "%s did not answer within the deadline", host)
	}
	return jdaw.Fail(jdaw.CodeOutcomeUnknown, "%s sent no valid response after the request was sent", host).WithCause(err)
}

// refusal is a coded error that reports whether the upstream is leaving.
type refusal struct {
	*jdaw.CodeError
	leaving bool
}

// Unwrap lets errors.As find the coded error.
func (e *refusal) Unwrap() error { return e.CodeError }

// Leaving implements jdaw.LeavingReporter.
func (e *refusal) Leaving() bool { return e.leaving }

// isRefusal reports whether the upstream did not run the request.
func isRefusal(resp *http.Response) bool {
	if resp.Header.Get(headerNotRun) != "true" {
		return false
	}
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusNotFound
}

// isRejection reports whether the engine rejected the request as invalid without
// running it. This must not count as a failure of the version; otherwise one
// caller's invalid requests could get a version suspended.
func isRejection(resp *http.Response) bool {
	if resp.Header.Get(headerNotRun) != "true" {
		return false
	}
	return resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusUnprocessableEntity
}

func refusalOf(resp *http.Response) error {
	text := errorText(resp)
	return &refusal{
		CodeError: jdaw.Fail(jdaw.CodeUpstreamRefused, "%s refused: %s", resp.Request.URL.Host, text),
		leaving:   resp.Header.Get(headerLeaving) == "true",
	}
}

// errorText returns the message of an OpenAI-style error body and closes the
// body.
func errorText(resp *http.Response) string {
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(raw, &body) == nil && body.Error.Message != "" {
		return body.Error.Message
	}
	return "status " + strconv.Itoa(resp.StatusCode)
}

// Call implements jdaw.Service. Any answer other than a refusal is returned
// unchanged, regardless of its status.
func (c *Client) Call(ctx context.Context, address string, q jdaw.ServiceCall) (jdaw.ServiceAnswer, error) {
	resp, err := c.roundTrip(ctx, q.UseBefore, func(ctx context.Context) (*http.Request, error) {
		r, err := newRequest(ctx, q.Method, address+q.Path, q.Body)
		if err != nil {
			return nil, err
		}
		r.Header.Set(headerRequestID, string(q.RequestID))
		if q.ContentType != "" {
			r.Header.Set("Content-Type", q.ContentType)
		}
		if q.Key != "" {
			r.Header.Set("Idempotency-Key", q.Key)
		}
		return r, nil
	})
	if err != nil {
		return jdaw.ServiceAnswer{}, err
	}
	if isRefusal(resp) && resp.StatusCode == http.StatusServiceUnavailable {
		return jdaw.ServiceAnswer{}, refusalOf(resp)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswerBytes+1))
	if err != nil {
		return jdaw.ServiceAnswer{}, connectionError(ctx, resp.Request.URL.Host, true, err)
	}
	if int64(len(body)) > c.cfg.MaxAnswerBytes {
		return jdaw.ServiceAnswer{}, jdaw.Fail(jdaw.CodeUpstreamFailed, "the answer of %s is larger than %d bytes", resp.Request.URL.Host, c.cfg.MaxAnswerBytes)
	}
	return jdaw.ServiceAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Leaving:     resp.Header.Get(headerLeaving) == "true",
	}, nil
}

// Rater implements jdaw.Rater.
type Rater struct {
	client  *Client
	address string
}

// NewRater returns a client of the rating service at address.
func NewRater(c *Client, address string) *Rater { return &Rater{client: c, address: address} }

// Rate implements jdaw.Rater.
func (g *Rater) Rate(ctx context.Context, q jdaw.RateRequest) (float64, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return 0, errors.Wrap(err, "encode the answer to rate")
	}
	answer, err := g.client.Call(ctx, g.address, jdaw.ServiceCall{
		Method: http.MethodPost, Path: "/v1/rate", ContentType: "application/json", Body: body, Idempotent: true,
	})
	if err != nil {
		return 0, errors.Wrap(err, "rate an answer")
	}
	var reply struct {
		Rating *float64 `json:"rating"`
	}
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &reply) != nil || reply.Rating == nil {
		return 0, jdaw.Fail(jdaw.CodeUpstreamFailed, "the rating service answered status %d without a rating", answer.Status)
	}
	if *reply.Rating < 0 || *reply.Rating > 1 {
		return 0, jdaw.Fail(jdaw.CodeUpstreamFailed, "the rating %v is not between 0 and 1", *reply.Rating)
	}
	return *reply.Rating, nil
}
