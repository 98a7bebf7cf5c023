package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// Guards against a second copy of a response, late on a connection that is in
// use again, which is taken for the response to another attempt of the same
// request or to the next request.
func TestLateCopyOfAResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCopies(c, &requests)
		}
	}()
	d, base := start(t, route(config.RouteSafe))
	d.state.Upstreams["s"] = []fleet.Upstream{{ID: "u0", Service: "s", Address: l.Addr().String(), Version: "v1", Slots: 4}}
	for i := range 4 {
		id := fmt.Sprintf("q%d", i)
		got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": id})
		if got.status != http.StatusOK || got.body != "answer to "+id {
			t.Errorf("%s got %+v", id, got)
		}
	}
}

// serveCopies fails every first attempt, and sends a second copy of each response
// while the next request of the connection is in progress.
func serveCopies(c net.Conn, requests *atomic.Int32) {
	defer c.Close()
	r := bufio.NewReader(c)
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
		status, body := "200 OK", "answer to "+req.Header.Get("Id")
		if requests.Add(1)%2 == 1 {
			status, body = "500 Failed", "failed"
		}
		response := fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nSigned: u0\r\nContent-Length: %d\r\n\r\n%s", status, req.Header.Get("Id"), len(body), body)
		if _, err := io.WriteString(c, last+response); err != nil {
			return
		}
		last = response
	}
}

// Guards against an earlier refusal, written once more on a kept connection, that
// is taken for the refusal of a request which the upstream runs: its caller would
// be told that it has not run, or it would run at another upstream.
func TestCopyOfARefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\n%sNot-Run: 1\r\nSigned: u0\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		copy  string
		delay time.Duration // from the request to the copy
	}{
		"with the earlier id":               {copy: fmt.Sprintf(refusal, "Id: q0\r\n")},
		"without an id":                     {copy: fmt.Sprintf(refusal, "")},
		"with an empty id":                  {copy: fmt.Sprintf(refusal, "Id: \r\n")},
		"with the earlier id, later":        {copy: fmt.Sprintf(refusal, "Id: q0\r\n"), delay: 30 * time.Millisecond},
		"without an id, later":              {copy: fmt.Sprintf(refusal, ""), delay: 30 * time.Millisecond},
		"of an address that changed, no id": {copy: "HTTP/1.1 421 Other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"three times with the earlier id":   {copy: strings.Repeat(fmt.Sprintf(refusal, "Id: q0\r\n"), 3)},
		"with the earlier id and no length": {copy: "HTTP/1.1 503 Full\r\nId: q0\r\nNot-Run: 1\r\nSigned: u0\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := startRefuser(t, c.copy, c.delay)
			d, base := start(t, route(config.RouteUnsafe), ok)
			sound := d.state.Upstreams["s"]
			d.state.Upstreams["s"] = []fleet.Upstream{{ID: "u9", Service: "s", Address: u.addr, Version: "v1", Slots: 4}}
			if got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": "q0"}); got.status != http.StatusOK {
				t.Fatalf("the first request got %+v", got)
			}
			d.state.Upstreams["s"] = append(d.state.Upstreams["s"], sound...)
			for i := range 12 {
				id := fmt.Sprint("q1-", i)
				got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": id})
				isRefused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
				runs := u.runs(id)
				runs += d.arrivedWith(id)
				if isRefused && runs > 0 || runs > 1 {
					t.Errorf("%s got status %d and ran %d times", id, got.status, runs)
				}
			}
			if u.copies.Load() == 0 {
				t.Error("no request met a copy")
			}
		})
	}
}

// refuser is an upstream that writes an earlier refusal, of another connection,
// before its answers to all but the first request of each connection.
type refuser struct {
	addr   string
	copies atomic.Int32
	mu     sync.Mutex
	ran    map[string]int
}

func startRefuser(t *testing.T, refusal string, delay time.Duration) *refuser {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &refuser{addr: l.Addr().String(), ran: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, refusal, delay)
		}
	}()
	return u
}

func (u *refuser) serve(c net.Conn, refusal string, delay time.Duration) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Id")
		u.mu.Lock()
		u.ran[id]++
		u.mu.Unlock()
		before := ""
		if n > 0 {
			u.copies.Add(1)
			time.Sleep(delay)
			before = refusal
		}
		_, err = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nSigned: u0\r\nContent-Length: 3\r\n\r\nyes", before, id)
		if err != nil {
			return
		}
	}
}

func (u *refuser) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}
