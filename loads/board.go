package loads

import (
	"time"

	"jackdawbarrow"
)

// maxAge is the age at which a backlog no longer counts. Prompts wait for about
// a second at a busy upstream.
const maxAge = 1500 * time.Millisecond

// entry is the last backlog of a VM or of a data centre.
type entry struct {
	backlog jdaw.Backlog
	at      time.Time
}

// report is what a VM knows of others.
type report struct {
	others   jdaw.Backlog
	suspects map[jdaw.UpstreamKey]bool
	at       time.Time
}

// board is what a VM knows of others' backlogs as the hub of its data centre.
type board struct {
	vms     map[jdaw.VMID]entry       // of this data centre
	centres map[jdaw.DataCentre]entry // sums of the others
}

func newBoard() *board {
	return &board{vms: map[jdaw.VMID]entry{}, centres: map[jdaw.DataCentre]entry{}}
}

// vmSeen takes the backlog of a VM and returns what it is to know: everything
// but its own. own is the backlog of this VM.
func (b *board) vmSeen(at time.Time, vm jdaw.VMID, backlog, own jdaw.Backlog) jdaw.Backlog {
	b.vms[vm] = entry{backlog: backlog, at: at}
	total := b.sum(at, vm, true)
	add(total, own)
	return total
}

// centreSeen takes the sum of another data centre.
func (b *board) centreSeen(at time.Time, dc jdaw.DataCentre, backlog jdaw.Backlog) {
	b.centres[dc] = entry{backlog: backlog, at: at}
}

// own returns the sum of this data centre.
func (b *board) own(at time.Time, self jdaw.Backlog) jdaw.Backlog {
	total := b.sum(at, "", false)
	add(total, self)
	return total
}

// others returns what this VM knows of all others.
func (b *board) others(at time.Time) jdaw.Backlog { return b.sum(at, "", true) }

// sum adds the recent backlogs of all VMs but one, and drops old ones.
func (b *board) sum(at time.Time, but jdaw.VMID, withCentres bool) jdaw.Backlog {
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
