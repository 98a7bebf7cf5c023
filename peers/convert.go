package peers

import (
	"jackdawbarrow"
	"jackdawbarrow/wire"
)

// stateSuspectDraining is the wire state of a suspect member that is draining.
const stateSuspectDraining = "suspectDraining"

func toWire(u Update) *wire.MemberUpdate {
	return &wire.MemberUpdate{
		Vm:                string(u.Member.VM),
		Incarnation:       string(u.Member.Incarnation),
		IncarnationNumber: u.Number,
		DataCentre:        string(u.Member.DataCentre),
		Region:            string(u.Member.Region),
		PeerAddr:          u.Member.PeerAddr,
		EntryAddr:         u.Member.EntryAddr,
		State:             wireState(u),
		Revision:          uint64(u.Member.Revision),
	}
}

func wireState(u Update) string {
	switch {
	case u.Draining && u.Member.State == jdaw.MemberSuspect:
		return stateSuspectDraining
	case u.Draining && u.Member.State == jdaw.MemberAlive:
		return string(jdaw.MemberDraining)
	}
	return string(u.Member.State)
}

func fromWire(w *wire.MemberUpdate) Update {
	u := Update{
		Number: w.GetIncarnationNumber(),
		Member: jdaw.Member{
			VM:          jdaw.VMID(w.GetVm()),
			Incarnation: jdaw.Incarnation(w.GetIncarnation()),
			DataCentre:  jdaw.DataCentre(w.GetDataCentre()),
			Region:      jdaw.Region(w.GetRegion()),
			PeerAddr:    w.GetPeerAddr(),
			EntryAddr:   w.GetEntryAddr(),
			State:       jdaw.MemberState(w.GetState()),
			Revision:    jdaw.Revision(w.GetRevision()),
		},
	}
	switch w.GetState() {
	case string(jdaw.MemberDraining):
		u.Draining = true
		u.Member.State = jdaw.MemberAlive
	case stateSuspectDraining:
		u.Draining = true
		u.Member.State = jdaw.MemberSuspect
	}
	return u
}

func toWireAll(updates []Update) []*wire.MemberUpdate {
	out := make([]*wire.MemberUpdate, 0, len(updates))
	for _, u := range updates {
		out = append(out, toWire(u))
	}
	return out
}

func fromWireAll(updates []*wire.MemberUpdate) []Update {
	out := make([]Update, 0, len(updates))
	for _, w := range updates {
		out = append(out, fromWire(w))
	}
	return out
}

func listToWire(s *VMListSummary) *wire.ListSummary {
	if s == nil {
		return nil
	}
	w := &wire.ListSummary{
		Version:            s.Version,
		LeavingUpstreams:   s.LeavingUpstreams,
		ListedByDataCentre: map[string]uint32{},
		ListedByRegion:     map[string]uint32{},
	}
	for dc, n := range s.ListedByDataCentre {
		w.ListedByDataCentre[string(dc)] = uint32(n)
	}
	for r, n := range s.ListedByRegion {
		w.ListedByRegion[string(r)] = uint32(n)
	}
	return w
}

func listFromWire(w *wire.ListSummary) *VMListSummary {
	if w == nil {
		return nil
	}
	s := &VMListSummary{
		Version:            w.GetVersion(),
		LeavingUpstreams:   w.GetLeavingUpstreams(),
		ListedByDataCentre: map[jdaw.DataCentre]int{},
		ListedByRegion:     map[jdaw.Region]int{},
	}
	for dc, n := range w.GetListedByDataCentre() {
		s.ListedByDataCentre[jdaw.DataCentre(dc)] = int(n)
	}
	for r, n := range w.GetListedByRegion() {
		s.ListedByRegion[jdaw.Region(r)] = int(n)
	}
	return s
}
