package loads

import (
	"math"
	"sort"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
)

const (
	// usualFailures is the least part of its requests that an upstream may fail:
	// some services fail as many when they are well.
	usualFailures = 0.02
	// suspectDeviations is the number of standard deviations by which failures
	// must exceed those of the other upstreams, and suspectFailures the number
	// besides. With one besides, two failures among four requests would do.
	suspectDeviations = 3
	suspectFailures   = 2
	// maxSuspects is the largest part of the upstreams of a service and version
	// that may be suspects, but for one: the rest must bear their requests.
	maxSuspects = 1.0 / 3
)

// suspect is an upstream that fails more requests than the others.
type suspect struct {
	key    jdaw.UpstreamKey
	excess float64 // part of its requests that failed beyond the usual
}

// suspects returns the upstreams that fail far more of their requests than the
// others of their service and version. Their health answers may be good, and
// each VM alone sees too few of their requests to tell. A version that fails as
// a whole is the guard's matter.
func suspects(st *fleet.State, total jdaw.Backlog) map[jdaw.UpstreamKey]bool {
	found := map[jdaw.UpstreamKey]bool{}
	for _, list := range st.Upstreams {
		groups := map[string][]jdaw.UpstreamKey{}
		for i := range list {
			if !list[i].Leaving {
				groups[list[i].Version] = append(groups[list[i].Version], list[i].ID.Key())
			}
		}
		for _, keys := range groups {
			for _, s := range suspectsOf(keys, total) {
				found[s.key] = true
			}
		}
	}
	return found
}

// suspectsOf returns the suspects among upstreams that should be alike.
func suspectsOf(keys []jdaw.UpstreamKey, total jdaw.Backlog) []suspect {
	all := jdaw.UpstreamLoad{}
	for _, key := range keys {
		all = all.With(total[key])
	}
	var found []suspect
	for _, key := range keys {
		own := total[key]
		ended, failed := requests(own.Ended), requests(own.Failed)
		rest := requests(all.Ended) - ended
		if ended == 0 || rest <= 0 {
			continue
		}
		usual := max((requests(all.Failed)-failed)/rest, usualFailures)
		bound := ended*usual + suspectDeviations*math.Sqrt(ended*usual*max(1-usual, 0)) + suspectFailures
		if failed > bound {
			found = append(found, suspect{key: key, excess: failed/ended - usual})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].excess > found[j].excess })
	return found[:min(len(found), max(int(maxSuspects*float64(len(keys))), 1))]
}

// requests converts a count of outcomes.
func requests(count uint32) float64 { return float64(count) / jdaw.OutcomeUnit }
