// Package route chooses the upstream for a request.
//
// A [Chooser] sees the upstreams of one pool as a slice of [Candidate] and
// returns the index of one that is free. The default is [NewAffinity]; the
// others are baselines with the same interface, to measure it against.
//
// # Usage
//
//	c, err := route.New(route.NameAffinity, 1)
//	i := c.Choose(prefix, candidates)
//	if i < 0 { ... } // no candidate is free
//
// Choosers are not safe for concurrent use. They read neither a clock nor a
// shared random source: a chooser with the same seed that sees the same calls
// makes the same choices, so that recorded traces can be replayed.
package route

import (
	"math"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// Candidate is one upstream of a pool.
type Candidate struct {
	Hash   uint64  // of the upstream ID
	Cached float64 // probability that the request's prefix is cached, 0..1
	InUse  int
	Limit  int
	// Work is the pending work at the upstream including the request, in tokens.
	Work float64
	// Usable reports whether the upstream is in service and has the version.
	Usable bool
}

// IsFree reports whether the candidate may be chosen.
func (c *Candidate) IsFree() bool { return c.Usable && c.InUse < c.Limit }

// Chooser chooses one free candidate. It returns -1 if none is free. prefix
// is the hash of the prompt prefix, 0 for none.
type Chooser interface {
	Choose(prefix uint64, candidates []Candidate) int
}

// Name names a chooser.
type Name string

// Names of choosers.
const (
	NameAffinity         Name = "affinity"
	NameLeastWork        Name = "leastWork"
	NameRandom           Name = "random"
	NameRoundRobin       Name = "roundRobin"
	NameLeastOutstanding Name = "leastOutstanding"
	NameTwoChoices       Name = "twoChoices"
)

// Names returns the names of all choosers, the default first.
func Names() []Name {
	return []Name{NameAffinity, NameLeastWork, NameRandom, NameRoundRobin, NameLeastOutstanding, NameTwoChoices}
}

// New returns the chooser with this name.
func New(name Name, seed uint64) (Chooser, error) {
	switch name {
	case NameAffinity:
		return NewAffinity(), nil
	case NameLeastWork:
		return NewLeastWork(), nil
	case NameRandom:
		return &random{rng: newRand(seed)}, nil
	case NameRoundRobin:
		return &roundRobin{}, nil
	case NameLeastOutstanding:
		return leastOutstanding{}, nil
	case NameTwoChoices:
		return &twoChoices{rng: newRand(seed)}, nil
	}
	return nil, errors.Newf("unknown chooser %q", name)
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

const (
	// prefixBonus exceeds any load difference, so that a cached prefix decides
	// within loadBound.
	prefixBonus = 1.0
	// loadBound is the largest load, relative to the mean, at which a cached
	// prefix attracts a request. Without it, a popular prefix would fill one
	// upstream while others are idle.
	loadBound = 1.25
)

type affinity struct{}

// NewAffinity returns the default chooser: the lowest cost, where the cost is
// (in use + 1)/limit minus a bonus for a cached prefix. Candidates of equal
// cost are ordered by rendezvous hash of the prefix, so that requests with the
// same prefix go to one upstream even if no cache state is known.
func NewAffinity() Chooser { return affinity{} }

func (affinity) Choose(prefix uint64, candidates []Candidate) int {
	bound := loadBound * meanLoad(candidates)
	best, bestCost, bestRank := -1, math.Inf(1), uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.IsFree() {
			continue
		}
		limit := float64(c.Limit)
		cost := float64(c.InUse+1) / limit
		if c.Cached > 0 && float64(c.InUse+1) <= math.Ceil(bound*limit) {
			cost -= prefixBonus * c.Cached
		}
		if cost > bestCost {
			continue
		}
		rank := mix(prefix ^ c.Hash)
		if cost < bestCost || rank > bestRank {
			best, bestCost, bestRank = i, cost, rank
		}
	}
	return best
}

// meanLoad returns the mean load including the new request.
func meanLoad(candidates []Candidate) float64 {
	inUse, limit := 1, 0
	for i := range candidates {
		if c := &candidates[i]; c.Usable {
			inUse += c.InUse
			limit += c.Limit
		}
	}
	return float64(inUse) / float64(max(limit, 1))
}

// affinityTokens is the extra work at which the first upstream of a prefix by
// rendezvous hash is still preferred to the last. With less, requests of a prefix
// spread over more upstreams, each of which prefills it again.
const affinityTokens = 8000

type leastWork struct{}

// NewLeastWork returns a chooser for upstreams with known pending work: it chooses
// the least work. The rendezvous hash of the prefix decides between similar
// amounts of work.
func NewLeastWork() Chooser { return leastWork{} }

func (leastWork) Choose(prefix uint64, candidates []Candidate) int {
	best, bestScore, bestRank := -1, math.Inf(-1), uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.IsFree() {
			continue
		}
		rank := mix(prefix ^ c.Hash)
		score := -c.Work
		if prefix != 0 {
			score += affinityTokens * float64(rank) / math.MaxUint64
		}
		if score > bestScore || score == bestScore && rank > bestRank {
			best, bestScore, bestRank = i, score, rank
		}
	}
	return best
}

// TopRanked returns the first candidate of a prefix by rendezvous hash, whatever
// its load, or -1 if there are none.
func TopRanked(prefix uint64, candidates []Candidate) int {
	best, bestRank := -1, uint64(0)
	for i := range candidates {
		if rank := mix(prefix ^ candidates[i].Hash); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

type random struct{ rng *rand.Rand }

func (r *random) Choose(_ uint64, candidates []Candidate) int {
	return pickFree(r.rng, candidates)
}

// pickFree returns a uniformly random free candidate, or -1.
func pickFree(rng *rand.Rand, candidates []Candidate) int {
	free := 0
	for i := range candidates {
		if candidates[i].IsFree() {
			free++
		}
	}
	if free == 0 {
		return -1
	}
	skip := rng.IntN(free)
	for i := range candidates {
		if !candidates[i].IsFree() {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return -1
}

type roundRobin struct{ next int }

func (r *roundRobin) Choose(_ uint64, candidates []Candidate) int {
	for n := range candidates {
		i := (r.next + n) % len(candidates)
		if candidates[i].IsFree() {
			r.next = i + 1
			return i
		}
	}
	return -1
}

type leastOutstanding struct{}

func (leastOutstanding) Choose(_ uint64, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if !candidates[i].IsFree() {
			continue
		}
		if best < 0 || candidates[i].InUse < candidates[best].InUse {
			best = i
		}
	}
	return best
}

type twoChoices struct{ rng *rand.Rand }

func (t *twoChoices) Choose(_ uint64, candidates []Candidate) int {
	a := pickFree(t.rng, candidates)
	b := pickFree(t.rng, candidates)
	if a < 0 || candidates[a].InUse <= candidates[b].InUse {
		return a
	}
	return b
}
