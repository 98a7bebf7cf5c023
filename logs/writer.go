// Package logs bounds what a process spends on its log.
//
// A [Writer] never blocks: lines wait in a bounded queue, and a rate limits how
// many pass in a second. What does not fit is dropped, and a line says how many
// were lost. A [Formatter] limits each kind of line by itself, so that rare
// lines are not lost among many of one kind.
//
// # Usage
//
//	w := logs.NewWriter(logs.Config{Out: os.Stdout})
//	defer w.Close()
//	log.SetOutput(w)
//	log.SetFormatter(logs.NewFormatter(logs.FormatterConfig{Next: log.Formatter}))
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jackdawbarrow"
)

const (
	// defaultQueue holds the lines of some seconds if the reader of the output
	// stops.
	defaultQueue = 1024
	// defaultPerSecond is far above the lines of a VM at its usual load, about
	// three a request.
	defaultPerSecond = 300
)

// Config configures a Writer. Zero values take the defaults.
type Config struct {
	Out       io.Writer
	Queue     int // lines
	PerSecond int // lines
	Clock     jdaw.Clock
}

// Writer is an io.Writer whose Write never blocks; each call is one line.
type Writer struct {
	cfg   Config
	lines chan []byte
	wg    conc.WaitGroup

	mu      sync.Mutex
	second  time.Time // begin of the present second
	passed  int       // lines in it
	dropped int       // since the last line that told
	closed  bool
}

// NewWriter starts a writer.
func NewWriter(cfg Config) *Writer {
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = defaultPerSecond
	}
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	w := &Writer{cfg: cfg, lines: make(chan []byte, cfg.Queue)}
	w.wg.Go(func() {
		for line := range w.lines {
			// An output that fails cannot be told to anybody.
			_, _ = cfg.Out.Write(line)
		}
	})
	return w
}

// Write implements io.Writer. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // left out by a Formatter
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	if now.Sub(w.second) >= time.Second {
		w.second, w.passed = now, 0
	}
	if w.closed || w.passed >= w.cfg.PerSecond {
		w.dropped++
		return len(line), nil
	}
	w.passed++
	if w.dropped > 0 && w.send(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", w.dropped)) {
		w.dropped = 0
	}
	if !w.send(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) send(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes what waits and stops.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	w.wg.Wait()
}
