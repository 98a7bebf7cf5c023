package spread_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/loop"
	"jackdawbarrow/peers"
	"jackdawbarrow/spread"
	"jackdawbarrow/wire"
)

var errDown = errors.New("store is down")

// memoryStore is a jdaw.Store with one key that can fail. Methods that package
// spread does not call are those of the nil interface.
type memoryStore struct {
	jdaw.Store

	mu      sync.Mutex
	item    jdaw.Item
	changed chan struct{}
	down    bool
	// loseAnswers is the number of next writes that take effect and fail.
	loseAnswers int
	// failAfterWrite makes the reads fail that follow a lost answer.
	failAfterWrite int
	failReads      int
	puts           int
	watches        int
}

func newStore(doc config.Document) *memoryStore {
	s := &memoryStore{changed: make(chan struct{})}
	value, _ := doc.Encode()
	s.item = jdaw.Item{Key: config.StoreKey, Value: value, Index: 1}
	return s
}

func (s *memoryStore) Get(context.Context, string) (jdaw.Item, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.failReads > 0 {
		s.failReads--
		return jdaw.Item{}, false, errDown
	}
	return s.item, s.item.Index > 0, nil
}

func (s *memoryStore) Put(_ context.Context, _ string, value []byte, index uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.down {
		return false, errDown
	}
	if index != s.item.Index {
		return false, nil
	}
	s.item.Value = value
	s.item.Index++
	close(s.changed)
	s.changed = make(chan struct{})
	if s.loseAnswers > 0 {
		s.loseAnswers--
		s.failReads = s.failAfterWrite
		return false, errDown
	}
	return true, nil
}

func (s *memoryStore) Watch(ctx context.Context, _ string, index uint64, wait time.Duration) (jdaw.Item, bool, error) {
	s.mu.Lock()
	s.watches++
	defer func() {
		s.watches--
		s.mu.Unlock()
	}()
	timeout := time.After(wait)
	for {
		if s.down {
			return jdaw.Item{}, false, errDown
		}
		if s.item.Index > index {
			return s.item, true, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
		case <-timeout:
			s.mu.Lock()
			return s.item, s.item.Index > 0, nil
		case <-ctx.Done():
			s.mu.Lock()
			return jdaw.Item{}, false, ctx.Err()
		}
	}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) document() config.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, err := config.DecodeDocument(s.item.Value)
	if err != nil {
		panic(err)
	}
	return doc
}

// vm is one VM on loopback.
type vm struct {
	peers  *peers.Node
	spread *spread.Node
	loop   *loop.Loop
	grpc   *grpc.Server
	addr   string
	fell   atomic.Bool // a revision went back
	stop   sync.Once
}

type server struct {
	wire.UnimplementedPeerServer
	v *vm
}

func (s server) Probe(ctx context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.v.peers.Probe(ctx, req)
}

func (s server) ProbeFor(ctx context.Context, req *wire.ProbeForRequest) (*wire.ProbeForReply, error) {
	return s.v.peers.ProbeFor(ctx, req)
}

func (s server) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	return s.v.peers.Join(ctx, req)
}

func (s server) Hint(ctx context.Context, req *wire.HintRequest) (*wire.HintReply, error) {
	return s.v.spread.Hint(ctx, req)
}

func (s server) Pull(ctx context.Context, req *wire.PullRequest) (*wire.PullReply, error) {
	return s.v.spread.Pull(ctx, req)
}

func startVM(t *testing.T, id string, kv jdaw.Store, seeds ...string) *vm {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{grpc: grpc.NewServer(), addr: lis.Addr().String()}
	ready := make(chan struct{}) // the loop may act before New has returned
	post := func(ev jdaw.Event) {
		<-ready
		v.loop.Post(ev)
	}
	v.peers = peers.New(peers.Config{
		Self: jdaw.Member{
			VM: jdaw.VMID(id), Incarnation: jdaw.Incarnation("inc-" + id), DataCentre: "oban",
			Region: "scot-west", PeerAddr: v.addr,
		},
		Seeds: seeds, Post: post,
	})
	v.spread = spread.New(spread.Config{Self: jdaw.VMID(id), Peers: v.peers, Store: kv, Post: post})
	highest := jdaw.Revision(0)
	v.loop = loop.New(loop.Config{
		Machines: []jdaw.Machine{v.peers.Machine(), v.spread.Machine()},
		Execute: func(a jdaw.Action) {
			if ad, ok := a.(config.Adopted); ok {
				if ad.Snapshot.Revision() < highest {
					v.fell.Store(true)
				}
				highest = ad.Snapshot.Revision()
			}
			if !v.peers.Execute(a) && !v.spread.Execute(a) {
				t.Errorf("action %s has no executor", a.ActionName())
			}
		},
	})
	close(ready)
	wire.RegisterPeerServer(v.grpc, server{v: v})
	go func() { _ = v.grpc.Serve(lis) }()
	t.Cleanup(v.close)
	return v
}

