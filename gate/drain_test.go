package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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
	status, _, _ := c.exchange(path)
	return status
}

// exchange returns the status of the response to a request, 0 if there is none, and
// whether it is whole and ends the connection.
func (c *lateConn) exchange(path string) (status int, isWhole, isLast bool) {
	c.t.Helper()
	resp := c.begin(path)
	if resp == nil {
		return 0, false, true
	}
	return resp.StatusCode, isRead(resp), resp.Close
}

// begin returns the response to a request when its header is there, nil if there is none.
func (c *lateConn) begin(path string) *http.Response {
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", path); err != nil {
		return nil
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil
	}
	return resp
}

// isRead reads the rest of a response and reports whether it is whole.
func isRead(resp *http.Response) bool {
	defer resp.Body.Close()
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
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

// Guards against streams that are accepted late in a planned stop, on connections whose
// response began before it, and are cut off at its end; and against short requests
// that are refused on them although they can be answered.
func TestLateRequestsOnKeptConnections(t *testing.T) {
	const (
		grace  = 3 * time.Second // streams have 2.7 s
		length = 1500 * time.Millisecond
	)
	arrived := make(chan string, 100)
	p, _ := startProcess(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(length)
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
			return
		}
		_, _ = io.WriteString(w, "fine")
	})
	addr := p.cfg.Settings.Listen.Callers
	cases := map[string]struct {
		path string
		conn *lateConn
		want int
	}{
		"stream": {"/stream/late", connect(t, addr), http.StatusServiceUnavailable},
		"short":  {"/late", connect(t, addr), http.StatusOK},
	}
	for name, c := range cases {
		for _, path := range []string{"/before", "/stream/before"} {
			if got := c.conn.get(path); got != http.StatusOK {
				t.Fatalf("%s: %s got status %d", name, path, got)
			}
		}
	}
	early := map[string]*http.Response{}
	for name, c := range cases {
		resp := c.conn.begin("/stream/early")
		if resp == nil || resp.StatusCode != http.StatusOK || resp.Close {
			t.Fatalf("%s: the early stream got %+v", name, resp)
		}
		early[name] = resp
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.Drain(grace) })
	for name, c := range cases {
		wg.Go(func() {
			if !isRead(early[name]) {
				t.Errorf("%s: the early stream was cut off", name)
			}
			began := time.Now()
			status, isWhole, isLast := c.conn.exchange(c.path)
			if status != c.want || !isWhole || !isLast || time.Since(began) > 500*time.Millisecond {
				t.Errorf("%s: status %d, whole: %t, last: %t after %s; want %d at once", name, status, isWhole, isLast, time.Since(began), c.want)
			}
		})
	}
	wg.Wait()
	for len(arrived) > 0 {
		if path := <-arrived; path == "/stream/late" {
			t.Error("the late stream reached the upstream")
		}
	}
}
