package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"jackdawbarrow/dial"
	"jackdawbarrow/wire"
)

const (
	dialTimeout = 250 * time.Millisecond
	// defaultCallTimeout applies to calls whose context has no deadline.
	defaultCallTimeout = time.Second
	// maxRedialDelay is short so that the next probes reach a VM that recovers.
	// With gRPC's default of 2 minutes it would stay dead.
	maxRedialDelay = 500 * time.Millisecond
	// idleTimeout closes connections between two probes of the same VM in a
	// large deployment; 399 open connections would exceed the memory budget.
	idleTimeout = 30 * time.Second
	// unackedTimeout closes a connection whose peer no longer acknowledges data.
	// Without it, calls queue on the dead connection for many minutes.
	unackedTimeout = 3 * time.Second
	bufferBytes    = 4 << 10
	// windowBytes is fixed because gRPC's bandwidth-delay estimation sends pings
	// along with messages, which were a quarter of the bytes between VMs.
	windowBytes = 64 << 10
	// maxMessageBytes fits the configuration document and forwarded request
	// bodies.
	maxMessageBytes = 32 << 20
)

// Connections caches one connection per address. It is safe for concurrent use.
type Connections struct {
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	creds credentials.TransportCredentials

	mu     sync.Mutex
	open   map[string]*connection
	closed bool
}

type connection struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

func newConnections(dial func(ctx context.Context, addr string) (net.Conn, error), localAddr string, cfg *tls.Config) *Connections {
	if dial == nil {
		dial = dialTCP(localAddr)
	}
	creds := insecure.NewCredentials()
	if cfg != nil {
		creds = credentials.NewTLS(cfg)
	}
	return &Connections{dial: dial, creds: creds, open: map[string]*connection{}}
}

// dialTCP returns a dialer that binds connections to the IP of localAddr, so
// that peers of a multihomed VM see the address that it advertises.
func dialTCP(localAddr string) func(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Best effort: the option only speeds up detection of a dead peer.
			_ = dial.SetUserTimeout(fd, unackedTimeout)
		})
	}}
	if local, err := netip.ParseAddrPort(localAddr); err == nil && !local.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: local.Addr().AsSlice()}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// NewConnections returns a cache of unencrypted connections.
func NewConnections() *Connections { return newConnections(nil, "", nil) }

func (c *Connections) client(addr string, now time.Time) (wire.PeerClient, error) {
	conn, err := c.Conn(addr, now)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(conn), nil
}

// Conn returns the cached connection to addr, creating it on first use.
func (c *Connections) Conn(addr string, now time.Time) (*grpc.ClientConn, error) {
	if addr == "" {
		return nil, errors.New("VM has no peer address")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("connections to other VMs are closed")
	}
	if found, ok := c.open[addr]; ok {
		found.lastUsed = now
		return found.conn, nil
	}
	conn, err := c.newConn(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	c.open[addr] = &connection{conn: conn, lastUsed: now}
	return conn, nil
}

func (c *Connections) newConn(addr string) (*grpc.ClientConn, error) {
	redial := backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay}
	return grpc.NewClient(
		"passthrough:///"+addr,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: dialTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithUnaryInterceptor(withDefaultTimeout),
	)
}

// ServerOptions returns the options of a server that other VMs connect to.
// Buffers are small because every VM connects to a pool owner.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.SharedWriteBuffer(true),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
}

func withDefaultTimeout(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	return invoke(ctx, method, req, reply, cc, opts...)
}

// prune closes connections to addresses outside keep that were last used
// earlier than before.
func (c *Connections) prune(keep map[string]bool, before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, found := range c.open {
		if !keep[addr] && found.lastUsed.Before(before) {
			_ = found.conn.Close()
			delete(c.open, addr)
		}
	}
}

// Close closes all connections. Later calls of Conn fail.
func (c *Connections) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, found := range c.open {
		_ = found.conn.Close()
	}
	c.open = map[string]*connection{}
}
