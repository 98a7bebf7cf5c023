package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a body that is cut or rejected within the limit, one beyond it
// that is accepted, and memory that is not freed.
func TestReadBody(t *testing.T) {
	const budget = 1 << 20
	cases := map[string]struct {
		size, limit int64
		fails       error
	}{
		"empty":              {0, 10, nil},
		"short":              {10, 1 << 20, nil},
		"at the limit":       {10, 10, nil},
		"beyond it":          {11, 10, errLongBody},
		"one step":           {bodyStep, bodyStep, nil},
		"one step and more":  {bodyStep + 1, bodyStep, errLongBody},
		"many steps":         {300_000, 300_000, nil},
		"more than memory":   {budget, 2 * budget, errNoMemory},
		"without an end":     {1 << 40, 1 << 40, errNoMemory},
		"broken in the body": {-1, 100, io.ErrUnexpectedEOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newMemoryBudget(budget)
			h := heldMemory{budget: b}
			r := io.LimitReader(zeros{}, c.size)
			if c.size < 0 {
				r = io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			body, err := h.readBody(r, c.limit)
			if !errors.Is(err, c.fails) || err == nil && int64(len(body)) != c.size {
				t.Errorf("%d bytes, %v; want %d, %v", len(body), err, c.size, c.fails)
			}
			if b.free.Load() < 0 {
				t.Errorf("%d bytes are free", b.free.Load())
			}
			h.release()
			if got := b.free.Load(); got != budget {
				t.Errorf("%d of %d bytes are free after the release", got, budget)
			}
		})
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
