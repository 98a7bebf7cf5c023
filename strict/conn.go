package strict

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout limits how long the end of the input waits for a write in progress. After
// a reset the write fails at once; otherwise the peer may still read the request.
const writeTimeout = time.Second

var errUnfinishedWrite = errors.New("the connection ended before the request was written")

// Conn is a connection on which responses are read. Its Read fails at a head that
// net/http would misread, and at the end of the input if a write failed.
type Conn struct {
	net.Conn

	writing chan struct{} // holds a token during a write

	mu       sync.Mutex
	head     headScanner
	writeErr error // of the first write that failed
}

// NewConn returns a Conn on a connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, writing: make(chan struct{}, 1), head: headScanner{isOver: true}}
}

// BeginHead starts the scan of the next response's head, of which some bytes may have
// been read already.
func (c *Conn) BeginHead(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
	return c.head.scan(read)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.end()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.scan(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// end returns io.EOF, or an error if a write failed. The operating system reports the
// reset of a connection once only: after a write that got the error, the reads find
// the end of the input.
func (c *Conn) end() error {
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timeout.C:
		return errUnfinishedWrite
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "the connection ended after a failed write")
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeErr = errors.CombineErrors(c.writeErr, err)
	}
	return n, err
}
