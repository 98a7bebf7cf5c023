package jdaw_test

import (
	"fmt"
	"testing"

	"jackdawbarrow"
)

// Guards against two owners of one pool, should First and Rendezvous choose
// different members, and against a leaving member that moves the keys of others.
func TestRendezvousAgreesWithFirst(t *testing.T) {
	var view jdaw.View
	var ids []jdaw.VMID
	for i := range 20 {
		id := jdaw.VMID(fmt.Sprintf("entry%d", i))
		ids = append(ids, id)
		view.Members = append(view.Members, jdaw.Member{VM: id})
	}
	for k := range 200 {
		key := fmt.Sprintf("lm/dc%d", k)
		order := jdaw.Rendezvous(key, ids)
		first, ok := view.First(key, func(*jdaw.Member) bool { return true })
		if !ok || first.VM != order[0] {
			t.Fatalf("%s: First gives %s, Rendezvous %s", key, first.VM, order[0])
		}
		second, ok := view.First(key, func(m *jdaw.Member) bool { return m.VM != first.VM })
		if !ok || second.VM != order[1] {
			t.Fatalf("%s: without %s First gives %s, Rendezvous %s", key, first.VM, second.VM, order[1])
		}
	}
	if m, ok := view.First("k", func(*jdaw.Member) bool { return false }); ok {
		t.Fatalf("without eligible members First gives %s", m.VM)
	}
}
