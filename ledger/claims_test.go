package ledger_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"jackdawbarrow"
	"jackdawbarrow/fakes"
)

// claimOp is the input of one step on a key. Finish is two operations over the
// same interval: from "answer" on, other claims may return the answer; from
// "finish" on, they must.
type claimOp struct {
	kind string // claim, dispatch, release, answer, finish, kill
	id   jdaw.RequestID
	text string // body of a claim, or answer
}

type claimOut struct {
	state string // a jdaw.ClaimState, "error", "reused", "ok" or "false"
	text  string
}

// claimModel is the state of one key in the sequential specification.
type claimModel struct {
	holder     jdaw.RequestID
	body       string // of the holder
	released   bool   // the holder's request never runs
	dispatched bool
	answered   string
	settled    bool
	attempted  bool // a claim failed and may have taken effect
	killed     bool
}

func stepClaim(state, input, output any) (bool, any) {
	s, in, out := state.(claimModel), input.(claimOp), output.(claimOut)
	taken := s.holder != "" || s.attempted
	switch in.kind {
	case "kill":
		s.killed = true
		return true, s
	case "dispatch":
		ok := s.holder == in.id && !s.released && !s.dispatched
		if out.state == "ok" {
			s.dispatched = true
			return ok, s
		}
		return !ok, s
	case "release":
		if s.holder == in.id && !s.dispatched {
			s.released = true
			return true, s
		}
		return false, s
	case "answer":
		s.answered = in.text
		return s.holder == in.id && s.dispatched, s
	case "finish":
		s.settled = true
		return s.answered == in.text, s
	}
	switch out.state {
	case "error":
		s.attempted = true
		return true, s
	case "reused":
		return s.attempted || s.holder != "" && s.body != in.text, s
	}
	if s.holder != "" && s.body != in.text && !s.attempted {
		return false, s
	}
	switch jdaw.ClaimState(out.state) {
	case jdaw.ClaimMine:
		ok := !s.dispatched && (s.holder == "" || s.released)
		s.holder, s.body, s.released = in.id, in.text, false
		return ok, s
	case jdaw.ClaimSettled:
		return s.answered != "" && s.answered == out.text, s
	case jdaw.ClaimRunning:
		return taken && !s.settled, s
	case jdaw.ClaimUnknown:
		return taken && s.killed, s
	}
	return false, s
}

// claimHistory records the operations on one key.
type claimHistory struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
	runs  int
}

func (h *claimHistory) now() int64 { return time.Since(h.begin).Nanoseconds() }

func (h *claimHistory) add(client int, in claimOp, out claimOut, call, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: ret})
}

// claimClient retries a keyed request at random VMs until it has an answer.
func claimClient(c *cluster, h *claimHistory, client int, key string, random *rand.Rand, stop <-chan struct{}) {
	ctx := context.Background()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
		}
		v := c.vms[random.IntN(len(c.vms))]
		if v.dead.Load() {
			continue
		}
		id, err := v.Open(ctx, jdaw.Bill{Workspace: "w"})
		if err != nil || v.dead.Load() {
			continue
		}
		in := claimOp{kind: "claim", id: id, text: "body"}
		if random.IntN(8) == 0 {
			in.text = "other"
		}
		call := h.now()
		got, err := v.Claim(ctx, "w", key, id, in.text)
		out := claimOut{state: string(got.State), text: string(got.Answer.Body)}
		if err != nil {
			out = claimOut{state: "error"}
			if jdaw.CodeOf(err).Code == jdaw.CodeKeyReused {
				out.state = "reused"
			}
		}
		if v.dead.Load() {
			// The process died before its caller received the result.
			h.add(client, in, claimOut{state: "error"}, call, math.MaxInt64)
			continue
		}
		h.add(client, in, out, call, h.now())
		if got.State == jdaw.ClaimMine {
			runClaimed(c, h, client, key, v, id, random)
		} else {
			_ = v.Settle(ctx, jdaw.Bill{RequestID: id}.WithSettlement(jdaw.CodeKeyRunning, time.Now()))
		}
	}
}

