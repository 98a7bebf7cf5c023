package gate

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// lateConn connects to an address and sends requests on the connection.
type lateConn struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func connect(t *testing.T, addr string) *lateConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &lateConn{t: t, conn: c, r: bufio.NewReader(c)}
}

// get returns the status of the response to a request, 0 if it is cut off.
func (c *lateConn) get(path string) int {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", path); err != nil {
		return 0
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against requests in progress that are cut off without an answer at the end
// of the grace time, and against requests that come late in it and are passed on.
func TestEndOfADrain(t *testing.T) {
	arrived := make(chan string, 10)
	p, _ := startProcess(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-r.Context().Done()
	})
	addr := p.cfg.Settings.Listen.Callers
	early, late := connect(t, addr), connect(t, addr)
	earlyStatus := make(chan int, 1)
	go func() { earlyStatus <- early.get("/early") }()
	select {
	case <-arrived:
	case <-time.After(5 * time.Second):
		t.Fatal("the first request didn't reach the upstream")
	}
	const grace = 2 * time.Second
	drained := make(chan struct{})
	began := time.Now()
	go func() {
		p.Drain(grace)
		close(drained)
	}()
	time.Sleep(grace / 2)
	// The server closes connections whose request it reads this late.
	if got := late.get("/late"); got != 0 || time.Since(began) > grace*3/4 {
		t.Errorf("a late request got status %d after %v, want a closed connection at once", got, time.Since(began))
	}
	if got := <-earlyStatus; got != http.StatusGatewayTimeout {
		t.Errorf("a request in progress at the end got status %d, want 504", got)
	}
	<-drained
	if took := time.Since(began); took > grace {
		t.Errorf("the drain took %v", took)
	}
	select {
	case path := <-arrived:
		t.Errorf("%s reached the upstream", path)
	default:
	}
}
