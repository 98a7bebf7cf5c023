package intake

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Class is the kind of server that a connection belongs to.
type Class string

// Values of Class.
const (
	Callers   Class = "callers"
	Directory Class = "directory"
	Probe     Class = "probe"
	Metrics   Class = "metrics"
	Peers     Class = "peers"
)

// Cause is the reason why a connection was closed.
type Cause string

// Values of Cause.
const (
	TooManyConns  Cause = "tooManyConnections" // closed to admit another one
	TurnedAway    Cause = "turnedAway"         // not admitted
	TooManyFields Cause = "headerMemory"
	TooManyBodies Cause = "bodyMemory"
	SlowBody      Cause = "slowBody"
	LongBody      Cause = "longBody"
	UnreadAnswer  Cause = "unreadAnswer"
)

// Shares of the descriptors. The rest is for upstreams, the store and files.
var classShares = map[Class]float64{Directory: 0.08, Probe: 0.02, Metrics: 0.02, Peers: 0.12}

const (
	// minConns is the smallest bound of a class: a probe or a scraper opens a
	// connection while the last one has not ended.
	minConns = 8
	// connBytes is the memory of a connection with its buffers and goroutines.
	connBytes = 24 << 10
	// connMemoryShare is the part of the memory that callers' connections may take.
	connMemoryShare = 0.3
	// defaultMemory is used if the process has no limit, in bytes.
	defaultMemory = 1 << 30
	// checkInterval is the interval at which progress is checked.
	checkInterval = time.Second
	// pressTime is the time after a newcomer was turned away in which answers close
	// their connections.
	pressTime = 3 * time.Second
)

// Config configures an Account. Values of 0 take their defaults.
type Config struct {
	MaxFDs      int   // limit of the process; by default that of the operating system
	MemoryBytes int64 // limit of the process
	Rules       Rules
	Log         logrus.FieldLogger
}

// Rules are the limits on callers.
type Rules struct {
	// ConnShare is the part of MaxFDs for the connections of callers, HeaderShare the
	// part of MemoryBytes for parsed headers.
	ConnShare   float64
	HeaderShare float64
	// BodyRate is the slowest rate of a body in bytes a second, over BodyWindow.
	BodyRate   int
	BodyWindow time.Duration
	BodyTime   time.Duration // for a whole body
	UnreadTime time.Duration // in which nothing of an answer is read
}

// Defaults of the rules.
const (
	defaultConnShare   = 0.5
	defaultHeaderShare = 0.15
	defaultBodyRate    = 1 << 10
	defaultBodyWindow  = 10 * time.Second
	defaultBodyTime    = 2 * time.Minute
	defaultUnreadTime  = time.Minute
)

// WithDefaults returns a copy in which all rules are stated.
func (r Rules) WithDefaults() Rules {
	if r.ConnShare <= 0 {
		r.ConnShare = defaultConnShare
	}
	if r.HeaderShare <= 0 {
		r.HeaderShare = defaultHeaderShare
	}
	if r.BodyRate <= 0 {
		r.BodyRate = defaultBodyRate
	}
	if r.BodyWindow <= 0 {
		r.BodyWindow = defaultBodyWindow
	}
	if r.BodyTime <= 0 {
		r.BodyTime = defaultBodyTime
	}
	if r.UnreadTime <= 0 {
		r.UnreadTime = defaultUnreadTime
	}
	return r
}

// Account keeps what the callers of a process hold. It is safe for concurrent use.
type Account struct {
	cfg         Config
	maxConns    map[Class]int
	headerBytes int64
	start       time.Time
	clock       atomic.Int64 // stamp of the last check
	pressed     atomic.Int64 // when a caller was last turned away
	stop        chan struct{}
	wg          sync.WaitGroup

	mu      sync.Mutex
	conns   map[Class]map[*Conn]struct{}
	byAddr  map[string]int // connections by remote IP address
	headers int64          // bytes held
	closed  map[Cause]int64
	logged  map[Cause]int64
}

