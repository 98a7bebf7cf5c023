package loads

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
	"jackdawbarrow/wire"
)

// testVM is a VM with a backlog that the test sets.
type testVM struct {
	node   *Node
	own    atomic.Pointer[jdaw.Backlog]
	demand atomic.Pointer[jdaw.Demand]
	stored atomic.Int32 // quarantines to be written
	srv    *grpc.Server
}

// startVMs starts VMs that know each other, some in each data centre, and a
// service of three upstreams.
func startVMs(t *testing.T, perCentre map[jdaw.DataCentre]int) (map[jdaw.VMID]*testVM, *fleet.State) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	st := &fleet.State{Upstreams: map[string][]fleet.Upstream{"desk": {{ID: "u0"}, {ID: "u1"}, {ID: "u2"}}}}
	listeners := map[jdaw.VMID]net.Listener{}
	for dc, n := range perCentre {
		for i := range n {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			vm := jdaw.VMID(fmt.Sprintf("%s%d", dc, i))
			listeners[vm] = l
			st.Members = append(st.Members, fleet.Member{VM: vm, DataCentre: dc, Peers: l.Addr().String()})
		}
	}
	vms := map[jdaw.VMID]*testVM{}
	for _, m := range st.Members {
		v := &testVM{srv: grpc.NewServer()}
		v.own.Store(&jdaw.Backlog{})
		v.demand.Store(&jdaw.Demand{})
		v.node = New(Config{
			Self: m, State: func() *fleet.State { return st }, Own: func() jdaw.Backlog { return *v.own.Load() },
			Demand:     func() jdaw.Demand { return *v.demand.Load() },
			Quarantine: func(jdaw.Quarantine) { v.stored.Add(1) }, Log: log,
		})
		wire.RegisterLoadsServer(v.srv, v.node)
		l := listeners[m.VM]
		go func() { _ = v.srv.Serve(l) }() // ends with Stop
		t.Cleanup(func() {
			v.srv.Stop()
			v.node.Close()
		})
		vms[m.VM] = v
	}
	return vms, st
}

// sees waits until a VM has reports of this much work of others at an upstream.
func (v *testVM) sees(t *testing.T, vm jdaw.VMID, key jdaw.UpstreamKey, want uint32) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); v.node.Others()[key].Tokens != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s has the backlogs %v of others, want %d tokens at %d", vm, v.node.Others(), want, key)
		}
	}
}

// Guards against work that isn't reported to every VM of all data centres, and
// against an aggregator crash that stops the reports.
func TestBacklogReachesAllVMs(t *testing.T) {
	vms, st := startVMs(t, map[jdaw.DataCentre]int{"largs": 3, "oban": 3, "stranraer": 2})
	total := uint32(0)
	own := map[jdaw.VMID]uint32{}
	for i, m := range st.Members {
		own[m.VM] = uint32(1) << i
		total += own[m.VM]
		vms[m.VM].own.Store(&jdaw.Backlog{9: {Tokens: own[m.VM]}})
	}
	for vm, v := range vms {
		v.sees(t, vm, 9, total-own[vm])
	}

	aggregators, _ := aggregatorsOf(st, func(jdaw.VMID) bool { return false })
	dead := aggregators["oban"].VM
	vms[dead].srv.Stop()
	vms[dead].node.Close()
	for vm, v := range vms {
		if vm != dead {
			v.sees(t, vm, 9, total-own[vm]-own[dead])
		}
	}
}

// Guards against missing an outlier because each VM alone sees too few of its
// failures: five VMs in two data centres have one failure each.
func TestFailuresOfAllVMsMakeASuspect(t *testing.T) {
	vms, _ := startVMs(t, map[jdaw.DataCentre]int{"largs": 3, "oban": 2})
	bad, good := jdaw.UpstreamID("u0").Key(), jdaw.UpstreamID("u1").Key()
	for _, v := range vms {
		v.own.Store(&jdaw.Backlog{
			bad:  {Ended: jdaw.OutcomeUnit, Failed: jdaw.OutcomeUnit},
			good: {Ended: jdaw.OutcomeUnit},
		})
	}
	for vm, v := range vms {
		for end := time.Now().Add(10 * time.Second); !v.node.IsOutlier(bad); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s doesn't report the upstream as an outlier", vm)
			}
		}
		if v.node.IsOutlier(good) {
			t.Errorf("%s reports an upstream without failures as an outlier", vm)
		}
	}
}

