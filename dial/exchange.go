package dial

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/strict"
)

const (
	// maxInlineBody is the largest body in bytes that is written before the response
	// is read. A larger one is written concurrently, since the upstream may respond
	// early and stop reading.
	maxInlineBody = 2 << 10
	// maxHead bounds the bytes up to the end of a response's header, with all
	// interim responses before it. Upstreams that fail may send other bytes without
	// end.
	maxHead = 64 << 10
	// maxSkippedBody bounds the body of a skipped response in bytes.
	maxSkippedBody = 1 << 20
	// maxMismatched is the number of skipped responses to other requests.
	maxMismatched = 2
)

// Request is a request to an upstream.
type Request struct {
	Address string
	Method  string
	Target  string // path and query as sent by the caller
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool
	// MaxIdle, if set, limits the idle time of a reused connection. A request that
	// can't be retried must not race with the upstream closing the connection.
	MaxIdle time.Duration
	// NewConn requires a connection that has carried no other request. A late copy
	// of the response to an earlier attempt would pass for the response to this one,
	// since both have the same id.
	NewConn bool
	// Owner reports which request a response with this header names; nil stands for
	// [OwnerUnnamed].
	Owner func(status int, h http.Header) Owner
}

// Owner says which request a response belongs to.
type Owner string

// Values of Owner.
const (
	OwnerThis    Owner = "this"    // the response names this request
	OwnerOther   Owner = "other"   // it names another one
	OwnerUnnamed Owner = "unnamed" // it names none
)

func (q Request) ownerOf(r *http.Response) Owner {
	if q.Owner == nil {
		return OwnerUnnamed
	}
	return q.Owner(r.StatusCode, r.Header)
}

// Error is a failure before the response header was read.
type Error struct {
	Sent bool // a byte of the request may have reached the upstream
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WasSent reports whether the upstream may have received the request.
func WasSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// Answer is a response whose body is still unread.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the response was complete.
	Body io.Reader

	raw        *http.Response
	conn       *conn
	pool       *Pool
	stop       func() bool // unregisters the context callback
	write      *bodyWrite
	isComplete bool
	isClosed   bool
}

// bodyWrite is the state of a body write concurrent with the response.
type bodyWrite struct {
	mu   sync.Mutex
	done bool
	err  error
}

func (w *bodyWrite) finish(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.err = true, err
}

func (w *bodyWrite) isDone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done && w.err == nil
}

// Do sends the request once and reads the response header. When ctx ends, the
// connection is closed, even while the body is read.
func (p *Pool) Do(ctx context.Context, q Request) (*Answer, error) {
	c, err := p.take(ctx, q)
	if err != nil {
		return nil, &Error{Err: err}
	}
	// The callback below closes the connection concurrently: a kept one would
	// still take the request.
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, &Error{Err: errors.Wrap(err, "request not sent")}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	resp, err := p.exchange(c, q)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(ctx.Err(), err)
		}
		return nil, &Error{Sent: true, Err: err}
	}
	resp.stop = stop
	return resp, nil
}

func (p *Pool) exchange(c *conn, q Request) (*Answer, error) {
	w := &bodyWrite{}
	head := q.head()
	if len(q.Body) <= maxInlineBody {
		_, err := c.Write(append(head, q.Body...))
		w.finish(err)
		if err != nil {
			return nil, errors.Wrap(err, "write request")
		}
	} else {
		p.writers.Go(func() {
			_, err := c.Write(append(head, q.Body...))
			w.finish(err)
		})
	}
	raw, err := readResponse(c, q)
	if err != nil {
		return nil, err
	}
	resp := &Answer{Status: raw.StatusCode, Header: raw.Header, raw: raw, conn: c, pool: p, write: w}
	resp.Body = &bodyReader{resp: resp}
	return resp, nil
}

// readResponse reads the response to the request. Interim responses and responses
// to earlier requests are skipped.
func readResponse(c *conn, q Request) (*http.Response, error) {
	req := &http.Request{Method: q.Method}
	if err := c.expectHead(); err != nil {
		return nil, err
	}
	for skipped := 0; ; {
		raw, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if err := strict.CheckHead(raw); err != nil {
			return nil, err
		}
		if !strict.IsFinalStatus(raw.StatusCode) {
			continue
		}
		owner := q.ownerOf(raw)
		if owner == OwnerUnnamed && c.isNamed {
			return nil, errors.Newf("response with status %d names no request, unlike earlier ones of the connection", raw.StatusCode)
		}
		if owner != OwnerOther {
			c.isNamed = owner == OwnerThis
			c.source.isBounded = false
			return raw, nil
		}
		skipped++
		if skipped > maxMismatched || raw.ContentLength < 0 && len(raw.TransferEncoding) == 0 {
			return nil, errors.Newf("response with status %d belongs to another request", raw.StatusCode)
		}
		c.source.bound(maxSkippedBody)
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, errors.Wrap(err, "skip response to another request")
		}
		if err := c.expectHead(); err != nil {
			return nil, err
		}
	}
}

// expectHead bounds and checks the bytes of the next response's head, and of the
// interim responses before it.
func (c *conn) expectHead() error {
	c.source.bound(maxHead)
	read, err := c.r.Peek(c.r.Buffered())
	if err == nil {
		err = c.BeginHead(read)
	}
	return errors.Wrap(err, "read response")
}

// head encodes the request line and the headers.
func (q Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(q.Body))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if q.HasBody || len(q.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	// A bytes.Buffer doesn't return write errors; it panics.
	_ = q.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

type bodyReader struct{ resp *Answer }

// Read implements io.Reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.resp.raw.Body.Read(b)
	if err == io.EOF {
		r.resp.isComplete = true
	}
	return n, err
}

// Close returns the connection to the pool if the exchange was complete. Otherwise
// it closes the connection, which cancels the request at the upstream.
func (resp *Answer) Close() {
	if resp.isClosed {
		return
	}
	resp.isClosed = true
	alive := resp.stop()
	if !alive || !resp.isComplete || resp.raw.Close || !resp.write.isDone() || !resp.IsFramed() || resp.conn.r.Buffered() > 0 {
		resp.conn.Close()
		return
	}
	resp.pool.put(resp.conn, keepAliveTimeout(resp.Header))
}

// IsFramed reports whether the body is delimited by length or chunking, not by
// closing the connection.
func (resp *Answer) IsFramed() bool {
	return resp.raw.ContentLength >= 0 || len(resp.raw.TransferEncoding) > 0
}

// keepAliveTimeout returns the timeout of a Keep-Alive header less idleMargin, or 0
// without one.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
	}
	return 0
}
