package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

var now = time.Unix(1000, 0)

// testState has n upstreams of the service "drafts" and vms VMs.
func testState(n, vms int) *fleet.State {
	st := &fleet.State{
		Table: &config.RouteTable{Services: map[string]config.ServiceSpec{"drafts": {Name: "drafts", ColdRate: 7}}},
		Out:   map[jdaw.DataCentre]bool{}, Rollouts: map[string]fleet.Rollout{}, Baseline: map[string]string{"drafts": "v1"},
		Upstreams: map[string][]fleet.Upstream{},
	}
	for i := range n {
		st.Upstreams["drafts"] = append(st.Upstreams["drafts"], fleet.Upstream{
			ID: jdaw.UpstreamID(fmt.Sprintf("u%d", i)), Service: "drafts", Version: "v1", Slots: 8, DataCentre: "oban",
		})
	}
	for i := range vms {
		st.Members = append(st.Members, fleet.Member{VM: jdaw.VMID(fmt.Sprintf("vm%d", i))})
	}
	return st
}

var drafts = pickRequest{service: "drafts"}

// Guards against more requests to a cold upstream than its limit, summed over all
// VMs, which don't coordinate.
func TestColdRateHoldsOverAllVMs(t *testing.T) {
	for _, vms := range []int{1, 3, 8, 79} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			st := testState(1, vms)
			st.Upstreams["drafts"][0].ColdUntil = now.Add(time.Hour)
			var sent []time.Time
			pickers := make([]*picker, 0, vms)
			for _, vm := range st.VMs() {
				pickers = append(pickers, newPicker(vm, nil))
			}
			for d := time.Duration(0); d < 5*time.Second; d += 20 * time.Millisecond {
				for _, p := range pickers {
					if _, ok := p.pick(now.Add(d), st, drafts); ok {
						sent = append(sent, now.Add(d))
					}
				}
			}
			for i, from := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at.Sub(from) < time.Second {
						n++
					}
				}
				if n > 7 {
					t.Fatalf("%d requests in a second", n)
				}
			}
			if len(sent) < 15 {
				t.Errorf("%d requests in 5 s: the upstream's rate is not used", len(sent))
			}
		})
	}
}

// Guards against picking an upstream that must get no requests.
func TestUpstreamsWithoutNewWork(t *testing.T) {
	cases := map[string]func(st *fleet.State, p *picker){
		"leaving":         func(st *fleet.State, _ *picker) { st.Upstreams["drafts"][0].Leaving = true },
		"data centre out": func(st *fleet.State, _ *picker) { st.Out["oban"] = true },
		"other version": func(st *fleet.State, _ *picker) {
			st.Rollouts["drafts"] = fleet.Rollout{Service: "drafts", Version: "v1", State: fleet.RolloutRolledBack}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			st, p := testState(1, 1), newPicker("vm0", nil)
			if _, ok := p.pick(now, st, drafts); !ok {
				t.Fatal("the upstream got no request before the change")
			}
			change(st, p)
			if res, ok := p.pick(now, st, drafts); ok {
				t.Errorf("%s got a request", res.ID)
			}
		})
	}
}

// Guards against a failing upstream that isn't ejected, and against ejecting the
// last upstream.
func TestFailingUpstream(t *testing.T) {
	st, p := testState(2, 1), newPicker("vm0", nil)
	for range 40 {
		res, ok := p.pick(now, st, drafts)
		if !ok {
			t.Fatal("no upstream")
		}
		if res.ID == "u0" {
			res.release(now, outcomeFailed)
		} else {
			res.release(now, outcomeOK)
		}
	}
	failed := 0
	for range 40 {
		res, _ := p.pick(now, st, drafts)
		if res.ID == "u0" {
			failed++
		}
		res.release(now, outcomeOK)
	}
	if failed > 0 {
		t.Errorf("%d of 40 requests went to the failing upstream", failed)
	}
	st.Upstreams["drafts"] = st.Upstreams["drafts"][:1]
	if _, ok := p.pick(now, st, drafts); !ok {
		t.Error("the only upstream was ejected")
	}
}

