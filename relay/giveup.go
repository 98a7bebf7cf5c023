package relay

import "sync"

const (
	// giveUpEarned and giveUpBurst bound the attempts given up for silence. When
	// all upstreams are slow, each one given up is work thrown away.
	giveUpEarned = 0.04
	giveUpBurst  = 3
)

// giveUps bounds the attempts given up for silence by the streams that end. It
// is safe for concurrent use.
type giveUps struct {
	mu     sync.Mutex
	tokens float64
}

func newGiveUps() *giveUps { return &giveUps{tokens: giveUpBurst} }

// earn adds for a stream that began or ended without a beginning.
func (g *giveUps) earn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = min(g.tokens+giveUpEarned, giveUpBurst)
}

// spend takes one token.
func (g *giveUps) spend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}