func (v *vm) close() {
	v.stop.Do(func() {
		v.grpc.Stop()
		v.spread.Close()
		v.loop.Close()
		v.peers.Close()
	})
}

func (v *vm) revision() jdaw.Revision {
	if snap := v.spread.Snapshot(); snap != nil {
		return snap.Revision()
	}
	return 0
}

func startVMs(t *testing.T, n int, kv jdaw.Store) []*vm {
	t.Helper()
	vms := []*vm{startVM(t, "vm0", kv)}
	for i := 1; i < n; i++ {
		vms = append(vms, startVM(t, fmt.Sprintf("vm%d", i), kv, vms[0].addr))
	}
	within(t, 6*time.Second, "all VMs know each other and have the document", all(vms, func(v *vm) bool {
		return len(v.peers.View().Serving()) == n && v.revision() > 0
	}))
	return vms
}

func all(vms []*vm, ok func(*vm) bool) func() bool {
	return func() bool {
		for _, v := range vms {
			if !ok(v) {
				return false
			}
		}
		return true
	}
}

func within(t *testing.T, limit time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !done() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(begin)
}

func firstDocument() config.Document {
	return config.Document{
		Revision:    1,
		DataCentres: []config.DataCentre{{Name: "oban", Region: "scot-west"}, {Name: "largs", Region: "scot-west"}},
	}
}

// addOperator is a change that adds an operator with the id of the change.
func addOperator(id string, objects ...string) spread.Change {
	return spread.Change{ID: id, Objects: objects, Apply: func(doc config.Document) (config.Document, error) {
		doc.Operators = append(append([]config.Operator(nil), doc.Operators...), config.Operator{Name: id})
		return doc.WithRecord(config.ChangeRecord{ID: id, Operator: "ann", Objects: objects}), nil
	}}
}

func submit(t *testing.T, v *vm, c spread.Change) spread.Result {
	t.Helper()
	res, err := v.spread.Submit(context.Background(), c)
	if err != nil {
		t.Fatalf("submit %s: %v", c.ID, err)
	}
	return res
}

