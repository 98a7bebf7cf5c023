package gate

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
)

// callerConns closes connections of callers that send nothing for too long. The
// timeouts of [http.Server] cannot change while it serves, and those of the
// configuration do.
type callerConns struct {
	limits func() config.CallerLimits
	log    logrus.FieldLogger

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer // of connections without a request
}

func newCallerConns(limits func() config.CallerLimits, log logrus.FieldLogger) *callerConns {
	return &callerConns{limits: limits, log: log, timers: map[net.Conn]*time.Timer{}}
}

// stateChanged is the server's ConnState. A new connection has the header time
// for its first request; after a request, the idle time holds until the header of
// the next one has been read.
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
		c.timers[conn] = c.closeAfter(conn, c.limits().WithDefaults().IdleTime, "no further request")
	}
}

func (c *callerConns) closeAfter(conn net.Conn, limit time.Duration, why string) *time.Timer {
	return time.AfterFunc(limit, func() {
		c.log.WithFields(logrus.Fields{"caller": conn.RemoteAddr().String(), "limitMs": limit.Milliseconds()}).
			Debug("connection closed: " + why)
		// The server notices the close and forgets the connection.
		_ = conn.Close()
	})
}
