package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/loop"
	"jackdawbarrow/owner"
	"jackdawbarrow/wire"
)

// cluster is a set of Nodes whose calls invoke the handlers directly.
type cluster struct {
	t     *testing.T
	nodes []*testNode
	load  atomic.Pointer[owner.LoadDocument]
}

type testNode struct {
	wire.PeerClient // calls that the package does not make
	c               *cluster
	vm              jdaw.VMID
	node            *owner.Node
	loop            *loop.Loop
	view            atomic.Pointer[jdaw.View]
	snap            atomic.Pointer[config.Snapshot]
	isDown          atomic.Bool
	pulls           atomic.Int32
	delay           atomic.Int64 // of answers to Acquire, nanoseconds
	mu              sync.Mutex
	counts          []*wire.VersionCounts
}

func (n *testNode) View() *jdaw.View           { return n.view.Load() }
func (n *testNode) Snapshot() *config.Snapshot { return n.snap.Load() }

func (n *testNode) header() *wire.Header {
	return &wire.Header{Vm: string(n.vm), Incarnation: "inc-" + string(n.vm), Revision: uint64(n.snap.Load().Revision())}
}

func (n *testNode) adopt(doc config.Document) {
	snap := config.NewSnapshot(doc, nil)
	n.snap.Store(snap)
	n.loop.Post(config.Adopted{Snapshot: snap})
}

func (n *testNode) see(v *jdaw.View) {
	n.view.Store(v)
	n.loop.Post(jdaw.ViewChanged{View: v})
}

var errDown = errors.New("connection refused")

func (n *testNode) Acquire(ctx context.Context, in *wire.AcquireRequest, _ ...grpc.CallOption) (*wire.AcquireReply, error) {
	if n.isDown.Load() {
		return nil, errDown
	}
	reply, err := n.node.Acquire(ctx, in)
	time.Sleep(time.Duration(n.delay.Load()))
	return reply, err
}

func (n *testNode) ReleaseCredits(ctx context.Context, in *wire.ReleaseRequest, _ ...grpc.CallOption) (*wire.ReleaseReply, error) {
	if n.isDown.Load() {
		return nil, errDown
	}
	return n.node.ReleaseCredits(ctx, in)
}

func (n *testNode) Renew(ctx context.Context, in *wire.RenewRequest, _ ...grpc.CallOption) (*wire.RenewReply, error) {
	if n.isDown.Load() {
		return nil, errDown
	}
	return n.node.Renew(ctx, in)
}

func (n *testNode) Outstanding(ctx context.Context, in *wire.OutstandingRequest, _ ...grpc.CallOption) (*wire.OutstandingReply, error) {
	if n.isDown.Load() {
		return nil, errDown
	}
	return n.node.Outstanding(ctx, in)
}

func (n *testNode) Outcomes(ctx context.Context, in *wire.OutcomesRequest, _ ...grpc.CallOption) (*wire.OutcomesReply, error) {
	return n.node.Outcomes(ctx, in)
}

// newCluster starts n VMs with one upstream (cold limit 2) and waits until
// the owner grants.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t}
	c.load.Store(&owner.LoadDocument{Incarnation: "e1", UptimeSeconds: 60, Capacity: 8})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		doc := *c.load.Load()
		doc.MeasuredAt = time.Now()
		_ = json.NewEncoder(w).Encode(doc)
	}))
	t.Cleanup(server.Close)
	doc := document(1)
	doc.Upstreams[0].Address = server.URL
	for i := range n {
		c.start(i, n, doc)
	}
	for _, node := range c.nodes {
		node.see(view(node.vm, n))
	}
	time.Sleep(2200 * time.Millisecond)
	return c
}

func (c *cluster) start(i, n int, doc config.Document) {
	tn := &testNode{c: c, vm: vmName(i)}
	c.nodes = append(c.nodes, tn)
	machine := owner.New(owner.Config{Self: tn.vm, Incarnation: jdaw.Incarnation("inc-" + tn.vm)})
	tn.view.Store(view(tn.vm, n))
	tn.snap.Store(config.NewSnapshot(doc, nil))
	tn.node = owner.NewNode(owner.NodeConfig{
		Self: tn.vm, Views: tn, Configs: tn, Header: tn.header,
		Client: func(addr string) (wire.PeerClient, error) {
			for _, other := range c.nodes {
				m, _ := tn.view.Load().Member(other.vm)
				if m.PeerAddr == addr {
					return other, nil
				}
			}
			return nil, errors.Newf("no VM at %q", addr)
		},
		AwaitRevision: func(_ context.Context, rev jdaw.Revision, _ string) error {
			tn.pulls.Add(1)
			newer := doc
			newer.Revision = rev
			tn.adopt(newer)
			return nil
		},
		Post: func(ev jdaw.Event) { tn.loop.Post(ev) },
		Outcomes: func(in *wire.OutcomesRequest) {
			tn.mu.Lock()
			defer tn.mu.Unlock()
			tn.counts = in.GetCounts()
		},
	})
	tn.loop = loop.New(loop.Config{
		Machines: []jdaw.Machine{machine},
		Execute:  func(a jdaw.Action) { tn.node.Execute(a) },
	})
	tn.loop.Post(config.Adopted{Snapshot: tn.snap.Load()})
	c.t.Cleanup(func() {
		tn.node.Close()
		tn.loop.Close()
	})
}

