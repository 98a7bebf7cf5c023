package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/strict"
)

var errNotWritable = errors.New("the credit has expired or the connection is sealed; request not written")

// trackedConn tracks whether a byte of the current request has been passed to the
// kernel. Errors of net/http do not state it, and its write loop can still be
// running when RoundTrip returns.
type trackedConn struct {
	net.Conn

	mu        sync.Mutex
	written   bool
	sealed    bool
	useBefore time.Time
}

// begin starts a new request on the connection. net/http uses a connection for
// one request at a time.
func (c *trackedConn) begin(useBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
	c.useBefore = useBefore
}

// Write implements net.Conn. The first write of a request fails after the expiry
// of its credit.
func (c *trackedConn) Write(b []byte) (int, error) {
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

// seal reports whether a byte of the request was written. If none was, it makes
// all later writes fail.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.written {
		c.sealed = true
	}
	return c.written
}

// attempt tracks the connections of one RoundTrip.
type attempt struct {
	useBefore time.Time
	conn      *trackedConn
	untracked bool // a connection is not a trackedConn
	reused    bool
	wrote     bool // on an earlier connection of the same RoundTrip
}

// trace adds the attempt's hook to a request's context. The hook runs on the
// goroutine of RoundTrip.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if a.conn != nil {
				a.wrote = a.conn.seal() || a.wrote
			}
			outer, _ := info.Conn.(*strict.Conn)
			if outer == nil {
				a.untracked = true
				return
			}
			conn := outer.Conn.(*trackedConn) // by the dialer of newTransport
			conn.begin(a.useBefore)
			a.conn = conn
			a.reused = info.Reused
		},
	})
}

// mayHaveRun reports whether a byte may have been written. It must be called
// after RoundTrip has failed.
func (a *attempt) mayHaveRun() bool {
	if a.conn != nil {
		a.wrote = a.conn.seal() || a.wrote
	}
	return a.wrote || a.untracked
}

func newTransport(dialTimeout time.Duration) *strict.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return strict.New(strict.Config{Base: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// 4 KiB buffers hold a request header or many tokens; each running
		// stream has one pair.
		ReadBufferSize:  4 << 10,
		WriteBufferSize: 4 << 10,
	}})
}