// Guards against an accepted change that some VMs do not have after 6 s, an
// answer that counts wrongly, and watches that grow with the VMs.
func TestRevisionReachesAllVMs(t *testing.T) {
	kv := newStore(firstDocument())
	vms := startVMs(t, 8, kv)
	begin := time.Now()
	res := submit(t, vms[5], addOperator("c1", "operator/c1"))
	t.Logf("revision %d in force at %d of %d VMs after %v", res.Revision, res.InForce, res.Known, time.Since(begin))
	if res.Revision != 2 || res.InForce != 8 || res.Known != 8 || len(res.Unconfirmed) != 0 {
		t.Fatalf("result %+v, want revision 2 at 8 of 8 VMs", res)
	}
	for i, v := range vms {
		if v.revision() != 2 {
			t.Errorf("vm%d has revision %d after the answer named it", i, v.revision())
		}
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.watches > 2 {
		t.Errorf("%d watches in one data centre, want at most 2", kv.watches)
	}
}

// Guards against a change written by another process that only the watchers
// see, without a push to all members.
func TestWatchedRevisionSpreads(t *testing.T) {
	kv := newStore(firstDocument())
	vms := startVMs(t, 8, kv)
	doc := firstDocument()
	doc.Revision = 5
	value, _ := doc.Encode()
	if ok, err := kv.Put(context.Background(), config.StoreKey, value, 1); !ok || err != nil {
		t.Fatal("write failed", err)
	}
	took := within(t, 3*time.Second, "all VMs have revision 5", all(vms, func(v *vm) bool { return v.revision() == 5 }))
	t.Logf("revision at all 8 VMs after %v", took)
}

// Guards against a failed VM that delays or falsifies the answer.
func TestUnconfirmedVMIsNamed(t *testing.T) {
	vms := startVMs(t, 4, newStore(firstDocument()))
	vms[2].close()
	begin := time.Now()
	res := submit(t, vms[0], addOperator("c1"))
	if took := time.Since(begin); took > 7*time.Second {
		t.Errorf("answer after %v, want it within 6 s", took)
	}
	if res.InForce != 3 || res.Known != 4 || fmt.Sprint(res.Unconfirmed) != "[vm2]" {
		t.Fatalf("result %+v, want 3 of 4 VMs without vm2", res)
	}
}

// Guards against lost, doubled or reverted changes when operators submit at
// the same time at different VMs.
func TestRacingSubmitters(t *testing.T) {
	kv := newStore(firstDocument())
	vms := startVMs(t, 4, kv)
	var wg sync.WaitGroup
	for i := 0; i < 16; i++ {
		wg.Go(func() {
			id := fmt.Sprintf("c%d", i)
			if _, err := vms[i%4].spread.Submit(context.Background(), addOperator(id, "operator/"+id)); err != nil {
				t.Errorf("submit %s: %v", id, err)
			}
		})
	}
	wg.Wait()
	doc := kv.document()
	names := map[string]int{}
	for _, o := range doc.Operators {
		names[o.Name]++
	}
	if doc.Revision != 17 || len(names) != 16 || len(doc.Operators) != 16 {
		t.Errorf("revision %d with %d operators, want 17 with 16", doc.Revision, len(doc.Operators))
	}
	within(t, 3*time.Second, "all VMs have the last revision", all(vms, func(v *vm) bool { return v.revision() == 17 }))
	for i, v := range vms {
		if v.fell.Load() {
			t.Errorf("a revision went back at vm%d", i)
		}
	}
}

// Guards against an operator overwriting what another has just changed.
func TestConflict(t *testing.T) {
	doc := firstDocument()
	for _, id := range []string{"first", "other"} {
		doc, _ = addOperator(id, "operator/of "+id).Apply(doc)
	}
	tests := map[string]struct {
		base    jdaw.Revision
		objects string
		want    jdaw.Code
	}{
		"same object":                {1, "operator/of first", jdaw.CodeConflict},
		"same object, seen":          {2, "operator/of first", 0},
		"different object":           {1, "operator/z", 0},
		"base that does not exist":   {99, "operator/q", jdaw.CodeConflict},
		"base that is not specified": {0, "operator/of first", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := startVMs(t, 1, newStore(doc))[0]
			c := addOperator("late", tt.objects)
			c.Base = tt.base
			_, err := v.spread.Submit(context.Background(), c)
			if tt.want == 0 {
				if err != nil || v.revision() != 4 {
					t.Fatalf("revision %d, error %v, want revision 4", v.revision(), err)
				}
				return
			}
			if got := jdaw.CodeOf(err); err == nil || got.Code != tt.want {
				t.Fatalf("error %v, want code %d", err, tt.want)
			}
			if name == "same object" && (!strings.Contains(err.Error(), "late") || !strings.Contains(err.Error(), "first")) {
				t.Errorf("%v does not name both changes", err)
			}
		})
	}
}

// Guards against a change that is written twice or reported as failed because
// the answer to the write was lost.
func TestLostAnswerToWrite(t *testing.T) {
	kv := newStore(firstDocument())
	vms := startVMs(t, 2, kv)
	kv.mu.Lock()
	kv.loseAnswers, kv.failAfterWrite, kv.puts = 1, 3, 0
	kv.mu.Unlock()
	res := submit(t, vms[1], addOperator("c1"))
	doc := kv.document()
	if res.Revision != 2 || doc.Revision != 2 || len(doc.Operators) != 1 || kv.puts != 1 {
		t.Fatalf("answer for revision %d; revision %d with %d operators after %d writes, want 2, 2, 1, 1",
			res.Revision, doc.Revision, len(doc.Operators), kv.puts)
	}
}

// Guards against a claim that a change was not accepted while that is unknown,
// and against a claim of doubt when nothing was sent.
func TestOutageDuringSubmit(t *testing.T) {
	kv := newStore(firstDocument())
	vms := startVMs(t, 1, kv)
	kv.mu.Lock()
	kv.loseAnswers, kv.failAfterWrite = 1, 1<<30
	kv.mu.Unlock()
	_, err := vms[0].spread.Submit(context.Background(), addOperator("c1"))
	if got := jdaw.CodeOf(err); err == nil || got.Code != jdaw.CodeOutcomeUnknown {
		t.Errorf("error %v after a lost answer and an outage, want outcomeUnknown", err)
	}
	kv.setDown(true)
	_, err = vms[0].spread.Submit(context.Background(), addOperator("c2"))
	if got := jdaw.CodeOf(err); err == nil || got.Code != jdaw.CodeStoreUnavailable {
		t.Errorf("error %v in an outage, want storeUnavailable", err)
	}
}

