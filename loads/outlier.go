package loads

import (
	"math"
	"sort"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
)

const (
	// minFailureRate is the failure rate that is always tolerated: some services
	// reach it when healthy.
	minFailureRate = 0.02
	// outlierDeviations is the number of standard deviations by which failures
	// must exceed those of the other upstreams, plus outlierFailures. With one
	// instead of two, two failures among four requests would suffice.
	outlierDeviations = 3
	outlierFailures   = 2
	// maxOutlierShare limits the outliers among the upstreams of a service and
	// version (one is always allowed): the rest must take their requests.
	maxOutlierShare = 1.0 / 3
)

// outlier is an upstream that fails far more requests than its peers.
type outlier struct {
	key    jdaw.UpstreamKey
	excess float64 // failure rate above that of its peers
}

// outliers returns the upstreams that fail far more of their requests than
// the others of their service and version. They may pass health checks, and each
// VM alone sees too few of their requests to detect it. A version that fails as
// a whole is left to the canary analysis.
func outliers(st *fleet.State, total jdaw.Backlog) map[jdaw.UpstreamKey]bool {
	found := map[jdaw.UpstreamKey]bool{}
	for _, list := range st.Upstreams {
		groups := map[string][]jdaw.UpstreamKey{}
		for i := range list {
			if !list[i].Leaving {
				groups[list[i].Version] = append(groups[list[i].Version], list[i].ID.Key())
			}
		}
		for _, keys := range groups {
			for _, s := range outliersAmong(keys, total) {
				found[s.key] = true
			}
		}
	}
	return found
}

// outliersAmong returns the outliers among upstreams of one service and version.
func outliersAmong(keys []jdaw.UpstreamKey, total jdaw.Backlog) []outlier {
	all := jdaw.UpstreamLoad{}
	for _, key := range keys {
		all = all.With(total[key])
	}
	var found []outlier
	for _, key := range keys {
		own := total[key]
		ended, failed := requests(own.Ended), requests(own.Failed)
		rest := requests(all.Ended) - ended
		if ended == 0 || rest <= 0 {
			continue
		}
		usual := max((requests(all.Failed)-failed)/rest, minFailureRate)
		bound := ended*usual + outlierDeviations*math.Sqrt(ended*usual*max(1-usual, 0)) + outlierFailures
		if failed > bound {
			found = append(found, outlier{key: key, excess: failed/ended - usual})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].excess > found[j].excess })
	return found[:min(len(found), max(int(maxOutlierShare*float64(len(keys))), 1))]
}

// requests converts a count of outcomes.
func requests(count uint32) float64 { return float64(count) / jdaw.OutcomeUnit }
