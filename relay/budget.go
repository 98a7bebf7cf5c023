package relay

import "sync"

const (
	// retryEarned is the part of a repeat that each first request pays for. It
	// stays under the 0.9 that a service bears, since VMs see different shares
	// of its requests.
	retryEarned = 0.7
	// retryBurst is the number of repeats that a VM may send at once. An
	// upstream that crashes breaks that many streams of one VM. With 30 requests
	// in the 10 s of the bound, burst and share stay under 0.9 x 30 + 2.5, the
	// part of one of 79 VMs.
	retryBurst = 8
	// retryReserve is kept for repeats after failures; cascades do not use it.
	retryReserve = 2
)

// budget bounds the requests beyond the first that a VM sends to a service. It
// is safe for concurrent use.
type budget struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

func newBudget() *budget { return &budget{buckets: map[string]*bucket{}} }

func (b *budget) of(service string) *bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets[service] == nil {
		b.buckets[service] = newBucket(retryEarned, retryBurst)
	}
	return b.buckets[service]
}

// earn adds for a first request.
func (b *budget) earn(service string) { b.of(service).earn() }

// spend takes one repeat and leaves a reserve.
func (b *budget) spend(service string, reserve float64) bool { return b.of(service).spend(reserve) }
