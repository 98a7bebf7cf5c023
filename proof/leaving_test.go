package proof

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/peers"
)

// leavingBound is the time after which a leaving upstream gets no new work.
const leavingBound = 3 * time.Second

// listLag is the lag of the VM list in TestInvariantLeavingUpstream.
const listLag = time.Second

// departure is a way in which an upstream leaves and comes back.
type departure struct {
	name  string
	leave func(s *system, engines []int)
	back  func(s *system, engines []int)
	lag   time.Duration // until it can be known at all
}

var departures = []departure{
	{
		name: "the upstream reports it",
		leave: func(s *system, engines []int) {
			for _, i := range engines {
				s.fault(s.engines[i], fakes.EngineFault{ReportLeaving: true})
			}
		},
		back: func(s *system, engines []int) {
			for _, i := range engines {
				s.fault(s.engines[i], fakes.EngineFault{})
			}
		},
	},
	{
		name: "the VM list shows it", lag: listLag,
		leave: func(s *system, engines []int) { s.listUpstreams(engines, true) },
		back:  func(s *system, engines []int) { s.listUpstreams(engines, false) },
	},
	{
		name:  "the operator drains it",
		leave: func(s *system, engines []int) { s.drainUpstreams(engines, config.OpDrainUpstream) },
		back:  func(s *system, engines []int) { s.drainUpstreams(engines, config.OpUndrainUpstream) },
	},
}

func (s *system) listUpstreams(engines []int, leaving bool) {
	var change fakes.VMListChange
	for _, i := range engines {
		change.Upstreams = append(change.Upstreams, peers.ListedUpstream{Address: s.engines[i].url(0), Leaving: leaving})
	}
	s.listVMs(change)
}

func (s *system) drainUpstreams(engines []int, kind config.OpKind) {
	s.t.Helper()
	var ops []config.Op
	for _, i := range engines {
		ops = append(ops, config.Op{Kind: kind, Name: string(s.document.Upstreams[i].ID)})
	}
	if _, err := s.change(s.vms[0], ops...); err != nil {
		s.t.Fatal(err)
	}
}

// Guards against work that goes on at an upstream that is about to end: the
// word of the upstream, of the VM list or of the operator that does not reach
// the owner, and an owner that was paused meanwhile and grants from memory.
func TestInvariantLeavingUpstream(t *testing.T) {
	const pools, perPool = 8, 5
	s := start(t, options{shape: manyPools(pools, perPool), firstToken: 20 * time.Millisecond, perToken: 10 * time.Millisecond, tokens: 6})
	lag := int(listLag / time.Millisecond)
	s.listVMs(fakes.VMListChange{LagMillis: &lag})
	l := startLoad(s.fixedCallers(4, s.vms), s.stream("scoring", s.opts.shape.Models[0].Name))
	rng := rand.New(rand.NewPCG(*seed, 0))
	time.Sleep(2 * time.Second)

	for left := 0; left < len(departures)*times(20); {
		engines := rng.Perm(len(s.engines))[:30] // the others take the load
		s.depart(engines, nil)
		left += len(engines)
	}
	for left := 0; left < times(20); {
		frozen, engines := s.ownersToFreeze(rng, pools, perPool)
		s.depart(engines, frozen)
		left += len(engines)
	}

	calls := l.stop()
	t.Logf("%d requests, without an answer: %v", len(calls), failures(calls))
}

// ownersToFreeze returns the three VMs but the first one that own most pools,
// and three engines of each of their pools.
func (s *system) ownersToFreeze(rng *rand.Rand, pools, perPool int) ([]*vm, []int) {
	owned := map[jdaw.VMID][]int{}
	owners := s.owners(s.vms[0])
	for dc := range pools {
		pool := s.document.Upstreams[dc].Pool()
		owned[owners[pool.String()]] = append(owned[owners[pool.String()]], dc)
	}
	candidates := append([]*vm(nil), s.vms[1:]...)
	sort.SliceStable(candidates, func(i, j int) bool { return len(owned[candidates[i].id]) > len(owned[candidates[j].id]) })
	frozen := candidates[:3]
	var engines []int
	for _, v := range frozen {
		for _, dc := range owned[v.id] {
			for _, n := range rng.Perm(perPool)[:3] {
				engines = append(engines, dc+n*pools)
			}
		}
	}
	return frozen, engines
}

// frozenFor is longer than a change of owner, so that the next owner grants
// while the frozen ones are still paused.
const frozenFor = 6 * time.Second

// depart lets the engines leave, in the three ways in turn, checks that they
// get no new work after the bound, and brings them back. The VMs in frozen are
// paused before and go on afterwards.
func (s *system) depart(engines []int, frozen []*vm) {
	s.t.Helper()
	before := time.Now()
	time.Sleep(time.Second)
	for _, v := range frozen {
		v.freeze()
	}
	left := make([]time.Time, len(departures))
	for n, d := range departures {
		left[n] = time.Now()
		d.leave(s, everyThird(engines, n))
	}
	time.Sleep(time.Until(left[len(left)-1].Add(listLag + leavingBound)))
	if len(frozen) > 0 {
		time.Sleep(time.Until(left[0].Add(frozenFor)))
		for _, v := range frozen {
			v.thaw()
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	back := time.Now()
	for n, d := range departures {
		s.checkLeft(d, everyThird(engines, n), len(frozen), before, left[n], back)
		d.back(s, everyThird(engines, n))
	}
	time.Sleep(2200*time.Millisecond + listLag) // until the owners know
}

func everyThird(engines []int, from int) []int {
	var out []int
	for i := from; i < len(engines); i += len(departures) {
		out = append(out, engines[i])
	}
	return out
}

// checkLeft reads from the engines' logs that none started new work between
// the bound and its return, and that it had work before it left.
func (s *system) checkLeft(d departure, engines []int, frozen int, before, left, back time.Time) {
	s.t.Helper()
	bound := left.Add(d.lag + leavingBound)
	busy, last := 0, time.Duration(0)
	for _, i := range engines {
		worked := false
		for _, r := range s.runsOf(s.engines[i]) {
			switch {
			case r.At.After(bound) && r.At.Before(back):
				s.t.Errorf("%s, %d VMs frozen: engine %d got request %s %s after it", d.name, frozen, i, r.RequestID, r.At.Sub(left))
			case r.At.After(left) && r.At.Before(bound):
				last = max(last, r.At.Sub(left))
			case r.At.After(before) && r.At.Before(left):
				worked = true
			}
		}
		if worked {
			busy++
		}
	}
	s.t.Logf("%s, %d VMs frozen: %d engines left, %d of them at work; last new work after %s", d.name, frozen, len(engines), busy, last)
	if busy == 0 {
		s.t.Errorf("%s: no engine that left was at work", d.name)
	}
}
