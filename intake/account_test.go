package intake

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/stats"
)

// memoryConn is a connection that reads from memory.
type memoryConn struct {
	net.Conn
	addr   string
	input  io.Reader
	closed bool
}

func (c *memoryConn) Read(b []byte) (int, error)  { return c.input.Read(b) }
func (c *memoryConn) Write(b []byte) (int, error) { return len(b), nil }
func (c *memoryConn) Close() error {
	c.closed = true
	return nil
}

func (c *memoryConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.addr), Port: 1}
}

func newAccount(t *testing.T, cfg Config) *Account {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg.Log = log
	a := New(cfg)
	t.Cleanup(a.Close)
	return a
}

// admit admits a connection whose caller has stood still for a time.
func admit(a *Account, addr string, p phase, stale time.Duration) (*Conn, *memoryConn) {
	m := &memoryConn{addr: addr, input: strings.NewReader("")}
	c := a.admit(m, Callers)
	if c != nil {
		c.enter(p, time.Now().Add(-stale))
	}
	return c, m
}

// Guards against a newcomer that finds no room while others stand still, and against
// closing requests at an upstream to admit one.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		phase  phase
		admits bool
	}{
		"unfinished bodies":       {phaseReading, true},
		"idle connections":        {phaseWaiting, true},
		"requests at an upstream": {phaseServing, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAccount(t, Config{MaxFDs: 2 * minConns})
			var conns []*memoryConn
			for i := range minConns {
				_, m := admit(a, "10.0.0.1", c.phase, time.Duration(minConns-i)*time.Second)
				conns = append(conns, m)
			}
			newcomer, m := admit(a, "10.0.0.2", phaseWaiting, 0)
			if (newcomer != nil) != c.admits || m.closed == c.admits {
				t.Errorf("admitted: %v, closed: %v; want admitted: %v", newcomer != nil, m.closed, c.admits)
			}
			for i, m := range conns {
				if want := c.admits && i == 0; m.closed != want {
					t.Errorf("connection %d closed: %v, want %v", i, m.closed, want)
				}
			}
			if n := len(a.conns[Callers]); n != minConns {
				t.Errorf("%d connections, the bound is %d", n, minConns)
			}
		})
	}
}

// Guards against headers that take more memory than their bytes.
func TestHeaderMemory(t *testing.T) {
	const size = 60_000
	a := newAccount(t, Config{MemoryBytes: 10 << 20, Rules: Rules{HeaderShare: 0.1}})
	large, largeConn := admit(a, "10.0.0.1", phaseWaiting, 0)
	small, smallConn := admit(a, "10.0.0.1", phaseWaiting, 0)
	largeConn.input = strings.NewReader(strings.Repeat("a:\r\n", size/4))
	smallConn.input = strings.NewReader("GET / HTTP/1.1\r\n\r\n")
	if _, err := small.Read(make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, struct{ io.Reader }{large}); err != nil {
		t.Fatal(err)
	}
	if !largeConn.closed || smallConn.closed {
		t.Errorf("closed: %v for the many fields, %v for the few; want true, false", largeConn.closed, smallConn.closed)
	}
	if a.headers > a.headerBytes {
		t.Errorf("%d bytes held, the bound is %d", a.headers, a.headerBytes)
	}
	a.dropHeader(small, wholeHeader)
	if a.headers != 0 {
		t.Errorf("%d bytes held after the last request", a.headers)
	}
}

// Guards against ordinary requests that are closed because requests at upstreams hold
// the memory for headers.
func TestOrdinaryHeader(t *testing.T) {
	a := newAccount(t, Config{MemoryBytes: 10 << 20, Rules: Rules{HeaderShare: 0.1}})
	served, servedConn := admit(a, "10.0.0.1", phaseWaiting, 0)
	a.holdHeader(served, a.headerBytes)
	served.enter(phaseServing, time.Now())
	ordinary, ordinaryConn := admit(a, "10.0.0.2", phaseWaiting, 0)
	a.holdHeader(ordinary, headerBytes(1000, 20))
	long, longConn := admit(a, "10.0.0.3", phaseWaiting, 0)
	a.holdHeader(long, headerBytes(10_000, 1000))
	if servedConn.closed || ordinaryConn.closed || !longConn.closed {
		t.Errorf("closed: %v for the one being served, %v for the ordinary one, %v for the long one; want false, false, true",
			servedConn.closed, ordinaryConn.closed, longConn.closed)
	}
}

