package peers_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/fakes"
	"jackdawbarrow/loop"
	"jackdawbarrow/peers"
	"jackdawbarrow/wire"
)

// server serves the methods of one Node over gRPC.
type server struct {
	wire.UnimplementedPeerServer
	n *peers.Node
}

func (s server) Probe(ctx context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.n.Probe(ctx, req)
}

func (s server) ProbeFor(ctx context.Context, req *wire.ProbeForRequest) (*wire.ProbeForReply, error) {
	return s.n.ProbeFor(ctx, req)
}

func (s server) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	return s.n.Join(ctx, req)
}

type pause struct{ d time.Duration }

func (pause) EventName() string { return "pause" }

// pauser blocks the loop's goroutine, like a paused process.
type pauser struct{}

func (pauser) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	if p, ok := ev.(pause); ok {
		time.Sleep(p.d)
	}
	return nil
}

// vm is a VM on loopback that can be partitioned from the others.
type vm struct {
	id   jdaw.VMID
	addr string
	node *peers.Node
	loop *loop.Loop
	grpc *grpc.Server
	cut  atomic.Bool
	// isolations counts published views in which the VM was isolated.
	isolations atomic.Int32
	mu         sync.Mutex
	conns      []net.Conn
	stop       sync.Once
}

// filter rejects incoming connections while its VM is partitioned.
type filter struct {
	net.Listener
	v *vm
}

func (f filter) Accept() (net.Conn, error) {
	for {
		conn, err := f.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if f.v.admit(conn) {
			return conn, nil
		}
	}
}

// admit records the connection, or closes it if the VM is partitioned.
func (v *vm) admit(conn net.Conn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut.Load() {
		_ = conn.Close()
		return false
	}
	v.conns = append(v.conns, conn)
	return true
}

func (v *vm) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut.Store(cut)
	for _, conn := range v.conns {
		_ = conn.Close()
	}
	v.conns = nil
}

func (v *vm) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if !v.admit(conn) {
		return nil, errors.New("VM is partitioned")
	}
	return conn, nil
}

func (v *vm) close() {
	v.stop.Do(func() {
		v.grpc.Stop()
		v.loop.Close()
		v.node.Close()
	})
}

func startVM(t *testing.T, id string, seeds []string, listURL string) *vm {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{id: jdaw.VMID(id), addr: lis.Addr().String(), grpc: grpc.NewServer()}
	ready := make(chan struct{}) // the loop may act before New has returned
	v.node = peers.New(peers.Config{
		Self: jdaw.Member{
			VM: v.id, Incarnation: jdaw.Incarnation("inc-" + id + v.addr), DataCentre: "oban",
			Region: "scot-west", PeerAddr: v.addr, EntryAddr: "http://127.0.0.1:1",
		},
		Seeds: seeds, ListURL: listURL, Dial: v.dial,
		Post: func(ev jdaw.Event) {
			<-ready
			v.loop.Post(ev)
		},
	})
	v.loop = loop.New(loop.Config{
		Machines: []jdaw.Machine{v.node.Machine(), pauser{}},
		Execute: func(a jdaw.Action) {
			if c, ok := a.(jdaw.ViewChanged); ok && c.View.Isolated {
				v.isolations.Add(1)
			}
			v.node.Execute(a)
		},
	})
	close(ready)
	wire.RegisterPeerServer(v.grpc, server{n: v.node})
	go func() { _ = v.grpc.Serve(filter{Listener: lis, v: v}) }()
	t.Cleanup(v.close)
	return v
}

// startVMs starts n VMs that join through the first one.
func startVMs(t *testing.T, n int) []*vm {
	t.Helper()
	vms := []*vm{startVM(t, "vm0", nil, "")}
	for i := 1; i < n; i++ {
		vms = append(vms, startVM(t, fmt.Sprintf("vm%d", i), []string{vms[0].addr}, ""))
	}
	waitFor(t, 5*time.Second, "all VMs know each other", func() bool {
		for _, v := range vms {
			if len(v.node.View().Serving()) != n || v.node.View().Isolated {
				return false
			}
		}
		return true
	})
	return vms
}

