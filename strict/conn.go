package strict

import (
	"net"
	"sync"
)

// Conn is a connection on which responses are read. Its Read fails in the middle of a
// head that net/http would read otherwise than its sender meant it.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
}

// NewConn returns a Conn on a connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: headScanner{isOver: true}} }

// BeginHead tells that the head of a response follows. Its first bytes may have been
// read before.
func (c *Conn) BeginHead(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
	return c.head.scan(read)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.scan(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
