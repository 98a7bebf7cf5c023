package relay

import "sync"

const (
	// retryRefill is the number of retries that each request adds to the budget.
	// It stays under the 0.9 that a service tolerates, since VMs see different
	// shares of its requests.
	retryRefill = 0.7
	// retryBurst is the number of retries that a VM may send at once. An
	// upstream that crashes breaks that many streams of one VM. With 30 requests
	// in the limit's window of 10 s, burst and refill stay under 0.9 x 30 + 2.5,
	// the share of one of 79 VMs.
	retryBurst = 8
	// retryReserve is kept for retries after failures; escalations do not use it.
	retryReserve = 2
)

// retryBudget limits the retries and escalations that a VM sends to each
// service. It is safe for concurrent use.
type retryBudget struct {
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

func newRetryBudget() *retryBudget { return &retryBudget{buckets: map[string]*tokenBucket{}} }

func (b *retryBudget) of(service string) *tokenBucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets[service] == nil {
		b.buckets[service] = newTokenBucket(retryRefill, retryBurst)
	}
	return b.buckets[service]
}

// refill adds the share of one request.
func (b *retryBudget) refill(service string) { b.of(service).refill() }

// take takes one retry if at least reserve retries remain.
func (b *retryBudget) take(service string, reserve float64) bool { return b.of(service).take(reserve) }