// Guards against full load on an upstream that refused connections: it may have
// been restarted until its store entry shows otherwise.
func TestUnreachableUpstreamComesBackCold(t *testing.T) {
	st, p := testState(1, 1), newPicker("vm0", nil)
	res, _ := p.pick(now, st, drafts)
	res.release(now, outcomeUnreachable)
	got := 0
	for range 50 {
		if _, ok := p.pick(now.Add(2*time.Second), st, drafts); ok {
			got++
		}
	}
	if got > 7 {
		t.Errorf("%d requests at once after the return, want 7 at most", got)
	}
}

// Guards against all VMs picking the same upstream of a lightly loaded service
// for requests without a prompt.
func TestIdleUpstreamsShareRequests(t *testing.T) {
	st := testState(3, 8)
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[jdaw.UpstreamID]int{}
	for _, vm := range st.VMs() {
		p := newPicker(vm, nil)
		for range 100 {
			q := drafts
			q.salt = rng.Uint64()
			res, ok := p.pick(now, st, q)
			if !ok {
				t.Fatal("no upstream")
			}
			got[res.ID]++
			res.release(now, outcomeOK)
		}
	}
	for _, u := range st.Upstreams["drafts"] {
		if got[u.ID] < 200 || got[u.ID] > 340 {
			t.Errorf("%s gets %d of 800 requests, want about a third", u.ID, got[u.ID])
		}
	}
}

// backlogs is a fake of Backlogs.
type backlogs struct {
	others   jdaw.Backlog
	outliers map[jdaw.UpstreamKey]bool
}

func (b backlogs) Others() jdaw.Backlog                { return b.others }
func (b backlogs) Outliers() map[jdaw.UpstreamKey]bool { return b.outliers }

// Guards against prompts that queue at their affinity upstream while it is busy
// with other VMs' work, against prompts that leave it for a gain smaller than
// the cost to prefill the shared prefix again, and against plain requests that
// follow stale backlogs.
func TestBacklogsOfOtherVMs(t *testing.T) {
	st := testState(4, 1)
	prompt := pickRequest{service: "drafts", prefix: 77, work: promptWork{own: 500, shared: 10_000}}
	first, ok := newPicker("vm0", nil).pick(now, st, prompt)
	if !ok {
		t.Fatal("no upstream")
	}
	cases := map[string]struct {
		q           pickRequest
		pending     uint32
		hasAffinity bool
	}{
		"idle":                           {prompt, 0, true},
		"less than prefilling again":     {prompt, 9_000, true},
		"far more than prefilling again": {prompt, 60_000, false},
		"no prompt: own load only":       {pickRequest{service: "drafts", salt: 5}, 60_000, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPicker("vm0", backlogs{others: jdaw.Backlog{first.ID.Key(): {Tokens: c.pending}}})
			if c.q.prefix == 0 {
				// Without the others' backlogs the pick is the same.
				want, _ := newPicker("vm0", nil).pick(now, st, c.q)
				if got, _ := p.pick(now, st, c.q); got.ID != want.ID {
					t.Errorf("picked %s, want %s", got.ID, want.ID)
				}
				return
			}
			if got, _ := p.pick(now, st, c.q); (got.ID == first.ID) != c.hasAffinity {
				t.Errorf("picked %s, want affinity upstream %s", got.ID, first.ID)
			}
		})
	}
}

// Guards against reporting finished work to other VMs, or not reporting pending work.
func TestBacklogOfThisVM(t *testing.T) {
	st, p := testState(1, 1), newPicker("vm0", nil)
	key := st.Upstreams["drafts"][0].ID.Key()
	check := func(what string, want uint32) {
		t.Helper()
		if got := p.backlog(now)[key].Tokens; got != want {
			t.Errorf("%s: %d tokens, want %d", what, got, want)
		}
	}
	check("idle", 0)
	a, _ := p.pick(now, st, pickRequest{service: "drafts", prefix: 1, work: promptWork{own: 500, shared: 9000}})
	b, _ := p.pick(now, st, pickRequest{service: "drafts", prefix: 2, work: promptWork{own: 700}})
	check("two prompts pending", 500+700+2*runningTokens)
	a.started()
	check("one is prefilled", 700+2*runningTokens)
	a.release(now, outcomeOK)
	check("one is done", 700+runningTokens)
	b.release(now, outcomeFailed)
	check("both are done", 0)
}