// owner returns the owner and another VM.
func (c *cluster) owner() (*testNode, *testNode) {
	m, _ := owner.Of(c.nodes[0].View(), c.nodes[0].Snapshot(), poolID)
	for i, n := range c.nodes {
		if n.vm == m.VM {
			return n, c.nodes[(i+1)%len(c.nodes)]
		}
	}
	c.t.Fatal("no owner")
	return nil, nil
}

func creditRequest(wait time.Duration) jdaw.CreditRequest {
	return jdaw.CreditRequest{Pool: poolID, Workspace: "a", Versions: []jdaw.ModelVersion{v2}, Wait: wait}
}

func acquire(t *testing.T, n *testNode, wait time.Duration) jdaw.Credit {
	t.Helper()
	c, err := n.node.Holder().Acquire(t.Context(), creditRequest(wait))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func mustFail(t *testing.T, n *testNode, wait time.Duration, code jdaw.Code, within time.Duration) {
	t.Helper()
	start := time.Now()
	_, err := n.node.Holder().Acquire(t.Context(), creditRequest(wait))
	if got := jdaw.CodeOf(err); got == nil || got.Code != code {
		t.Fatalf("got %v, want %s", err, code)
	}
	if took := time.Since(start); took > within {
		t.Errorf("the refusal took %s, want at most %s", took, within)
	}
}

// Guards against a broken path from the requester via the owner to the
// evaluator: credits are shared by all VMs, a release wakes the request that
// waits at another VM, and its outcome reaches the evaluator.
func TestCreditsBetweenVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	first := acquire(t, own, time.Second)
	acquire(t, other, time.Second)
	mustFail(t, other, 200*time.Millisecond, jdaw.CodeDeadline, time.Second)
	if left := time.Until(first.UseBefore); left > time.Second || left < 500*time.Millisecond {
		t.Errorf("the credit is valid for %s, want up to 1 s", left)
	}
	time.AfterFunc(1200*time.Millisecond, func() {
		own.node.Holder().Release(jdaw.CreditResult{Credit: first, Outcome: jdaw.OutcomeOK, FirstToken: time.Millisecond})
	})
	waited := acquire(t, other, 5*time.Second)
	if left := time.Until(waited.UseBefore); left < 500*time.Millisecond {
		t.Errorf("a credit that waited 1.2 s in the queue is valid for %s, want up to 1 s", left)
	}
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		for _, n := range c.nodes {
			n.mu.Lock()
			done := len(n.counts) == 1 && n.counts[0].GetOk() == 1 && n.counts[0].GetVersion() == "m@v2"
			n.mu.Unlock()
			if done {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the outcome did not reach the judge within 3 s")
}

// Guards against a requester that waits for a failed owner.
func TestOwnerThatIsGoneIsNoticedQuickly(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	own.isDown.Store(true)
	mustFail(t, other, 10*time.Second, jdaw.CodeNoOwner, time.Second)
	own.isDown.Store(false)
	acquire(t, other, time.Second)
	acquire(t, other, time.Second)
	// The call waits in the queue when the owner's host fails.
	time.AfterFunc(300*time.Millisecond, func() {
		v := view(other.vm, 3)
		for i := range v.Members {
			if v.Members[i].VM == own.vm {
				v.Members[i].State = jdaw.MemberSuspect
			}
		}
		other.see(v)
	})
	mustFail(t, other, 10*time.Second, jdaw.CodeNoOwner, time.Second)
}

// Guards against the use of a credit that the owner granted before it was
// paused, and against the loss of a credit whose requester was cancelled.
func TestLateCreditIsVoidAndGivenBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	own.delay.Store(int64(1100 * time.Millisecond))
	mustFail(t, other, 3*time.Second, jdaw.CodeNoOwner, 2*time.Second)
	own.delay.Store(0)
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _ = own.node.Holder().Acquire(ctx, creditRequest(time.Second))
	}
	acquire(t, own, time.Second)
	acquire(t, other, time.Second)
}

