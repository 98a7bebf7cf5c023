package loads

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

// demandOf returns the demand of n workspaces with their total; larger numbers ask
// for more.
func demandOf(n int) jdaw.Demand {
	d := jdaw.Demand{}
	total := uint32(0)
	for i := range n {
		asked := uint32(1000 + i)
		d[jdaw.NewDemandKey("desk", jdaw.WorkspaceID(fmt.Sprint("w", i)))] = jdaw.WorkspaceUse{Asked: asked, Served: asked / 2}
		total += asked
	}
	d[jdaw.TotalDemandKey("desk")] = jdaw.WorkspaceUse{Asked: total, Served: total / 2}
	return d
}

// Guards against messages that grow with the workspaces, that leave out the largest
// or the total, and that are sent where there is no demand.
func TestDemandOnTheWire(t *testing.T) {
	cases := map[string]struct{ workspaces, keys, bytes int }{
		"24 workspaces":    {24, 25, 300},
		"2,000 workspaces": {2000, maxDemands, 700},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := demandOf(c.workspaces)
			w := encodeDemand(d)
			size := proto.Size(w)
			t.Logf("%d bytes", size)
			if len(w.GetKeys()) != c.keys || size > c.bytes {
				t.Errorf("%d keys in %d bytes, want %d in %d", len(w.GetKeys()), size, c.keys, c.bytes)
			}
			got := decodeDemand(w)
			if total := jdaw.TotalDemandKey("desk"); got[total] != d[total] {
				t.Errorf("total %v, want %v", got[total], d[total])
			}
			largest := jdaw.NewDemandKey("desk", jdaw.WorkspaceID(fmt.Sprint("w", c.workspaces-1)))
			if got[largest] != d[largest] {
				t.Errorf("largest %v, want %v", got[largest], d[largest])
			}
		})
	}
	if w := encodeDemand(jdaw.Demand{}); w != nil {
		t.Errorf("%v is sent without demand", w)
	}
	cut := &wire.WorkspaceDemand{Keys: make([]uint32, 10_000), Asked: []uint32{1}}
	for i := range cut.Keys {
		cut.Keys[i] = uint32(i)
	}
	if got := decodeDemand(cut); len(got) > maxDemands {
		t.Errorf("%d keys are read", len(got))
	}
}

// Guards against demand that doesn't reach the VMs of all data centres, is counted
// twice, or stays after its VM fell silent.
func TestDemandTable(t *testing.T) {
	key := jdaw.NewDemandKey("desk", "w")
	ask := func(n uint32) func() jdaw.Demand {
		return func() jdaw.Demand { return jdaw.Demand{key: {Asked: n}} }
	}
	now := time.Now()
	hub, remote := newDemandTable("largs", ask(1)), newDemandTable("oban", ask(100))
	from := func(vm string, dc string, w *wire.WorkspaceDemand) *wire.ExchangeBacklogRequest {
		return &wire.ExchangeBacklogRequest{Vm: vm, DataCentre: dc, Demand: w}
	}
	hub.received(now, from("a", "largs", encodeDemand(ask(10)())))
	remote.received(now, from("hub", "largs", hub.outgoing(now, "oban")))
	hub.answered(now, "oban", remote.received(now, from("hub", "largs", hub.outgoing(now, "oban"))))
	want := func(name string, d jdaw.Demand, asked uint32) {
		t.Helper()
		if d[key].Asked != asked {
			t.Errorf("%s: %d ms are asked for elsewhere, want %d", name, d[key].Asked, asked)
		}
	}
	want("a VM of the data centre", decodeDemand(hub.received(now, from("b", "largs", nil))), 111)
	want("the VM itself", decodeDemand(hub.received(now, from("a", "largs", encodeDemand(ask(10)())))), 101)
	hub.summed(now)
	want("the aggregator", hub.others.Load().demand, 110)
	remote.summed(now)
	want("the other aggregator", remote.others.Load().demand, 11)
	hub.summed(now.Add(2 * maxAge))
	want("after silence", hub.others.Load().demand, 0)
}

// Guards against demand that is dropped on its way between processes.
func TestDemandReachesAllVMs(t *testing.T) {
	vms, _ := startVMs(t, map[jdaw.DataCentre]int{"largs": 2, "oban": 2})
	key := jdaw.NewDemandKey("desk", "w")
	for _, v := range vms {
		v.demand.Store(&jdaw.Demand{key: {Asked: 5}})
	}
	for vm, v := range vms {
		for end := time.Now().Add(10 * time.Second); v.node.OthersDemand()[key].Asked != 15; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s has %v", vm, v.node.OthersDemand())
			}
		}
	}
}
