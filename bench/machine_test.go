package bench

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
	"jackdawbarrow/peers"
	"jackdawbarrow/spread"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var memberCounts = []int{50, 100, 200, 400}

// memberTable returns a peers machine that knows n members.
func memberTable(n int) *peers.Machine {
	m := peers.NewMachine(peers.MachineConfig{Self: member(0), Number: 10, Seed: 1})
	for i := 1; i < n; i++ {
		m.Handle(epoch, peers.JoinReceived{Self: peers.Update{Member: member(i), Number: 10}, Reply: func(peers.Exchange) {}})
	}
	return m
}

// answerProbes lets every probe of the actions succeed.
func answerProbes(m *peers.Machine, at time.Time, actions []jdaw.Action) {
	for _, a := range actions {
		if p, ok := a.(peers.SendProbe); ok {
			answerProbes(m, at, m.Handle(at, peers.Probed{Target: p.Target, Sender: p.Target, Addr: p.Addr, SentAt: p.SentAt, OK: true}))
		}
	}
}

// BenchmarkCapacityMachinePeers measures one tick with the probe that falls on
// it, one received probe, and one change of a member.
func BenchmarkCapacityMachinePeers(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("tick/members=%d", n), func(b *testing.B) {
			m, at := memberTable(n), epoch
			for range 3000 { // the first changes have been sent by then
				at = at.Add(100 * time.Millisecond)
				answerProbes(m, at, m.Handle(at, jdaw.Tick{Gap: 100 * time.Millisecond}))
			}
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(100 * time.Millisecond)
				answerProbes(m, at, m.Handle(at, jdaw.Tick{Gap: 100 * time.Millisecond}))
			}
		})
		b.Run(fmt.Sprintf("probeReceived/members=%d", n), func(b *testing.B) {
			m, at := memberTable(n), epoch
			for range 3000 {
				at = at.Add(100 * time.Millisecond)
				answerProbes(m, at, m.Handle(at, jdaw.Tick{Gap: 100 * time.Millisecond}))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				m.Handle(at, peers.ProbeReceived{Sender: vmID(1 + i%(n-1)), Reply: func(peers.Exchange) {}})
			}
		})
		b.Run(fmt.Sprintf("memberChange/members=%d", n), func(b *testing.B) {
			m := memberTable(n)
			number := uint64(10)
			b.ReportAllocs()
			for b.Loop() {
				number++
				u := peers.Update{Member: member(1), Number: number}
				m.Handle(epoch, peers.ProbeReceived{Sender: vmID(2), Exchange: peers.Exchange{Updates: []peers.Update{u}}, Reply: func(peers.Exchange) {}})
			}
		})
	}
}

// BenchmarkCapacityMachineSpread measures the adoption of a document as a VM
// pulls it: decode, index and hint.
func BenchmarkCapacityMachineSpread(b *testing.B) {
	sizes := [][2]int{{15, 50}, {60, 50}, {150, 50}, {600, 50}, {600, 10}, {600, 200}, {600, 500}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("adopt/upstreams=%d/workspaces=%d", size[0], size[1]), func(b *testing.B) {
			encoded, err := largeDocument(size[0], size[1], noAddress).Encode()
			if err != nil {
				b.Fatal(err)
			}
			var packed bytes.Buffer
			w := gzip.NewWriter(&packed)
			_, _ = w.Write(encoded)
			_ = w.Close()
			m := spread.NewMachine(vmID(0), 1)
			m.Handle(epoch, jdaw.ViewChanged{View: largeView(vmID(0), largeVMs)})
			revision := jdaw.Revision(1)
			b.ReportAllocs()
			for b.Loop() {
				doc, err := config.DecodeDocument(encoded)
				if err != nil {
					b.Fatal(err)
				}
				revision++
				doc.Revision = revision
				if got := m.Handle(epoch, spread.Pulled{From: vmID(1), OK: true, Doc: &doc}); len(got) != 2 {
					b.Fatalf("%d actions, want an adoption and a hint", len(got))
				}
			}
			b.ReportMetric(float64(len(encoded)), "document-B")
			b.ReportMetric(float64(packed.Len()), "gzip-B")
		})
	}
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("headerSeen/members=%d", n), func(b *testing.B) {
			m := spread.NewMachine(vmID(0), 1)
			m.Handle(epoch, jdaw.ViewChanged{View: largeView(vmID(0), n)})
			doc := largeDocument(15, 10, noAddress)
			m.Handle(epoch, spread.DocumentRead{Doc: &doc})
			for b.Loop() {
				m.Handle(epoch, jdaw.HeaderSeen{VM: vmID(1), Revision: 1})
			}
		})
		b.Run(fmt.Sprintf("viewChanged/members=%d", n), func(b *testing.B) {
			m := spread.NewMachine(vmID(0), 1)
			ev := jdaw.ViewChanged{View: largeView(vmID(0), n)}
			for b.Loop() {
				m.Handle(epoch, ev)
			}
		})
	}
}

