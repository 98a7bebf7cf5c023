package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
)

// orderOp is one request of a caller with an idempotency key.
type orderOp struct {
	key       string
	reply     demo.Reply
	err       error
	call, ret time.Time
}

// orderHistory collects the requests of all callers.
type orderHistory struct {
	s  *system
	wg sync.WaitGroup

	mu  sync.Mutex
	ops []orderOp
}

// order sends one keyed order to a VM and records it.
func (h *orderHistory) order(v *vm, key string) orderOp {
	caller := h.s.to(v)
	caller.HTTP = &http.Client{Timeout: 20 * time.Second}
	op := orderOp{key: key, call: time.Now()}
	op.reply, op.err = caller.Do(context.Background(), h.s.order("stewards", key))
	op.ret = time.Now()
	h.record(op)
	return op
}

// record keeps a request that has ended.
func (h *orderHistory) record(op orderOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// later sends the order after a pause, without waiting for it.
func (h *orderHistory) later(wait time.Duration, v *vm, key string) {
	h.wg.Go(func() {
		time.Sleep(wait)
		h.order(v, key)
	})
}

// issueKey asks a VM for an idempotency key.
func (s *system) issueKey(v *vm) string {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodPost, v.callers()+"/v1/keys", http.NoBody)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+s.secrets.Workspaces["stewards"])
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	var issued struct{ Key string }
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil || issued.Key == "" {
		s.t.Fatalf("%s issued no key: %s, %v", v.id, resp.Status, err)
	}
	return issued.Key
}

// execution is a line in the log of a plain service: the n-th that it executed.
type execution struct {
	fakes.PlainRun
	service, n int
}

func (s *system) executions() map[string][]execution {
	s.t.Helper()
	byKey := map[string][]execution{}
	for i, p := range s.plains {
		var runs []fakes.PlainRun
		s.read(p.url(0)+"/fake/log", &runs)
		n := 0
		for _, run := range runs {
			if run.Method == http.MethodGet {
				continue
			}
			n++
			byKey[run.Key] = append(byKey[run.Key], execution{run, i, n})
		}
	}
	return byKey
}

// keyStep is an execution in a log, or an answer that a caller got.
type keyStep struct {
	answered bool
	n        int
}

// keyModel is a key that can be executed once: an answer names the execution
// that came before it.
var keyModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		step := input.(keyStep)
		if step.answered {
			return step.n > 0 && state.(int) == step.n, state
		}
		return state.(int) == 0, step.n
	},
}

// check compares the callers' histories with the logs of the plain services.
func (h *orderHistory) check() (answered, refused, unknown int) {
	t := h.s.t
	t.Helper()
	byKey := h.s.executions()
	ranID := map[string]bool{}
	for key, runs := range byKey {
		for _, run := range runs {
			ranID[run.RequestID] = true
		}
		if len(runs) > 1 {
			t.Errorf("key %s was executed %d times: %+v", key, len(runs), runs)
		}
	}
	history := map[string][]porcupine.Operation{}
	for key, runs := range byKey {
		for _, run := range runs {
			at := run.At.UnixNano()
			history[key] = append(history[key], porcupine.Operation{
				Input: keyStep{n: run.n}, Call: at, Return: at, ClientId: len(history[key]),
			})
		}
	}
	for _, op := range h.ops {
		switch {
		case op.err != nil || op.reply.Ran == jdaw.OutcomeUnknown:
			unknown++
		case op.reply.Ran == jdaw.NotRun:
			refused++
			if op.reply.RequestID != "" && ranID[op.reply.RequestID] {
				t.Errorf("request %s with key %s was refused as not run (%s) and ran", op.reply.RequestID, op.key, op.reply.Code)
			}
		case op.reply.Code == jdaw.CodeOK:
			answered++
			var answer struct{ Execution int }
			_ = json.Unmarshal([]byte(op.reply.Text), &answer) // 0 contradicts the model
			history[op.key] = append(history[op.key], porcupine.Operation{
				Input: keyStep{answered: true, n: answer.Execution}, Call: op.call.UnixNano(), Return: op.ret.UnixNano(),
				ClientId: len(history[op.key]),
			})
		}
	}
	for key, ops := range history {
		if !porcupine.CheckOperations(keyModel, ops) {
			t.Errorf("the history of key %s is not that of one execution: %+v", key, ops)
		}
	}
	return answered, refused, unknown
}

