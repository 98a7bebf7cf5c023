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
	out := append([]VMID(nil), vms...)
	hash := make(map[VMID]uint64, len(out))
	for _, vm := range out {
		hash[vm] = xxhash.Sum64String(key + "\x00" + string(vm))
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if hash[a] != hash[b] {
			return hash[a] > hash[b]
		}
		return a < b
	})
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