// New returns an account, which checks the progress of callers until Close.
func New(cfg Config) *Account {
	cfg.Rules = cfg.Rules.WithDefaults()
	if cfg.MaxFDs <= 0 {
		cfg.MaxFDs = systemFDs()
	}
	if cfg.MemoryBytes <= 0 {
		cfg.MemoryBytes = defaultMemory
	}
	a := &Account{
		cfg: cfg, start: time.Now().Add(-2 * pressTime), headerBytes: int64(cfg.Rules.HeaderShare * float64(cfg.MemoryBytes)), stop: make(chan struct{}),
		maxConns: map[Class]int{}, conns: map[Class]map[*Conn]struct{}{}, byAddr: map[string]int{},
		closed: map[Cause]int64{}, logged: map[Cause]int64{},
	}
	for class, share := range classShares {
		a.maxConns[class] = max(int(share*float64(cfg.MaxFDs)), minConns)
	}
	byMemory := int(connMemoryShare * float64(cfg.MemoryBytes) / connBytes)
	a.maxConns[Callers] = max(min(int(cfg.Rules.ConnShare*float64(cfg.MaxFDs)), byMemory), minConns)
	for class := range a.maxConns {
		a.conns[class] = map[*Conn]struct{}{}
	}
	a.clock.Store(a.stamp(time.Now()))
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-a.stop:
				return
			case at := <-ticker.C:
				a.check(at)
			}
		}
	}()
	return a
}

// Close ends the checks. Connections stay open.
func (a *Account) Close() {
	close(a.stop)
	a.wg.Wait()
}

// stamp returns a time as nanoseconds since before the start, by the steady clock:
// the time of day may jump.
func (a *Account) stamp(at time.Time) int64 { return int64(at.Sub(a.start)) }

// systemFDs returns the limit of the operating system on descriptors.
func systemFDs() int {
	const unknown, most = 1024, 1 << 16
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return int(min(uint64(limit.Cur), most))
}

// Observe serves the account's figures as metrics.
func (a *Account) Observe(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("intake_closed", metric.WithDescription("connections closed to bound what callers hold, by cause"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			for cause, n := range a.closed {
				o.Observe(n, metric.WithAttributes(attribute.String("cause", string(cause))))
			}
			return nil
		}))
	if err != nil {
		return errors.Wrap(err, "create intake_closed")
	}
	_, err = m.Int64ObservableGauge("intake_connections", metric.WithDescription("open connections by kind of server"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			for class, conns := range a.conns {
				o.Observe(int64(len(conns)), metric.WithAttributes(attribute.String("server", string(class))))
			}
			return nil
		}))
	return errors.Wrap(err, "create intake_connections")
}

// Listen returns a listener that admits connections of a class.
func (a *Account) Listen(l net.Listener, class Class) net.Listener {
	return &listener{Listener: l, account: a, class: class}
}

type listener struct {
	net.Listener
	account *Account
	class   Class
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.account.admit(conn, l.class); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection with its account, or nil if it was closed for lack of
// room.
func (a *Account) admit(conn net.Conn, class Class) *Conn {
	at := time.Now()
	c := newConn(a, conn, class, at)
	a.mu.Lock()
	var victim *Conn
	if len(a.conns[class]) >= a.maxConns[class] {
		if victim = a.highest(at, class, Holding.connRank, 0, nil); victim == nil {
			a.closed[TurnedAway]++
			a.mu.Unlock()
			if class == Callers {
				a.pressed.Store(a.stamp(at))
			}
			_ = conn.Close() // nothing was read from it
			return nil
		}
		a.remove(victim, TooManyConns)
	}
	a.conns[class][c] = struct{}{}
	a.byAddr[c.addr]++
	a.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close() // its server notices
	}
	return c
}

// highest returns the connection of the class with the highest rank above least that
// may be closed, or nil. It is called with mu held.
func (a *Account) highest(at time.Time, class Class, rank func(Holding) float64, least float64, except *Conn) *Conn {
	var found *Conn
	for c := range a.conns[class] {
		h := c.holding(at)
		if c == except || !h.MayClose() {
			continue
		}
		if r := rank(h); r > least {
			found, least = c, r
		}
	}
	return found
}

