package relay

import "sync"

// tokenBucket is refilled in fractions of a token, by events instead of by time.
// It is safe for concurrent use.
type tokenBucket struct {
	refillTokens float64 // per call of refill
	burst        float64 // capacity in tokens

	mu     sync.Mutex
	tokens float64
}

// newTokenBucket returns a full bucket.
func newTokenBucket(refillTokens, burst float64) *tokenBucket {
	return &tokenBucket{refillTokens: refillTokens, burst: burst, tokens: burst}
}

func (b *tokenBucket) refill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.refillTokens, b.burst)
}

// put returns a token that was taken and not used.
func (b *tokenBucket) put() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// take takes one token if at least reserve tokens remain.
func (b *tokenBucket) take(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
