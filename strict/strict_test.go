package strict_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"jackdawbarrow/fakes"
	"jackdawbarrow/strict"
)

// textConn is a connection whose peer sends a text.
type textConn struct {
	net.Conn
	r io.Reader
}

func (c textConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// Guards against a head that passes by the way in which its bytes arrive, and against
// a body that fails a sound response.
func TestScanOfHeads(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	cases := map[string]struct {
		text      string
		wantError bool
	}{
		"sound":                    {"HTTP/1.1 200 OK\r\nNote: x y\r\n\r\n body\r\n\tof lines", false},
		"no fields":                {"HTTP/1.1 200 OK\r\n\r\n body", false},
		"line feeds alone":         {"HTTP/1.1 200 OK\nNote: x\n\n body", false},
		"interim":                  {interim + "HTTP/1.1 200 OK\r\nNote: x\r\n\r\n body", false},
		"two interim":              {interim + interim + "HTTP/1.1 200 OK\r\nNote: x\r\n\r\n body", false},
		"blank":                    {"HTTP/1.1 200 OK\r\nNote: x\r\n Other: y\r\n\r\nbody", true},
		"tab":                      {"HTTP/1.1 200 OK\r\nNote: x\r\n\tOther: y\r\n\r\nbody", true},
		"first line":               {"HTTP/1.1 200 OK\r\n Note: x\r\n\r\nbody", true},
		"blank line":               {"HTTP/1.1 200 OK\r\nNote: x\r\n \r\n\r\nbody", true},
		"line feeds alone, folded": {"HTTP/1.1 200 OK\nNote: x\n y\n\nbody", true},
		"in an interim":            {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n y\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", true},
		"after an interim":         {interim + "HTTP/1.1 200 OK\r\nNote: x\r\n y\r\n\r\nbody", true},
		"after an interim, blanks": {strings.Replace(interim, " 103", "   103", 1) + "HTTP/1.1 200 OK\r\nNote: x\r\n y\r\n\r\nbody", true},
		"coding of HTTP/1.1":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"coding of HTTP/1.0":       {"HTTP/1.0 200 OK\r\nNote: x\r\ntransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"other names, HTTP/1.0":    {"HTTP/1.0 200 OK\r\nTransfer-Encodings: x\r\nTransfer: x\r\nNote: Transfer-Encoding: x\r\n\r\nTransfer-Encoding: x\r\n", false},
	}
	readers := map[string]func(r io.Reader) io.Reader{
		"at once":      func(r io.Reader) io.Reader { return r },
		"byte by byte": iotest.OneByteReader,
		"in halves":    iotest.HalfReader,
		"end beside":   iotest.DataErrReader,
	}
	for name, c := range cases {
		for how, reader := range readers {
			t.Run(name+" "+how, func(t *testing.T) {
				conn := strict.NewConn(textConn{r: reader(strings.NewReader(c.text))})
				err := conn.BeginHead(nil)
				var got []byte
				if err == nil {
					got, err = io.ReadAll(conn)
				}
				if (err != nil) != c.wantError || err == nil && string(got) != c.text {
					t.Errorf("got %q, %v", got, err)
				}
			})
		}
		t.Run(name+" read before", func(t *testing.T) {
			conn := strict.NewConn(textConn{r: strings.NewReader("")})
			if err := conn.BeginHead([]byte(c.text)); (err != nil) != c.wantError {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against a field that net/http joins to the one before it, or leaves out, and
// that passes all the same.
func FuzzHead(f *testing.F) {
	for _, line := range fakes.InvalidFields() {
		f.Add([]byte("HTTP/1.1 200 OK\r\nNote: x\r\n" + line + "\r\n\r\n"))
	}
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nNote: x\r\n y\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		conn := strict.NewConn(textConn{r: bytes.NewReader(text)})
		if err := conn.BeginHead(nil); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(conn)
		read := func() int { return len(text) - r.Buffered() } // all of a text up to 4 KB is read at once
		for end := 0; len(text) < 4<<10; {
			resp, err := http.ReadResponse(r, nil)
			if err != nil || strict.CheckHead(resp) != nil {
				return
			}
			lines := strings.Split(strings.TrimRight(string(text[end:read()]), "\r\n"), "\n")
			end = read()
			for _, line := range lines[1:] {
				if name, _, ok := strings.Cut(line, ":"); !ok || strings.ContainsAny(name, " \t") {
					t.Fatalf("line %q passes in %q", line, text)
				}
			}
			if resp.StatusCode >= 200 {
				return
			}
		}
	})
}

// Guards against a Transport that takes a body for a head on a kept connection, or
// that keeps one with an invalid response.
func TestTransportOnKeptConnections(t *testing.T) {
	var connections atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/invalid" {
			fakes.RawText("HTTP/1.1 200 OK\nContent-Length: 4\nNote: x\n y", "text")(w, r)
			return
		}
		_, _ = io.WriteString(w, "\n\n a\n\tb\r\n\r\n c")
	}))
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	client := &http.Client{Transport: strict.New(strict.Config{})}
	defer client.CloseIdleConnections()
	for _, path := range []string{"/", "/", "/invalid", "/", "/invalid", "/"} {
		resp, err := client.Post(srv.URL+path, "text/plain", strings.NewReader("once"))
		if (err != nil) != (path == "/invalid") {
			t.Fatalf("%s: %v", path, err)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			if err = errors.Join(err, resp.Body.Close()); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("%d connections, want one more after each invalid response", n)
	}
}
