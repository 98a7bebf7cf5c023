package strict_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"jackdawbarrow/strict"
)

// writingConn is a connection whose input has ended, and whose writes take some time.
type writingConn struct {
	net.Conn
	began chan struct{}
	takes time.Duration
	err   error // of writes
}

func (c writingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c writingConn) Write(b []byte) (int, error) {
	close(c.began)
	time.Sleep(c.takes)
	return len(b), c.err
}

// Guards against the end of a connection that was reset which passes for the end of a
// response, and against a sound end that doesn't.
func TestEndDuringAWrite(t *testing.T) {
	cases := map[string]struct {
		takes     time.Duration
		err       error
		wantError bool
	}{
		"written":          {0, nil, false},
		"written slowly":   {100 * time.Millisecond, nil, false},
		"failed":           {0, syscall.ECONNRESET, true},
		"fails afterwards": {100 * time.Millisecond, syscall.ECONNRESET, true},
		"stuck":            {3 * time.Second, nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := writingConn{began: make(chan struct{}), takes: c.takes, err: c.err}
			conn := strict.NewConn(w)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.Copy(conn, strings.NewReader("request"))
			}()
			<-w.began
			_, err := conn.Read(make([]byte, 1))
			if (err != io.EOF) != c.wantError || err == nil {
				t.Errorf("got %v", err)
			}
			<-written
		})
	}
}
