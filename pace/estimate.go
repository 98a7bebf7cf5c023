package pace

import (
	"math"
	"time"

	"jackdawbarrow"
)

// Work is a request for which a duration is estimated.
type Work struct {
	// Name is that of the samples of its kind.
	Name string
	// Tokens is the work of a stream before its first event, with that ahead of
	// it; 0 for a plain request.
	Tokens float64
	// Events is the expected number of events of a stream.
	Events int
	// InFlight is the number of requests at the upstream; see
	// [Upstream.InFlight].
	InFlight float64
	Slots    int
}

// Estimate is the expected time until the first and the last event of a stream.
// Both are the end of a plain answer.
type Estimate struct {
	First, Last time.Duration
	// Spread is the standard deviation of the logarithm of the durations.
	Spread float64
}

// WithMargin returns the estimate with durations that are exceeded less often:
// about one time in six with a deviation of 1, and one in forty with 2.
func (e Estimate) WithMargin(deviations float64) Estimate {
	factor := math.Exp(deviations * e.Spread)
	e.First = time.Duration(float64(e.First) * factor)
	e.Last = time.Duration(float64(e.Last) * factor)
	return e
}

// Estimate returns when the events of a request given to the upstream now would
// be there, or false if too few durations are known.
func (u *Upstream) Estimate(at time.Time, others jdaw.UpstreamLoad, w Work) (Estimate, bool) {
	relative := u.BaseTime(others)
	if w.Tokens <= 0 {
		x, ok := u.service.find(KindWhole, w.Name, 0)
		d := u.stretch(at, seconds(math.Exp(x.mean)*(1+queueTime(w.InFlight, w.Slots))*relative))
		return Estimate{First: d, Last: d, Spread: math.Sqrt(x.variance)}, ok
	}
	first, ok := u.service.find(KindFirst, w.Name, level(KindFirst, w.Tokens, 0))
	if !ok {
		return Estimate{}, false
	}
	e := Estimate{First: u.stretch(at, seconds(math.Exp(first.mean)*w.Tokens*relative)), Spread: math.Sqrt(first.variance)}
	events, ok := u.service.find(KindEvents, "", level(KindEvents, 0, int(w.InFlight)))
	e.Last = e.First + seconds(math.Exp(events.mean)*float64(max(w.Events-1, 0))*relative)
	return e, ok || w.Events <= 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// queueTime returns the time that a plain request waits for a slot, in durations
// of one request.
func queueTime(inFlight float64, slots int) float64 {
	n := float64(max(slots, 1))
	return max(inFlight+1-n, 0) / n
}

// Option is an upstream that a plain request may go to.
type Option struct {
	// RelativeTime is that of [Upstream.RelativeTime] or [Upstream.BaseTime].
	RelativeTime float64
	InFlight     float64
	Slots        int
	// IsFree is false if the upstream must not be chosen.
	IsFree bool

	weight float64 // probability of a draw, up to a factor
}

// crowding is the expected extra time at an upstream with all slots busy, as a
// share of the duration: the count of requests is late, so one that seems nearly
// full may be full.
const crowding = 0.5

// time returns the relative time that a request would take.
func (o Option) time() float64 {
	return (1 + queueTime(o.InFlight, o.Slots) + crowding*o.InFlight/float64(max(o.Slots, 1))) * o.RelativeTime
}

// Choose returns the index of an upstream for a plain request, or -1 if none is
// free. It draws two upstreams in proportion to their speeds and takes the one
// with the shorter expected time. Other VMs hold the same reports: if all took
// the best upstream, they would overload it at once. draw is a random number.
func Choose(draw uint64, options []Option) int {
	total := 0.0
	for i := range options {
		o := &options[i]
		o.weight = 0
		if o.IsFree {
			o.weight = float64(max(o.Slots, 1)) / o.RelativeTime
		}
		total += o.weight
	}
	if total <= 0 {
		return -1
	}
	a := drawn(float64(draw>>32)/(1<<32)*total, options)
	b := drawn(float64(draw&math.MaxUint32)/(1<<32)*total, options)
	if options[b].time() < options[a].time() {
		return b
	}
	return a
}

// drawn returns the option at a point of the summed weights.
func drawn(point float64, options []Option) int {
	last := -1
	for i := range options {
		w := options[i].weight
		if w <= 0 {
			continue
		}
		last = i
		if point < w {
			return i
		}
		point -= w
	}
	return last // rounding
}
