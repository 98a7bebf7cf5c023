package dial

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// scriptedConn is a connection whose peer sends a text and closes.
type scriptedConn struct {
	net.Conn
	r io.Reader
}

func (c *scriptedConn) Read(b []byte) (int, error)       { return c.r.Read(b) }
func (c *scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against bytes of an upstream that end the process, and against a
// response to another request or a truncated one that passes for complete.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\nyes",
		"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\nyes",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nyes",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nye",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nyes",
		"garbage\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := newConn(&scriptedConn{r: bytes.NewReader(text)}, "", func() {})
		owner := func(_ int, h http.Header) Owner {
			if h.Get("Request-Id") == "1" {
				return OwnerThis
			}
			return OwnerOther
		}
		resp, err := readResponse(c, Request{Method: http.MethodGet, Owner: owner})
		if err != nil {
			return
		}
		if resp.Header.Get("Request-Id") != "1" || resp.StatusCode < 200 {
			t.Fatalf("took status %d of request %q", resp.StatusCode, resp.Header.Get("Request-Id"))
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Errorf("%d bytes of %d pass for a complete body", len(body), resp.ContentLength)
		}
	})
}
