package intake

import "time"

// Phase is what a connection is used for at present.
type Phase string

// Values of Phase.
const (
	Waiting Phase = "waiting" // idle, or a header has not arrived in full
	Reading Phase = "reading" // the body has not arrived in full
	Serving Phase = "serving" // the request is complete
	Open    Phase = "open"    // not known, such as connections of gRPC
)

// Holding is what one connection holds, and how far behind its caller is.
type Holding struct {
	Phase Phase
	// Stale is the time for which the caller has sent less than the slowest rate
	// allowed, or has not read an answer.
	Stale time.Duration
	// Conns is the number of connections from the same address.
	Conns int
	// HeaderBytes and BodyBytes are held in memory.
	HeaderBytes int64
	BodyBytes   int64
}

const (
	// minStale keeps the order by size among callers that are not behind.
	minStale = 100 * time.Millisecond
	// unreadStale is the time for which an answer must not have been read before its
	// connection may be closed to make room.
	unreadStale = 2 * time.Second
)

// MayClose reports whether the connection may be closed to make room.
func (h Holding) MayClose() bool {
	return h.Phase != Serving || h.Stale >= unreadStale
}

func (h Holding) staleness() float64 { return max(h.Stale, minStale).Seconds() }

// connRank orders connections when their number is at its bound; the highest one is
// closed.
func (h Holding) connRank() float64 { return h.staleness() * float64(h.Conns) }

// ordinaryHeader is the memory of a header that is always admitted, so that requests
// at upstreams that hold the memory for headers don't keep others out.
const ordinaryHeader = 16 << 10

// headerRank orders connections when memory for headers runs out.
func (h Holding) headerRank() float64 {
	if h.HeaderBytes <= ordinaryHeader {
		return 0
	}
	return h.staleness() * float64(h.HeaderBytes)
}

// bodyRank orders connections when memory for bodies runs out. The body of a
// complete request is in use.
func (h Holding) bodyRank() float64 {
	if h.Phase == Serving {
		return 0
	}
	return h.staleness() * float64(h.BodyBytes)
}

// fieldBytes is the memory that a parsed header field takes beyond its text: its
// entry in the map, its list of values, and their copies for an upstream.
const fieldBytes = 200

// headerBytes returns the memory of a header of n bytes with a number of lines.
func headerBytes(n, lines int) int64 { return int64(n) + fieldBytes*int64(lines) }
