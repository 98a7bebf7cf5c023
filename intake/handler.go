package intake

import (
	"io"
	"net"
	"net/http"
	"time"
)

// restTime is the time in which the rest of a body must arrive after its request
// was answered. Then the connection is closed.
const restTime = 3 * time.Second

// Handler follows the requests of callers on their way through next.
func (a *Account) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if a.isPressed() {
			w.Header().Set("Connection", "close")
		}
		defer c.HoldBody(0)
		if r.ContentLength == 0 {
			if !c.serve() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		c.enter(phaseReading, time.Now())
		b := &body{ReadCloser: r.Body, conn: c}
		// The server looks at the body of its own request when the handler returns.
		own := *r
		own.Body = b
		next.ServeHTTP(w, &own)
		if !b.ended {
			// An error means that the connection is closed already.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTime))
		}
	})
}

// Bodyless rejects requests with a body.
func Bodyless(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
}

// body notices the end of a body.
type body struct {
	io.ReadCloser
	conn  *Conn
	ended bool
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		if !b.conn.serve() {
			return n, net.ErrClosed
		}
	}
	return n, err
}