// Guards against bodies that take the memory for as long as their callers stay.
func TestReclaim(t *testing.T) {
	a := newAccount(t, Config{})
	still, stillConn := admit(a, "10.0.0.1", phaseReading, 5*time.Second)
	still.HoldBody(1 << 20)
	moving, movingConn := admit(a, "10.0.0.2", phaseReading, 0)
	moving.HoldBody(1 << 20)
	newcomer, _ := admit(a, "10.0.0.3", phaseReading, 0)
	if !newcomer.Reclaim(4 << 10) {
		t.Error("nothing was reclaimed for a newcomer")
	}
	if !stillConn.closed || movingConn.closed {
		t.Errorf("closed: %v for the body that stands still, %v for the one that moves; want true, false", stillConn.closed, movingConn.closed)
	}
	if moving.Reclaim(4 << 10) {
		t.Error("the caller that holds the most closed another one")
	}
	if still.Reclaim(4<<10) || movingConn.closed {
		t.Error("a caller that was closed itself closed another one")
	}
}

// Guards against callers that send or read too slowly without end, and against closing
// those that only are slow.
func TestOverdue(t *testing.T) {
	now := time.Now()
	window := defaultBodyWindow
	cases := map[string]struct {
		phase phase
		began time.Duration // before now
		// each reads so many bytes every second
		each    int
		writing time.Duration // for so long
		want    Cause
	}{
		"a new body":                     {phaseReading, window / 2, 0, 0, ""},
		"a body that stopped":            {phaseReading, 2 * window, 0, 0, SlowBody},
		"a body at the slowest rate":     {phaseReading, 6 * window, defaultBodyRate, 0, ""},
		"a body byte by byte":            {phaseReading, 2 * window, 1, 0, SlowBody},
		"a body without end":             {phaseReading, defaultBodyTime + time.Second, defaultBodyRate, 0, LongBody},
		"an idle connection":             {phaseWaiting, 6 * window, 0, 0, ""},
		"a long request at an upstream":  {phaseServing, time.Hour, 0, 0, ""},
		"an answer that is read slowly":  {phaseServing, time.Hour, 0, defaultUnreadTime / 2, ""},
		"an answer that nobody reads":    {phaseServing, time.Hour, 0, defaultUnreadTime + time.Second, UnreadAnswer},
		"an early answer nobody reads":   {phaseReading, 0, 0, defaultUnreadTime + time.Second, UnreadAnswer},
		"a body in the window, no bytes": {phaseReading, window - time.Second, 0, 0, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAccount(t, Config{})
			c, _ := admit(a, "10.0.0.1", tc.phase, 0)
			began := now.Add(-tc.began)
			c.enter(tc.phase, began)
			for at := began; tc.each > 0 && at.Before(now); at = at.Add(time.Second) {
				c.progress(at, tc.each)
			}
			if tc.writing > 0 {
				c.writing.Store(a.stamp(now.Add(-tc.writing)))
			}
			if got := c.overdue(now); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against messages of other VMs that stay unfinished and take the memory, and
// against closing connections for calls that have ended.
func TestCalls(t *testing.T) {
	a := newAccount(t, Config{MemoryBytes: 10 << 20, Rules: Rules{HeaderShare: 0.1}})
	const message = 512 << 10
	m := &memoryConn{addr: "10.0.0.1", input: strings.NewReader(strings.Repeat("\n", 6*message))}
	c := a.admit(m, Peers)
	h := a.Calls()
	ctx := h.TagConn(context.Background(), &stats.ConnTagInfo{RemoteAddr: m.RemoteAddr()})
	read := func() {
		if _, err := io.ReadFull(c, make([]byte, message)); err != nil {
			t.Fatal(err)
		}
	}
	h.HandleRPC(ctx, &stats.Begin{}) // in progress until the end
	for range 2 {
		h.HandleRPC(ctx, &stats.Begin{})
		read()
		h.HandleRPC(ctx, &stats.InPayload{WireLength: message})
		h.HandleRPC(ctx, &stats.End{})
	}
	if m.closed || a.headers != 0 {
		t.Errorf("closed: %v, %d bytes held after whole messages; want false, 0", m.closed, a.headers)
	}
	read()
	if h.HandleRPC(ctx, &stats.End{}); a.headers != 0 {
		t.Errorf("%d bytes held after the last call", a.headers)
	}
	h.HandleRPC(ctx, &stats.Begin{})
	for range 3 {
		read()
	}
	if !m.closed || a.headers != 0 {
		t.Errorf("closed: %v, %d bytes held with unfinished messages beyond the memory; want true, 0", m.closed, a.headers)
	}
}

// Guards against the lines of a body that count as header fields: an ordinary request
// would rank among those with large headers.
func TestLinesOfBody(t *testing.T) {
	a := newAccount(t, Config{})
	c, m := admit(a, "10.0.0.1", phaseWaiting, 0)
	m.input = strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000))
	if _, err := c.Read(make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	if c.header > ordinaryHeader {
		t.Errorf("%d bytes held for a header of 4 lines", c.header)
	}
}
