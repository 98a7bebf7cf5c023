package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
	"jackdawbarrow/store"
	"jackdawbarrow/wire"
)

var errUnreachable = errors.New("unreachable")

// cluster is a set of ledgers that share a fake key-value service over HTTP and
// reach each other by direct calls.
type cluster struct {
	t   testing.TB
	kv  *fakes.KeyValue
	srv *httptest.Server
	st  *store.Client // unaffected by VM faults
	vms []*vm

	mu      sync.Mutex
	members []jdaw.Member
	cut     bool // each region sees the others as dead
}

type vm struct {
	*ledger.Ledger
	c      *cluster
	id     jdaw.VMID
	addr   string
	dead   atomic.Bool
	gate   sync.RWMutex // write-locked while the VM is paused
	renews atomic.Int64
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, kv: fakes.NewKeyValue()}
	c.srv = httptest.NewServer(c.kv)
	c.st = c.client()
	for i := range n {
		c.members = append(c.members, jdaw.Member{
			VM:          jdaw.VMID(fmt.Sprintf("vm%d", i)),
			Incarnation: jdaw.Incarnation(config.RandomHex(8)),
			DataCentre:  jdaw.DataCentre(fmt.Sprintf("dc%d", i%3)),
			PeerAddr:    fmt.Sprintf("vm%d", i),
			State:       jdaw.MemberAlive,
		})
	}
	for _, m := range c.members {
		c.vms = append(c.vms, &vm{c: c, id: m.VM, addr: m.PeerAddr})
	}
	for i, v := range c.vms {
		v.Ledger = c.startLedger(v, i, c.members[i].Incarnation)
	}
	t.Cleanup(func() {
		c.kv.SetFault(fakes.KeyValueFault{})
		for _, v := range c.vms {
			if !v.dead.Load() {
				v.Kill()
			}
		}
		c.srv.Close()
	})
	return c
}

