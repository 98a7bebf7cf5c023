package dial

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
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
	// maxIdleTotal limits the idle connections to all upstreams, whatever the
	// descriptors allow. The least recently used ones are closed first.
	maxIdleTotal = 1024
	// maxIdleShare is the share of the process's descriptors that idle connections
	// may take. Callers need the others.
	maxIdleShare = 0.25
	// minSweepInterval limits the wake-ups that close expired connections.
	minSweepInterval = time.Second
	// idleMargin is subtracted from a stated timeout: the outcome of a request that
	// races with the upstream closing the connection is unknown.
	idleMargin = 500 * time.Millisecond
)

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	// IdleTime is the maximum time to keep an idle connection.
	IdleTime time.Duration
	// MaxIdle is the maximum number of idle connections to all upstreams.
	MaxIdle int
	// MaxFDs is the limit of the process's open descriptors, from which the default
	// of MaxIdle follows; 0 takes that of the operating system.
	MaxFDs int
}

// Pool keeps idle connections by upstream address. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	// writers write request bodies while responses are read; they end when their
	// connections close.
	writers conc.WaitGroup

	open atomic.Int64 // connections, idle or in use

	mu        sync.Mutex
	idle      map[string][]*conn // most recently used last
	idleCount int
	// live are the addresses of the upstreams in force; nil stands for any.
	live map[string]bool
	// sweeper closes expired connections; isSweepDue is set while it is to run.
	sweeper    *time.Timer
	isSweepDue bool
	closed     bool
}

// Stats are the numbers of connections of a Pool.
type Stats struct {
	Open int // idle or in use
	Idle int
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.IdleTime == 0 {
		cfg.IdleTime = defaultIdleTime
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle(cfg.MaxFDs)
	}
	return &Pool{cfg: cfg, idle: map[string][]*conn{}, dialer: NewDialer(connectTimeout)}
}

// defaultMaxIdle returns the number of idle connections for the process's limit of
// descriptors.
func defaultMaxIdle(fds int) int {
	if fds == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return maxIdleTotal
		}
		fds = int(min(limit.Cur, math.MaxInt32))
	}
	return int(max(min(maxIdleShare*float64(fds), maxIdleTotal), 1))
}

// Stats returns the current numbers of connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: int(p.open.Load()), Idle: p.idleCount}
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
	p.setIdle(addr, list[:len(list)-1])
	return c
}

// setIdle replaces the idle connections to an address. The caller holds mu.
func (p *Pool) setIdle(addr string, list []*conn) {
	p.idleCount += len(list) - len(p.idle[addr])
	if len(list) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = list
}

func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to upstream %s", addr)
	}
	p.open.Add(1)
	return newConn(nc, addr, func() { p.open.Add(-1) }), nil
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

// put returns a connection to the pool. It closes the connection if the upstream has
// left or has enough idle ones.
func (p *Pool) put(c *conn, idleTime time.Duration) {
	if idleTime <= 0 || idleTime > p.cfg.IdleTime {
		idleTime = p.cfg.IdleTime
	}
	now := time.Now()
	c.idleSince = now
	c.expires = now.Add(idleTime)
	if surplus := p.keep(c, now); surplus != nil {
		surplus.Close()
	}
}

// keep adds an idle connection and returns the one to close in its place, or nil.
func (p *Pool) keep(c *conn, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if p.closed || len(list) >= maxIdleConns || p.live != nil && !p.live[c.addr] {
		return c
	}
	p.setIdle(c.addr, append(list, c))
	p.scheduleSweep(c.expires.Sub(now))
	if p.idleCount > p.cfg.MaxIdle {
		return p.removeOldest()
	}
	return nil
}

// removeOldest removes and returns the idle connection that was used least recently.
// The caller holds mu.
func (p *Pool) removeOldest() *conn {
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	p.setIdle(oldest.addr, append([]*conn(nil), p.idle[oldest.addr][1:]...))
	return oldest
}

// scheduleSweep lets the sweeper run after d, unless it is due already. Then it finds
// the time of its next run itself. The caller holds mu.
func (p *Pool) scheduleSweep(d time.Duration) {
	if p.isSweepDue || p.closed {
		return
	}
	p.isSweepDue = true
	d = max(d, minSweepInterval)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(d, p.sweep)
		return
	}
	p.sweeper.Reset(d)
}

// sweep closes the expired connections. It runs again when the next one expires.
func (p *Pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	p.isSweepDue = false
	expired := p.remove(func(c *conn) bool { return !now.Before(c.expires) })
	var next time.Time
	for _, list := range p.idle {
		for _, c := range list {
			if next.IsZero() || c.expires.Before(next) {
				next = c.expires
			}
		}
	}
	if !next.IsZero() {
		p.scheduleSweep(next.Sub(now))
	}
	p.mu.Unlock()
	closeAll(expired)
}

// remove removes and returns the idle connections that isRemoved selects. The caller
// holds mu.
func (p *Pool) remove(isRemoved func(*conn) bool) []*conn {
	var removed []*conn
	for addr, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if isRemoved(c) {
				removed = append(removed, c)
				continue
			}
			kept = append(kept, c)
		}
		p.setIdle(addr, kept)
	}
	return removed
}

func closeAll(list []*conn) {
	for _, c := range list {
		c.Close()
	}
}

// Retain closes the idle connections to all but these addresses. Connections in use
// to other addresses are closed after their response. An address that a new upstream
// has taken over keeps its connections: those of the old upstream are closed by
// their peer and not reused.
func (p *Pool) Retain(addrs map[string]bool) {
	p.mu.Lock()
	p.live = addrs
	removed := p.remove(func(c *conn) bool { return !addrs[c.addr] })
	p.mu.Unlock()
	closeAll(removed)
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	p.setIdle(addr, nil)
	p.mu.Unlock()
	closeAll(list)
}

// Close closes all idle connections. Requests in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	idle := p.remove(func(*conn) bool { return true })
	p.mu.Unlock()
	closeAll(idle)
}
