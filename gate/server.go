package gate

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTime is the time for which a connection must have had no request before
	// it counts as idle: a request that came with the one before it is parsed by then.
	settleTime = 50 * time.Millisecond
	// stopInterval is the interval at which a server that stops closes idle
	// connections.
	stopInterval = 50 * time.Millisecond
)

// serverConns are the connections of one server. [http.Server.Shutdown] and
// [http.Server.SetKeepAlivesEnabled] close connections whose next request has been
// read and isn't parsed yet, and the handler then runs without a caller. stop doesn't.
type serverConns struct {
	net.Listener

	mu        sync.Mutex
	conns     map[*serverConn]struct{}
	isStopped bool
}

// trackConns returns the listener to serve srv with. It is called before Serve.
func trackConns(srv *http.Server, l net.Listener) *serverConns {
	next := srv.ConnState
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*serverConn); ok {
			c.stateChanged(state)
		}
		if next != nil {
			next(nc, state)
		}
	}
	return &serverConns{Listener: l, conns: map[*serverConn]struct{}{}}
}

// Accept implements net.Listener.
func (s *serverConns) Accept() (net.Conn, error) {
	nc, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{Conn: nc, server: s, since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopped {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	s.conns[c] = struct{}{}
	return c, nil
}

// stop accepts no further connections and closes those that are idle, until none is
// left or the deadline is reached. It reports whether none is left.
func (s *serverConns) stop(deadline time.Time) bool {
	s.mu.Lock()
	s.isStopped = true
	s.mu.Unlock()
	_ = s.Close()
	for s.closeIdle() > 0 {
		left := time.Until(deadline)
		if left <= 0 {
			return false
		}
		time.Sleep(min(stopInterval, left))
	}
	return true
}

// closeIdle closes the idle connections and returns how many others there are.
func (s *serverConns) closeIdle() int {
	s.mu.Lock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	open := 0
	for _, c := range list {
		if !c.closeIfIdle() {
			open++
		}
	}
	return open
}

// serverConn is a connection that knows whether input was read on it since its last
// response. The server itself counts a connection as idle until the header of the
// next request is parsed.
type serverConn struct {
	net.Conn
	server *serverConns

	mu        sync.Mutex
	isActive  bool // a request is in progress
	hasInput  bool // read since the last write
	isClosing bool
	since     time.Time // of the last response or, without one, of the connection
}

// NetConn returns the connection below.
func (c *serverConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side. Servers use it to deliver an answer to a caller
// that still sends.
func (c *serverConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. Input of a connection that is being closed is dropped.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return 0, net.ErrClosed
	}
	c.hasInput = true
	return n, err
}

// Write implements net.Conn. The caller sends its next request after the last byte
// of the response, so that input read before belongs to the request in progress.
func (c *serverConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.hasInput = false
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func (c *serverConn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isActive = state == http.StateActive
	if state == http.StateIdle {
		c.since = time.Now()
	}
}

// closeIfIdle closes a connection on which no request is in progress and no part of
// one has been read. It reports whether it did.
func (c *serverConn) closeIfIdle() bool {
	c.mu.Lock()
	c.isClosing = c.isClosing || !c.isActive && !c.hasInput && time.Since(c.since) >= settleTime
	isClosing := c.isClosing
	c.mu.Unlock()
	if isClosing {
		_ = c.Close()
	}
	return isClosing
}

// drainWriter tells the caller of a response that begins in a drain that the
// connection ends with it.
type drainWriter struct {
	http.ResponseWriter
	isDraining func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w drainWriter) WriteHeader(status int) {
	if w.isDraining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is used by http.ResponseController.
func (w drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
