package relay

const (
	// abandonRefill and abandonBurst limit the attempts abandoned after an idle
	// timeout relative to the streams that start or fail. When all upstreams are
	// slow, each abandoned attempt is wasted work.
	abandonRefill = 0.04
	abandonBurst  = 3
)

func newAbandonBudget() *tokenBucket { return newTokenBucket(abandonRefill, abandonBurst) }