// Guards against an urgent order that waits for the store, that is lost when
// the store is back, or that is written twice.
func TestSuspensionIsFoldedAfterOutage(t *testing.T) {
	kv := newStore(firstDocument())
	vms := startVMs(t, 6, kv)
	kv.setDown(true)
	begin := time.Now()
	res, err := vms[4].spread.Suspend(context.Background(), jdaw.Suspension{ID: "s1", Kind: jdaw.SuspendDataCentre, Name: "oban", Operator: "ann"})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("suspension at %d of %d VMs after %v", res.InForce, res.Known, time.Since(begin))
	if res.Code != jdaw.CodeSuspended || res.InForce != 6 || time.Since(begin) > 3*time.Second {
		t.Errorf("result %+v after %v, want suspended at 6 VMs within 3 s", res, time.Since(begin))
	}
	isOut := func(v *vm) bool { return v.spread.Snapshot().IsOut("oban") }
	if !all(vms, isOut)() {
		t.Error("a VM confirmed the suspension and still uses oban")
	}
	late := startVM(t, "late", kv, vms[0].addr)
	within(t, 4*time.Second, "a VM that starts in the outage has the suspension", func() bool {
		return late.revision() == 1 && isOut(late)
	})
	vms = append(vms, late)
	kv.setDown(false)
	took := within(t, 6*time.Second, "the suspension is folded everywhere", all(vms, func(v *vm) bool {
		return v.revision() == 2 && len(v.spread.Snapshot().Suspensions) == 0
	}))
	t.Logf("folded everywhere %v after the outage", took)
	if !all(vms, isOut)() {
		t.Error("oban is in service after the fold")
	}
	time.Sleep(1500 * time.Millisecond)
	if doc := kv.document(); doc.Revision != 2 || !doc.HasChange("fold-s1") || fmt.Sprint(doc.ResolvedSuspensions) != "[s1]" {
		t.Errorf("document %+v, want one folding change", doc)
	}
}

// Guards against two VMs that fold the same suspension at once and make two
// changes of it.
func TestFoldsAtOnceAreOneChange(t *testing.T) {
	kv := newStore(firstDocument())
	vms := []*vm{startVM(t, "one", kv), startVM(t, "two", kv)} // they do not know each other
	within(t, 3*time.Second, "both have the document", all(vms, func(v *vm) bool { return v.revision() == 1 }))
	for _, v := range vms {
		if _, err := v.spread.Suspend(context.Background(), jdaw.Suspension{ID: "s1", Kind: jdaw.SuspendVM, Name: "entry1"}); err != nil {
			t.Fatal(err)
		}
	}
	within(t, 5*time.Second, "both have the fold", all(vms, func(v *vm) bool {
		return v.revision() == 2 && len(v.spread.Snapshot().Suspensions) == 0
	}))
	time.Sleep(1500 * time.Millisecond)
	if doc := kv.document(); doc.Revision != 2 || len(doc.DrainingVMs) != 1 {
		t.Errorf("revision %d with draining VMs %v, want 2 with entry1", doc.Revision, doc.DrainingVMs)
	}
}

// Guards against an owner that decides by an old configuration although the
// request came from a VM with a newer one.
func TestAwaitRevision(t *testing.T) {
	kv := newStore(firstDocument())
	ahead := startVM(t, "ahead", kv)
	within(t, 3*time.Second, "the document", func() bool { return ahead.revision() == 1 })
	submit(t, ahead, addOperator("c1"))
	down := newStore(firstDocument())
	down.setDown(true)
	owner := startVM(t, "owner", down)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := owner.spread.AwaitRevision(ctx, 2, ahead.addr); err != nil || owner.revision() != 2 {
		t.Fatalf("revision %d, error %v, want revision 2", owner.revision(), err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := owner.spread.AwaitRevision(ctx, 3, ahead.addr); jdaw.CodeOf(err) == nil || jdaw.CodeOf(err).Code != jdaw.CodeBehind {
		t.Fatalf("error %v for a revision that nobody has, want behind", err)
	}
}
