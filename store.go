package jdaw

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Item is one key of the key-value service.
type Item struct {
	Key   string
	Value []byte
	// Index changes at each write of the key and is compared by Put.
	Index uint64
}

// Store is the platform's key-value service. After an error from Put, the write
// may or may not have taken effect; callers read the key back and compare an id
// of their own in the value.
type Store interface {
	// Get returns the item, or false if the key does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// List returns the items whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Names returns the names directly under prefix, sorted and without the
	// prefix. Longer keys are cut after their next slash.
	Names(ctx context.Context, prefix string) ([]string, error)
	// Put writes the value if the key's index equals index; index 0 creates
	// the key only if it does not exist. It returns false if the index differs.
	Put(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes the key if its index equals index.
	Delete(ctx context.Context, key string, index uint64) (bool, error)
	// Watch waits until the key's index exceeds index or wait has passed, and
	// returns the item as it is then.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Item, bool, error)
	// Lease creates a lease that expires ttl after its last renewal.
	Lease(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewLease renews a lease; it returns false if the lease has expired.
	RenewLease(ctx context.Context, lease string) (bool, error)
	// Acquire writes the value if no other lease holds the key. The returned
	// fencing token increases with each new holder.
	Acquire(ctx context.Context, key string, value []byte, lease string) (fence uint64, held bool, err error)
	// Release releases the key.
	Release(ctx context.Context, key, lease string) error
}

// Change is one change of a key. A removed key has no value.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64 // of the whole store
	Removed  bool
}

// Entry is a key to be written.
type Entry struct {
	Key   string
	Value []byte
}

// MaxPuts bounds the entries of one write to a [ChangeStore].
const MaxPuts = 32

// ErrHistoryGone is returned by [ChangeStore] if the changes asked for are no
// longer retained; the caller must load everything again.
var ErrHistoryGone = errors.New("the store no longer retains these changes")

// ChangeStore is a key-value service that numbers all of its changes.
type ChangeStore interface {
	// Load returns all items that concern the system and the revision from which to
	// read Changes. It limits the time of each call to the store, of which it may
	// need several.
	Load(ctx context.Context) ([]Change, uint64, error)
	// Changes waits until there are changes after a revision, or until wait has
	// passed, and returns the revision to continue from.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
	// PutIf writes the key if its last change has this revision; 0 means that
	// the key does not exist. A lease of "" makes the key permanent.
	PutIf(ctx context.Context, key string, value []byte, revision uint64, lease string) (bool, error)
	// Put writes up to [MaxPuts] keys in one call, unconditionally.
	Put(ctx context.Context, entries []Entry, lease string) error
	Lease(ctx context.Context, ttl time.Duration) (string, error)
	// RenewLease returns false if the lease has expired.
	RenewLease(ctx context.Context, lease string) (bool, error)
	EndLease(ctx context.Context, lease string) error
}

// ErrReadStore marks errors of a [ChangeFeed] that do not indicate a failure of
// the VM asked: only these changes must be read from the store.
var ErrReadStore = errors.New("the changes must be read from the store")

// FeedRequest requests changes from a VM.
type FeedRequest struct {
	After uint64        // revision
	Wait  time.Duration // at most
	// IsAnySize requests changes even if they should be read from the store
	// because of their size.
	IsAnySize bool
}

// FeedReply is what another VM knows of the store.
type FeedReply struct {
	Changes []Change
	Next    uint64 // revision to continue from
	// ReadAt is the time, by [BootTime] of this VM, as of which the other VM has read
	// all changes up to Next, and at which there were no others. It is 0 if that VM
	// doesn't tell, and with HasMore.
	ReadAt time.Duration
	// HasMore is set if further changes didn't fit; the next call returns them.
	HasMore bool
}

// ChangeFeed relays changes of a [ChangeStore], and writes to it, between VMs.
type ChangeFeed interface {
	// Changes requests changes from the VM at an address, as from a
	// [ChangeStore]. It fails if that VM does not read the store in time itself.
	Changes(ctx context.Context, address string, q FeedRequest) (FeedReply, error)
	// Write sends entries to the VM at an address, which writes them in a
	// batch with those of other VMs.
	Write(ctx context.Context, address string, entries []Entry) error
	// WriteIf sends an entry to that VM, which calls PutIf immediately.
	WriteIf(ctx context.Context, address string, e Entry, revision uint64) (bool, error)
	// Restart discards all added changes; changes after the revision follow. readAt
	// is the time, by [BootTime], as of which everything up to the revision was read.
	Restart(revision uint64, readAt time.Duration)
	// Add offers changes to other VMs; next is the revision to continue from, and
	// readAt as for Restart.
	Add(changes []Change, next uint64, readAt time.Duration)
	// IsAsked reports whether other VMs rely on this one for changes.
	IsAsked() bool
}

// ChangeDecoder decodes a change of a key that others write to an event of the
// control loop, or to nil for an unrelated key.
type ChangeDecoder interface {
	DecodeChange(c Change) (Event, error)
}
