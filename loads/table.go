package loads

import (
	"time"

	"jackdawbarrow"
)

// maxAge is the age from which a backlog is ignored. Prompts queue for about a
// second at a busy upstream.
const maxAge = 1500 * time.Millisecond

// entry is the latest backlog of a VM or data centre.
type entry struct {
	backlog jdaw.Backlog
	at      time.Time
}

// fleetReport is the pending work of other VMs, and the outliers.
type fleetReport struct {
	others   jdaw.Backlog
	outliers map[jdaw.UpstreamKey]bool
	at       time.Time
}

// table holds the backlogs that the aggregator of a data centre received.
type table struct {
	vms     map[jdaw.VMID]entry       // of this data centre
	centres map[jdaw.DataCentre]entry // sums of other data centres
}

func newTable() *table {
	return &table{vms: map[jdaw.VMID]entry{}, centres: map[jdaw.DataCentre]entry{}}
}

// updateVM stores the backlog of a VM and returns the sum of all others. own is
// the backlog of this VM.
func (b *table) updateVM(at time.Time, vm jdaw.VMID, backlog, own jdaw.Backlog) jdaw.Backlog {
	b.vms[vm] = entry{backlog: backlog, at: at}
	total := b.sum(at, vm, true)
	add(total, own)
	return total
}

// updateDataCentre stores the sum of another data centre.
func (b *table) updateDataCentre(at time.Time, dc jdaw.DataCentre, backlog jdaw.Backlog) {
	b.centres[dc] = entry{backlog: backlog, at: at}
}

// own returns the sum of this data centre.
func (b *table) own(at time.Time, self jdaw.Backlog) jdaw.Backlog {
	total := b.sum(at, "", false)
	add(total, self)
	return total
}

// others returns the sum of all other VMs.
func (b *table) others(at time.Time) jdaw.Backlog { return b.sum(at, "", true) }

// sum adds the backlogs of all VMs but one, and drops stale ones.
func (b *table) sum(at time.Time, but jdaw.VMID, withCentres bool) jdaw.Backlog {
	total := jdaw.Backlog{}
	for vm, e := range b.vms {
		if at.Sub(e.at) > maxAge {
			delete(b.vms, vm)
			continue
		}
		if vm != but {
			add(total, e.backlog)
		}
	}
	for dc, e := range b.centres {
		if at.Sub(e.at) > maxAge {
			delete(b.centres, dc)
			continue
		}
		if withCentres {
			add(total, e.backlog)
		}
	}
	return total
}

func add(total, backlog jdaw.Backlog) {
	for key, load := range backlog {
		total[key] = total[key].With(load)
	}
}
