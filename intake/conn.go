package intake

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"
)

// writePiece is the largest part of an answer that is written at once, so that
// progress within a long answer shows.
const writePiece = 64 << 10

type phase int32

const (
	phaseWaiting phase = iota
	phaseReading
	phaseServing
	phaseOpen
)

var phases = map[phase]Phase{phaseWaiting: Waiting, phaseReading: Reading, phaseServing: Serving, phaseOpen: Open}

// Conn is a connection of a caller. Methods with a nil receiver do nothing.
type Conn struct {
	net.Conn
	account *Account
	class   Class
	addr    string // remote IP address

	// Times are stamps of the account.
	phase atomic.Int32
	since atomic.Int64 // begin of the phase
	// due is the time until which the caller is in time: bytes move it on by their
	// worth at the slowest rate, to a window from now at most.
	due     atomic.Int64
	writing atomic.Int64 // begin of a write that has not ended; 0 if there is none
	body    atomic.Int64 // bytes in memory

	calls  atomic.Int32 // of gRPC, in progress
	header int64        // bytes of a header or of messages in memory, guarded by the account
}

func newConn(a *Account, conn net.Conn, class Class, at time.Time) *Conn {
	addr, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		addr = conn.RemoteAddr().String() // not an IP address
	}
	c := &Conn{Conn: conn, account: a, class: class, addr: addr}
	p := phaseWaiting
	if class == Peers {
		p = phaseOpen
	}
	c.enter(p, at)
	return c
}

type connKey struct{}

// connOf returns the caller's connection below those of a server, or nil.
func connOf(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// ConnContext is the ConnContext hook of a server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := connOf(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

func (c *Conn) enter(p phase, at time.Time) {
	c.phase.Store(int32(p))
	now := c.account.stamp(at)
	c.since.Store(now)
	c.due.Store(now + int64(c.account.cfg.Rules.BodyWindow))
}

// serve begins the service of a complete request. It reports false if the connection
// was closed to make room meanwhile: the request must not run without its caller.
func (c *Conn) serve() bool {
	c.enter(phaseServing, time.Now())
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	_, isOpen := c.account.conns[c.class][c]
	return isOpen
}

// Read implements [net.Conn].
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	p := phase(c.phase.Load())
	if n == 0 || p == phaseServing {
		return n, err
	}
	c.progress(time.Now(), n)
	switch p {
	case phaseWaiting:
		c.account.holdHeader(c, headerBytes(n, headerLines(b[:n])))
	case phaseOpen:
		c.account.holdHeader(c, int64(n))
	}
	return n, err
}

// headerLines returns the number of lines in b up to the end of a header. What follows
// is a body or waits in the server's buffer.
func headerLines(b []byte) int {
	if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
		b = b[:end]
	}
	return bytes.Count(b, []byte("\n"))
}

// progress moves the due time on by n bytes. A caller that was overdue starts from now:
// it may have been checked late.
func (c *Conn) progress(at time.Time, n int) {
	now := c.account.stamp(at)
	worth := c.account.rateTime(n)
	c.due.Store(min(max(c.due.Load(), now)+worth, now+int64(c.account.cfg.Rules.BodyWindow)))
}

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		c.writing.Store(c.account.clock.Load())
		n, err := c.Conn.Write(b[written:min(written+writePiece, len(b))])
		c.writing.Store(0)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side. Servers use it to deliver an answer to a caller
// that still sends.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.account.mu.Lock()
	c.account.remove(c, "")
	c.account.mu.Unlock()
	return c.Conn.Close()
}

// HoldBody states the bytes of bodies that the request has in memory.
func (c *Conn) HoldBody(n int64) {
	if c != nil {
		c.body.Store(n)
	}
}

// Reclaim closes other callers that hold unfinished bodies of at least n bytes in all,
// have progressed less and hold more. It reports whether there were any; their memory
// is free when their requests have ended.
func (c *Conn) Reclaim(n int64) bool {
	return c != nil && c.account.reclaim(c, n)
}

// holding is called with the account's mu held.
func (c *Conn) holding(at time.Time) Holding {
	h := Holding{
		Phase: phases[phase(c.phase.Load())], Conns: c.account.byAddr[c.addr], HeaderBytes: c.header, BodyBytes: c.body.Load(),
	}
	if h.Phase == Serving {
		h.Stale = c.unread(at)
		return h
	}
	h.Stale = max(time.Duration(c.account.stamp(at)-c.due.Load())+c.account.cfg.Rules.BodyWindow, 0)
	return h
}

// unread returns how long the caller has not read of an answer.
func (c *Conn) unread(at time.Time) time.Duration {
	began := c.writing.Load()
	if began == 0 {
		return 0
	}
	return time.Duration(c.account.stamp(at) - began)
}

// overdue returns the rule that the caller has broken, or "".
func (c *Conn) overdue(at time.Time) Cause {
	rules := c.account.cfg.Rules
	if c.unread(at) > rules.UnreadTime {
		return UnreadAnswer
	}
	if phase(c.phase.Load()) != phaseReading {
		return ""
	}
	if c.account.stamp(at) > c.due.Load() {
		return SlowBody
	}
	if time.Duration(c.account.stamp(at)-c.since.Load()) > rules.BodyTime {
		return LongBody
	}
	return ""
}
