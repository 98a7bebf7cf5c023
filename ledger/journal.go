package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// Limits of a journal.
const (
	// maxUnrecorded limits the entries that are not yet in a slot plus the
	// settlements that admitted requests will need. Holders of copies apply
	// the same limit per journal.
	maxUnrecorded = 4096
	// maxBatchBytes leaves room under the key-value service's limit of 1 MB.
	maxBatchBytes = 700 << 10
	// billOverhead estimates the JSON size of a bill without its strings, in bytes.
	billOverhead = 320
	// minCommitInterval and commitIntervalPerVM limit all VMs together to 200
	// writes/s.
	minCommitInterval   = 100 * time.Millisecond
	commitIntervalPerVM = 5 * time.Millisecond
)

var errSealed = errors.New("the journal is sealed")

// entry is one record that is queued for a slot.
type entry struct {
	number uint64 // copy number
	// retainFrom is the lowest copy number that holders must keep until this
	// entry is in a slot. It is below number if this settlement replaced an opened
	// entry that was not written yet.
	retainFrom uint64
	bill       jdaw.Bill
	done       chan struct{} // closed when the entry is in a slot or cannot be
	err        error         // set before done is closed
}

// journal is the journal of one incarnation of this process.
type journal struct {
	inc jdaw.Incarnation

	mu             sync.Mutex
	sequence       uint64
	lastCopyNumber uint64
	pending        []*entry // not yet taken into a batch
	inFlight       []*entry
	open           map[jdaw.RequestID]bool // admitted and not settled
	settling       map[jdaw.RequestID]*entry
	sealed         bool
	closed         bool
	wake           chan struct{}
}

func newJournal(inc jdaw.Incarnation) *journal {
	return &journal{
		inc:      inc,
		open:     map[jdaw.RequestID]bool{},
		settling: map[jdaw.RequestID]*entry{},
		wake:     make(chan struct{}, 1),
	}
}

// admit assigns a request id and queues the open entry.
func (j *journal) admit(b jdaw.Bill) (*entry, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sealed {
		return nil, errSealed
	}
	// Each open request reserves space for its settlement.
	if len(j.pending)+len(j.inFlight)+len(j.open)+2 > maxUnrecorded {
		return nil, jdaw.Fail(jdaw.CodeJournalFull, "%d records are waiting for the key-value service", len(j.pending)+len(j.inFlight)).WithRetryAfter(1)
	}
	j.sequence++
	b.RequestID = jdaw.RequestID(fmt.Sprintf("%s-%d", j.inc, j.sequence))
	b.State = jdaw.BillOpen
	j.open[b.RequestID] = true
	return j.queue(b), nil
}

// settle queues the settlement; it returns an already queued one if any, or nil
// if the request is not open.
func (j *journal) settle(b jdaw.Bill) *entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.settling[b.RequestID]; e != nil {
		return e
	}
	if !j.open[b.RequestID] {
		return nil
	}
	delete(j.open, b.RequestID)
	b.State = jdaw.BillSettled
	e := j.replacePendingOpen(b)
	if e == nil {
		e = j.queue(b)
	}
	j.settling[b.RequestID] = e
	return e
}

// replacePendingOpen replaces the open entry by its settlement if the former was
// not yet written, since the settlement contains all of it. This doubles the
// number of requests that fit into the journal in an outage. The holders keep
// the open entry until the settlement is in a slot: this VM may fail before it
// has copied the settlement to any VM.
func (j *journal) replacePendingOpen(b jdaw.Bill) *entry {
	for i, open := range j.pending {
		if open.bill.RequestID == b.RequestID {
			e := j.newEntry(b)
			e.retainFrom = open.retainFrom
			j.pending[i] = e
			close(open.done)
			return e
		}
	}
	return nil
}

func (j *journal) newEntry(b jdaw.Bill) *entry {
	j.lastCopyNumber++
	return &entry{number: j.lastCopyNumber, retainFrom: j.lastCopyNumber, bill: b, done: make(chan struct{})}
}

