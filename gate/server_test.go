package gate

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
)

// Guards against kept connections that are closed in a planned stop although their
// next request has just been read: it ran, and its caller got no answer. net/http
// counts such a connection as idle until the header is parsed.
func TestStopsUnderLoad(t *testing.T) {
	const (
		stops  = 200
		length = 20 * time.Second
		grace  = 3 * time.Second
		atOnce = 6
		// callers send without pause.
		callers = 12
	)
	began := time.Now()
	var done, answered atomic.Int64
	var workers sync.WaitGroup
	for range atOnce {
		workers.Go(func() {
			for done.Load() < stops && time.Since(began) < length {
				t.Run("", func(t *testing.T) { answered.Add(stopUnderLoad(t, callers, grace)) })
				done.Add(1)
			}
		})
	}
	workers.Wait()
	t.Logf("%d stops, %d requests answered", done.Load(), answered.Load())
}

// stopUnderLoad stops a process while callers send requests, and returns the number
// of answered ones.
func stopUnderLoad(t *testing.T, callers int, grace time.Duration) int64 {
	var ran sync.Map // requests that reached the upstream, by path
	p, _ := startProcess(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path, true)
		_, _ = io.WriteString(w, "fine")
	})
	var load callerLoad
	for i := range callers {
		load.wg.Go(func() { load.send(p.cfg.Settings.Listen.Callers, fmt.Sprint("/", i)) })
	}
	time.Sleep(20 * time.Millisecond)
	p.Drain(grace)
	load.wg.Wait()
	for _, path := range load.cut {
		if _, hasRun := ran.Load(path); hasRun {
			t.Errorf("%s has run and got no answer", path)
		}
	}
	return load.answered
}

// callerLoad are callers that send one request after the other until the server is gone.
type callerLoad struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	cut      []string // paths of requests without a complete answer
	answered int64
}

func (l *callerLoad) send(addr, name string) {
	var conn net.Conn
	var r *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for i := 0; ; i++ {
		if conn == nil {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			conn, r = c, bufio.NewReader(c)
		}
		path := fmt.Sprintf("%s/%d", name, i)
		mayContinue, err := exchange(conn, r, path)
		l.mu.Lock()
		if err != nil {
			l.cut = append(l.cut, path)
		} else {
			l.answered++
		}
		l.mu.Unlock()
		if err != nil || !mayContinue {
			_ = conn.Close()
			conn = nil
		}
	}
}

// exchange sends a request and reads its response. It reports whether the connection
// may be used again.
func exchange(conn net.Conn, r *bufio.Reader, path string) (bool, error) {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", path); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return !resp.Close, err
}

// Guards against connections that count as idle although a part of a request has been
// read on them, and against idle ones that stay open and delay the stop.
func TestIdleConnectionsOfAStop(t *testing.T) {
	const quick, slow = "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	const part, rest = "GET /next HT", "TP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]struct {
		sent []string // before the stop
		rest string   // in it
		want string   // path of the last response
	}{
		"no request":                 {},
		"answered":                   {[]string{quick}, "", "/quick"},
		"two requests at once":       {[]string{quick + quick}, "", "/quick"},
		"answered, and the next one": {[]string{quick, part}, rest, "/next"},
		"part of a request":          {[]string{part}, rest, "/next"},
		"in progress":                {[]string{slow}, "", "/slow"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(600 * time.Millisecond)
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			conns := trackConns(srv.Config, srv.Listener)
			srv.Listener = conns
			srv.Start()
			t.Cleanup(srv.Close)
			conn, err := net.Dial("tcp", conns.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			for _, text := range c.sent {
				_, _ = io.WriteString(conn, text)
				time.Sleep(100 * time.Millisecond)
			}
			stopped := make(chan bool, 1)
			go func() { stopped <- conns.stop(time.Now().Add(1500 * time.Millisecond)) }()
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(conn, c.rest)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			got, _ := io.ReadAll(conn)
			last := ""
			for r := bufio.NewReader(bytes.NewReader(got)); ; {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				b, _ := io.ReadAll(resp.Body)
				last = string(b)
			}
			if last != c.want {
				t.Errorf("last response %q, want %q", last, c.want)
			}
			if isClosed := <-stopped; !isClosed {
				t.Error("the stop left connections")
			}
		})
	}
}

// Guards against the idle timeout closing a connection whose next request is being
// read: it would run, and its caller get no answer.
func TestRequestAtTheEndOfTheIdleTime(t *testing.T) {
	const idle, header = 200 * time.Millisecond, 600 * time.Millisecond
	log := logrus.New()
	log.SetOutput(io.Discard)
	limits := config.CallerLimits{IdleTime: idle, HeaderTime: header}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	srv.Config.ConnState = newCallerConns(func() config.CallerLimits { return limits }, log).stateChanged
	srv.Listener = trackConns(srv.Config, srv.Listener)
	srv.Start()
	t.Cleanup(srv.Close)
	begun := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		r := bufio.NewReader(conn)
		if _, err := exchange(conn, r, "/first"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(idle / 2)
		_, _ = io.WriteString(conn, "GET /second HTTP/1.1\r\n")
		return conn, r
	}
	conn, r := begun()
	stalled, _ := begun()
	time.Sleep(idle)
	_, _ = io.WriteString(conn, "Host: h\r\n\r\n")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request that was being read at the end of the idle time: %v", err)
	}
	began := time.Now()
	_ = stalled.SetReadDeadline(began.Add(5 * time.Second))
	if _, err := stalled.Read(make([]byte, 1)); err != io.EOF || time.Since(began) > 2*header {
		t.Errorf("an incomplete header: %v after %v, want a closed connection within the header time", err, time.Since(began))
	}
}
