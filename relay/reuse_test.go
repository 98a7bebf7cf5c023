package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
