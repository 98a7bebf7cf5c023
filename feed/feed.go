package feed

import (
	"context"
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"jackdawbarrow"
	"jackdawbarrow/peers"
	"jackdawbarrow/wire"
)

// askedFor is the time for which a VM counts as one that others rely on: they ask
// again at least each second.
const askedFor = 2 * time.Second

// defaultKeep holds the changes of some 20 s of a busy deployment; a VM that
// asks for older ones reads them from the store.
const defaultKeep = 512

const (
	// maxReplyBytes bounds the values in one reply as they are sent. A feeder
	// serves some ten VMs, over a link of 10 Mbit/s at worst: a configuration of
	// 500 kB took seconds to reach them, where the store's link has 1,000 Mbit/s.
	maxReplyBytes = 16 << 10
	// minDeflated is the size of a value from which it is sent deflated.
	// Configurations shrink to a tenth.
	minDeflated = 4 << 10
	// maxValueBytes bounds an inflated value; the store's have 1 MB.
	maxValueBytes = 4 << 20
)

// ErrTooLarge is returned if the changes have to be read from the store.
var ErrTooLarge = errors.New("the changes are too large for one reply")

// ErrNotCurrent is returned if the VM asked does not read the store in time.
var ErrNotCurrent = errors.New("the VM asked does not read the store in time")

// Writer writes entries of other VMs to the store.
type Writer interface {
	// Take accepts entries that may be written with others. It fails if this VM may
	// stop before.
	Take(entries []jdaw.Entry) error
	// WriteIf writes at once, as [jdaw.ChangeStore] does with PutIf.
	WriteIf(ctx context.Context, e jdaw.Entry, revision uint64) (bool, error)
}

// Config configures a Feed. IsCurrent and Writer are required.
type Config struct {
	// IsCurrent reports whether this VM itself reads the store in time.
	IsCurrent func() bool
	Writer    func() Writer
	Keep      int // changes
}

// Feed implements [wire.FeedServer] and [jdaw.ChangeFeed].
type Feed struct {
	wire.UnimplementedFeedServer
	cfg Config

	mu      sync.Mutex
	changes []*cachedChange // by revision
	first   uint64          // changes after this revision are kept
	next    uint64          // revision of the last change read
	readAt  time.Duration   // time as of which changes were read, by BootTime
	hasRead bool
	added   chan struct{} // closed when changes are added
	conns   *peers.Connections
	askedAt atomic.Int64 // last request of another VM, by BootTime
}

var _ jdaw.ChangeFeed = (*Feed)(nil)

// New returns an empty feed.
func New(cfg Config) *Feed {
	if cfg.Keep == 0 {
		cfg.Keep = defaultKeep
	}
	return &Feed{cfg: cfg, added: make(chan struct{}), conns: peers.NewConnections()}
}

// Restart implements [jdaw.ChangeFeed].
func (f *Feed) Restart(revision uint64, readAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes, f.first, f.next, f.readAt, f.hasRead = nil, revision, revision, readAt, true
}

// Add implements [jdaw.ChangeFeed].
func (f *Feed) Add(changes []jdaw.Change, next uint64, readAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = max(f.readAt, readAt)
	if next <= f.next {
		return
	}
	f.next = next
	for _, c := range changes {
		f.changes = append(f.changes, &cachedChange{Change: c})
	}
	if over := len(f.changes) - f.cfg.Keep; over > 0 {
		f.first = f.changes[over-1].Revision
		f.changes = append([]*cachedChange(nil), f.changes[over:]...)
		// Changes of one write have one revision; they are kept or dropped together.
		for len(f.changes) > 0 && f.changes[0].Revision == f.first {
			f.changes = f.changes[1:]
		}
	}
	close(f.added)
	f.added = make(chan struct{})
}

// IsAsked implements [jdaw.ChangeFeed].
func (f *Feed) IsAsked() bool {
	at := f.askedAt.Load()
	return at > 0 && jdaw.BootTime()-time.Duration(at) < askedFor
}

// knownChanges is what this VM knows after a revision.
type knownChanges struct {
	changes []*cachedChange
	next    uint64 // revision to continue from
	readAt  time.Duration
	isKept  bool            // all changes after the revision are known
	more    <-chan struct{} // closed when changes are added
}

func (f *Feed) after(revision uint64) knownChanges {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasRead || revision < f.first {
		return knownChanges{}
	}
	from := sort.Search(len(f.changes), func(i int) bool { return f.changes[i].Revision > revision })
	return knownChanges{changes: f.changes[from:], next: max(f.next, revision), readAt: f.readAt, isKept: true, more: f.added}
}

