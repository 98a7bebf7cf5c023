package dial_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow/dial"
)

// upstream is a fake that sends the next scripted response to each request of each
// connection; an empty text closes the connection.
type upstream struct {
	addr     string
	accepted atomic.Int32
	requests atomic.Int32
}

func startUpstream(t *testing.T, responses ...string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &upstream{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			go u.serve(c, responses)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, responses []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n := int(u.requests.Add(1)) - 1
		if n >= len(responses) || responses[n] == "" {
			return
		}
		if _, err := io.WriteString(c, responses[n]); err != nil {
			return
		}
	}
}

func (u *upstream) do(t *testing.T, p *dial.Pool, q dial.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q.Address, q.Target, q.Host = u.addr, "/x", "h"
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	a, err := p.Do(ctx, q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func ownerOf(id string) func(int, http.Header) dial.Owner {
	return func(_ int, h http.Header) dial.Owner {
		if h.Get("Request-Id") == id {
			return dial.OwnerThis
		}
		return dial.OwnerOther
	}
}

// Guards against taking a response to an earlier request of the connection for the
// response to this one.
func TestForeignAnswers(t *testing.T) {
	cases := map[string]struct {
		text   string
		want   string
		failed bool
	}{
		"own":                         {text: response("1", "yes"), want: "yes"},
		"mismatched before own":       {text: response("0", "no") + response("1", "yes"), want: "yes"},
		"interim response":            {text: "HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "yes"), want: "yes"},
		"only mismatched":             {text: response("0", "no") + response("0", "no") + response("0", "no"), failed: true},
		"mismatched without a length": {text: "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\nno", failed: true},
		"malformed response":          {text: "garbage\r\n\r\n", failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, c.text)
			p := dial.New(dial.Config{})
			defer p.Close()
			got, err := u.do(t, p, dial.Request{Owner: ownerOf("1")})
			if (err != nil) != c.failed || got != c.want {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
			if err != nil && !dial.WasSent(err) {
				t.Error("the request is reported as not sent")
			}
		})
	}
}

// Guards against reusing a connection after an incomplete exchange or with unread
// bytes.
func TestReuse(t *testing.T) {
	complete := response("1", "yes")
	cases := map[string]struct {
		first string
		want  int32 // connections for two requests
	}{
		"whole":                {first: complete, want: 1},
		"bytes after the end":  {first: complete + "HTTP/1.1", want: 2},
		"upstream is leaving":  {first: strings.Replace(complete, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), want: 2},
		"ends with connection": {first: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nyes", want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, c.first, complete)
			p := dial.New(dial.Config{})
			defer p.Close()
			if name == "ends with connection" {
				u = startUpstream(t, complete, complete)
				if _, err := u.do(t, p, dial.Request{MaxIdle: time.Nanosecond}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Millisecond)
				if _, err := u.do(t, p, dial.Request{MaxIdle: time.Nanosecond}); err != nil {
					t.Fatal(err)
				}
			} else {
				if _, err := u.do(t, p, dial.Request{}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond) // surplus bytes arrive
				if _, err := u.do(t, p, dial.Request{}); err != nil {
					t.Fatal(err)
				}
			}
			if got := u.accepted.Load(); got != c.want {
				t.Errorf("%d connections, want %d", got, c.want)
			}
		})
	}
}

// Guards against an automatic retry: a POST may have run if the upstream read it
// and closed the connection.
func TestNoRepeatByItself(t *testing.T) {
	u := startUpstream(t, response("1", "yes"), "", response("1", "yes"))
	p := dial.New(dial.Config{})
	defer p.Close()
	if _, err := u.do(t, p, dial.Request{}); err != nil {
		t.Fatal(err)
	}
	_, err := u.do(t, p, dial.Request{Method: http.MethodPost, Body: []byte("x"), Header: http.Header{"Idempotency-Key": {"k"}}})
	if err == nil || !dial.WasSent(err) {
		t.Errorf("got %v, want an error after the request was sent", err)
	}
	if got := u.requests.Load(); got != 2 {
		t.Errorf("the upstream received %d requests, want 2", got)
	}
}

// Guards against reporting a request as sent that no upstream can have received.
func TestNotSentWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	p := dial.New(dial.Config{})
	defer p.Close()
	if _, err := p.Do(context.Background(), dial.Request{Address: addr, Method: "GET", Target: "/"}); err == nil || dial.WasSent(err) {
		t.Errorf("got %v, want an error before anything was sent", err)
	}
}

// Guards against an upstream that continues to work after the caller has
// disconnected.
func TestCancelClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, c)
		closed <- err
	}()
	p := dial.New(dial.Config{})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := p.Do(ctx, dial.Request{Address: l.Addr().String(), Method: "GET", Target: "/"}); err == nil {
		t.Fatal("got a response from an upstream that sends none")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection is still open a second after the caller disconnected")
	}
}
