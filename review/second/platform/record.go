package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	out   io.Writer
	began time.Time
	mu    sync.Mutex
}

// line writes one line with the time since the begin.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the begin.
func (r *record) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds())
}
