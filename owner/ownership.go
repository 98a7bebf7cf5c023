package owner

import (
	"jackdawbarrow"
	"jackdawbarrow/config"
)

// minListedInDataCentre is the number of listed VMs from which a data centre
// owns its pools alone. With fewer, one failure would leave too few VMs to
// distinguish a failed VM from a failed connection.
const minListedInDataCentre = 5

// group is the owner group of one data centre as one view shows it.
type group struct {
	dataCentre   jdaw.DataCentre
	region       jdaw.Region
	isDataCentre bool
	listed       int
}

func groupOf(view *jdaw.View, snap *config.Snapshot, dc jdaw.DataCentre) group {
	g := group{dataCentre: dc, region: snap.Region(dc)}
	g.listed = view.ListedByDataCentre[dc]
	g.isDataCentre = g.listed >= minListedInDataCentre
	if !g.isDataCentre {
		g.listed = view.ListedByRegion[g.region]
	}
	return g
}

func (g group) has(m *jdaw.Member) bool {
	if g.isDataCentre {
		return m.DataCentre == g.dataCentre
	}
	return m.Region == g.region
}

// Of returns the owner of the pool as the view shows it, or false if no VM
// can own it.
func Of(view *jdaw.View, snap *config.Snapshot, pool jdaw.PoolID) (jdaw.Member, bool) {
	g := groupOf(view, snap, pool.DataCentre)
	return view.First(pool.String(), func(m *jdaw.Member) bool {
		return g.has(m) && m.IsServing() && !snap.IsDraining(m.VM)
	})
}

// hasMajority reports whether enough of the owner group is alive for its
// owner to grant. Suspect members do not count, so that the smaller side of
// a partition stops before the other side takes its pools over. Exactly half
// is enough only on the side of the first member by name: otherwise both
// halves of an even split would grant.
func hasMajority(view *jdaw.View, snap *config.Snapshot, dc jdaw.DataCentre) bool {
	g := groupOf(view, snap, dc)
	alive, known := 0, 0
	firstAlive := false
	first := jdaw.VMID("")
	for i := range view.Members {
		m := &view.Members[i]
		if !g.has(m) {
			continue
		}
		known++
		isAlive := m.State == jdaw.MemberAlive || m.State == jdaw.MemberDraining
		if isAlive {
			alive++
		}
		if first == "" || m.VM < first {
			first, firstAlive = m.VM, isAlive
		}
	}
	listed := g.listed
	if listed == 0 {
		listed = known
	}
	if 2*alive == listed {
		return firstAlive
	}
	return 2*alive > listed
}
