package gate

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
)

// callerConns closes idle caller connections. The timeouts of [http.Server] can't
// change while it serves, but those of the configuration do.
type callerConns struct {
	limits func() config.CallerLimits
	log    logrus.FieldLogger

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer // of connections without a request in flight
}

func newCallerConns(limits func() config.CallerLimits, log logrus.FieldLogger) *callerConns {
	return &callerConns{limits: limits, log: log, timers: map[net.Conn]*time.Timer{}}
}

// stateChanged is the ConnState hook of the server. The header timeout applies to
// the first request of a new connection; after a request, the idle timeout applies
// until the header of the next one has been read.
func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	switch state {
	case http.StateNew:
		c.timers[conn] = c.closeAfter(conn, c.limits().WithDefaults().HeaderTime, "no request on a new connection")
	case http.StateIdle:
		c.timers[conn] = time.AfterFunc(c.limits().WithDefaults().IdleTime, func() { c.idleTimeEnded(conn) })
	}
}

// idleTimeEnded closes a connection without a further request. One whose next request
// is being read has the header timeout for the rest.
func (c *callerConns) idleTimeEnded(conn net.Conn) {
	sc, ok := conn.(*serverConn)
	if !ok {
		_ = conn.Close()
		return
	}
	if sc.closeIfIdle() {
		c.log.WithField("caller", conn.RemoteAddr().String()).Debug("connection closed: no further request")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil { // else the header has been read
		t.Stop()
		c.timers[conn] = c.closeAfter(conn, c.limits().WithDefaults().HeaderTime, "no complete header of a further request")
	}
}

func (c *callerConns) closeAfter(conn net.Conn, limit time.Duration, why string) *time.Timer {
	return time.AfterFunc(limit, func() {
		c.log.WithFields(logrus.Fields{"caller": conn.RemoteAddr().String(), "limitMs": limit.Milliseconds()}).
			Debug("connection closed: " + why)
		// The server detects the close and drops the connection.
		_ = conn.Close()
	})
}
