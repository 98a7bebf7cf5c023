package ledger

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Guards against VMs that seal the journals of a region that is only cut off,
// which gave every VM of it a new incarnation, and against a region that is
// really lost and never billed.
func TestLostRegions(t *testing.T) {
	epoch := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	member := func(vm jdaw.VMID, region jdaw.Region, s jdaw.MemberState) jdaw.Member {
		return jdaw.Member{VM: vm, Region: region, State: s}
	}
	snap := config.NewSnapshot(config.Document{DataCentres: []config.DataCentre{{Name: "dc1", Region: "north"}, {Name: "dc2", Region: "south"}}}, nil)
	type step struct {
		after   time.Duration
		members []jdaw.Member
		snap    *config.Snapshot
	}
	self := member("a", "north", jdaw.MemberAlive)
	tests := map[string]struct {
		steps []step
		want  bool // south is taken for cut off
	}{
		"a live member": {[]step{{0, []jdaw.Member{self, member("b", "south", jdaw.MemberAlive)}, nil}}, false},
		"one of two is dead": {[]step{{0, []jdaw.Member{
			self, member("b", "south", jdaw.MemberDead), member("c", "south", jdaw.MemberSuspect),
		}, nil}}, false},
		"all are dead": {[]step{{0, []jdaw.Member{self, member("b", "south", jdaw.MemberDead)}, nil}}, true},
		"the dead have left the table": {[]step{
			{0, []jdaw.Member{self, member("b", "south", jdaw.MemberDead)}, nil},
			{10 * time.Minute, []jdaw.Member{self}, nil},
		}, true},
		"a VM that starts during the cut": {[]step{{0, []jdaw.Member{self}, snap}}, true},
		"all are dead for a long time": {[]step{
			{0, []jdaw.Member{self, member("b", "south", jdaw.MemberDead)}, snap},
			{16 * time.Minute, []jdaw.Member{self}, snap},
		}, false},
		"the region is back": {[]step{
			{0, []jdaw.Member{self, member("b", "south", jdaw.MemberDead)}, nil},
			{time.Minute, []jdaw.Member{self, member("b", "south", jdaw.MemberAlive)}, nil},
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			lost, now := lostRegions{}, epoch
			for _, s := range tt.steps {
				now = epoch.Add(s.after)
				lost.update(&jdaw.View{Self: "a", Members: s.members}, s.snap, now)
			}
			if got := lost.isCutOff("south", now); got != tt.want {
				t.Errorf("south is cut off: %v, want %v", got, tt.want)
			}
			if lost.isCutOff("north", now) {
				t.Error("the own region is taken for cut off")
			}
		})
	}
}
