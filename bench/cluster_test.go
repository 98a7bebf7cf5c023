package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
	"jackdawbarrow/loop"
	"jackdawbarrow/owner"
	"jackdawbarrow/peers"
	"jackdawbarrow/spread"
	"jackdawbarrow/store"
	"jackdawbarrow/wire"
)

// traffic counts what crosses the connections between VMs. Counting at the
// side that dials sees each byte of both directions once.
type traffic struct {
	bytes, connections atomic.Int64
}

func (t *traffic) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	t.connections.Add(1)
	return countingConn{c, t}, nil
}

func (t *traffic) dialNetwork(ctx context.Context, _, addr string) (net.Conn, error) {
	return t.dial(ctx, addr)
}

type countingConn struct {
	net.Conn
	t *traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.bytes.Add(int64(n))
	return n, err
}

// vm is the control part of one VM: the same slices as in package serve,
// without the HTTP services, so that its connections can be counted.
type vm struct {
	wire.UnimplementedPeerServer
	self   jdaw.Member
	peers  *peers.Node
	spread *spread.Node
	owner  *owner.Node
	ledger *ledger.Ledger
	loop   *loop.Loop
	grpc   *grpc.Server
}

func (v *vm) Probe(ctx context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return v.peers.Probe(ctx, in)
}

func (v *vm) ProbeFor(ctx context.Context, in *wire.ProbeForRequest) (*wire.ProbeForReply, error) {
	return v.peers.ProbeFor(ctx, in)
}

func (v *vm) Join(ctx context.Context, in *wire.JoinRequest) (*wire.JoinReply, error) {
	return v.peers.Join(ctx, in)
}

func (v *vm) Hint(ctx context.Context, in *wire.HintRequest) (*wire.HintReply, error) {
	return v.spread.Hint(ctx, in)
}

func (v *vm) Pull(ctx context.Context, in *wire.PullRequest) (*wire.PullReply, error) {
	return v.spread.Pull(ctx, in)
}

func (v *vm) Acquire(ctx context.Context, in *wire.AcquireRequest) (*wire.AcquireReply, error) {
	return v.owner.Acquire(ctx, in)
}

func (v *vm) ReleaseCredits(ctx context.Context, in *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return v.owner.ReleaseCredits(ctx, in)
}

func (v *vm) Renew(ctx context.Context, in *wire.RenewRequest) (*wire.RenewReply, error) {
	return v.owner.Renew(ctx, in)
}

func (v *vm) Outstanding(ctx context.Context, in *wire.OutstandingRequest) (*wire.OutstandingReply, error) {
	return v.owner.Outstanding(ctx, in)
}

func (v *vm) Outcomes(ctx context.Context, in *wire.OutcomesRequest) (*wire.OutcomesReply, error) {
	return v.owner.Outcomes(ctx, in)
}

func (v *vm) Copy(ctx context.Context, in *wire.CopyRequest) (*wire.CopyReply, error) {
	return v.ledger.Copy(ctx, in)
}

func (v *vm) KeyStatus(ctx context.Context, in *wire.KeyStatusRequest) (*wire.KeyStatusReply, error) {
	return v.ledger.KeyStatus(ctx, in)
}

// cluster is VMs in this process with their stand-ins.
type cluster struct {
	b         testing.TB
	kvURL     string
	list      *fakes.VMList
	listURL   string
	listReads atomic.Int64
	polls     atomic.Int64
	traffic   traffic
	// pollTraffic is what crosses the connections to the upstreams.
	pollTraffic traffic
	vms         []*vm
	document    config.Document
}

// startCluster starts n VMs before 1.5 upstreams per VM, as at the large
// size, but at least one in each of the 30 pools.
func startCluster(b testing.TB, n int) *cluster {
	c := &cluster{b: b, list: fakes.NewVMList(0)}
	// The stand-in wakes all watches at each write and encodes the document
	// for each, which took 27 % of the processor time of one process for all.
	c.kvURL = "http://" + startChild(b, roleKeyValue, nil).addrs[0]
	c.listURL = c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.listReads.Add(1)
		c.list.ServeHTTP(w, r)
	}))
	versions := []string{}
	for k := range kinds {
		versions = append(versions, modelName(k)+"@v1", modelName(k)+"@v2")
	}
	engine := fakes.NewEngine(fakes.EngineConfig{Versions: versions, Capacity: 256})
	var urls []string
	for range 4 {
		urls = append(urls, c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.polls.Add(1)
			engine.ServeHTTP(w, r)
		})))
	}
	c.document = largeDocument(max(30, n*3/2), largeWorkspaces, func(i int) string { return urls[i%len(urls)] })
	encoded, err := c.document.Encode()
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.store().Put(context.Background(), config.StoreKey, encoded, 0); err != nil {
		b.Fatal(err)
	}
	for i := range n {
		c.vms = append(c.vms, c.startVM(i))
	}
	c.await(30*time.Second, "all VMs know each other and the configuration", func(v *vm) bool {
		return len(v.peers.View().Serving()) == n && v.spread.Snapshot() != nil && !v.peers.View().Isolated
	})
	return c
}

