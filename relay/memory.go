package relay

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/intake"
)

const (
	// defaultBodyMemory bounds the bodies of all requests if the settings state no
	// limit of the process, in bytes.
	defaultBodyMemory = 64 << 20
	// bodyStep is the size of the steps in which memory for a body is reserved, in
	// bytes. The declared length of a body is not trusted.
	bodyStep = 4 << 10
	// reclaimTries, with reclaimPause between them, is the number of times to look for
	// the memory of callers that were closed to make room.
	reclaimTries = 50
	reclaimPause = 5 * time.Millisecond
)

var (
	errNoMemory  = errors.New("the VM holds too many bodies")
	errLongBody  = errors.New("the body is too long")
	errLongEvent = errors.Newf("an event exceeds %d bytes", maxEvent)
)

// memoryBudget bounds the bytes of the bodies that a VM holds at once. It is safe
// for concurrent use.
type memoryBudget struct{ free atomic.Int64 }

func newMemoryBudget(bytes int64) *memoryBudget {
	if bytes <= 0 {
		bytes = defaultBodyMemory
	}
	b := &memoryBudget{}
	b.free.Store(bytes)
	return b
}

// take reserves n bytes and reports whether they were free.
func (b *memoryBudget) take(n int64) bool {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

// heldMemory is the memory that one request holds.
type heldMemory struct {
	budget *memoryBudget
	conn   *intake.Conn // of the caller; may be nil
	bytes  int64
}

// grow reserves memory for n bytes in all, in whole steps.
func (h *heldMemory) grow(n int64) error {
	n = (n + bodyStep - 1) / bodyStep * bodyStep
	more := n - h.bytes
	if more <= 0 {
		return nil
	}
	if !h.budget.take(more) && !h.reclaim(more) {
		return errNoMemory
	}
	h.bytes = n
	h.conn.HoldBody(n)
	return nil
}

// reclaim reserves memory that callers with unfinished bodies give up.
func (h *heldMemory) reclaim(n int64) bool {
	if !h.conn.Reclaim(n) {
		return false
	}
	for range reclaimTries {
		if h.budget.take(n) {
			return true
		}
		time.Sleep(reclaimPause)
	}
	return false
}

func (h *heldMemory) release() {
	h.budget.free.Add(h.bytes)
	h.bytes = 0
	h.conn.HoldBody(0)
}

// readBody reads a body of at most limit bytes. While its buffer doubles, the old
// one is held as well.
func (h *heldMemory) readBody(r io.Reader, limit int64) ([]byte, error) {
	held := h.bytes
	if err := h.grow(held + bodyStep); err != nil {
		return nil, err
	}
	body := make([]byte, 0, bodyStep)
	for {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), limit+1)
			if err := h.grow(held + int64(cap(body)) + size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errLongBody
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