func (j *journal) queue(b jdaw.Bill) *entry {
	e := j.newEntry(b)
	j.pending = append(j.pending, e)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return e
}

// durableBefore returns the copy number below which holders may drop entries.
// Pending entries are in the order of retainFrom.
func (j *journal) durableBefore() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.inFlight) > 0 {
		return j.inFlight[0].retainFrom
	}
	if len(j.pending) > 0 {
		return j.pending[0].retainFrom
	}
	return j.lastCopyNumber + 1
}

func (j *journal) takeBatch() []*entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	size, n := 0, 0
	for n < len(j.pending) {
		b := j.pending[n].bill
		size += billOverhead + 2*(len(b.RequestID)+len(b.Workspace)+len(b.Outlet)+len(b.Model)+len(b.Service))
		if size > maxBatchBytes && n > 0 {
			break
		}
		n++
	}
	j.inFlight = append([]*entry(nil), j.pending[:n]...)
	j.pending = append([]*entry(nil), j.pending[n:]...)
	return j.inFlight
}

// finishBatch completes the entries of the batch in flight with err.
func (j *journal) finishBatch(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.inFlight {
		if e.bill.State == jdaw.BillSettled {
			delete(j.settling, e.bill.RequestID)
		}
		e.err = err
		close(e.done)
	}
	j.inFlight = nil
}

func (j *journal) hasPending() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.pending) > 0
}

func (j *journal) isSealed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sealed
}

// markSealed returns true the first time.
func (j *journal) markSealed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := !j.sealed
	j.sealed = true
	return first
}

// isRetired reports whether the journal is sealed and fully written.
func (j *journal) isRetired() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sealed && len(j.open)+len(j.pending)+len(j.inFlight) == 0
}

// write is the journal's writer goroutine. It ends when ctx is done, or
// when the journal is sealed and fully written.
func (l *Ledger) write(ctx context.Context, j *journal) {
	next := uint64(0)
	var last time.Time
	for {
		for !j.hasPending() {
			if j.isRetired() {
				l.retire(j)
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-j.wake:
			}
		}
		if !jdaw.Sleep(ctx, l.commitInterval()-time.Since(last)) {
			return
		}
		last = time.Now()
		batch := j.takeBatch()
		if len(batch) == 0 {
			continue
		}
		var err error
		if next, err = l.writeBatch(ctx, j, next, batch); errors.Is(err, ctx.Err()) && ctx.Err() != nil {
			return
		}
		j.finishBatch(err)
	}
}

// writeBatch writes the entries into the first slot that it can create from
// next on and returns the number of the slot after it.
func (l *Ledger) writeBatch(ctx context.Context, j *journal, next uint64, batch []*entry) (uint64, error) {
	bills := make([]jdaw.Bill, len(batch))
	for i, e := range batch {
		bills[i] = e.bill
	}
	kind := slotBatch
	s := newSlot(kind, l.cfg.VM, l.cfg.Clock.Now(), bills)
	for {
		there, err := writeSlot(ctx, l.cfg.Store, j.inc, next, s, l.storeFailed)
		if err != nil {
			return next, err
		}
		l.storeDown.Store(false)
		next++
		if there.Batch == s.Batch {
			return next, nil
		}
		l.handleSealed(j)
		if there.Kind == slotClose {
			j.mu.Lock()
			j.closed = true
			j.mu.Unlock()
		}
		if j.isClosed() {
			return next, jdaw.Fail(jdaw.CodeOutcomeUnknown, "the journal was closed before the settlement was written")
		}
		s.Kind = slotLate
	}
}

func (j *journal) isClosed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.closed
}

// commitInterval is the time between two batches of this VM.
func (l *Ledger) commitInterval() time.Duration {
	live := 1
	if view := l.cfg.Views.View(); view != nil {
		live = len(view.Serving())
	}
	return max(minCommitInterval, time.Duration(live)*commitIntervalPerVM)
}
