package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func startServer(t *testing.T, a *Account, h http.Handler) string {
	srv := httptest.NewUnstartedServer(a.Handler(h))
	srv.Listener = a.Listen(srv.Listener, Callers)
	srv.Config.ConnContext = ConnContext
	srv.Config.ConnState = a.ConnStateChanged
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a wrong phase of a connection: a request with its upstream would be
// cut, or an unfinished body kept.
func TestPhases(t *testing.T) {
	cases := map[string]struct {
		request string
		reads   bool
		want    Phase
	}{
		"no body":                     {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, Serving},
		"body read to its end":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", true, Serving},
		"chunks read to their end":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", true, Serving},
		"body that has not been read": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", false, Reading},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAccount(t, Config{})
			seen := make(chan Holding, 1)
			addr := startServer(t, a, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if c.reads {
					if _, err := io.ReadAll(r.Body); err != nil {
						t.Error(err)
					}
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				seen <- FromContext(r.Context()).holding(time.Now())
			}))
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}
			if h := <-seen; h.Phase != c.want || h.HeaderBytes == 0 {
				t.Errorf("%+v, want phase %s and bytes of the header", h, c.want)
			}
		})
	}
}

// Guards against a rejection that is not delivered because the server waits for the
// rest of the body.
func TestRejectionOfUnfinishedBody(t *testing.T) {
	a := newAccount(t, Config{})
	addr := startServer(t, a, http.NotFoundHandler())
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound || !resp.Close {
		t.Errorf("status %d, closes: %v; want 404, true", resp.StatusCode, resp.Close)
	}
}

// Guards against callers with many requests that keep their connections while others
// are turned away.
func TestAnswersClosePressedConnections(t *testing.T) {
	for name, isPressed := range map[string]bool{"room": false, "callers are turned away": true} {
		t.Run(name, func(t *testing.T) {
			a := newAccount(t, Config{})
			if isPressed {
				a.pressed.Store(a.clock.Load())
			}
			resp, err := http.Get("http://" + startServer(t, a, http.NotFoundHandler()))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.Close != isPressed {
				t.Errorf("closes: %v, want %v", resp.Close, isPressed)
			}
		})
	}
}

// Guards against bodies at servers that need none.
func TestBodyless(t *testing.T) {
	srv := httptest.NewServer(Bodyless(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer srv.Close()
	for name, c := range map[string]struct {
		body string
		want int
	}{"no body": {"", http.StatusOK}, "a body": {"b", http.StatusRequestEntityTooLarge}} {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post(srv.URL, "", strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != c.want {
				t.Errorf("status %d, want %d", resp.StatusCode, c.want)
			}
		})
	}
}

// Guards against requests that run although their connection was closed to make room
// in the moment in which they became complete: their callers get no answer.
func TestClosedCallerIsNotServed(t *testing.T) {
	t.Run("no body", func(t *testing.T) {
		a := newAccount(t, Config{})
		c, _ := admit(a, "10.0.0.1", phaseWaiting, 0)
		a.mu.Lock()
		a.remove(c, TooManyConns)
		a.mu.Unlock()
		r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
		r = r.WithContext(ConnContext(r.Context(), c))
		defer func() {
			if recover() != http.ErrAbortHandler {
				t.Error("the handler wasn't aborted")
			}
		}()
		a.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			t.Error("the request was served")
		})).ServeHTTP(httptest.NewRecorder(), r)
	})
	t.Run("body", func(t *testing.T) {
		a := newAccount(t, Config{})
		c, _ := admit(a, "10.0.0.1", phaseReading, 0)
		b := &body{ReadCloser: io.NopCloser(strings.NewReader("ab")), conn: c}
		if _, err := b.Read(make([]byte, 2)); err != nil {
			t.Fatal(err)
		}
		a.mu.Lock()
		a.remove(c, SlowBody)
		a.mu.Unlock()
		if _, err := b.Read(make([]byte, 2)); err == nil || err == io.EOF {
			t.Errorf("the body ended with %v, want another error", err)
		}
	})
}