func (c *cluster) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	c.b.Cleanup(srv.Close)
	return srv.URL
}

func (c *cluster) store() *store.Client {
	kv, err := store.New(store.Config{Addresses: []string{c.kvURL}})
	if err != nil {
		c.b.Fatal(err)
	}
	return kv
}

func (c *cluster) startVM(i int) *vm {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.b.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	v := &vm{self: member(i)}
	v.self.PeerAddr = l.Addr().String()
	v.self.Incarnation = jdaw.Incarnation(config.RandomHex(8))
	ready := make(chan struct{})
	post := func(ev jdaw.Event) { <-ready; v.loop.Post(ev) }
	kv := c.store()
	v.peers = peers.New(peers.Config{Self: v.self, ListURL: c.listURL, Post: post, Log: quiet, Dial: c.traffic.dial})
	v.spread = spread.New(spread.Config{Self: v.self.VM, Peers: v.peers, Store: kv, Post: post, Log: quiet})
	v.owner = owner.NewNode(owner.NodeConfig{
		Self: v.self.VM, Views: v.peers, Configs: v.spread, Client: v.peers.Client, Header: v.peers.Header,
		AwaitRevision: v.spread.AwaitRevision, Post: post, Log: quiet,
		HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, DialContext: c.pollTraffic.dialNetwork}},
	})
	v.ledger = ledger.New(ledger.Config{
		VM: v.self.VM, Incarnation: v.self.Incarnation, Store: kv, Views: v.peers, Config: v.spread,
		Client: v.peers.Client, Header: v.peers.Header, Log: quiet,
	})
	v.loop = loop.New(loop.Config{
		Machines: []jdaw.Machine{
			v.peers.Machine(), v.spread.Machine(), owner.New(owner.Config{Self: v.self.VM, Incarnation: v.self.Incarnation}),
		},
		Execute: func(a jdaw.Action) { _ = v.peers.Execute(a) || v.spread.Execute(a) || v.owner.Execute(a) },
	})
	close(ready)
	observe := grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if m, ok := req.(interface{ GetHeader() *wire.Header }); ok {
			v.peers.Observe(m.GetHeader())
		}
		return handle(ctx, req)
	})
	v.grpc = grpc.NewServer(append(peers.ServerOptions(), observe)...)
	wire.RegisterPeerServer(v.grpc, v)
	go func() { _ = v.grpc.Serve(l) }() // ends with Stop
	c.list.SetVM(peers.ListedVM{
		VM: v.self.VM, DataCentre: v.self.DataCentre, Region: v.self.Region, PeerAddr: v.self.PeerAddr, EntryAddr: v.self.EntryAddr,
	})
	c.b.Cleanup(v.close)
	return v
}

func (v *vm) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = v.ledger.Close(ctx) // nothing reads the journal any more
	v.owner.Close()
	v.spread.Close()
	v.grpc.Stop()
	v.loop.Close()
	v.peers.Close()
}

func (c *cluster) await(wait time.Duration, what string, holds func(v *vm) bool) {
	c.b.Helper()
	for end := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		missing := 0
		for _, v := range c.vms {
			if !holds(v) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			c.b.Fatalf("not within %s at %d of %d VMs: %s", wait, missing, len(c.vms), what)
		}
	}
}

// usage is what a cluster has used up to a point in time.
type usage struct {
	at                 time.Time
	processor          time.Duration
	bytes, connections int64
	listReads, polls   int64
	pollBytes          int64
	reads, writes      int64
}

func (c *cluster) usage() usage {
	u := usage{
		at: time.Now(), processor: processorTime(), bytes: c.traffic.bytes.Load(), connections: c.traffic.connections.Load(),
		listReads: c.listReads.Load(), polls: c.polls.Load(),
		pollBytes: c.pollTraffic.bytes.Load(),
	}
	for kind, n := range c.storeState().Counts {
		switch kind {
		case "get", "list", "watch":
			u.reads += n
		default:
			u.writes += n
		}
	}
	return u
}

