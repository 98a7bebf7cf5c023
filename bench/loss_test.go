package bench

import (
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/peers"
)

// BenchmarkCapacityLoss runs the member tables of n VMs in simulated time and
// fails a fifth of them at once, as the loss of a data centre does. It gives
// the time until every live VM shows every failed VM as dead. 400 members
// would take several minutes.
//
// The cases with start fail the VMs 4 s after all VMs have started at once,
// when the news of the starts still competes with that of the failure.
func BenchmarkCapacityLoss(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("settled/members=%d", n), func(b *testing.B) { benchmarkLoss(b, n, true) })
		b.Run(fmt.Sprintf("start/members=%d", n), func(b *testing.B) { benchmarkLoss(b, n, false) })
	}
}

func benchmarkLoss(b *testing.B, n int, settled bool) {
	for b.Loop() {
		s := newSimulation(n)
		s.run(4*time.Second, func() bool { return false })
		for settled {
			s.updates, s.exchanges = 0, 0
			s.run(time.Second, func() bool { return false })
			// A probe always carries the row of its target.
			if s.updates <= s.exchanges/2 {
				break
			}
		}
		s.exchanges, s.updates, s.views = 0, 0, 0
		for i := 0; i < n; i += len(dataCentres) {
			s.failed[vmID(i)] = true
		}
		began := s.at
		if !s.run(2*time.Minute, s.allKnown) {
			b.Fatal("not all failed VMs are known as dead after two minutes")
		}
		took := s.at.Sub(began)
		live := float64(n - len(s.failed))
		b.ReportMetric(took.Seconds(), "s-until-known")
		b.ReportMetric(float64(s.exchanges)/live/took.Seconds(), "messages/s/VM")
		b.ReportMetric(float64(s.updates)/live/took.Seconds(), "updates/s/VM")
		b.ReportMetric(float64(s.views)/live, "views/VM")
	}
}

// delivery is an event on its way to a machine.
type delivery struct {
	due time.Time
	to  jdaw.VMID
	ev  jdaw.Event
}

// simulation is member tables that exchange messages without a network.
type simulation struct {
	at       time.Time
	ids      []jdaw.VMID
	machines map[jdaw.VMID]*peers.Machine
	views    int
	seen     map[jdaw.VMID]*jdaw.View
	failed   map[jdaw.VMID]bool
	queue    []delivery

	exchanges, updates int
}

// newSimulation starts n members that know each other.
func newSimulation(n int) *simulation {
	s := &simulation{at: epoch, machines: map[jdaw.VMID]*peers.Machine{}, seen: map[jdaw.VMID]*jdaw.View{}, failed: map[jdaw.VMID]bool{}}
	var all []peers.Update
	for i := range n {
		all = append(all, peers.Update{Member: member(i), Number: 10})
	}
	for i := range n {
		m := peers.NewMachine(peers.MachineConfig{Self: member(i), Number: 10, Seed: uint64(i + 1)})
		s.ids = append(s.ids, vmID(i))
		s.machines[vmID(i)] = m
		s.handle(vmID(i), peers.Joined{OK: true, SentAt: s.at, Exchange: peers.Exchange{Updates: all}})
	}
	return s
}

// run advances in ticks until the condition holds; false if it never did.
func (s *simulation) run(period time.Duration, until func() bool) bool {
	const tick = 100 * time.Millisecond
	for end := s.at.Add(period); s.at.Before(end); {
		s.at = s.at.Add(tick)
		due := s.queue
		s.queue = nil
		for _, d := range due {
			if d.due.After(s.at) {
				s.queue = append(s.queue, d)
				continue
			}
			s.handle(d.to, d.ev)
		}
		for _, id := range s.ids {
			s.handle(id, jdaw.Tick{Gap: tick})
		}
		if until() {
			return true
		}
	}
	return false
}

func (s *simulation) handle(id jdaw.VMID, ev jdaw.Event) {
	if s.failed[id] {
		return
	}
	for _, a := range s.machines[id].Handle(s.at, ev) {
		switch a := a.(type) {
		case jdaw.ViewChanged:
			s.seen[id] = a.View
			s.views++
		case peers.SendProbe:
			s.probe(id, a)
		case peers.SendProbeFor:
			reached := !s.failed[a.Target]
			s.send(400*time.Millisecond, id, peers.ProbedFor{Target: a.Target, Number: a.Number, SentAt: a.SentAt, OK: !s.failed[s.memberAt(a.HelperAddr)], Reached: reached})
		case peers.Answer:
			a.Reply(a.Exchange)
		}
	}
}

func (s *simulation) probe(from jdaw.VMID, a peers.SendProbe) {
	s.exchanges++
	s.updates += len(a.Exchange.Updates)
	result := peers.Probed{Target: a.Target, Addr: a.Addr, SentAt: a.SentAt}
	if s.failed[a.Target] {
		s.send(250*time.Millisecond, from, result)
		return
	}
	s.handle(a.Target, peers.ProbeReceived{Sender: from, Exchange: a.Exchange, Reply: func(x peers.Exchange) {
		s.exchanges++
		s.updates += len(x.Updates)
		result.OK, result.Sender, result.Exchange = true, a.Target, x
		s.send(0, from, result)
	}})
}

func (s *simulation) send(delay time.Duration, to jdaw.VMID, ev jdaw.Event) {
	s.queue = append(s.queue, delivery{due: s.at.Add(delay), to: to, ev: ev})
}

func (s *simulation) memberAt(addr string) jdaw.VMID {
	for i := range s.ids {
		if member(i).PeerAddr == addr {
			return s.ids[i]
		}
	}
	return ""
}

// allKnown reports whether all live VMs show all failed ones as dead.
func (s *simulation) allKnown() bool {
	for _, id := range s.ids {
		if s.failed[id] {
			continue
		}
		for _, m := range s.seen[id].Members {
			if s.failed[m.VM] && m.State != jdaw.MemberDead {
				return false
			}
		}
	}
	return true
}