func waitFor(t *testing.T, limit time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !done() {
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func state(v *vm, id jdaw.VMID) jdaw.MemberState {
	m, _ := v.node.View().Member(id)
	return m.State
}

// Guards against a failed VM keeping its pools for more than 3 s.
func TestDeathIsSeenWithin3s(t *testing.T) {
	vms := startVMs(t, 8)
	vms[3].close()
	took := waitFor(t, 3*time.Second, "all see vm3 dead", func() bool {
		for i, v := range vms {
			if i != 3 && state(v, "vm3") != jdaw.MemberDead {
				return false
			}
		}
		return true
	})
	t.Logf("death seen by all after %v", took)
	for i, v := range vms {
		for j := range vms {
			if i != 3 && j != 3 && state(v, vms[j].id) != jdaw.MemberAlive {
				t.Errorf("vm%d sees vm%d as %q", i, j, state(v, vms[j].id))
			}
		}
	}
}

// Guards against a partitioned VM that keeps accepting work, and against both
// sides considering each other dead after the partition heals.
func TestCutOffVM(t *testing.T) {
	vms := startVMs(t, 5)
	vms[2].setCut(true)
	took := waitFor(t, 2*time.Second, "vm2 is isolated", func() bool { return vms[2].node.View().Isolated })
	t.Logf("isolated after %v", took)
	waitFor(t, 3*time.Second, "vm0 sees vm2 dead", func() bool { return state(vms[0], "vm2") == jdaw.MemberDead })
	vms[2].setCut(false)
	took = waitFor(t, 6*time.Second, "vm2 is back everywhere", func() bool {
		for _, v := range vms {
			if state(v, "vm2") != jdaw.MemberAlive || len(v.node.View().Serving()) != 5 || v.node.View().Isolated {
				return false
			}
		}
		return true
	})
	t.Logf("back after %v", took)
}

// Guards against a paused VM that resumes work with a stale view.
func TestPausedLoopIsolatesItself(t *testing.T) {
	vms := startVMs(t, 3)
	before := vms[1].isolations.Load()
	vms[1].loop.Post(pause{d: 1500 * time.Millisecond})
	// The isolation ends with the first answered probe, within a millisecond
	// on loopback, so views are counted instead of polled.
	waitFor(t, 2*time.Second, "the VM isolates itself", func() bool { return vms[1].isolations.Load() > before })
	waitFor(t, 2*time.Second, "the isolation ends", func() bool { return !vms[1].node.View().Isolated })
}

// Guards against a draining VM that others still see as serving.
func TestDrainIsAnnounced(t *testing.T) {
	vms := startVMs(t, 4)
	vms[1].node.Drain()
	waitFor(t, 2*time.Second, "all see vm1 draining", func() bool {
		for _, v := range vms {
			if state(v, "vm1") != jdaw.MemberDraining {
				return false
			}
		}
		return true
	})
}

// Guards against VMs that do not find each other without seeds, leaving marks
// that do not propagate, and list reads that grow with the number of VMs.
func TestVMList(t *testing.T) {
	list := fakes.NewVMList(0)
	web := httptest.NewServer(list)
	defer web.Close()
	var vms []*vm
	for i := 0; i < 6; i++ {
		v := startVM(t, fmt.Sprintf("vm%d", i), nil, web.URL)
		list.SetVM(peers.ListedVM{VM: v.id, DataCentre: "oban", Region: "scot-west", PeerAddr: v.addr})
		vms = append(vms, v)
	}
	all := func(ok func(*vm) bool) func() bool {
		return func() bool {
			for _, v := range vms {
				if !ok(v) {
					return false
				}
			}
			return true
		}
	}
	waitFor(t, 8*time.Second, "all VMs know each other", all(func(v *vm) bool { return len(v.node.View().Serving()) == 6 }))
	waitFor(t, 5*time.Second, "all know the number of listed VMs", all(func(v *vm) bool { return v.node.View().ListedByDataCentre["oban"] == 6 }))
	list.SetUpstream(peers.ListedUpstream{Address: "http://127.0.0.1:9", Leaving: true})
	took := waitFor(t, 3*time.Second, "all know the leaving upstream", all(func(v *vm) bool { return len(v.node.View().LeavingUpstreams) == 1 }))
	t.Logf("leaving upstream known to all after %v", took)
	before := list.Reads()
	time.Sleep(3 * time.Second)
	if reads := list.Reads() - before; reads > 8 {
		t.Errorf("%d list reads in 3 s, want at most 2 a second", reads)
	}
	list.SetDown(true)
	list.SetVM(peers.ListedVM{VM: "vm5", Leaving: true})
	time.Sleep(1200 * time.Millisecond)
	if got := state(vms[0], "vm5"); got != jdaw.MemberAlive {
		t.Errorf("vm5 is %q while the list is down, want alive", got)
	}
	list.SetDown(false)
	waitFor(t, 4*time.Second, "all see vm5 draining", all(func(v *vm) bool { return state(v, "vm5") == jdaw.MemberDraining }))
}

// Guards against timeline timestamps that run backwards after a message from a
// VM whose clock is ahead, and against following a clock that is an hour off.
func TestHybridClock(t *testing.T) {
	n := peers.New(peers.Config{Self: jdaw.Member{VM: "a", PeerAddr: "x"}, Post: func(jdaw.Event) {}})
	ahead := time.Now().Add(2 * time.Second).UnixNano()
	n.Observe(&wire.Header{Vm: "b", ClockWall: ahead, ClockLogical: 7})
	h := n.Header()
	if h.GetClockWall() < ahead || (h.GetClockWall() == ahead && h.GetClockLogical() <= 7) {
		t.Fatalf("timestamp %d.%d after observing %d.7", h.GetClockWall(), h.GetClockLogical(), ahead)
	}
	n.Observe(&wire.Header{Vm: "b", ClockWall: time.Now().Add(time.Hour).UnixNano()})
	if n.Header().GetClockWall() > time.Now().Add(time.Minute).UnixNano() {
		t.Fatal("a VM with a wrong clock advanced this clock by an hour")
	}
}