// StoreChanges implements [wire.FeedServer].
func (f *Feed) StoreChanges(ctx context.Context, q *wire.StoreChangesRequest) (*wire.StoreChangesReply, error) {
	arrivedAt := jdaw.BootTime()
	f.askedAt.Store(int64(arrivedAt))
	timer := time.NewTimer(time.Duration(q.GetWaitMillis()) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		known := f.after(q.GetAfter())
		reply := &wire.StoreChangesReply{
			Revision: known.next, Current: f.cfg.IsCurrent(), Gone: !known.isKept,
			ReadMillis: proto.Int64(wholeMillis(known.readAt - arrivedAt)),
		}
		if len(known.changes) > 0 || !known.isKept || !reply.Current || isOver {
			n := len(known.changes)
			if !q.GetAnySize() {
				n = fittingCount(known.changes)
			}
			if n < len(known.changes) {
				reply.Large, reply.More, reply.ReadMillis = n == 0, true, nil
				reply.Revision = lastRevision(known.changes[:n], q.GetAfter())
			}
			for _, c := range known.changes[:n] {
				reply.Changes = append(reply.Changes, c.encode())
			}
			return reply, nil
		}
		select {
		case <-known.more:
		case <-timer.C:
			isOver = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// wholeMillis rounds down, so that no reply seems more recent than it is.
func wholeMillis(d time.Duration) int64 {
	return int64(math.Floor(float64(d) / float64(time.Millisecond)))
}

// fittingCount returns the number of changes, of whole writes, that fit in one reply.
// The caller continues after them. It is 0 if the first write does not fit.
func fittingCount(changes []*cachedChange) int {
	size, whole := 0, 0
	for i, c := range changes {
		if i > 0 && c.Revision != changes[i-1].Revision {
			whole = i
		}
		value, _ := c.encodedValue()
		size += len(value)
		if size > maxReplyBytes {
			return whole
		}
	}
	return len(changes)
}

func lastRevision(changes []*cachedChange, before uint64) uint64 {
	if len(changes) == 0 {
		return before
	}
	return changes[len(changes)-1].Revision
}

// WriteStore implements [wire.FeedServer].
func (f *Feed) WriteStore(ctx context.Context, q *wire.WriteStoreRequest) (*wire.WriteStoreReply, error) {
	entries := make([]jdaw.Entry, 0, len(q.GetEntries()))
	for _, e := range q.GetEntries() {
		entries = append(entries, jdaw.Entry{Key: e.GetKey(), Value: e.GetValue()})
	}
	switch {
	case !f.cfg.IsCurrent():
		return nil, ErrNotCurrent
	case !q.GetConditional():
		err := f.cfg.Writer().Take(entries)
		return &wire.WriteStoreReply{Written: err == nil}, err
	case len(entries) != 1:
		return nil, errors.Newf("a conditional write has %d entries, want 1", len(entries))
	}
	ok, err := f.cfg.Writer().WriteIf(ctx, entries[0], q.GetExpected())
	return &wire.WriteStoreReply{Written: ok}, err
}

// Write implements [jdaw.ChangeFeed].
func (f *Feed) Write(ctx context.Context, address string, entries []jdaw.Entry) error {
	q := &wire.WriteStoreRequest{}
	for _, e := range entries {
		q.Entries = append(q.Entries, &wire.StoreEntry{Key: e.Key, Value: e.Value})
	}
	_, err := f.write(ctx, address, q)
	return err
}

// WriteIf implements [jdaw.ChangeFeed].
func (f *Feed) WriteIf(ctx context.Context, address string, e jdaw.Entry, revision uint64) (bool, error) {
	return f.write(ctx, address, &wire.WriteStoreRequest{
		Entries: []*wire.StoreEntry{{Key: e.Key, Value: e.Value}}, Conditional: true, Expected: revision,
	})
}

func (f *Feed) write(ctx context.Context, address string, q *wire.WriteStoreRequest) (bool, error) {
	conn, err := f.conns.Conn(address, time.Now())
	if err != nil {
		return false, err
	}
	reply, err := wire.NewFeedClient(conn).WriteStore(ctx, q)
	return reply.GetWritten(), errors.Wrapf(err, "ask the VM at %s to write", address)
}

// Changes implements [jdaw.ChangeFeed].
func (f *Feed) Changes(ctx context.Context, address string, q jdaw.FeedRequest) (jdaw.FeedReply, error) {
	conn, err := f.conns.Conn(address, time.Now())
	if err != nil {
		return jdaw.FeedReply{}, err
	}
	// The request arrives later than this, so that the changes were read no earlier than ReadAt.
	askedAt := jdaw.BootTime()
	reply, err := wire.NewFeedClient(conn).StoreChanges(ctx, &wire.StoreChangesRequest{
		After: q.After, WaitMillis: q.Wait.Milliseconds(), AnySize: q.IsAnySize,
	})
	switch {
	case err != nil:
		return jdaw.FeedReply{}, errors.Wrapf(err, "ask the VM at %s for changes", address)
	case reply.GetGone():
		return jdaw.FeedReply{}, errors.Mark(jdaw.ErrHistoryGone, jdaw.ErrReadStore)
	case !reply.GetCurrent():
		return jdaw.FeedReply{}, ErrNotCurrent
	case reply.GetLarge():
		return jdaw.FeedReply{}, errors.Mark(ErrTooLarge, jdaw.ErrReadStore)
	}
	r := jdaw.FeedReply{Changes: make([]jdaw.Change, 0, len(reply.GetChanges())), Next: reply.GetRevision(), HasMore: reply.GetMore()}
	if reply.ReadMillis != nil {
		r.ReadAt = askedAt + time.Duration(reply.GetReadMillis())*time.Millisecond
	}
	for _, w := range reply.GetChanges() {
		c, err := decode(w)
		if err != nil {
			return jdaw.FeedReply{}, errors.Mark(err, jdaw.ErrReadStore)
		}
		r.Changes = append(r.Changes, c)
	}
	return r, nil
}

// Close closes the connections to other VMs.
func (f *Feed) Close() { f.conns.Close() }
