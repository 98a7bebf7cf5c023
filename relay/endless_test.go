package relay_test

import (
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow/config"
)

// repeat sends a text until the relay closes the connection.
func repeat(contentType, text string) http.HandlerFunc {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentType)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}
}

// Guards against bodies without end, of many upstreams at once, that fill the
// memory of the VM or reach callers as complete responses.
func TestEndlessBodies(t *testing.T) {
	const atOnce = 100
	// The limit of a small VM. The program tells the collector 70 % of it, and
	// bodies may take a quarter, as start sets it.
	const vmMemory = 128 << 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmMemory * 7 / 10))
	cases := map[string]struct {
		kind    config.RouteKind
		handler http.HandlerFunc
	}{
		"plain":                     {config.RouteUnsafe, repeat("text/plain", "x")},
		"event line":                {config.RouteStreaming, repeat("text/event-stream", "x")},
		"lines of one event":        {config.RouteStreaming, repeat("text/event-stream", "data: x\n")},
		"other body than a stream":  {config.RouteStreaming, notFound(repeat("text/plain", "x"))},
		"chunks of an unsafe error": {config.RouteUnsafe, notFound(repeat("text/plain", "x"))},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route(c.kind)
			r.IsResumable = false
			_, base := start(t, r, c.handler)
			var wg sync.WaitGroup
			for range atOnce {
				wg.Add(1)
				go func() {
					defer wg.Done()
					got := send(t, base, http.MethodPost, "/a/x", nil)
					// The relay's own errors are complete: refused without memory, outcome
					// unknown, or the deadline if the machine is busy.
					if got.err == nil && got.status < http.StatusInternalServerError {
						t.Errorf("got %d with %d bytes as a complete response", got.status, len(got.body))
					}
				}()
			}
			if peak := peakHeap(wg.Wait); peak > vmMemory {
				t.Errorf("the heap grew by %d MB", peak>>20)
			}
			if got := send(t, base, http.MethodPost, "/a/x", nil); got.status == http.StatusServiceUnavailable {
				t.Errorf("memory is still held: %+v", got)
			}
		})
	}
}

func notFound(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		next(w, r)
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
