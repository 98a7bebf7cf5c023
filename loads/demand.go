package loads

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

// maxDemands is the number of workspaces in a message, those with the largest demand.
// The others count in the total of their service only.
const maxDemands = 64

// demandEntry is the latest demand of a VM or data centre.
type demandEntry struct {
	demand jdaw.Demand
	at     time.Time
}

// demandTable holds the demand of workspaces that other VMs reported. It is safe for
// concurrent use.
type demandTable struct {
	self jdaw.DataCentre
	own  func() jdaw.Demand

	mu      sync.Mutex
	vms     map[jdaw.VMID]demandEntry
	centres map[jdaw.DataCentre]demandEntry

	others atomic.Pointer[demandEntry] // of all other VMs
}

func newDemandTable(self jdaw.DataCentre, own func() jdaw.Demand) *demandTable {
	if own == nil {
		own = func() jdaw.Demand { return nil }
	}
	return &demandTable{self: self, own: own, vms: map[jdaw.VMID]demandEntry{}, centres: map[jdaw.DataCentre]demandEntry{}}
}

// OthersDemand returns the demand of all other VMs, or nil if the last report is stale.
func (n *Node) OthersDemand() jdaw.Demand {
	if e := n.demands.others.Load(); e != nil && time.Since(e.at) <= maxAge {
		return e.demand
	}
	return nil
}

// outgoing returns the demand for an aggregator: that of this VM, or of its data
// centre for the aggregator of another one.
func (b *demandTable) outgoing(at time.Time, to jdaw.DataCentre) *wire.WorkspaceDemand {
	if to == b.self {
		return encodeDemand(b.own())
	}
	return encodeDemand(b.sum(at, "", false))
}

// answered stores the demand in the reply of an aggregator.
func (b *demandTable) answered(at time.Time, from jdaw.DataCentre, w *wire.WorkspaceDemand) {
	e := demandEntry{demand: decodeDemand(w), at: at}
	if from == b.self {
		b.others.Store(&e)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.centres[from] = e
}

// received stores the demand in a request and returns that for the reply: of all
// other VMs, or of this data centre for the aggregator of another one.
func (b *demandTable) received(at time.Time, q *wire.ExchangeBacklogRequest) *wire.WorkspaceDemand {
	vm, dc := jdaw.VMID(q.GetVm()), jdaw.DataCentre(q.GetDataCentre())
	e := demandEntry{demand: decodeDemand(q.GetDemand()), at: at}
	b.mu.Lock()
	if dc == b.self {
		b.vms[vm] = e
	} else {
		b.centres[dc] = e
	}
	b.mu.Unlock()
	if dc == b.self {
		return encodeDemand(b.sum(at, vm, true))
	}
	return encodeDemand(b.sum(at, "", false))
}

// summed stores the demand of all other VMs as known to this aggregator.
func (b *demandTable) summed(at time.Time) {
	total := b.reported(at, "", true)
	b.others.Store(&demandEntry{demand: total, at: at})
}

// sum returns the demand of this VM and of all others but one.
func (b *demandTable) sum(at time.Time, but jdaw.VMID, withCentres bool) jdaw.Demand {
	total := b.reported(at, but, withCentres)
	addDemand(total, b.own())
	return total
}

// reported returns the demand of all VMs but this one and but, and drops stale reports.
func (b *demandTable) reported(at time.Time, but jdaw.VMID, withCentres bool) jdaw.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := jdaw.Demand{}
	for vm, e := range b.vms {
		switch {
		case at.Sub(e.at) > maxAge:
			delete(b.vms, vm)
		case vm != but:
			addDemand(total, e.demand)
		}
	}
	for dc, e := range b.centres {
		switch {
		case at.Sub(e.at) > maxAge:
			delete(b.centres, dc)
		case withCentres:
			addDemand(total, e.demand)
		}
	}
	return total
}

func addDemand(total, d jdaw.Demand) {
	for key, u := range d {
		total[key] = total[key].With(u)
	}
}

// encodeDemand encodes the totals of services and the largest demands; nil if there
// is none.
func encodeDemand(d jdaw.Demand) *wire.WorkspaceDemand {
	if len(d) == 0 {
		return nil
	}
	keys := make([]jdaw.DemandKey, 0, len(d))
	for key := range d {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b jdaw.DemandKey) int {
		switch {
		case a.IsTotal() != b.IsTotal():
			if a.IsTotal() {
				return -1
			}
			return 1
		case d[a].Asked != d[b].Asked:
			if d[a].Asked > d[b].Asked {
				return -1
			}
			return 1
		}
		return int(int64(a) - int64(b))
	})
	keys = keys[:min(len(keys), maxDemands)]
	w := &wire.WorkspaceDemand{
		Keys: make([]uint32, 0, len(keys)), Asked: make([]uint32, 0, len(keys)), Served: make([]uint32, 0, len(keys)),
	}
	for _, key := range keys {
		w.Keys = append(w.Keys, uint32(key))
		w.Asked = append(w.Asked, d[key].Asked)
		w.Served = append(w.Served, d[key].Served)
	}
	return w
}

// decodeDemand reads no more than a VM sends. Values missing at the end of a list
// are 0.
func decodeDemand(w *wire.WorkspaceDemand) jdaw.Demand {
	keys := w.GetKeys()
	d := make(jdaw.Demand, min(len(keys), maxDemands))
	for i, key := range keys[:min(len(keys), maxDemands)] {
		u := jdaw.WorkspaceUse{}
		if i < len(w.GetAsked()) {
			u.Asked = w.GetAsked()[i]
		}
		if i < len(w.GetServed()) {
			u.Served = w.GetServed()[i]
		}
		d[jdaw.DemandKey(key)] = u
	}
	return d
}
