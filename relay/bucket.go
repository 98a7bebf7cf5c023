package relay

import "sync"

// bucket holds tokens that are earned in parts and spent one at a time. It is
// safe for concurrent use.
type bucket struct {
	earned float64 // each time
	burst  float64 // the most that it holds

	mu     sync.Mutex
	tokens float64
}

// newBucket returns a full bucket.
func newBucket(earned, burst float64) *bucket {
	return &bucket{earned: earned, burst: burst, tokens: burst}
}

func (b *bucket) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.earned, b.burst)
}

// spend takes one token and leaves a reserve.
func (b *bucket) spend(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