// storeState returns the key-value service's own counters and log of writes.
func (c *cluster) storeState() fakes.KeyValueState {
	resp, err := http.Get(c.kvURL + "/fake/state")
	if err != nil {
		c.b.Fatal(err)
	}
	defer resp.Body.Close()
	var state fakes.KeyValueState
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		c.b.Fatal(err)
	}
	return state
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// report gives the difference of two points per second, and per VM where the
// cost belongs to each VM.
func (c *cluster) report(b *testing.B, from, to usage) {
	seconds := to.at.Sub(from.at).Seconds()
	perVM := seconds * float64(len(c.vms))
	b.ReportMetric(float64(to.bytes-from.bytes)/perVM, "sent-B/s/VM")
	b.ReportMetric(float64(to.connections-from.connections)/perVM, "dials/s/VM")
	b.ReportMetric(100*(to.processor-from.processor).Seconds()/perVM, "%core/VM")
	b.ReportMetric(float64(to.listReads-from.listReads)/seconds, "list-reads/s")
	b.ReportMetric(float64(to.reads-from.reads)/seconds, "kv-reads/s")
	b.ReportMetric(float64(to.writes-from.writes)/seconds, "kv-writes/s")
	b.ReportMetric(float64(to.polls-from.polls)/seconds, "polls/s")
	if polls := to.polls - from.polls; polls > 0 {
		b.ReportMetric(float64(to.pollBytes-from.pollBytes)/float64(polls), "B/poll")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityIdle measures what VMs without requests cost: probes, list,
// load polls and ticks. At 64 VMs a member is probed every 31.5 s, so that its
// connection has become idle and is opened again, as at the large size.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, n := range []int{2, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := startCluster(b, n)
			// The news of n starts takes this long to be sent 3 log2(n) times
			// by each VM, 8 in a message.
			settle := 4*time.Second + time.Duration(n)*600*time.Millisecond
			measure := 6 * time.Second
			if n >= 64 {
				measure = 16 * time.Second
			}
			for b.Loop() {
				time.Sleep(settle)
				from := c.usage()
				time.Sleep(measure)
				c.report(b, from, c.usage())
			}
		})
	}
}

// BenchmarkCapacityChange measures the time until a changed configuration is
// in force at all VMs, and what one change sends.
func BenchmarkCapacityChange(b *testing.B) {
	for _, n := range []int{2, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := startCluster(b, n)
			time.Sleep(5 * time.Second)
			var longest, sum time.Duration
			changes := 0
			from := c.usage()
			for b.Loop() {
				for range 5 {
					began := time.Now()
					c.change(changes)
					took := time.Since(began)
					longest = max(longest, took)
					sum += took
					changes++
					time.Sleep(time.Second)
				}
			}
			to := c.usage()
			b.ReportMetric(float64(sum.Milliseconds())/float64(changes), "ms-in-force-mean")
			b.ReportMetric(float64(longest.Milliseconds()), "ms-in-force-max")
			perChange := float64(changes) * float64(n)
			b.ReportMetric(float64(to.bytes-from.bytes)/perChange, "sent-B/change/VM")
			b.ReportMetric(1000*(to.processor-from.processor).Seconds()/perChange, "ms-cpu/change/VM")
			b.ReportMetric(float64(to.writes-from.writes)/float64(changes), "kv-writes/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// change submits a change at one VM and waits until all have adopted it.
func (c *cluster) change(i int) {
	v := c.vms[i%len(c.vms)]
	r, err := v.spread.Submit(context.Background(), spread.Change{
		ID: fmt.Sprintf("change-%d", i), Objects: []string{"workspace/workspace-1"},
		Apply: func(d config.Document) (config.Document, error) {
			d.Revision++
			d.Changes = append(d.Changes[1:len(d.Changes):len(d.Changes)], config.ChangeRecord{ID: fmt.Sprintf("change-%d", i), Revision: d.Revision})
			return d, nil
		},
	})
	if err != nil {
		c.b.Fatal(err)
	}
	if r.InForce != len(c.vms) {
		c.b.Fatalf("in force at %d of %d VMs, not at %v", r.InForce, len(c.vms), r.Unconfirmed)
	}
}
