package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// outSpan is a time in which a data centre must get no new work.
type outSpan struct {
	dataCentre jdaw.DataCentre
	from, to   time.Time
}

// soakRun is the state of one TestSoak.
type soakRun struct {
	*system
	random *rand.Rand
	orders *orderHistory
	book   *replyBook

	mu                  sync.Mutex
	sent                int
	repeatable, answers int
	whole               map[string]bool // chats answered whole, by request id
	failures            map[string]int
	failing             string         // the failure in force
	unanswered          map[string]int // repeatable requests by reply and failure
	outs                []outSpan
}

// TestSoak mixes failures at random under a steady load and reports what broke.
// It guards against combinations of failures that no other test brings about.
// Not more than two VMs die within one failure, which is what the copies of
// the ledger's entries are made for.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("-soak is 0")
	}
	t.Logf("seed %d, %s", *seed, *soak)
	s := start(t, options{shape: smallShape(8), firstToken: 5 * time.Millisecond, perToken: time.Millisecond, tokens: 4})
	r := &soakRun{
		system: s, random: rand.New(rand.NewPCG(*seed, 9)), orders: &orderHistory{s: s}, book: newReplyBook(s),
		whole: map[string]bool{}, failures: map[string]int{}, unanswered: map[string]int{},
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 12 {
		// A caller knows the addresses of all VMs; those of restarted VMs come
		// with the entry list.
		caller := s.caller()
		caller.HTTP = &http.Client{Timeout: 20 * time.Second}
		random := rand.New(rand.NewPCG(*seed, 100+uint64(i)))
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
					r.sendOne(caller, random.IntN(10), fmt.Sprintf("soak-%d-%d", i, n))
				}
			}
		})
	}
	for end := time.Now().Add(*soak); time.Now().Before(end); {
		r.failOnce()
		time.Sleep(time.Duration(1000+r.random.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	load.Wait()
	time.Sleep(3 * time.Second) // late settlements and late runs
	r.report()
}

// sendOne sends a chat, a look-up or a keyed order.
func (r *soakRun) sendOne(caller *demo.Caller, kind int, key string) {
	q := r.chat("scoring", r.opts.shape.Models[0].Name, billedPrompt)
	switch {
	case kind >= 8:
		q = r.order("stewards", key)
	case kind >= 5:
		q.Method, q.Stream, q.Body = http.MethodGet, false, nil
		q.Path = "/v1/services/" + r.opts.shape.PlainKind + "/results/7"
	}
	op := orderOp{key: key, call: time.Now()}
	op.reply, op.err = caller.Do(context.Background(), q)
	op.ret = time.Now()
	r.book.add(op.reply, op.err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	ok := op.err == nil && op.reply.Code == jdaw.CodeOK
	if q.Repeatable {
		r.repeatable++
		switch {
		case ok:
			r.answers++
		case op.err != nil:
			r.unanswered["connection lost, "+r.failing]++
		default:
			r.unanswered[op.reply.Code.String()+", "+r.failing]++
		}
	}
	if ok && q.Stream {
		r.whole[op.reply.RequestID] = true
	}
	if q.IdemKey != "" {
		r.orders.record(op)
	}
}

// failOnce brings about one failure, or two at once, and ends it.
func (r *soakRun) failOnce() {
	i := r.random.IntN(len(r.vms))
	hold := time.Duration(1000+r.random.IntN(3000)) * time.Millisecond
	kinds := []string{
		"kill", "kill in an outage", "pause", "cut", "outage", "slow store", "lost answers", "engine faults", "data centre out",
	}
	kind := kinds[r.random.IntN(len(kinds))]
	r.failures[kind]++
	r.mu.Lock()
	r.failing = kind
	r.mu.Unlock()
	switch kind {
	case "kill":
		r.vms[i].kill()
		r.startVM(i)
	case "kill in an outage":
		r.fault(r.kv, fakes.KeyValueFault{Outage: fakes.OutageHang})
		r.vms[i].kill()
		time.Sleep(hold)
		r.fault(r.kv, fakes.KeyValueFault{})
		r.startVM(i)
	case "pause":
		r.vms[i].freeze()
		time.Sleep(hold)
		r.vms[i].thaw()
	case "cut":
		r.cutOff(r.vms[i])
		time.Sleep(hold)
		r.heal()
	case "outage":
		r.holdStoreFault(fakes.KeyValueFault{Outage: fakes.OutageCut}, hold)
	case "slow store":
		r.holdStoreFault(fakes.KeyValueFault{DelayMillis: 300}, hold)
	case "lost answers":
		r.holdStoreFault(fakes.KeyValueFault{LoseAnswers: 0.3, LoseRequests: 0.1}, hold)
	case "engine faults":
		p := r.engines[r.random.IntN(len(r.engines))]
		faults := []fakes.EngineFault{{Refuse: true}, {Break: fakes.BreakBefore}, {Break: fakes.BreakMidStream, BreakAt: 2}, {Restart: true}}
		r.fault(p, faults[r.random.IntN(len(faults))])
		time.Sleep(hold)
		r.fault(p, fakes.EngineFault{})
	case "data centre out":
		r.takeOut(r.opts.shape.DataCentreOf(i), hold)
	}
	// Holders of copies take about 2 s to seal the journal of a dead VM.
	time.Sleep(2500 * time.Millisecond)
}

func (r *soakRun) holdStoreFault(f fakes.KeyValueFault, hold time.Duration) {
	r.fault(r.kv, f)
	time.Sleep(hold)
	r.fault(r.kv, fakes.KeyValueFault{})
}

// takeOut takes a data centre out for a while. No new work may arrive from 3 s
// after the answer on.
func (r *soakRun) takeOut(dc jdaw.DataCentre, hold time.Duration) {
	v := r.vms[0]
	if _, err := r.change(v, config.Op{Kind: config.OpDataCentreOut, Name: string(dc)}); err != nil {
		r.t.Errorf("data centre out: %v", err)
		return
	}
	span := outSpan{dataCentre: dc, from: time.Now().Add(3 * time.Second)}
	time.Sleep(3*time.Second + hold)
	span.to = time.Now()
	r.outs = append(r.outs, span)
	r.within(10*time.Second, "the data centre is back", func() bool {
		_, err := r.change(v, config.Op{Kind: config.OpDataCentreIn, Name: string(dc)})
		return err == nil
	})
}

// report counts the violations in the stand-ins' logs.
func (r *soakRun) report() {
	bills := map[string]jdaw.Bill{}
	for _, b := range r.closedBills() {
		bills[string(b.RequestID)] = b
	}
	billing, outs := 0, 0
	for id := range r.whole {
		if b := bills[id]; b.Code != jdaw.CodeOK || b.Cost == 0 {
			billing++
			r.t.Errorf("request %s was answered whole and its bill is %+v", id, b)
		}
	}
	for id := range r.loggedIDs() {
		if _, ok := bills[id]; !ok {
			billing++
			r.t.Errorf("request %s ran and has no bill", id)
		}
	}
	for i, p := range r.engines {
		var runs []fakes.EngineRun
		r.read(p.url(0)+"/fake/log", &runs)
		for _, run := range runs {
			outs += r.checkOut(run.RequestID, i, run.At)
		}
	}
	for i, p := range r.plains {
		var runs []fakes.PlainRun
		r.read(p.url(0)+"/fake/log", &runs)
		for _, run := range runs {
			outs += r.checkOut(run.RequestID, i, run.At)
		}
	}
	r.book.check(nil, false)
	answered, refused, unknown := r.orders.check()
	var failures []string
	for kind, n := range r.failures {
		failures = append(failures, fmt.Sprintf("%s %d", kind, n))
	}
	sort.Strings(failures)
	r.t.Logf("seed %d: %d requests; %d of %d repeatable ones answered (%.3f %%); orders: %d answered, %d not run, %d unknown",
		*seed, r.sent, r.answers, r.repeatable, 100*float64(r.answers)/float64(max(1, r.repeatable)), answered, refused, unknown)
	r.t.Logf("failures: %s; repeatable requests not answered: %v", strings.Join(failures, ", "), r.unanswered)
	r.t.Logf("violations: billing %d, data centre out %d; at-most-once and not-run are listed above", billing, outs)
}

// checkOut returns 1 if the i-th upstream of a kind started a request while its
// data centre was out.
func (r *soakRun) checkOut(id string, i int, at time.Time) int {
	for _, out := range r.outs {
		if out.dataCentre == r.opts.shape.DataCentreOf(i) && at.After(out.from) && at.Before(out.to) {
			r.t.Errorf("request %s ran in %s, %s after it had to be out", id, out.dataCentre, at.Sub(out.from))
			return 1
		}
	}
	return 0
}
