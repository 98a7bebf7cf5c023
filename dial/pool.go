package dial

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout is far above the round trip between data centres, 3 ms, and leaves
	// time for another upstream within the tightest target, 100 ms.
	connectTimeout = 300 * time.Millisecond
	// refusalTimeout limits the time to find out whether connections are refused; a
	// retry waits for it.
	refusalTimeout = 100 * time.Millisecond
	// userTimeout closes a connection with unacknowledged bytes. Otherwise a request
	// on a partitioned link would wait until its deadline.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect an unreachable peer while a request
	// waits for the response.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxIdleConns limits the idle connections to one upstream.
	maxIdleConns = 16
	// defaultIdleTime applies if the upstream doesn't state a timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from a stated timeout: the outcome of a request that
	// races with the upstream closing the connection is unknown.
	idleMargin = 500 * time.Millisecond
)

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	// IdleTime is the maximum time to keep an idle connection.
	IdleTime time.Duration
}

// Pool keeps idle connections by upstream address. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	// writers write request bodies while responses are read; they end when their
	// connections close.
	writers conc.WaitGroup

	mu     sync.Mutex
	idle   map[string][]*conn // most recently used last
	closed bool
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.IdleTime == 0 {
		cfg.IdleTime = defaultIdleTime
	}
	return &Pool{cfg: cfg, idle: map[string][]*conn{}, dialer: NewDialer(connectTimeout)}
}

// SetUserTimeout closes the connection of a socket if sent bytes aren't
// acknowledged within d.
func SetUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
}

// NewDialer returns a dialer whose connections detect an unreachable peer.
func NewDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if ctlErr := c.Control(func(fd uintptr) {
				err = SetUserTimeout(fd, userTimeout)
			}); ctlErr != nil {
				return errors.Wrap(ctlErr, "socket options")
			}
			return errors.Wrap(err, "set TCP_USER_TIMEOUT")
		},
	}
}

// take returns an idle connection without unread input, or a new one.
func (p *Pool) take(ctx context.Context, q Request) (*conn, error) {
	for !q.NewConn {
		c := p.pop(q.Address)
		if c == nil {
			break
		}
		if c.isUsable(time.Now(), q.MaxIdle) {
			return c, nil
		}
		c.Close()
	}
	return p.connect(ctx, q.Address)
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to upstream %s", addr)
	}
	return newConn(nc, addr), nil
}

// Refuses reports whether connections to an address are refused, as they are when
// the process there has ended. A connection that is made is kept for the next
// request.
func (p *Pool) Refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := p.connect(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(c, 0)
	return false
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn, idleTime time.Duration) {
	if idleTime <= 0 || idleTime > p.cfg.IdleTime {
		idleTime = p.cfg.IdleTime
	}
	now := time.Now()
	c.idleSince = now
	c.expires = now.Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if p.closed || len(list) >= maxIdleConns {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close closes all idle connections. Requests in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}