// runClaimed executes the request that holds the claim.
func runClaimed(_ *cluster, h *claimHistory, client int, key string, v *vm, id jdaw.RequestID, random *rand.Rand) {
	ctx := context.Background()
	time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	call := h.now()
	if random.IntN(2) == 0 { // rejected before dispatch
		_ = v.Settle(ctx, jdaw.Bill{RequestID: id}.WithSettlement(jdaw.CodeNoCapacity, time.Now()))
		h.add(client, claimOp{kind: "release", id: id}, claimOut{state: "ok"}, call, h.now())
		return
	}
	if v.dead.Load() {
		return
	}
	out := claimOut{state: "false"}
	if v.BeginDispatch(id) {
		out.state = "ok"
		h.mu.Lock()
		h.runs++
		h.mu.Unlock()
	}
	h.add(client, claimOp{kind: "dispatch", id: id}, out, call, h.now())
	if out.state != "ok" {
		return
	}
	time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	answer := "answer of " + string(id)
	call = h.now()
	_ = v.Settle(ctx, jdaw.Bill{RequestID: id}.WithSettlement(jdaw.CodeOK, time.Now()))
	err := v.Finish(ctx, "w", key, id, jdaw.StoredAnswer{Status: 200, Body: []byte(answer)})
	ret := h.now()
	if v.dead.Load() {
		ret = math.MaxInt64
	}
	h.add(client, claimOp{kind: "answer", id: id, text: answer}, claimOut{state: "ok"}, call, ret)
	if err == nil && ret != math.MaxInt64 {
		h.add(client, claimOp{kind: "finish", id: id, text: answer}, claimOut{state: "ok"}, call, ret)
	}
}

// Each case guards against a keyed request that runs twice, or whose retry
// gets an answer other than that of its run, when several VMs claim the same
// key concurrently. The histories must be linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	cases := map[string]func(c *cluster, random *rand.Rand, killed func()){
		"no failure": func(*cluster, *rand.Rand, func()) {
			time.Sleep(300 * time.Millisecond)
		},
		"home dies": func(c *cluster, random *rand.Rand, killed func()) {
			time.Sleep(time.Duration(20+random.IntN(150)) * time.Millisecond)
			killed()
			c.kill(0)
			time.Sleep(100 * time.Millisecond)
			c.setState(0, jdaw.MemberDead)
			time.Sleep(150 * time.Millisecond)
		},
		"lost answers": func(c *cluster, random *rand.Rand, _ func()) {
			c.kv.SetFault(fakes.KeyValueFault{LoseAnswers: 0.4, LoseRequests: 0.2, Seed: random.Uint64()})
			time.Sleep(500 * time.Millisecond)
			c.kv.SetFault(fakes.KeyValueFault{})
			time.Sleep(100 * time.Millisecond)
		},
		"outage and lost answers": func(c *cluster, random *rand.Rand, _ func()) {
			c.kv.SetFault(fakes.KeyValueFault{LoseAnswers: 0.4, Seed: random.Uint64()})
			time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
			// Longer than the timeout of a claim.
			c.kv.SetFault(fakes.KeyValueFault{Outage: fakes.OutageCut})
			time.Sleep(3500 * time.Millisecond)
			c.kv.SetFault(fakes.KeyValueFault{})
			time.Sleep(300 * time.Millisecond)
		},
		"paused home": func(c *cluster, random *rand.Rand, killed func()) {
			time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
			killed() // declared dead, so that its claims become unknown
			c.vms[0].gate.Lock()
			c.setState(0, jdaw.MemberDead)
			time.Sleep(300 * time.Millisecond)
			c.vms[0].gate.Unlock()
			c.setState(0, jdaw.MemberAlive)
			time.Sleep(200 * time.Millisecond)
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					t.Parallel()
					checkClaims(t, seed, inject)
				})
			}
		})
	}
}