// orderDelay is the time that a plain service takes: the window in which the
// home dies.
const orderDelay = 50 * time.Millisecond

// startWithPlainRelays starts a system whose VMs reach the plain services by
// relays.
func startWithPlainRelays(t testing.TB, vms int) (*system, []*relay) {
	var relays []*relay
	s := start(t, options{shape: smallShape(vms), firstToken: orderDelay, tokens: 2, edit: func(d *config.Document) {
		for i, u := range d.Upstreams {
			if u.Protocol != config.ProtocolService {
				continue
			}
			r := startRelay(t, strings.TrimPrefix(u.Address, "http://"))
			relays = append(relays, r)
			d.Upstreams[i].Address = "http://" + r.addr()
		}
	}})
	return s, relays
}

// Guards against an order that is executed twice, or answered without an
// execution: callers retry at other VMs while the home of the key dies or is
// paused, connections to the plain services break, the key-value service is
// down or loses answers, and two VMs get the same key at once.
func TestInvariantAtMostOnce(t *testing.T) {
	s, relays := startWithPlainRelays(t, 8)
	h := &orderHistory{s: s}
	lossy := fakes.KeyValueFault{LoseAnswers: 0.3, LoseRequests: 0.1, Prefix: ledger.ClaimPrefix, Seed: *seed}
	s.fault(s.kv, lossy)
	s.sameKeyAtOnce(h, times(20))
	s.brokenIdle(h, relays, times(20))
	freezes := s.homesDieAndFreeze(h, times(20))
	s.fault(s.kv, fakes.KeyValueFault{})
	s.ordersInOutages(h, times(20))
	h.wg.Wait()
	time.Sleep(time.Second) // a late execution of a refused order
	answered, refused, unknown := h.check()
	if answered == 0 || refused == 0 || unknown == 0 || freezes < times(20) {
		t.Errorf("too few failures: %d answered, %d refused, %d unknown, %d pauses", answered, refused, unknown, freezes)
	}
	t.Logf("seed %d: %d requests, %d answered, %d not run, %d unknown; %d executions, %d pauses of a home",
		*seed, len(h.ops), answered, refused, unknown, len(s.executions()), freezes)
}

// sameKeyAtOnce sends each key to three VMs at once: own keys and issued ones.
func (s *system) sameKeyAtOnce(h *orderHistory, n int) {
	for i := range n {
		keys := []string{fmt.Sprintf("at-once-%d", i), s.issueKey(s.vms[i%len(s.vms)])}
		var wg sync.WaitGroup
		for _, key := range keys {
			for k := range 3 {
				wg.Go(func() { h.order(s.vms[(i+k)%len(s.vms)], key) })
			}
		}
		wg.Wait()
	}
}

// brokenIdle breaks all connections to the plain services, idle ones among
// them, while keyed orders are being sent.
func (s *system) brokenIdle(h *orderHistory, relays []*relay, n int) {
	random := rand.New(rand.NewPCG(*seed, 2))
	for i := range n {
		var wg sync.WaitGroup
		for k := range 4 {
			key := fmt.Sprintf("broken-%d-%d", i, k)
			wait := time.Duration(random.IntN(5)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(wait)
				h.order(s.vms[k], key)
				h.order(s.vms[k+1], key)
			})
		}
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
		for _, r := range relays {
			r.setCut(func(netip.Addr) bool { return true })
			r.setCut(nil)
		}
		wg.Wait()
	}
}