func (c *cluster) client() *store.Client {
	st, err := store.New(store.Config{
		Addresses: []string{c.srv.URL}, ReadTimeout: 300 * time.Millisecond, WriteTimeout: 300 * time.Millisecond,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return st
}

func (c *cluster) startLedger(v *vm, i int, inc jdaw.Incarnation) *ledger.Ledger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return ledger.New(ledger.Config{
		VM:          v.id,
		Incarnation: inc,
		Store:       &gatedStore{Store: c.client(), vm: v},
		Views:       view{c, v.id},
		Config:      signing{},
		Client: func(addr string) (wire.PeerClient, error) {
			for _, target := range c.vms {
				if target.addr == addr {
					return &peer{from: v, to: target}, nil
				}
			}
			return nil, errUnreachable
		},
		Renew: func(jdaw.Incarnation) jdaw.Incarnation {
			v.renews.Add(1)
			inc := jdaw.Incarnation(config.RandomHex(8))
			c.mu.Lock()
			defer c.mu.Unlock()
			c.members[i].Incarnation = inc
			c.members[i].State = jdaw.MemberAlive
			return inc
		},
		Log: log,
	})
}

type signing struct{}

func (signing) Snapshot() *config.Snapshot {
	return config.NewSnapshot(config.Document{SessionKeys: []config.SessionKey{{ID: "k1", Secret: "s1"}}}, nil)
}

type view struct {
	c    *cluster
	self jdaw.VMID
}

func (w view) View() *jdaw.View {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	v := &jdaw.View{Self: w.self, Members: append([]jdaw.Member(nil), w.c.members...)}
	self, _ := v.Member(w.self)
	for i := range v.Members {
		if w.c.cut && v.Members[i].Region != self.Region {
			v.Members[i].State = jdaw.MemberDead
		}
	}
	return v
}

// setCut partitions the regions in the member tables.
func (c *cluster) setCut(cut bool) {
	c.mu.Lock()
	c.cut = cut
	c.mu.Unlock()
	for _, v := range c.vms {
		v.ViewChanged(view{c, v.id}.View())
	}
}

// setState changes the member table and notifies all running VMs.
func (c *cluster) setState(i int, s jdaw.MemberState) {
	c.mu.Lock()
	c.members[i].State = s
	c.mu.Unlock()
	for _, v := range c.vms {
		if !v.dead.Load() && v != c.vms[i] {
			v.ViewChanged(view{c, v.id}.View())
		}
	}
}

// kill crashes VM i; the others are not notified.
func (c *cluster) kill(i int) {
	if c.vms[i].dead.Swap(true) {
		return
	}
	c.vms[i].Kill()
}

// gatedStore is one VM's connection to the store.
type gatedStore struct {
	jdaw.Store
	vm *vm
}

func (s *gatedStore) pass() error {
	s.vm.gate.RLock()
	defer s.vm.gate.RUnlock()
	if s.vm.dead.Load() {
		return errUnreachable
	}
	return nil
}

func (s *gatedStore) Put(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if err := s.pass(); err != nil {
		return false, err
	}
	return s.Store.Put(ctx, key, value, index)
}

func (s *gatedStore) Get(ctx context.Context, key string) (jdaw.Item, bool, error) {
	if err := s.pass(); err != nil {
		return jdaw.Item{}, false, err
	}
	return s.Store.Get(ctx, key)
}

// peer carries Copy and KeyStatus from one VM to another.
type peer struct {
	wire.PeerClient
	from, to *vm
}

func (p *peer) reach(ctx context.Context) error {
	p.from.gate.RLock()
	p.from.gate.RUnlock() //nolint:staticcheck // waits while the sender is paused
	if p.from.dead.Load() || p.to.dead.Load() {
		return errUnreachable
	}
	if !p.to.gate.TryRLock() {
		<-ctx.Done()
		return ctx.Err()
	}
	p.to.gate.RUnlock()
	return nil
}

func (p *peer) Copy(ctx context.Context, q *wire.CopyRequest, _ ...grpc.CallOption) (*wire.CopyReply, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.to.Copy(ctx, q)
}

func (p *peer) KeyStatus(ctx context.Context, q *wire.KeyStatusRequest, _ ...grpc.CallOption) (*wire.KeyStatusReply, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.to.KeyStatus(ctx, q)
}

// seen is a caller's view of one request.
type seen struct {
	cost    float64
	settled bool // Settle was called and succeeded before its VM died
	called  bool // Settle was called
}

// callers run requests until stop is closed.
type callers struct {
	mu       sync.Mutex
	requests map[jdaw.RequestID]*seen
	settled  atomic.Int64
	refused  atomic.Int64
	wg       sync.WaitGroup
	stop     chan struct{}
}

func (c *cluster) startCallers(perVM int, seed uint64) *callers {
	cs := &callers{requests: map[jdaw.RequestID]*seen{}, stop: make(chan struct{})}
	for i, v := range c.vms {
		for k := range perVM {
			random := rand.New(rand.NewPCG(seed, uint64(i*100+k)))
			cs.wg.Go(func() { cs.run(v, random) })
		}
	}
	return cs
}

func (cs *callers) run(v *vm, random *rand.Rand) {
	for !v.dead.Load() {
		select {
		case <-cs.stop:
			return
		default:
		}
		cs.one(v, random)
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

func (cs *callers) one(v *vm, random *rand.Rand) {
	ctx := context.Background()
	b := jdaw.Bill{Workspace: "w"}
	id, err := v.Open(ctx, b)
	if err != nil {
		cs.refused.Add(1)
		return
	}
	if v.dead.Load() {
		return
	}
	s := &seen{cost: 1 + random.Float64()}
	cs.mu.Lock()
	cs.requests[id] = s
	cs.mu.Unlock()
	time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	b.RequestID, b.Cost = id, s.cost
	cs.mu.Lock()
	s.called = true
	cs.mu.Unlock()
	err = v.Settle(ctx, b.WithSettlement(jdaw.CodeOK, time.Now()))
	if err == nil && !v.dead.Load() {
		cs.mu.Lock()
		s.settled = true
		cs.mu.Unlock()
		cs.settled.Add(1)
	}
}

// awaitOpened waits until each VM has opened a request. A VM that ends earlier
// has no journal to seal.
func (cs *callers) awaitOpened(c *cluster) {
	c.t.Helper()
	for _, v := range c.vms {
		for began := time.Now(); !cs.hasOpened(v.Incarnation()); time.Sleep(time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				c.t.Fatalf("%s opened no request within 10 s", v.id)
			}
		}
	}
}

func (cs *callers) hasOpened(inc jdaw.Incarnation) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id := range cs.requests {
		if id.Incarnation() == inc {
			return true
		}
	}
	return false
}

func (cs *callers) end() {
	close(cs.stop)
	cs.wg.Wait()
}

// check compares the export with what the callers observed: exactly one bill per
// request, with the cost of its settlement if that succeeded.
func (c *cluster) check(cs *callers) {
	c.t.Helper()
	ctx := context.Background()
	c.kv.SetFault(fakes.KeyValueFault{})
	for _, v := range c.vms {
		if !v.dead.Load() {
			if err := v.Close(ctx); err != nil {
				c.t.Fatal(err)
			}
			v.dead.Store(true)
			continue
		}
		c.waitSealed(v.Incarnation())
	}
	bills, err := ledger.ExportAt(ctx, c.st, time.Now().Add(2*ledger.LateSettlement))
	if err != nil {
		c.t.Fatal(err)
	}
	again, err := ledger.Export(ctx, c.st)
	if err != nil || len(again) != len(bills) {
		c.t.Fatalf("second export: %d bills after %d, %v", len(again), len(bills), err)
	}
	found := map[jdaw.RequestID]bool{}
	for i, b := range bills {
		if again[i].RequestID != b.RequestID || again[i].Cost != b.Cost || again[i].Code != b.Code {
			c.t.Errorf("bill changed from %+v to %+v", b, again[i])
		}
		if found[b.RequestID] {
			c.t.Errorf("two bills for %s", b.RequestID)
		}
		found[b.RequestID] = true
		if b.State != jdaw.BillSettled {
			c.t.Errorf("%s is still open", b.RequestID)
		}
		s := cs.requests[b.RequestID]
		switch {
		case s == nil && b.Cost != 0:
			c.t.Errorf("%s is billed %v and was never opened", b.RequestID, b.Cost)
		case s == nil:
		case s.settled && (b.Cost != s.cost || b.Code != jdaw.CodeOK):
			c.t.Errorf("%s was settled at %v and is billed %v (%s)", b.RequestID, s.cost, b.Cost, b.Code)
		case !s.settled && b.Cost != 0 && (!s.called || b.Cost != s.cost):
			c.t.Errorf("%s is billed %v, attempted %v", b.RequestID, b.Cost, s.cost)
		case !s.settled && b.Cost == 0 && b.Code != jdaw.CodeOutcomeUnknown:
			c.t.Errorf("%s is billed zero with code %s", b.RequestID, b.Code)
		}
	}
	for id := range cs.requests {
		if !found[id] {
			c.t.Errorf("no bill for %s", id)
		}
	}
	if cs.settled.Load() == 0 {
		c.t.Error("no request was settled")
	}
}

func (c *cluster) waitSealed(inc jdaw.Incarnation) {
	c.t.Helper()
	for range 1000 {
		if ledger.IsSealed(context.Background(), c.st, inc) {
			// The second holder may still write its entries.
			time.Sleep(300 * time.Millisecond)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("journal %s was not sealed within 10 s", inc)
}
