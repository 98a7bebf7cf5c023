package jdaw

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre bounds the VMs that watch the configuration and read
// the VM list, so that the load on both services does not grow with the VMs.
const watchersPerDataCentre = 2

// Rendezvous returns the ids in the order of their rendezvous hash for key.
// When one id leaves, the order of the others does not change.
func Rendezvous(key string, vms []VMID) []VMID {
	type hashed struct {
		vm   VMID
		hash uint64
	}
	list := make([]hashed, 0, len(vms))
	for _, vm := range vms {
		list = append(list, hashed{vm: vm, hash: xxhash.Sum64String(key + "\x00" + string(vm))})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].hash != list[j].hash {
			return list[i].hash > list[j].hash
		}
		return list[i].vm < list[j].vm
	})
	out := make([]VMID, 0, len(list))
	for _, h := range list {
		out = append(out, h.vm)
	}
	return out
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
