package jdaw

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre bounds the VMs that watch the configuration and read the
// VM list, so that the load on both services is independent of the VM count.
const watchersPerDataCentre = 2

// RendezvousWeight is the weight of vm for key in a rendezvous hash; the highest
// wins. All VMs must compute the same weights, so this is the only such hash.
func RendezvousWeight(key string, vm VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to the digest never fail and do not allocate.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Rendezvous returns the ids in the order of their rendezvous hash for key.
// When one id leaves, the order of the others does not change.
func Rendezvous(key string, vms []VMID) []VMID {
	type weighted struct {
		vm     VMID
		weight uint64
	}
	list := make([]weighted, 0, len(vms))
	for _, vm := range vms {
		list = append(list, weighted{vm: vm, weight: RendezvousWeight(key, vm)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].weight != list[j].weight {
			return list[i].weight > list[j].weight
		}
		return list[i].vm < list[j].vm
	})
	out := make([]VMID, 0, len(list))
	for _, h := range list {
		out = append(out, h.vm)
	}
	return out
}

// First returns the eligible member that is first by rendezvous hash for key, or
// false if there is none.
func (v View) First(key string, eligible func(m *Member) bool) (Member, bool) {
	best := -1
	highest := uint64(0)
	for i := range v.Members {
		m := &v.Members[i]
		if !eligible(m) {
			continue
		}
		weight := RendezvousWeight(key, m.VM)
		isTie := best >= 0 && weight == highest && m.VM < v.Members[best].VM
		if best < 0 || weight > highest || isTie {
			best, highest = i, weight
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return v.Members[best], true
}

// Watchers returns the VMs of the data centre that watch the configuration
// and read the VM list.
func (v View) Watchers(dc DataCentre) []VMID {
	var vms []VMID
	for _, m := range v.Members {
		if m.DataCentre == dc && m.IsServing() {
			vms = append(vms, m.VM)
		}
	}
	vms = Rendezvous("watcher", vms)
	if len(vms) > watchersPerDataCentre {
		vms = vms[:watchersPerDataCentre]
	}
	return vms
}

// IsWatcher reports whether this process is one of the watchers of its data
// centre.
func (v View) IsWatcher() bool {
	self, ok := v.Member(v.Self)
	if !ok {
		return false
	}
	for _, vm := range v.Watchers(self.DataCentre) {
		if vm == v.Self {
			return true
		}
	}
	return false
}