// Guards against a credit for a request that has ended: its caller would never
// release it, and the slot at the upstream stays in use for as long as the VM
// renews the credit. The grant arrives before the request checks whether it has
// ended, as on a busy machine.
func TestRequestThatHasEndedGetsNoCredit(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*owner.Node, context.Context) error{
		"of this VM": func(n *owner.Node, ctx context.Context) error {
			_, err := n.Holder().Acquire(ctx, creditRequest(time.Second))
			return err
		},
		"of another VM": func(n *owner.Node, ctx context.Context) error {
			_, err := n.Acquire(ctx, &wire.AcquireRequest{Header: &wire.Header{}, Pool: poolID.String()})
			return err
		},
	}
	for name, acquire := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			self := &testNode{vm: vmName(0)}
			self.view.Store(view(self.vm, 1))
			self.snap.Store(config.NewSnapshot(document(1), nil))
			granted, released := 0, 0
			self.node = owner.NewNode(owner.NodeConfig{
				Self: self.vm, Views: self, Configs: self, Header: self.header,
				Post: func(ev jdaw.Event) {
					switch ev := ev.(type) {
					case owner.AcquireRequested:
						granted++
						self.node.Execute(owner.Grant{Ticket: ev.Ticket, Credit: fmt.Sprint(granted), Pool: poolID, Upstream: upstreamName(0)})
					case owner.CreditsReleased:
						released += len(ev.Releases)
					}
				},
			})
			defer self.node.Close()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			const requests = 50
			for range requests {
				if err := acquire(self.node, ctx); err == nil {
					t.Fatal("a request that has ended got a credit")
				}
			}
			if granted != requests || released != requests {
				t.Errorf("%d credits granted and %d released, want %d", granted, released, requests)
			}
		})
	}
}

// Guards against a grant that was lost in transit: no VM holds the credit,
// and the renewals do not list it.
func TestLostGrantIsFreedByRenewals(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	for range 2 {
		header := other.header()
		in := &wire.AcquireRequest{Header: header, Pool: poolID.String(), Workspace: "a", Versions: []string{"m@v1"}, WaitMillis: 1000}
		if reply, err := own.node.Acquire(t.Context(), in); err != nil || reply.GetCode() != uint32(jdaw.CodeOK) {
			t.Fatal(reply, err)
		}
	}
	acquire(t, other, 6*time.Second)
}

// Guards against a requester or an owner that keeps a stale revision.
func TestRevisionsAgreeBeforeTheGrant(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	doc := own.Snapshot().Doc
	doc.Revision = 6
	own.adopt(doc)
	acquire(t, other, time.Second)
	if n := other.pulls.Load(); n != 1 {
		t.Errorf("the stale requester pulled %d times, want 1", n)
	}
	doc.Revision = 7
	other.adopt(doc)
	acquire(t, other, time.Second)
	if n := own.pulls.Load(); n != 1 {
		t.Errorf("the stale owner pulled %d times, want 1", n)
	}
}

// Guards against a new owner that starts from zero: it queries the holders and
// counts the credits that they hold.
func TestNewOwnerLearnsWhatIsHeld(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	held := acquire(t, other, time.Second)
	acquire(t, other, time.Second)
	own.isDown.Store(true)
	for _, n := range c.nodes {
		if n != own {
			n.see(view(n.vm, 3, own.vm))
		}
	}
	mustFail(t, other, time.Second, jdaw.CodeNoOwner, time.Second)
	time.Sleep(2300 * time.Millisecond)
	mustFail(t, other, 0, jdaw.CodeNoCapacity, time.Second)
	other.node.Holder().Release(jdaw.CreditResult{Credit: held, Outcome: jdaw.OutcomeOK, FirstToken: time.Millisecond})
	acquire(t, other, 2*time.Second)
}

// Guards against a load report that is ignored: it is the only source of the
// version, and a report with the leaving flag ends the grants.
func TestLoadReportsArePolled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	own, other := c.owner()
	doc := own.Snapshot().Doc
	doc.Upstreams[0].Versions = nil
	doc.Revision = 6
	for _, n := range c.nodes {
		n.adopt(doc)
	}
	mustFail(t, other, time.Second, jdaw.CodeNoUpstream, time.Second)
	report := *c.load.Load()
	report.Versions = []string{"m@v2"}
	c.load.Store(&report)
	time.Sleep(1300 * time.Millisecond)
	acquire(t, other, time.Second)
	report.Leaving = true
	c.load.Store(&report)
	time.Sleep(1300 * time.Millisecond)
	mustFail(t, other, time.Second, jdaw.CodeNoUpstream, time.Second)
	if stats := own.node.Stats(); len(stats) != 1 || stats[0].Firsts != 1 {
		t.Errorf("statistics %+v, want one first request", stats)
	}
}
