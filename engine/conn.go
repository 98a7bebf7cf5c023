package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errNotWritable = errors.New("the request may no longer be written")

// countedConn knows whether a byte of the current request has been handed to
// the kernel. net/http reports an error without saying so, and its write loop
// can still be running when RoundTrip returns.
type countedConn struct {
	net.Conn

	mu        sync.Mutex
	written   bool
	sealed    bool
	useBefore time.Time
}

// begin starts a new request on the connection. net/http gives a connection
// to one request at a time.
func (c *countedConn) begin(useBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
	c.useBefore = useBefore
}

// Write implements net.Conn. The first write of a request is refused after
// the end of its credit.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	late := !c.written && !c.useBefore.IsZero() && time.Now().After(c.useBefore)
	if c.sealed || late {
		c.sealed = true
		c.mu.Unlock()
		return 0, errNotWritable
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// seal reports whether a byte of the request was written. If none was, it
// makes sure that none will be.
func (c *countedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.written {
		c.sealed = true
	}
	return c.written
}

// attempt follows the connections of one RoundTrip.
type attempt struct {
	useBefore time.Time
	conn      *countedConn
	unknown   bool // a connection that does not count
	reused    bool
	wrote     bool // on an earlier connection of the same RoundTrip
}

// trace adds the attempt to a request's context. The hook runs on the
// goroutine of RoundTrip.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if a.conn != nil {
				a.wrote = a.conn.seal() || a.wrote
			}
			conn, ok := info.Conn.(*countedConn)
			if !ok {
				a.unknown = true
				return
			}
			conn.begin(a.useBefore)
			a.conn = conn
			a.reused = info.Reused
		},
	})
}

// mayHaveRun is asked after RoundTrip has failed.
func (a *attempt) mayHaveRun() bool {
	if a.conn != nil {
		a.wrote = a.conn.seal() || a.wrote
	}
	return a.wrote || a.unknown
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// 4 KiB buffers hold a request head and many tokens; there is one pair
		// per running stream.
		ReadBufferSize:  4 << 10,
		WriteBufferSize: 4 << 10,
	}
}
