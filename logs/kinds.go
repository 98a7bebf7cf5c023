package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// defaultPerKind leaves room for other kinds of line when one kind comes in
// masses, as the ends of requests do in a burst.
const defaultPerKind = 150

// omittedField names the lines of the same kind that were left out before.
const omittedField = "omitted"

// Formatter limits the lines of each kind, which is the level and the message.
// Lines beyond the limit are left out, and the next line of the kind says how
// many. It implements [logrus.Formatter].
type Formatter struct {
	cfg FormatterConfig

	mu     sync.Mutex
	second time.Time // begin of the present second
	kinds  map[kind]*kindCount
}

// FormatterConfig configures a Formatter. Next is required.
type FormatterConfig struct {
	Next    logrus.Formatter
	PerKind int // lines a second
	Clock   jdaw.Clock
}

type kind struct {
	level   logrus.Level
	message string
}

type kindCount struct {
	passed  int // in the present second
	omitted int // since the last line that passed
}

// NewFormatter returns a formatter that passes lines on to cfg.Next.
func NewFormatter(cfg FormatterConfig) *Formatter {
	if cfg.PerKind == 0 {
		cfg.PerKind = defaultPerKind
	}
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	return &Formatter{cfg: cfg, kinds: map[kind]*kindCount{}}
}

// Format implements [logrus.Formatter]. A line that is left out is empty.
func (f *Formatter) Format(e *logrus.Entry) ([]byte, error) {
	omitted, ok := f.count(kind{e.Level, e.Message})
	if !ok {
		return nil, nil
	}
	if omitted > 0 {
		e = e.WithField(omittedField, omitted)
	}
	return f.cfg.Next.Format(e)
}

// count reports whether a line passes and how many were left out before it.
func (f *Formatter) count(k kind) (omitted int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	if now.Sub(f.second) >= time.Second {
		f.second = now
		for _, c := range f.kinds {
			c.passed = 0
		}
	}
	c := f.kinds[k]
	if c == nil {
		c = &kindCount{}
		f.kinds[k] = c
	}
	if c.passed >= f.cfg.PerKind {
		c.omitted++
		return 0, false
	}
	c.passed++
	omitted, c.omitted = c.omitted, 0
	return omitted, true
}