// homesDieAndFreeze kills VMs 0 to 3 in turn and pauses 5 to 7 around the
// dispatch of an order, whose caller retries elsewhere.
func (s *system) homesDieAndFreeze(h *orderHistory, n int) (freezes int) {
	var wg sync.WaitGroup
	each := (n + 2) / 3
	for i := 5; i < 8; i++ {
		random := rand.New(rand.NewPCG(*seed, uint64(i)))
		wg.Go(func() {
			for k := range each {
				key := fmt.Sprintf("frozen-%d-%d", i, k)
				if k%2 == 1 {
					key = s.issueKey(s.vms[i])
				}
				h.later(0, s.vms[i], key)
				time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
				s.vms[i].freeze()
				s.retryElsewhere(h, key)
				time.Sleep(time.Duration(1500+random.IntN(1500)) * time.Millisecond)
				s.vms[i].thaw()
				h.later(300*time.Millisecond, s.vms[i], key)
				time.Sleep(800 * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(*seed, 3))
	for k := range n {
		i := k % 4
		s.within(20*time.Second, string(s.vms[i].id)+" serves before it is killed", func() bool { return s.isServing(s.vms[i]) })
		key := fmt.Sprintf("killed-%d", k)
		if k%2 == 1 {
			key = s.issueKey(s.vms[i])
		}
		h.later(0, s.vms[i], key)
		time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
		s.vms[i].kill()
		s.retryElsewhere(h, key)
		s.startVM(i)
		h.later(300*time.Millisecond, s.vms[i], key)
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	h.wg.Wait()
	return 3 * each
}

// retryElsewhere retries a key at the VM that is neither killed nor paused, at
// once and after its home has been declared dead.
func (s *system) retryElsewhere(h *orderHistory, key string) {
	for _, wait := range []time.Duration{0, 0, 500 * time.Millisecond, 3 * time.Second} {
		h.later(wait, s.vms[4], key)
	}
}

// ordersInOutages sends orders while the key-value service is down: a caller's
// own key must be refused as not run and work afterwards, an issued key must
// work at once.
func (s *system) ordersInOutages(h *orderHistory, n int) {
	s.t.Helper()
	for _, v := range s.vms {
		s.within(20*time.Second, string(v.id)+" serves before the outage", func() bool { return s.isServing(v) })
	}
	const perOutage = 8
	kinds := []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang}
	for round := 0; round*perOutage < n; round++ {
		s.fault(s.kv, fakes.KeyValueFault{Outage: kinds[round%len(kinds)]})
		own, issued := make([]orderOp, perOutage), make([]orderOp, perOutage)
		var wg sync.WaitGroup
		for i := range perOutage {
			key := s.issueKey(s.vms[i])
			wg.Go(func() { own[i] = h.order(s.vms[i], fmt.Sprintf("outage-%d-%d", round, i)) })
			wg.Go(func() { issued[i] = h.order(s.vms[(i+1)%len(s.vms)], key) })
		}
		wg.Wait()
		s.fault(s.kv, fakes.KeyValueFault{})
		for i := range perOutage {
			if own[i].err != nil || own[i].reply.Code != jdaw.CodeStoreUnavailable || own[i].reply.Ran != jdaw.NotRun {
				s.t.Errorf("own key in an outage: %+v, %v; want %s", own[i].reply, own[i].err, jdaw.CodeStoreUnavailable)
			}
			if issued[i].err != nil || issued[i].reply.Code != jdaw.CodeOK {
				s.t.Errorf("issued key in an outage: %+v, %v; want an answer", issued[i].reply, issued[i].err)
			}
			wg.Go(func() {
				again := h.order(s.vms[(i+2)%len(s.vms)], own[i].key)
				if again.err != nil || again.reply.Code != jdaw.CodeOK {
					s.t.Errorf("own key after the outage: %+v, %v; want an answer", again.reply, again.err)
				}
			})
		}
		wg.Wait()
	}
}

// Guards against a key that other VMs call lost while its home, which was paused,
// serves again.
func TestKeyOfAVMThatIsBack(t *testing.T) {
	s, _ := startWithPlainRelays(t, 4)
	h := &orderHistory{s: s}
	home := s.vms[3]
	knowsKey := func(key string) bool {
		got := h.order(home, key)
		return got.err == nil && got.reply.Code == jdaw.CodeOK
	}
	rounds := 0
	for range times(3) {
		key := s.issueKey(home)
		home.freeze()
		s.within(10*time.Second, "the home is declared dead", func() bool {
			return h.order(s.vms[0], key).reply.Code == jdaw.CodeKeyHomeDead
		})
		home.thaw()
		// A home whose journal was sealed meanwhile takes another incarnation, which
		// does not know the key.
		isHome := knowsKey(key)
		var got []orderOp
		for _, v := range s.vms[:3] {
			got = append(got, h.order(v, key))
		}
		if isHome && knowsKey(key) {
			rounds++
			for i, op := range got {
				if op.err != nil || op.reply.Code != jdaw.CodeOK {
					t.Errorf("%s answers %+v, %v; want the answer of the home", s.vms[i].id, op.reply, op.err)
				}
			}
		}
		s.within(10*time.Second, "the home serves", func() bool { return s.isServing(home) })
	}
	if rounds == 0 {
		t.Error("the home lost its incarnation in each pause")
	}
	h.check()
}