// Guards against a malformed message that panics or is accepted.
func TestMalformedBacklog(t *testing.T) {
	vms, _ := startVMs(t, map[jdaw.DataCentre]int{"oban": 1})
	for name, q := range map[string]*wire.ExchangeBacklogRequest{
		"empty":           {},
		"no VM":           {Own: &wire.Backlog{Upstreams: []uint32{1}, Tokens: []uint32{1}}},
		"missing figures": {Vm: "x", Own: &wire.Backlog{Upstreams: []uint32{1, 2}, Tokens: []uint32{1}}},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := vms["oban0"].node.ExchangeBacklog(context.Background(), q); err == nil {
				t.Error("no error")
			}
		})
	}
}

// Guards against a message rate of an aggregator that grows with the number of VMs.
func TestPeriodGrowsWithTheDataCentre(t *testing.T) {
	for _, n := range []int{1, 8, 26, 80} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if calls := float64(n) / periodOf(n).Seconds(); calls > 81 {
				t.Errorf("the aggregator of %d VMs gets %.0f calls per second, want 81 at most", n, calls)
			}
		})
	}
}

// Guards against crashes that VMs of several data centres see one at a time, so
// that none of them learns which prompt part causes them, and against a decision
// that doesn't reach all VMs or the store.
func TestCrashesSeenByDifferentVMsMeet(t *testing.T) {
	vms, _ := startVMs(t, map[jdaw.DataCentre]int{"largs": 3, "oban": 3, "stranraer": 2})
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms-1000) * time.Millisecond) }
	for i, vm := range []jdaw.VMID{"largs0", "oban1", "stranraer1", "oban2"} {
		vms[vm].node.cfg.Poison.Crashed(time.Now(), jdaw.Crash{
			Process: uint64(i), Request: uint64(i), Service: "desk", Sent: at(200*i + 50), Ended: at(200*i + 200),
			Parts: []jdaw.SuspectPart{jdaw.NewSuspectPart("desk", "team"), jdaw.NewSuspectPart("desk", "bad")},
		})
	}
	// The service goes on answering: an aggregator that missed a call is not called
	// for 3 s, and hears of later answers only.
	answer := func() { vms["largs2"].node.cfg.Poison.Answered(time.Now(), "desk", []string{"team"}) }
	answer()
	for vm, v := range vms {
		isQuarantined := func(part string) bool {
			_, ok := v.node.cfg.Poison.Find(time.Now(), "desk", []string{part})
			return ok
		}
		for end := time.Now().Add(10 * time.Second); !isQuarantined("bad"); time.Sleep(5 * time.Millisecond) {
			answer()
			if time.Now().After(end) {
				t.Fatalf("%s doesn't know the quarantine", vm)
			}
		}
		if isQuarantined("team") {
			t.Errorf("%s quarantines a part that was answered", vm)
		}
	}
	written := int32(0)
	for _, v := range vms {
		written += v.stored.Load()
	}
	if written == 0 {
		t.Error("no VM wrote the quarantine")
	}
}

// Guards against evidence that other VMs cannot read, or that is malformed.
func TestEvidenceOnTheWire(t *testing.T) {
	now := time.Now()
	part := jdaw.NewSuspectPart("desk", "bad")
	sent := jdaw.CrashEvidence{
		Crashes:  []jdaw.Crash{{Process: 1, Request: 2, Service: "desk", Sent: now.Add(-2 * time.Second), Ended: now.Add(-time.Second), Parts: []jdaw.SuspectPart{part}}},
		Answered: map[jdaw.PromptPartKey]time.Time{3: now.Add(-500 * time.Millisecond)},
	}
	w := encodeEvidence(now, sent)
	if got := decodeEvidence(now, w); !reflect.DeepEqual(got, sent) {
		t.Errorf("decoded %+v, sent %+v", got, sent)
	}
	odd := &wire.CrashEvidence{
		Crashes:  []*wire.Crash{{Parts: []uint64{1, 2}, PartIds: []string{"a"}}, {}, nil, {Parts: make([]uint64, 1000), PartIds: make([]string, 1000)}},
		Answered: []uint64{1, 2}, AnsweredAgeMs: []uint32{1},
	}
	if got := decodeEvidence(now, odd); len(got.Crashes)+len(got.Answered) != 0 {
		t.Errorf("malformed evidence is read as %+v", got)
	}
	old := decodeEvidence(now, &wire.CrashEvidence{Answered: []uint64{1}, AnsweredAgeMs: []uint32{math.MaxUint32}})
	if age := now.Sub(old.Answered[1]); age != maxEvidenceAge {
		t.Errorf("an age of 50 days is read as %s", age)
	}
}
