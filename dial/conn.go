package dial

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/strict"
)

// readBuffer is the buffer size in bytes: the header of a response and many events
// of a stream fit.
const readBuffer = 4 << 10

// conn is a connection that serves one request at a time.
type conn struct {
	*strict.Conn
	addr      string
	isNamed   bool // its responses name their requests
	source    *boundedReader
	r         *bufio.Reader // of source
	idleSince time.Time
	expires   time.Time
	closed    func() // called once
}

func newConn(nc net.Conn, addr string, closed func()) *conn {
	checked := strict.NewConn(nc)
	source := &boundedReader{r: checked}
	return &conn{
		Conn: checked, addr: addr, source: source, r: bufio.NewReaderSize(source, readBuffer), closed: sync.OnceFunc(closed),
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed()
	return c.Conn.Close()
}

var errUnbounded = errors.New("the upstream sends more bytes than a response may have")

// boundedReader fails after a number of bytes, unless it is unbounded.
type boundedReader struct {
	r         io.Reader
	isBounded bool
	left      int64
}

// bound allows n more bytes.
func (b *boundedReader) bound(n int64) { b.isBounded, b.left = true, n }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.isBounded {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, errUnbounded
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
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
	sc, ok := c.Conn.Conn.(syscall.Conn)
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
