package relay

const (
	// giveUpEarned and giveUpBurst bound the attempts given up for silence by the
	// streams that begin or end. When all upstreams are slow, each one given up is
	// work thrown away.
	giveUpEarned = 0.04
	giveUpBurst  = 3
)

func newGiveUps() *bucket { return newBucket(giveUpEarned, giveUpBurst) }
