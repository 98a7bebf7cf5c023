package fleet

import (
	"fmt"
	"testing"

	"jackdawbarrow"
)

func members(n int, dc jdaw.DataCentre) []Member {
	var list []Member
	for i := range n {
		vm := jdaw.VMID(fmt.Sprintf("%s%d", dc, i))
		list = append(list, Member{VM: vm, DataCentre: dc, Peers: string(vm) + ":7400"})
	}
	return list
}

// Guards against store calls that grow with the number of VMs, against a VM
// without a feeder or with one in another data centre, and against a VM
// without changes when its feeders fail.
func TestSource(t *testing.T) {
	evaluating := map[string]Rollout{"s": {State: RolloutRunning, IsEvaluator: true}}
	never := func(jdaw.VMID) bool { return false }
	always := func(jdaw.VMID) bool { return true }
	cases := map[string]struct {
		st        *State
		isAvoided func(jdaw.VMID) bool
		readers   int // VMs of largs that read the store
	}{
		"a small data centre":       {&State{Members: members(minVMsForFeeders-1, "largs")}, never, minVMsForFeeders - 1},
		"a large one":               {&State{Members: append(members(26, "largs"), members(26, "oban")...)}, never, 2},
		"a far larger one":          {&State{Members: members(130, "largs")}, never, 9},
		"no feeder responds":        {&State{Members: members(26, "largs")}, always, 26},
		"evaluators read the store": {&State{Members: members(26, "largs"), Rollouts: evaluating}, never, 26},
		"VMs that do not feed":      {&State{Members: []Member{{VM: "largs0", DataCentre: "largs"}}}, never, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			readers := 0
			load := map[jdaw.VMID]int{}
			for _, self := range c.st.Members {
				if self.DataCentre != "largs" {
					continue
				}
				feeder, isFed := c.st.source(self, c.isAvoided)
				if !isFed {
					readers++
					continue
				}
				if feeder.DataCentre != "largs" || !c.st.isFeeder(feeder) || feeder.VM == self.VM {
					t.Errorf("%s is fed by %+v", self.VM, feeder)
				}
				load[feeder.VM]++
			}
			if readers != c.readers {
				t.Errorf("%d VMs read the store, want %d", readers, c.readers)
			}
			for vm, n := range load {
				if n > 2*vmsPerFeeder {
					t.Errorf("%s feeds %d VMs", vm, n)
				}
			}
		})
	}
}
