package loads

import (
	"fmt"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
)

// Guards against missing an outlier that passes health checks, and against healthy
// upstreams that count as outliers: because of a few failures, a service that
// fails some requests when healthy, a version that fails as a whole, or a failure
// that all upstreams share.
func TestSuspects(t *testing.T) {
	type group struct {
		version string
		outcome [][2]int // requests that ended and those that failed, an upstream each
	}
	cases := map[string]struct {
		groups []group
		want   []string
	}{
		"one of three fails nearly all":  {[]group{{"v1", [][2]int{{20, 0}, {9, 8}, {20, 1}}}}, []string{"v1-1"}},
		"one of three fails two in five": {[]group{{"v1", [][2]int{{20, 1}, {20, 8}, {20, 0}}}}, []string{"v1-1"}},
		"two failures":                   {[]group{{"v1", [][2]int{{20, 0}, {4, 2}, {20, 0}}}}, nil},
		"all fail one in seven":          {[]group{{"v1", [][2]int{{20, 3}, {20, 5}, {20, 2}}}}, nil},
		"all fail half":                  {[]group{{"v1", [][2]int{{20, 10}, {20, 12}, {20, 9}}}}, nil},
		"the new version fails":          {[]group{{"v1", [][2]int{{50, 0}, {50, 1}}}, {"v2", [][2]int{{10, 5}, {10, 6}}}}, nil},
		"alone in its version":           {[]group{{"v1", [][2]int{{9, 9}}}}, nil},
		"no requests":                    {[]group{{"v1", [][2]int{{0, 0}, {0, 0}}}}, nil},
		"two of three fail: the worse":   {[]group{{"v1", [][2]int{{60, 0}, {20, 12}, {20, 17}}}}, []string{"v1-2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := &fleet.State{Upstreams: map[string][]fleet.Upstream{}}
			total := jdaw.Backlog{}
			for _, g := range c.groups {
				for i, n := range g.outcome {
					u := fleet.Upstream{ID: jdaw.UpstreamID(fmt.Sprintf("%s-%d", g.version, i)), Version: g.version}
					st.Upstreams["desk"] = append(st.Upstreams["desk"], u)
					total[u.ID.Key()] = jdaw.UpstreamLoad{Ended: uint32(n[0] * jdaw.OutcomeUnit), Failed: uint32(n[1] * jdaw.OutcomeUnit)}
				}
			}
			found := outliers(st, total)
			for _, id := range c.want {
				if !found[jdaw.UpstreamID(id).Key()] {
					t.Errorf("%s isn't an outlier", id)
				}
			}
			if len(found) != len(c.want) {
				t.Errorf("%d outliers, want %v", len(found), c.want)
			}
		})
	}
}