// remove takes a connection out of the account; cause is empty if its server closed
// it. It is called with mu held.
func (a *Account) remove(c *Conn, cause Cause) {
	if _, ok := a.conns[c.class][c]; !ok {
		return
	}
	delete(a.conns[c.class], c)
	if a.byAddr[c.addr]--; a.byAddr[c.addr] == 0 {
		delete(a.byAddr, c.addr)
	}
	a.headers -= c.header
	c.header = 0
	if cause != "" {
		a.closed[cause]++
	}
}

// holdHeader adds the memory of a part of a header. If there is no room, it closes
// the connections that rank highest, c among them.
func (a *Account) holdHeader(c *Conn, bytes int64) {
	at := time.Now()
	var victims []*Conn
	a.mu.Lock()
	if _, ok := a.conns[c.class][c]; ok {
		c.header += bytes
		a.headers += bytes
	}
	for a.headers > a.headerBytes {
		var victim *Conn
		least := 0.0
		for class := range a.conns {
			if v := a.highest(at, class, Holding.headerRank, least, nil); v != nil {
				victim, least = v, v.holding(at).headerRank()
			}
		}
		if victim == nil {
			break
		}
		a.remove(victim, TooManyFields)
		victims = append(victims, victim)
	}
	a.mu.Unlock()
	for _, v := range victims {
		_ = v.Conn.Close() // its server notices
	}
}

// wholeHeader is the size that gives all memory of a header back.
const wholeHeader = math.MaxInt64

// dropHeader gives memory of a request's header back, at most as much as is held.
func (a *Account) dropHeader(c *Conn, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes = min(bytes, c.header)
	a.headers -= bytes
	c.header -= bytes
}

// reclaim closes callers that hold at least n bytes of unfinished bodies in all and
// rank above c, unless c is closed itself. It reports whether there were any.
func (a *Account) reclaim(c *Conn, n int64) bool {
	at := time.Now()
	var victims []*Conn
	a.mu.Lock()
	if _, ok := a.conns[c.class][c]; !ok {
		a.mu.Unlock()
		return false // closed, so its request ends
	}
	least := c.holding(at).bodyRank()
	for n > 0 {
		victim := a.highest(at, Callers, Holding.bodyRank, least, c)
		if victim == nil {
			break
		}
		n -= victim.body.Load()
		a.remove(victim, TooManyBodies)
		victims = append(victims, victim)
	}
	a.mu.Unlock()
	for _, v := range victims {
		_ = v.Conn.Close() // its server notices
	}
	return len(victims) > 0
}

// check closes connections whose callers don't progress, and logs what was closed
// since the last check.
func (a *Account) check(at time.Time) {
	a.clock.Store(a.stamp(at))
	var late []*Conn
	a.mu.Lock()
	for c := range a.conns[Callers] {
		if cause := c.overdue(at); cause != "" {
			a.remove(c, cause)
			late = append(late, c)
		}
	}
	fields := logrus.Fields{}
	for cause, n := range a.closed {
		if n > a.logged[cause] {
			fields[string(cause)] = n - a.logged[cause]
			a.logged[cause] = n
		}
	}
	conns, headers := len(a.conns[Callers]), a.headers
	a.mu.Unlock()
	for _, c := range late {
		_ = c.Conn.Close() // its server notices
	}
	if len(fields) > 0 {
		fields["connections"], fields["headerBytes"] = conns, headers
		a.cfg.Log.WithFields(fields).Warn("connections of callers closed")
	}
}

// isPressed reports whether a caller was turned away lately.
func (a *Account) isPressed() bool {
	return a.clock.Load()-a.pressed.Load() < int64(pressTime)
}

// ConnStateChanged is the ConnState hook of a server.
func (a *Account) ConnStateChanged(conn net.Conn, state http.ConnState) {
	c := connOf(conn)
	if c == nil || state != http.StateIdle {
		return
	}
	c.enter(phaseWaiting, time.Now())
	a.dropHeader(c, wholeHeader)
}

// rateTime returns the time that n bytes are worth at the slowest rate.
func (a *Account) rateTime(n int) int64 {
	return int64(math.Round(float64(n) / float64(a.cfg.Rules.BodyRate) * float64(time.Second)))
}
