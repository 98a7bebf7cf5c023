package peers

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

// network runs many machines on simulated time with a fixed latency.
type network struct {
	at       time.Time
	machines map[string]*Machine // by peer address
	dead     map[string]bool
	queue    deliveries
	seq      int
	bytes    int
}

type delivery struct {
	at  time.Time
	seq int
	run func()
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const latency = 2 * time.Millisecond

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, delivery{at: n.at.Add(d), seq: n.seq, run: run})
}

func (n *network) runUntil(end time.Time) {
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(delivery)
		n.at = next.at
		next.run()
	}
	n.at = end
}

// countBytes adds the size of a message, with 150 bytes for the gRPC, TCP and
// IP headers.
func (n *network) countBytes(x Exchange) {
	header := &wire.Header{Vm: "vm100", Incarnation: "0123456789abcdef", Revision: 100000, Suspensions: 1 << 60, ClockWall: 1 << 60, ClockLogical: 3}
	n.bytes += 150 + proto.Size(&wire.ProbeRequest{Header: header, Updates: toWireAll(x.Updates), List: listToWire(x.List)})
}

func (n *network) send(addr string, ev jdaw.Event) {
	if n.dead[addr] {
		return
	}
	m := n.machines[addr]
	for _, a := range m.Handle(n.at, ev) {
		switch a := a.(type) {
		case SendProbe:
			n.probe(addr, a)
		case SendProbeFor:
			ev := ProbedFor{Target: a.Target, Number: a.Number, SentAt: a.SentAt, OK: true, Reached: !n.dead[a.TargetAddr]}
			wait := 4 * latency
			if n.dead[a.TargetAddr] {
				wait = probeTimeout
			}
			if n.dead[a.HelperAddr] {
				ev.OK, ev.Reached, wait = false, false, probeForTimeout
			}
			n.after(wait, func() { n.send(addr, ev) })
		case Answer:
			a.Reply(a.Exchange)
		}
	}
}

func (n *network) probe(from string, a SendProbe) {
	n.countBytes(a.Exchange)
	if n.dead[a.Addr] {
		n.after(probeTimeout, func() { n.send(from, Probed{Target: a.Target, SentAt: a.SentAt}) })
		return
	}
	n.after(latency, func() {
		n.send(a.Addr, ProbeReceived{Sender: n.machines[from].self, Exchange: a.Exchange, Reply: func(x Exchange) {
			n.countBytes(x)
			n.after(latency, func() {
				n.send(from, Probed{Target: a.Target, Sender: a.Target, SentAt: a.SentAt, OK: true, Exchange: x})
			})
		}})
	})
}

// Guards against bandwidth or detection time that grows with the number of VMs:
// with 400 VMs, each must send less than 4 KB/s, and VMs that fail without
// closing their connections must be seen as dead within 3 s.
func TestFourHundredVMs(t *testing.T) {
	const vms = 400
	n := &network{at: start, machines: map[string]*Machine{}, dead: map[string]bool{}}
	var table []Update
	for i := 0; i < vms; i++ {
		u := alive(fmt.Sprintf("vm%03d", i), 10)
		u.Member.PeerAddr = fmt.Sprintf("10.0.%d.%d:7100", i/200, i%200)
		u.Member.EntryAddr = "http://" + u.Member.PeerAddr
		u.Member.Incarnation = jdaw.Incarnation(fmt.Sprintf("%016x", i))
		table = append(table, u)
	}
	for i, u := range table {
		addr := u.Member.PeerAddr
		m := NewMachine(MachineConfig{Self: u.Member, Number: 10, Seed: uint64(i + 1)})
		m.applyUpdates(start, table)
		m.pending = map[jdaw.VMID]int{}
		m.gossipPending = false
		n.machines[addr] = m
		var tick func()
		tick = func() {
			n.send(addr, jdaw.Tick{Gap: 100 * time.Millisecond})
			n.after(100*time.Millisecond, tick)
		}
		n.after(time.Duration(i)*time.Millisecond/4, tick)
	}
	n.runUntil(n.at.Add(2 * time.Second))
	n.bytes = 0
	n.runUntil(n.at.Add(10 * time.Second))
	perSecond := n.bytes / vms / 10
	t.Logf("%d bytes/s sent per VM", perSecond)
	if perSecond > 4000 {
		t.Errorf("%d bytes/s sent per VM, want at most 4,000", perSecond)
	}
	for _, victims := range []int{1, 20} { // a VM and a rack
		var gone []Update
		for len(gone) < victims {
			u := table[0]
			table = table[1:]
			n.dead[u.Member.PeerAddr] = true
			gone = append(gone, u)
		}
		began := n.at
		n.bytes = 0
		for seen := false; !seen; {
			n.runUntil(n.at.Add(50 * time.Millisecond))
			seen = true
			for addr, m := range n.machines {
				for _, u := range gone {
					seen = seen && (n.dead[addr] || m.members[u.Member.VM].State == jdaw.MemberDead)
				}
			}
			if n.at.Sub(began) > 3*time.Second {
				t.Fatalf("%d VMs not seen as dead by all after 3 s", victims)
			}
		}
		took := n.at.Sub(began)
		t.Logf("%d VMs seen as dead by all after %v; %.0f bytes/s sent per VM meanwhile", victims, took, float64(n.bytes)/vms/took.Seconds())
	}
	for addr, m := range n.machines {
		for vm, row := range m.members {
			if !n.dead[addr] && !n.dead[row.PeerAddr] && row.State != jdaw.MemberAlive {
				t.Fatalf("%s is %s at %s although it runs", vm, row.State, m.self)
			}
		}
	}
}
