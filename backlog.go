package jdaw

import "github.com/cespare/xxhash/v2"

// Backlog is what one or more VMs know of upstreams from their own requests.
// Upstreams of which they know nothing are left out.
type Backlog map[UpstreamKey]UpstreamLoad

// UpstreamLoad is what requests say of one upstream.
type UpstreamLoad struct {
	// Tokens is the work that waits, in prompt tokens of the largest model.
	Tokens uint32
	// Later is the part of Tokens that is of later steps of cascades, behind
	// which first steps do not wait.
	Later uint32
	// Ended is the number of requests that ended lately, and Failed that of
	// those which failed, in parts of OutcomeUnit.
	Ended  uint32
	Failed uint32
}

// OutcomeUnit is one request in the counts of [UpstreamLoad], which decay in
// smaller steps.
const OutcomeUnit = 16

// With returns the sum of two loads.
func (l UpstreamLoad) With(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		Tokens: l.Tokens + other.Tokens, Later: l.Later + other.Later,
		Ended: l.Ended + other.Ended, Failed: l.Failed + other.Failed,
	}
}

// UpstreamKey stands for an upstream's id in messages between VMs. Two
// upstreams with the same key would be taken to be busier than they are.
type UpstreamKey uint32

// Key returns the short form of the id.
func (id UpstreamID) Key() UpstreamKey { return UpstreamKey(xxhash.Sum64String(string(id))) }
