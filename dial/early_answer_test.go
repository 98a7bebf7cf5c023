package dial_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jackdawbarrow/dial"
	"jackdawbarrow/fakes"
)

// Guards against a response without a length that ends with a reset connection and
// passes for complete, since the write of the request took the error.
func TestResetDuringAWrite(t *testing.T) {
	const resetAfter = 20 * time.Millisecond
	srv := httptest.NewServer(fakes.Raw(fakes.RawConfig{ResetAfter: resetAfter, Response: func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\n\r\npart"
	}}))
	defer srv.Close()
	p := dial.New(dial.Config{})
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for name, wait := range map[string]time.Duration{"read before the reset": 0, "read after it": 10 * resetAfter} {
		t.Run(name, func(t *testing.T) {
			a, err := p.Do(ctx, dial.Request{
				Address: strings.TrimPrefix(srv.URL, "http://"), Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20),
			})
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			time.Sleep(wait)
			if b, err := io.ReadAll(a.Body); err == nil {
				t.Errorf("%q passes for complete", b)
			}
		})
	}
}

// Guards against a response without a length that is lost because it came before the
// end of the request, which the upstream read to its end.
func TestWholeAnswerBeforeTheEndOfTheRequest(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.(interface{ CloseWrite() error }).CloseWrite()
		_, _ = io.CopyN(io.Discard, rw, r.ContentLength)
	}))
	defer srv.Close()
	p := dial.New(dial.Config{})
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 10 {
		a, err := p.Do(ctx, dial.Request{
			Address: strings.TrimPrefix(srv.URL, "http://"), Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20),
		})
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(a.Body); err != nil || string(b) != "whole" {
			t.Errorf("got %q, %v", b, err)
		}
		a.Close()
	}
}
