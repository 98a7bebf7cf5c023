package dial

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is the buffer size in bytes: the header of a response and many events
// of a stream fit.
const readBuffer = 4 << 10

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	addr      string
	r         *bufio.Reader
	idleSince time.Time
	expires   time.Time
}

func newConn(nc net.Conn, addr string) *conn {
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, readBuffer)}
}

// isUsable reports whether an idle connection can be reused: it hasn't expired,
// the upstream hasn't closed it, and there is no unread input, which would belong
// to an earlier request.
func (c *conn) isUsable(now time.Time, maxAge time.Duration) bool {
	if now.After(c.expires) || maxAge > 0 && now.Sub(c.idleSince) > maxAge {
		return false
	}
	return c.r.Buffered() == 0 && c.hasNoInput()
}

// hasNoInput does a non-blocking read of one byte, which must find none.
func (c *conn) hasNoInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		isEmpty = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && isEmpty
}
