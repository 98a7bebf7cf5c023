package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// Guards against an answer that was cut at any byte and reaches the caller as a
// complete success, or as a refusal of a request that may have run.
func TestAnswerCutAtEachByte(t *testing.T) {
	const events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	head := func(framing string) string {
		return "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: u0\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
	}
	withLength := head(fmt.Sprintf("Content-Length: %d\r\n", len(events))) + events
	inChunks := head("Transfer-Encoding: chunked\r\n") + fmt.Sprintf("f\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", events[:15], len(events)-15, events[15:])
	cases := map[string]struct {
		kind     config.RouteKind
		response string
		isReset  bool
	}{
		"plain with a length":          {config.RouteSafe, withLength, false},
		"plain in chunks":              {config.RouteSafe, inChunks, false},
		"unsafe in chunks, reset":      {config.RouteUnsafe, inChunks, true},
		"unsafe with a length":         {config.RouteUnsafe, withLength, false},
		"stream with a length":         {config.RouteStreaming, withLength, false},
		"stream in chunks":             {config.RouteStreaming, inChunks, false},
		"stream in chunks, reset":      {config.RouteStreaming, inChunks, true},
		"refusal":                      {config.RouteUnsafe, "HTTP/1.1 503 Full\r\nId: %s\r\nSigned: u0\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", false},
		"stream that ends unframed":    {config.RouteStreaming, head("") + events, true},
		"plain that ends with a reset": {config.RouteSafe, head("") + events, true},
		"failure in chunks":            {config.RouteUnsafe, strings.Replace(inChunks, "200 OK", "500 Failed", 1), false},
		"interim response before it":   {config.RouteUnsafe, "HTTP/1.1 103 Early Hints\r\n\r\n" + withLength, false},
		"another request's before it":  {config.RouteUnsafe, "HTTP/1.1 503 Full\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull" + withLength, false},
		"stream, another's before it":  {config.RouteStreaming, "HTTP/1.1 200 OK\r\nId: other\r\nSigned: u0\r\nContent-Length: 4\r\n\r\ndata" + inChunks, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := serveCuts(t, c.response, c.isReset)
			r := route(c.kind)
			r.MaxAttempts = 1
			d, base := start(t, r)
			d.state.Upstreams["s"] = []fleet.Upstream{{ID: "u0", Service: "s", Address: addr, Version: "v1", Slots: 4}}
			whole := len(fmt.Sprintf(c.response, "q0000"))
			for offset := 0; offset <= whole; offset++ {
				got := send(t, base, http.MethodPost, "/a/x", map[string]string{"Id": fmt.Sprintf("q%04d", offset)})
				isSuccess := got.err == nil && got.status == http.StatusOK
				if isSuccess && got.body != events {
					t.Fatalf("cut at %d of %d bytes: %d %q passes for complete", offset, whole, got.status, got.body)
				}
				isRefusal := got.err == nil && got.status == http.StatusServiceUnavailable
				if name != "refusal" && isRefusal && got.header.Get("Signed") == "" {
					t.Fatalf("cut at %d of %d bytes: refused as not run, %q", offset, whole, got.body)
				}
				if name == "refusal" && offset < strings.Index(c.response, "Not-Run") && isRefusal {
					t.Fatalf("cut at %d bytes, before it says so, and refused as not run", offset)
				}
			}
		})
	}
}

// serveCuts answers a request with an id of q and a number with as many bytes of
// the response, and ends the connection.
func serveCuts(t *testing.T, response string, isReset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				id := req.Header.Get("Id")
				offset, _ := strconv.Atoi(strings.TrimPrefix(id, "q"))
				text := fmt.Sprintf(response, id)
				_, _ = io.WriteString(c, text[:min(offset, len(text))])
				if isReset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}
