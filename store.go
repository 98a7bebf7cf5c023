package jdaw

import (
	"context"
	"time"
)

// Item is one key of the key-value service.
type Item struct {
	Key   string
	Value []byte
	// Index changes at each write of the key and is compared by Put.
	Index uint64
}

// Store is the platform's key-value service. An error from Put leaves open
// whether the write took effect; callers read back and compare an id of their
// own in the value.
type Store interface {
	// Get returns the item, or false if the key does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// List returns the items whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Names returns the names directly under prefix, sorted: keys, and up to
	// the next slash of longer keys, with that slash and without the prefix.
	Names(ctx context.Context, prefix string) ([]string, error)
	// Put writes the value if the key's index equals index; index 0 creates
	// the key only if it does not exist. It returns false if the index differs.
	Put(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes the key if its index equals index.
	Delete(ctx context.Context, key string, index uint64) (bool, error)
	// Watch waits until the key's index exceeds index or wait has passed, and
	// returns the item as it is then.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Item, bool, error)
	// Lease creates a lease that lapses ttl after its last renewal.
	Lease(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewLease renews a lease; it returns false if the lease has lapsed.
	RenewLease(ctx context.Context, lease string) (bool, error)
	// Acquire writes the value if no other lease holds the key. The returned
	// fencing number grows at each new holder.
	Acquire(ctx context.Context, key string, value []byte, lease string) (fence uint64, held bool, err error)
	// Release gives up the key.
	Release(ctx context.Context, key, lease string) error
}
