package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
	"jackdawbarrow/owner"
	"jackdawbarrow/peers"
	"jackdawbarrow/wire"
)

// stub answers the probes of a VM as one of many members would.
type stub struct {
	wire.UnimplementedPeerServer
	self  jdaw.Member
	group *stubs
}

// stubs are members without a table of their own.
type stubs struct {
	members []*stub
	all     []*wire.MemberUpdate
}

func (s *stub) header() *wire.Header {
	return &wire.Header{Vm: string(s.self.VM), Incarnation: string(s.self.Incarnation), Revision: 1, ClockWall: time.Now().UnixNano()}
}

func (s *stub) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{Header: s.header()}, nil
}

func (s *stub) Join(context.Context, *wire.JoinRequest) (*wire.JoinReply, error) {
	return &wire.JoinReply{Header: s.header(), Members: s.group.all}, nil
}

func (s *stub) Hint(context.Context, *wire.HintRequest) (*wire.HintReply, error) {
	return &wire.HintReply{Header: s.header()}, nil
}

func (s *stub) Pull(context.Context, *wire.PullRequest) (*wire.PullReply, error) {
	return &wire.PullReply{Header: s.header()}, nil
}

func (s *stub) Outstanding(context.Context, *wire.OutstandingRequest) (*wire.OutstandingReply, error) {
	return &wire.OutstandingReply{Header: s.header()}, nil
}

// startStubs starts all members but one, which is the VM that is measured,
// and puts them into the list.
func startStubs(b testing.TB, n, measured int, list *fakes.VMList) *stubs {
	g := &stubs{}
	for i := range n {
		if i == measured {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &stub{self: member(i), group: g}
		s.self.PeerAddr = l.Addr().String()
		srv := grpc.NewServer()
		wire.RegisterPeerServer(srv, s)
		go func() { _ = srv.Serve(l) }() // ends with Stop
		b.Cleanup(srv.Stop)
		g.members = append(g.members, s)
		g.all = append(g.all, &wire.MemberUpdate{
			Vm: string(s.self.VM), Incarnation: string(s.self.Incarnation), DataCentre: string(s.self.DataCentre),
			Region: string(s.self.Region), PeerAddr: s.self.PeerAddr, EntryAddr: s.self.EntryAddr,
			State: string(jdaw.MemberAlive), IncarnationNumber: 10, Revision: 1,
		})
		list.SetVM(peers.ListedVM{VM: s.self.VM, DataCentre: s.self.DataCentre, Region: s.self.Region, PeerAddr: s.self.PeerAddr, EntryAddr: s.self.EntryAddr})
	}
	return g
}

// probePeriod is the time between two calls on one inbound connection: a VM
// sends 2.5 requests/s to the 30 pools, so each owner gets one in 12 s.
const probePeriod = 12 * time.Second

// connect opens the given number of connections to the VM, each from another
// member, and calls the VM over each once a period until ctx ends.
func (g *stubs) connect(ctx context.Context, b testing.TB, addr string, connections int, period time.Duration, call peerCall) {
	var wg sync.WaitGroup
	for i := range connections {
		delay := time.Duration(i) * opening / time.Duration(connections)
		wg.Go(func() { g.members[i%len(g.members)].repeat(ctx, b, addr, delay, period, call) })
	}
	wg.Wait()
}

// peerCall is one call that a member makes of the measured VM.
type peerCall func(ctx context.Context, c wire.PeerClient, s *stub) error

func probe(ctx context.Context, c wire.PeerClient, s *stub) error {
	_, err := c.Probe(ctx, &wire.ProbeRequest{Header: s.header()})
	return err
}

// renew renews a credit of the first pool, as a VM does that holds one.
func renew(ctx context.Context, c wire.PeerClient, s *stub) error {
	pool := jdaw.PoolID{Kind: kindName(0), DataCentre: dataCentres[0].Name}.String()
	_, err := c.Renew(ctx, &wire.RenewRequest{Header: s.header(), Held: []*wire.HeldCredit{
		{Pool: pool},
		{Pool: pool, Credit: string(s.self.Incarnation) + "-1", Upstream: "engine-1", Workspace: string(workspaceID(7))},
	}})
	return err
}

// opening is the time over which the connections are opened.
const opening = 3 * time.Second

func (s *stub) repeat(ctx context.Context, b testing.TB, addr string, delay, period time.Duration, call peerCall) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		err := call(callCtx, wire.NewPeerClient(conn), s)
		cancel()
		if err != nil && ctx.Err() == nil {
			b.Errorf("call of the measured VM: %v", err)
		}
		delay = period
	}
}

