package jdaw

import "github.com/cespare/xxhash/v2"

// Backlog is the load of upstreams as measured by one or more VMs on their own
// requests. Upstreams without measurements are left out.
type Backlog map[UpstreamKey]UpstreamLoad

// UpstreamLoad is the load of one upstream, measured on requests.
type UpstreamLoad struct {
	// Tokens is the pending work, in prompt tokens of the largest model.
	Tokens uint32
	// Later is the part of Tokens that belongs to escalations of cascades;
	// first steps do not queue behind it.
	Later uint32
	// LessUrgent is the part of Later that is not of the most urgent rank, which
	// does not queue behind it.
	LessUrgent uint32
	// Ended counts recently ended requests and Failed the failed ones of
	// them, both decayed and in units of 1/OutcomeUnit.
	Ended  uint32
	Failed uint32
	// Running is the number of requests in flight at the upstream.
	Running uint32
	// Timed counts the recent requests whose duration is known, and Speed is the
	// sum of their speeds relative to other upstreams of the service, both decayed
	// and in units of 1/OutcomeUnit.
	Timed uint32
	Speed uint32
}

// OutcomeUnit is the value of one request in the outcome counts of
// [UpstreamLoad]; decay leaves fractions of a request.
const OutcomeUnit = 16

// With returns the sum of two loads.
func (l UpstreamLoad) With(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		Tokens: l.Tokens + other.Tokens, Later: l.Later + other.Later, LessUrgent: l.LessUrgent + other.LessUrgent,
		Ended: l.Ended + other.Ended, Failed: l.Failed + other.Failed, Running: l.Running + other.Running,
		Timed: l.Timed + other.Timed, Speed: l.Speed + other.Speed,
	}
}

// UpstreamKey is a hash of an upstream's id, used in messages between VMs. On a
// collision, the load of both upstreams is overestimated.
type UpstreamKey uint32

// Key returns the hash of the id.
func (id UpstreamID) Key() UpstreamKey { return UpstreamKey(xxhash.Sum64String(string(id))) }