func checkClaims(t *testing.T, seed uint64, inject func(*cluster, *rand.Rand, func())) {
	c := newCluster(t, 4)
	const keys, clients = 3, 4
	histories := make([]*claimHistory, keys)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k := range histories {
		h := &claimHistory{begin: time.Now()}
		histories[k] = h
		for i := range clients {
			random := rand.New(rand.NewPCG(seed, uint64(k*100+i)))
			wg.Go(func() { claimClient(c, h, i, fmt.Sprint("key ", k), random, stop) })
		}
	}
	inject(c, rand.New(rand.NewPCG(seed, 7)), func() {
		for _, h := range histories {
			now := h.now()
			h.add(clients, claimOp{kind: "kill"}, claimOut{}, now, now)
		}
	})
	close(stop)
	wg.Wait()
	model := porcupine.Model{Init: func() any { return claimModel{} }, Step: stepClaim}
	for k, h := range histories {
		if h.runs > 1 {
			t.Errorf("key %d ran %d times", k, h.runs)
		}
		if r := porcupine.CheckOperationsTimeout(model, h.ops, 30*time.Second); r != porcupine.Ok {
			t.Errorf("key %d: the history is not linearizable (%s)", k, r)
			for _, op := range h.ops {
				t.Logf("%d %d..%d %+v -> %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
			}
		}
	}
}

// Guards against a caller's key that is accepted in a store outage without
// being recorded, and against an answer that is lost because the outage began
// while the request ran.
func TestClaimInOutage(t *testing.T) {
	c := newCluster(t, 3)
	ctx := context.Background()
	open := func(v *vm) jdaw.RequestID {
		id, err := v.Open(ctx, jdaw.Bill{Workspace: "w"})
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	id := open(c.vms[0])
	if got, err := c.vms[0].Claim(ctx, "w", "k", id, "b"); err != nil || got.State != jdaw.ClaimMine || !c.vms[0].BeginDispatch(id) {
		t.Fatalf("claim: %+v %v", got, err)
	}
	c.kv.SetFault(fakes.KeyValueFault{Outage: fakes.OutageRefuse})
	answer := jdaw.StoredAnswer{Status: 200, ContentType: "text/plain", Body: []byte("done")}
	if err := c.vms[0].Finish(ctx, "w", "k", id, answer); err == nil || jdaw.CodeOf(err).Code != jdaw.CodeStoreUnavailable {
		t.Fatalf("Finish in the outage: %v", err)
	}
	if _, err := c.vms[1].Claim(ctx, "w", "k2", open(c.vms[1]), "b"); err == nil || jdaw.CodeOf(err).Code != jdaw.CodeStoreUnavailable {
		t.Fatalf("Claim in the outage: %v", err)
	}
	c.kv.SetFault(fakes.KeyValueFault{})
	for range 50 {
		got, err := c.vms[1].Claim(ctx, "w", "k", open(c.vms[1]), "b")
		if err != nil {
			t.Fatal(err)
		}
		if got.State == jdaw.ClaimSettled {
			if string(got.Answer.Body) != "done" || got.Answer.Status != 200 || got.RequestID != id {
				t.Fatalf("stored answer: %+v", got)
			}
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the answer was not stored within 5 s after the outage")
}

// Guards against issued keys that run twice at their issuing VM, lose the
// answer for a retry, depend on the key-value service, or are accepted with a
// wrong signature, for another workspace or at another VM.
func TestIssuedKeys(t *testing.T) {
	c := newCluster(t, 3)
	c.kv.SetFault(fakes.KeyValueFault{Outage: fakes.OutageRefuse})
	ctx := context.Background()
	home, other := c.vms[0], c.vms[1]
	key, err := home.IssueKey("w")
	if err != nil {
		t.Fatal(err)
	}
	k, err := other.VerifyKey("w", key)
	if err != nil || k.VM != "vm0" || k.Incarnation != home.Incarnation() || other.IsHome(k) || !home.IsHome(k) {
		t.Fatalf("verify: %+v %v", k, err)
	}
	parts := strings.Split(key, ".")
	parts[1] = strings.Replace(parts[1], parts[1][10:11], "Z", 1)
	for name, bad := range map[string]string{
		"signature": key + "0", "payload": strings.Join(parts, "."), "form": "jdk1.x", "own": "mine",
	} {
		if _, err := other.VerifyKey("w", bad); err == nil || jdaw.CodeOf(err).Code != jdaw.CodeKeyUnknown {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := other.VerifyKey("w2", key); err == nil {
		t.Error("the key is accepted for another workspace")
	}
	claim := func(v *vm, id jdaw.RequestID, body string) jdaw.Claim {
		got, err := v.Claim(ctx, "w", key, id, body)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if got := claim(other, "x-1", "b"); got.State != jdaw.ClaimUnknown {
		t.Errorf("claim away from the home: %+v", got)
	}
	if got := claim(home, "h-1", "b"); got.State != jdaw.ClaimMine {
		t.Fatalf("first claim: %+v", got)
	}
	if got := claim(home, "h-2", "b"); got.State != jdaw.ClaimRunning || got.RequestID != "h-1" {
		t.Errorf("second claim: %+v", got)
	}
	_ = home.Settle(ctx, jdaw.Bill{RequestID: "h-1"}.WithSettlement(jdaw.CodeNoCapacity, time.Now()))
	if home.BeginDispatch("h-1") {
		t.Error("a request that was answered as not run is dispatched")
	}
	if got := claim(home, "h-3", "b"); got.State != jdaw.ClaimMine || !home.BeginDispatch("h-3") {
		t.Errorf("claim after not run: %+v", got)
	}
	if _, err := home.Claim(ctx, "w", key, "h-4", "other"); err == nil || jdaw.CodeOf(err).Code != jdaw.CodeKeyReused {
		t.Errorf("another body: %v", err)
	}
	if err := home.Finish(ctx, "w", key, "h-3", jdaw.StoredAnswer{Status: 201, Body: []byte("r")}); err != nil {
		t.Fatal(err)
	}
	if got := claim(home, "h-5", "b"); got.State != jdaw.ClaimSettled || got.Answer.Status != 201 {
		t.Errorf("retry: %+v", got)
	}
	for _, kind := range []string{"put", "get"} {
		if n := c.kv.Counts()[kind]; n != 0 {
			t.Errorf("%d calls of kind %s at the key-value service", n, kind)
		}
	}
}