// startedOwner returns the owner of the first pool after its takeover.
func startedOwner(b *testing.B, members, upstreams int) (m *owner.Machine, at time.Time, snap *config.Snapshot, view *jdaw.View, pool jdaw.PoolID) {
	doc := largeDocument(upstreams, 50, noAddress)
	snap = config.NewSnapshot(doc, nil)
	pool = doc.Upstreams[0].Pool()
	view = largeView("", members)
	self, ok := owner.Of(view, snap, pool)
	if !ok {
		b.Fatal("no owner")
	}
	view.Self = self.VM
	m = owner.New(owner.Config{Self: self.VM, Incarnation: self.Incarnation})
	at = epoch
	m.Handle(at, config.Adopted{Snapshot: snap})
	m.Handle(at, jdaw.ViewChanged{View: view})
	for range 25 {
		at = at.Add(100 * time.Millisecond)
		m.Handle(at, jdaw.Tick{Gap: 100 * time.Millisecond})
	}
	return m, at, snap, view, pool
}

// BenchmarkCapacityMachineOwner measures the events of a pool owner.
func BenchmarkCapacityMachineOwner(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("viewChanged/members=%d", n), func(b *testing.B) {
			m, at, _, view, _ := startedOwner(b, n, largeUpstreams)
			b.ReportAllocs()
			for b.Loop() {
				m.Handle(at, jdaw.ViewChanged{View: view})
			}
		})
		b.Run(fmt.Sprintf("ownerOf/members=%d", n), func(b *testing.B) {
			_, _, snap, view, pool := startedOwner(b, n, largeUpstreams)
			for b.Loop() {
				owner.Of(view, snap, pool)
			}
		})
	}
	for _, n := range []int{30, 60, 150, 600} {
		b.Run(fmt.Sprintf("tick/upstreams=%d", n), func(b *testing.B) {
			m, at, _, _, _ := startedOwner(b, largeVMs, n)
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(100 * time.Millisecond)
				m.Handle(at, jdaw.Tick{Gap: 100 * time.Millisecond})
			}
		})
		b.Run(fmt.Sprintf("loadReport/upstreams=%d", n), func(b *testing.B) {
			m, at, snap, _, pool := startedOwner(b, largeVMs, n)
			ups := snap.Pool(pool)
			i := 0
			for b.Loop() {
				i++
				at = at.Add(time.Millisecond)
				m.Handle(at, owner.LoadReported{
					Pool: pool, Upstream: ups[i%len(ups)].ID, Incarnation: "e1", Uptime: time.Hour, Capacity: 256,
					Versions: []jdaw.ModelVersion{versionOf(0)}, MeasuredAt: at,
				})
			}
		})
		b.Run(fmt.Sprintf("acquireRelease/upstreams=%d", n), func(b *testing.B) {
			m, at, _, _, pool := startedOwner(b, largeVMs, n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				at = at.Add(time.Millisecond)
				grant := acquire(b, m, at, pool, uint64(i))
				m.Handle(at, owner.CreditsReleased{From: vmID(i % largeVMs), Releases: []owner.Released{{
					Credit: grant.Credit, Pool: pool, Upstream: grant.Upstream, Version: grant.Version,
					Outcome: jdaw.OutcomeOK, FirstToken: 100 * time.Millisecond,
				}}})
			}
		})
	}
	for _, held := range []int{1, 10, 100, 400} {
		b.Run(fmt.Sprintf("renew/held=%d", held), func(b *testing.B) {
			m, at, _, _, pool := startedOwner(b, largeVMs, largeUpstreams)
			list := []owner.Held{{Pool: pool}}
			for i := range held {
				g := acquire(b, m, at, pool, uint64(i*largeVMs))
				list = append(list, owner.Held{Credit: g.Credit, Pool: pool, Upstream: g.Upstream})
			}
			for b.Loop() {
				at = at.Add(time.Second)
				m.Handle(at, owner.CreditsRenewed{Ticket: 1, From: vmID(0), Incarnation: incarnationOf(0), Held: list})
			}
		})
	}
}

func acquire(b *testing.B, m *owner.Machine, at time.Time, pool jdaw.PoolID, ticket uint64) owner.Grant {
	i := int(ticket % largeVMs)
	for _, a := range m.Handle(at, owner.AcquireRequested{
		Ticket: ticket, From: vmID(i), Incarnation: incarnationOf(i), Revision: 1, Pool: pool,
		Workspace: workspaceID(i % 50), Versions: []jdaw.ModelVersion{versionOf(0)}, Wait: time.Second,
	}) {
		if g, ok := a.(owner.Grant); ok {
			return g
		}
		b.Fatalf("%+v instead of a grant", a)
	}
	b.Fatal("no grant")
	return owner.Grant{}
}