// Guards against picking a replaced upstream again and again because it looks
// idle, while the upstream now at its address rejects the requests.
func TestReplacedUpstream(t *testing.T) {
	st, p := testState(1, 1), newPicker("vm0", nil)
	res, _ := p.pick(now, st, drafts)
	res.release(now, outcomeReplaced)
	if _, ok := p.pick(now.Add(replacedTime/2), st, drafts); ok {
		t.Error("the replaced upstream got a request")
	}
	if _, ok := p.pick(now.Add(replacedTime), st, drafts); !ok {
		t.Error("the upstream gets nothing for good")
	}
}

// Guards against picking an outlier, and against rejecting all requests if all
// upstreams of a service are outliers.
func TestSuspectsGetRequestsAsALastResort(t *testing.T) {
	cases := map[string]struct {
		outliers []int
		want     []int // upstreams that get requests
	}{
		"none": {nil, []int{0, 1, 2}},
		"one":  {[]int{1}, []int{0, 2}},
		"all":  {[]int{0, 1, 2}, []int{0, 1, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := testState(3, 1)
			known := backlogs{outliers: map[jdaw.UpstreamKey]bool{}}
			for _, i := range c.outliers {
				known.outliers[st.Upstreams["drafts"][i].ID.Key()] = true
			}
			p := newPicker("vm0", known)
			got := map[jdaw.UpstreamID]bool{}
			for salt := range uint64(100) {
				q := drafts
				q.salt = salt * 0x9E3779B97F4A7C15
				res, ok := p.pick(now, st, q)
				if !ok {
					t.Fatal("no upstream")
				}
				got[res.ID] = true
				res.release(now, outcomeOK)
			}
			for i, u := range st.Upstreams["drafts"] {
				if want := slices.Contains(c.want, i); got[u.ID] != want {
					t.Errorf("%s got requests: %t, want %t", u.ID, got[u.ID], want)
				}
			}
		})
	}
}

// Guards against outcomes that aren't reported to other VMs or never decay, and
// against rejections by a full upstream that count as failures.
func TestOutcomesAreTold(t *testing.T) {
	st := testState(1, 1)
	key := st.Upstreams["drafts"][0].ID.Key()
	cases := map[string]struct {
		outcomes []outcome
		after    time.Duration
		want     jdaw.UpstreamLoad
	}{
		"one of each":     {[]outcome{outcomeOK, outcomeFailed, outcomeUnreachable, outcomeShed, outcomeNeutral}, 0, jdaw.UpstreamLoad{Ended: 48, Failed: 32}},
		"half a life":     {[]outcome{outcomeFailed}, outcomeDecay, jdaw.UpstreamLoad{Ended: 5, Failed: 5}},
		"long ago":        {[]outcome{outcomeFailed}, 4 * outcomeDecay, jdaw.UpstreamLoad{}},
		"nothing to tell": {nil, 0, jdaw.UpstreamLoad{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPicker("vm0", nil)
			for _, o := range c.outcomes {
				res, ok := p.pick(now.Add(-time.Hour), st, drafts)
				if !ok {
					t.Fatal("no upstream")
				}
				res.release(now, o)
			}
			if got := p.backlog(now.Add(c.after))[key]; got != c.want {
				t.Errorf("told %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against decisions by the state of an upstream that has been replaced: a
// request with the membership from before a restart replaces the state again, and the
// requests in flight no longer counted.
func TestStateReplacedByOlderMembership(t *testing.T) {
	before, after := testState(1, 1), testState(1, 1)
	after.Upstreams["drafts"][0].Born = 1
	p := newPicker("vm0", nil)
	if _, ok := p.pick(now, after, drafts); !ok {
		t.Fatal("no upstream")
	}
	p.room(now, before, "drafts")
	limit := after.Upstreams["drafts"][0].Slots * queueFactor
	for n := 1; n <= limit; n++ {
		if _, ok := p.pick(now, after, drafts); ok != (n < limit) {
			t.Fatalf("with %d requests in flight of at most %d, another one is sent: %v", n, limit, ok)
		}
	}
}