// memoryCase is the surroundings of the measured VM.
type memoryCase struct {
	members, upstreams, workspaces int
	inbound                        int  // connections of other VMs that stay open
	renews                         bool // once a second over each connection
}

// BenchmarkCapacityOwner measures a whole VM that owns a pool, by the number
// of VMs that hold credits of the pool and renew them.
func BenchmarkCapacityOwner(b *testing.B) {
	for _, holders := range []int{0, 50, 100, 200, 399} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			benchmarkMemory(b, memoryCase{largeVMs, largeUpstreams, largeWorkspaces, holders, true})
		})
	}
}

// BenchmarkCapacityMemory measures a whole VM in a process of its own: its
// private memory, its connections and its processor time without requests.
func BenchmarkCapacityMemory(b *testing.B) {
	cases := []memoryCase{
		{2, 15, 10, 0, false},
		{50, largeUpstreams, largeWorkspaces, 0, false},
		{100, largeUpstreams, largeWorkspaces, 0, false},
		{200, largeUpstreams, largeWorkspaces, 0, false},
		{400, 15, 10, 0, false},
		{400, largeUpstreams, largeWorkspaces, 0, false},
		{400, largeUpstreams, largeWorkspaces, 60, false},
		{400, largeUpstreams, largeWorkspaces, 200, false},
		{400, largeUpstreams, largeWorkspaces, 399, false},
	}
	for _, mc := range cases {
		name := fmt.Sprintf("members=%d/upstreams=%d/workspaces=%d/inbound=%d", mc.members, mc.upstreams, mc.workspaces, mc.inbound)
		b.Run(name, func(b *testing.B) { benchmarkMemory(b, mc) })
	}
}

func benchmarkMemory(b *testing.B, mc memoryCase) {
	kv, list := fakes.NewKeyValue(), fakes.NewVMList(0)
	serveHTTP := func(h http.Handler) string {
		srv := httptest.NewServer(h)
		b.Cleanup(srv.Close)
		return srv.URL
	}
	kvURL, listURL := serveHTTP(kv), serveHTTP(list)
	engine := serveHTTP(fakes.NewEngine(fakes.EngineConfig{Capacity: 256}))
	doc := largeDocument(mc.upstreams, mc.workspaces, func(int) string { return engine })
	if err := demo.StoreDocument(context.Background(), kvURL, doc); err != nil {
		b.Fatal(err)
	}
	measured := ownerOfFirst(b, mc.members, doc)
	g := startStubs(b, mc.members, measured, list)
	self := member(measured)
	vm := startChild(b, roleVM, config.Settings{
		VM: self.VM, DataCentre: self.DataCentre, Region: self.Region,
		Listen: config.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Store:  config.StoreSettings{Addresses: []string{kvURL}}, VMList: listURL,
	})
	list.SetVM(peers.ListedVM{VM: self.VM, DataCentre: self.DataCentre, Region: self.Region, PeerAddr: vm.addrs[1], EntryAddr: "http://" + vm.addrs[0]})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if mc.inbound > 0 {
		period, call := probePeriod, peerCall(probe)
		if mc.renews {
			period, call = time.Second, renew
		}
		wg.Go(func() { g.connect(ctx, b, vm.addrs[1], mc.inbound, period, call) })
	}
	for b.Loop() {
		time.Sleep(opening + 3*time.Second)
		before := vm.processorTime(b)
		time.Sleep(6 * time.Second)
		b.ReportMetric(100*(vm.processorTime(b)-before).Seconds()/6, "%core")
	}
	b.ReportMetric(vm.residentMB(b), "MB-private")
	b.ReportMetric(vm.status(b, "VmHWM:")/1024, "MB-peak-with-program")
	b.ReportMetric(vm.status(b, "Threads:"), "threads")
	b.ReportMetric(0, "ns/op")
}

// ownerOfFirst returns the index of the member that owns the first pool, so
// that the measured VM also polls the upstreams of a pool.
func ownerOfFirst(b testing.TB, members int, doc config.Document) int {
	m, ok := owner.Of(largeView("", members), config.NewSnapshot(doc, nil), doc.Upstreams[0].Pool())
	if !ok {
		b.Fatal("no owner")
	}
	for i := range members {
		if vmID(i) == m.VM {
			return i
		}
	}
	b.Fatalf("no member %s", m.VM)
	return 0
}
