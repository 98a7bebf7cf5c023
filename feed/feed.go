package feed

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/peers"
	"jackdawbarrow/wire"
)

// defaultKeep holds the changes of some 20 s of a busy deployment; a VM that
// asks for older ones reads them from the store.
const defaultKeep = 512

// maxReplyBytes bounds the values in one reply. A feeder serves some ten VMs,
// over a link of 10 Mbit/s at worst: a configuration of 500 kB took seconds to
// reach them, where the store's link has 1,000 Mbit/s.
const maxReplyBytes = 16 << 10

// ErrTooLarge is returned if the changes are better read from the store.
var ErrTooLarge = errors.New("the changes are too large to be passed on")

// ErrNotCurrent is returned if the VM asked does not read the store in time.
var ErrNotCurrent = errors.New("the VM asked does not read the store in time")

// Config configures a Feed. IsCurrent is required.
type Config struct {
	// IsCurrent reports whether this VM itself reads the store in time.
	IsCurrent func() bool
	Keep      int // changes
}

// Feed implements [wire.FeedServer] and [jdaw.ChangeFeed].
type Feed struct {
	wire.UnimplementedFeedServer
	cfg Config

	mu      sync.Mutex
	changes []jdaw.Change // by revision
	first   uint64        // changes after this revision are kept
	next    uint64        // revision of the last change read
	isRead  bool
	added   chan struct{} // closed when changes are added
	conns   *peers.Connections
}

var _ jdaw.ChangeFeed = (*Feed)(nil)

// New returns a feed that has read nothing yet.
func New(cfg Config) *Feed {
	if cfg.Keep == 0 {
		cfg.Keep = defaultKeep
	}
	return &Feed{cfg: cfg, added: make(chan struct{}), conns: peers.NewConnections()}
}

// Restart implements [jdaw.ChangeFeed].
func (f *Feed) Restart(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes, f.first, f.next, f.isRead = nil, revision, revision, true
}

// Add implements [jdaw.ChangeFeed].
func (f *Feed) Add(changes []jdaw.Change, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next <= f.next {
		return
	}
	f.next = next
	f.changes = append(f.changes, changes...)
	if over := len(f.changes) - f.cfg.Keep; over > 0 {
		f.first = f.changes[over-1].Revision
		f.changes = append([]jdaw.Change(nil), f.changes[over:]...)
		// Changes of one write have one revision; a part of them is of no use.
		for len(f.changes) > 0 && f.changes[0].Revision == f.first {
			f.changes = f.changes[1:]
		}
	}
	close(f.added)
	f.added = make(chan struct{})
}

// after returns the changes after a revision and the one to go on from. more is
// closed when changes are added.
func (f *Feed) after(revision uint64) (changes []jdaw.Change, next uint64, isKept bool, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isRead || revision < f.first {
		return nil, 0, false, nil
	}
	from := sort.Search(len(f.changes), func(i int) bool { return f.changes[i].Revision > revision })
	return f.changes[from:], max(f.next, revision), true, f.added
}

// StoreChanges implements [wire.FeedServer].
func (f *Feed) StoreChanges(ctx context.Context, q *wire.StoreChangesRequest) (*wire.StoreChangesReply, error) {
	timer := time.NewTimer(time.Duration(q.GetWaitMillis()) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		changes, next, isKept, added := f.after(q.GetAfter())
		reply := &wire.StoreChangesReply{Revision: next, Current: f.cfg.IsCurrent(), Gone: !isKept}
		if len(changes) > 0 || !isKept || !reply.Current || isOver {
			if !q.GetAnySize() && isLarge(changes) {
				reply.Large = true
				return reply, nil
			}
			for _, c := range changes {
				reply.Changes = append(reply.Changes, &wire.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Removed: c.Removed})
			}
			return reply, nil
		}
		select {
		case <-added:
		case <-timer.C:
			isOver = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func isLarge(changes []jdaw.Change) bool {
	size := 0
	for _, c := range changes {
		size += len(c.Value)
	}
	return size > maxReplyBytes
}

// Changes implements [jdaw.ChangeFeed].
func (f *Feed) Changes(ctx context.Context, address string, q jdaw.FeedRequest) ([]jdaw.Change, uint64, error) {
	conn, err := f.conns.Conn(address, time.Now())
	if err != nil {
		return nil, 0, err
	}
	reply, err := wire.NewFeedClient(conn).StoreChanges(ctx, &wire.StoreChangesRequest{
		After: q.After, WaitMillis: q.Wait.Milliseconds(), AnySize: q.IsAnySize,
	})
	switch {
	case err != nil:
		return nil, 0, errors.Wrapf(err, "ask the VM at %s for changes", address)
	case reply.GetGone():
		return nil, 0, errors.Mark(jdaw.ErrHistoryGone, jdaw.ErrReadStore)
	case !reply.GetCurrent():
		return nil, 0, ErrNotCurrent
	case reply.GetLarge():
		return nil, 0, errors.Mark(ErrTooLarge, jdaw.ErrReadStore)
	}
	changes := make([]jdaw.Change, 0, len(reply.GetChanges()))
	for _, c := range reply.GetChanges() {
		changes = append(changes, jdaw.Change{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Removed: c.GetRemoved()})
	}
	return changes, reply.GetRevision(), nil
}

// Close closes the connections to other VMs.
func (f *Feed) Close() { f.conns.Close() }
