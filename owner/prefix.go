package owner

import "time"

const (
	// prefixesPerPool bounds the remembered prefixes of a pool, at about
	// 100 B each, and is divided among its upstreams.
	prefixesPerPool = 16384
	// maxPrefixes and minPrefixes bound the part of one upstream.
	maxPrefixes = 512
	minPrefixes = 32
	// holdersPerPrefix bounds the upstreams remembered for one prefix.
	holdersPerPrefix = 8
	// likelyCached is the cache probability of a prefix that an upstream
	// served before a gap in its cache events: the prefix may or may not
	// have been evicted.
	likelyCached = 0.5
)

// holder is one upstream that served a prefix.
type holder struct {
	u  *upstream
	at time.Time // last time that the prefix is known to have been cached
}

// holderIndex finds the upstreams that served a prefix.
type holderIndex map[uint64][]holder

// prefixRing holds the prefixes of one upstream in the order in which they
// were first seen. Adding to a full ring evicts the oldest.
type prefixRing struct {
	ring     []uint64
	next     int
	sequence uint64    // of the last cache event
	gapAt    time.Time // last gap in the cache events
}

// served records that u has the prefix cached at time at.
func (x holderIndex) served(u *upstream, prefix uint64, at time.Time) {
	if prefix == 0 {
		return
	}
	list := x[prefix]
	for i := range list {
		if list[i].u == u {
			list[i].at = at
			return
		}
	}
	if len(list) >= holdersPerPrefix {
		list = dropOldest(list)
	}
	x[prefix] = append(list, holder{u: u, at: at})
	u.prefixes.push(x, u, prefix)
}

func dropOldest(list []holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].at.Before(list[oldest].at) {
			oldest = i
		}
	}
	return append(list[:oldest], list[oldest+1:]...)
}

// forget removes u from the prefix.
func (x holderIndex) forget(u *upstream, prefix uint64) {
	list := x[prefix]
	for i := range list {
		if list[i].u != u {
			continue
		}
		list = append(list[:i], list[i+1:]...)
		break
	}
	if len(list) == 0 {
		delete(x, prefix)
		return
	}
	x[prefix] = list
}

func (r *prefixRing) push(x holderIndex, u *upstream, prefix uint64) {
	limit := min(maxPrefixes, max(minPrefixes, prefixesPerPool/len(u.pool.ups)))
	if len(r.ring) < limit {
		r.ring = append(r.ring, prefix)
		return
	}
	x.forget(u, r.ring[r.next])
	r.ring[r.next] = prefix
	r.next = (r.next + 1) % len(r.ring)
}

func (r *prefixRing) clear(x holderIndex, u *upstream) {
	for _, prefix := range r.ring {
		x.forget(u, prefix)
	}
	r.ring = r.ring[:0]
	r.next = 0
}

// probability returns how likely the prefix is still cached.
func (h *holder) probability() float64 {
	if h.at.Before(h.u.prefixes.gapAt) {
		return likelyCached
	}
	return 1
}

// apply processes cache events. An eviction older than the last use of the
// prefix arrived late and is ignored.
func (x holderIndex) apply(at time.Time, u *upstream, changes []CacheChange) {
	r := &u.prefixes
	for _, c := range changes {
		if c.Sequence <= r.sequence {
			continue // repeated
		}
		if c.Sequence > r.sequence+1 && r.sequence > 0 {
			r.gapAt = at
		}
		r.sequence = c.Sequence
		if !c.Evicted {
			x.served(u, c.Prefix, c.At)
			continue
		}
		for _, h := range x[c.Prefix] {
			if h.u == u && !c.At.Before(h.at) {
				x.forget(u, c.Prefix)
				break
			}
		}
	}
}
