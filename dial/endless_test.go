package dial_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"jackdawbarrow/dial"
)

// startEndless starts an upstream that sends a text, and then another one again
// and again until the connection is closed.
func startEndless(t *testing.T, first, again string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	block := bytes.Repeat([]byte(again), 1+(64<<10)/len(again))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, first)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an upstream whose bytes without end fill the memory of the VM
// or hold a request until its deadline.
func TestEndlessUpstream(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ first, again string }{
		"noise":                    {"", "\x00\x01\xfe"},
		"status line":              {"HTTP/1.1 200 ", "x"},
		"header line":              {status + "Note: ", "x"},
		"header lines":             {status, "Note: x\r\n"},
		"header lines, other name": {status, "A: b\r\nC: d\r\n"},
		"empty lines":              {"", "\r\n"},
		"interim responses":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"interim with headers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"mismatched responses":     {"", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 0\r\n\r\n"},
		"mismatched body":          {status + "Request-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"mismatched long body":     {status + "Request-Id: 0\r\nContent-Length: 999999999999\r\n\r\n", "x"},
		"chunk extension":          {status + "Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":                  {status + "Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := startEndless(t, c.first, c.again)
			p := dial.New(dial.Config{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			peak := peakHeap(func() {
				a, err := p.Do(ctx, dial.Request{Address: addr, Method: "GET", Target: "/", Owner: ownerOf("1")})
				if err == nil {
					_, err = io.Copy(io.Discard, a.Body)
					a.Close()
				} else if !dial.WasSent(err) {
					t.Error("the request is reported as not sent")
				}
				if err == nil {
					t.Error("the response is reported as complete")
				}
			})
			if ctx.Err() != nil {
				t.Error("the request was held until its deadline")
			}
			if peak > 16<<20 {
				t.Errorf("the heap grew by %d MB", peak>>20)
			}
		})
	}
}

// peakHeap returns the largest growth of the heap while f runs.
func peakHeap(f func()) uint64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := uint64(0)
	for {
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
		runtime.ReadMemStats(&now)
		if now.HeapAlloc > before.HeapAlloc {
			peak = max(peak, now.HeapAlloc-before.HeapAlloc)
		}
	}
}

// Guards against a head within the bound that is rejected, also after a body.
func TestLongHeads(t *testing.T) {
	long := func(id, body string) string {
		return strings.Replace(response(id, body), "\r\n\r\n", "\r\nNote: "+strings.Repeat("x", 30<<10)+"\r\n\r\n", 1)
	}
	u := startUpstream(t, long("1", "yes"), long("0", "no")+long("1", "yes"), long("1", "yes"))
	p := dial.New(dial.Config{})
	defer p.Close()
	for range 3 {
		if got, err := u.do(t, p, dial.Request{Owner: ownerOf("1")}); got != "yes" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
	}
}
