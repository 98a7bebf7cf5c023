package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"path"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
	"jackdawbarrow/store"
)

// chatLoad sends the same chat to every VM again and again and keeps all
// replies, so that each bill can be checked against a known cost.
type chatLoad struct {
	s    *system
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	targets []*vm
	replies []demo.Reply
	failed  int      // connections that ended without an answer
	deaths  []string // for the log of a failure
}

func startChatLoad(s *system, workersPerVM int, pause time.Duration) *chatLoad {
	l := &chatLoad{s: s, stop: make(chan struct{}), targets: append([]*vm(nil), s.vms...)}
	q := s.chat("scoring", s.opts.shape.Models[0].Name, billedPrompt)
	q.Repeatable = false
	for i := range s.vms {
		for range workersPerVM {
			l.wg.Go(func() { l.work(i, q, pause) })
		}
	}
	return l
}

// billedPrompt is the prompt of every request of the load: equal prompts cost
// the same.
const billedPrompt = "When does heat 7 begin?"

func (l *chatLoad) work(i int, q demo.Request, pause time.Duration) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		l.mu.Lock()
		v := l.targets[i]
		l.mu.Unlock()
		reply, err := l.s.to(v).Do(context.Background(), q)
		l.mu.Lock()
		if err != nil {
			l.failed++
		} else {
			l.replies = append(l.replies, reply)
		}
		l.mu.Unlock()
	}
}

// restart starts a killed VM again and sends the load to it.
func (l *chatLoad) restart(i int) {
	v := l.s.startVM(i)
	l.mu.Lock()
	l.targets[i] = v
	l.mu.Unlock()
}

func (l *chatLoad) died(v *vm) {
	l.deaths = append(l.deaths, fmt.Sprintf("%s killed at %s", v.id, time.Now().UTC().Format("04:05.000")))
}

func (l *chatLoad) end() []demo.Reply {
	close(l.stop)
	l.wg.Wait()
	return l.replies
}

// freezer stops and continues VMs in turn until it is ended. A stop is long
// enough for the VM to be declared dead and its journal to be sealed.
type freezer struct {
	stop  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	count int
}

func startFreezer(vms []*vm, seed uint64) *freezer {
	f := &freezer{stop: make(chan struct{})}
	for i, v := range vms {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		f.wg.Go(func() {
			for f.sleep(time.Duration(600+random.IntN(600)) * time.Millisecond) {
				v.freeze()
				time.Sleep(time.Duration(2800+random.IntN(900)) * time.Millisecond)
				v.thaw()
				f.mu.Lock()
				f.count++
				f.mu.Unlock()
			}
		})
	}
	return f
}

func (f *freezer) sleep(d time.Duration) bool {
	select {
	case <-f.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (f *freezer) end() int {
	close(f.stop)
	f.wg.Wait()
	return f.count
}

// exportWatch exports again and again and keeps settled bills, to find one
// that changes or disappears.
type exportWatch struct {
	settled map[jdaw.RequestID]jdaw.Bill
	changed []string
}

func (w *exportWatch) see(bills []jdaw.Bill) {
	now := map[jdaw.RequestID]bool{}
	for _, b := range bills {
		now[b.RequestID] = true
		if b.State != jdaw.BillSettled {
			continue
		}
		b.At = b.At.UTC().Round(0) // the export that closes a journal has the time from the clock, with its monotonic part
		if old, ok := w.settled[b.RequestID]; ok && old != b {
			w.changed = append(w.changed, fmt.Sprintf("%+v to %+v", old, b))
		}
		w.settled[b.RequestID] = b
	}
	for id := range w.settled {
		if !now[id] {
			w.changed = append(w.changed, string(id)+" is gone")
		}
	}
}

// agedStore shows seals as older than they are, so that Export closes the
// journals of dead VMs without a wait of a minute. It is used only when no
// request is in progress.
type agedStore struct{ jdaw.Store }

func (a agedStore) List(ctx context.Context, prefix string) ([]jdaw.Item, error) {
	items, err := a.Store.List(ctx, prefix)
	for i := range items {
		if !bytes.Contains(items[i].Value, []byte(`"kind":"seal"`)) {
			continue
		}
		var slot map[string]json.RawMessage
		if err := json.Unmarshal(items[i].Value, &slot); err != nil {
			return nil, err
		}
		slot["at"], _ = json.Marshal(time.Now().Add(-2 * ledger.LateSettlement))
		items[i].Value, _ = json.Marshal(slot)
	}
	return items, err
}

// closedBills waits until the ledger has one settled bill for each request.
func (s *system) closedBills() []jdaw.Bill {
	s.t.Helper()
	kv, err := store.New(store.Config{Addresses: []string{s.kv.url(0)}})
	if err != nil {
		s.t.Fatal(err)
	}
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		bills, err := ledger.Export(context.Background(), agedStore{kv})
		if err != nil {
			s.t.Fatal(err)
		}
		var open []jdaw.RequestID
		for _, b := range bills {
			if b.State != jdaw.BillSettled {
				open = append(open, b.RequestID)
			}
		}
		if len(open) == 0 {
			return bills
		}
		if time.Since(began) > 30*time.Second {
			s.t.Fatalf("requests without a settled bill after 30 s: %v", open)
		}
	}
}

// journalSlots counts the slots of the journals by kind. A late slot without
// a seal before it would be a writer that took a slot of its own for a seal.
func (s *system) journalSlots() map[string]int {
	s.t.Helper()
	kv, err := store.New(store.Config{Addresses: []string{s.kv.url(0)}})
	if err != nil {
		s.t.Fatal(err)
	}
	items, err := kv.List(context.Background(), ledger.JournalPrefix)
	if err != nil {
		s.t.Fatal(err)
	}
	kinds, sealed := map[string]int{}, map[string]bool{}
	for _, item := range items {
		journal := path.Dir(item.Key)
		var slot struct{ Kind string }
		if err := json.Unmarshal(item.Value, &slot); err != nil {
			s.t.Fatal(err)
		}
		kinds[slot.Kind]++
		sealed[journal] = sealed[journal] || slot.Kind == "seal"
		if slot.Kind == "late" && !sealed[journal] {
			s.t.Errorf("%s is late in a journal that nobody sealed", item.Key)
		}
	}
	return kinds
}

// checkBills compares the ledger with the callers' replies and the engines'
// logs. cost is that of one whole answer of the load.
func (s *system) checkBills(bills []jdaw.Bill, replies []demo.Reply, cost float64) (whole int) {
	s.t.Helper()
	byID := map[string]jdaw.Bill{}
	for _, b := range bills {
		if _, twice := byID[string(b.RequestID)]; twice {
			s.t.Errorf("request %s has two bills", b.RequestID)
		}
		byID[string(b.RequestID)] = b
	}
	answers := map[string]int{}
	for _, r := range replies {
		if r.RequestID == "" {
			continue
		}
		b, ok := byID[r.RequestID]
		if !ok {
			s.t.Errorf("request %s was answered with %s and has no bill", r.RequestID, r.Code)
			continue
		}
		if r.Code != jdaw.CodeOK {
			continue
		}
		whole++
		if answers[r.RequestID]++; answers[r.RequestID] > 1 {
			s.t.Errorf("two requests have the id %s", r.RequestID)
		}
		if b.Code != jdaw.CodeOK || math.Abs(b.Cost-cost) > 1e-9 {
			s.t.Errorf("request %s was answered whole and is billed %s, %v; want %v", r.RequestID, b.Code, b.Cost, cost)
		}
	}
	ran := map[string]bool{}
	var unbilled []string
	for _, run := range s.engineRuns() {
		ran[run.RequestID] = true
		if _, ok := byID[run.RequestID]; !ok {
			s.t.Errorf("request %s ran at %s and has no bill", run.RequestID, run.At.UTC().Format("04:05.000"))
			unbilled = append(unbilled, run.RequestID)
		}
	}
	s.describeJournals(unbilled)
	for _, b := range bills {
		if b.Cost > 0 && b.Service == "" && !ran[string(b.RequestID)] {
			s.t.Errorf("request %s is billed %v and no engine ran it", b.RequestID, b.Cost)
		}
	}
	return whole
}

// Guards against lost, double and changed bills: VMs are killed under load,
// answers to appends are lost, the key-value service has outages in which VMs
// die, paused VMs return after their journals were sealed, and all VMs are
// replaced at once, so that nobody remembers their journals.
func TestInvariantBilledOnce(t *testing.T) {
	s := start(t, options{
		shape: smallShape(8), firstToken: 5 * time.Millisecond, perToken: time.Millisecond, tokens: 4,
	})
	random := rand.New(rand.NewPCG(*seed, 1))
	cost := s.costOfOneChat()
	watch := &exportWatch{settled: map[jdaw.RequestID]jdaw.Bill{}}
	load := startChatLoad(s, 4, 20*time.Millisecond)
	freezer := startFreezer(s.vms[5:], *seed)

	// Half of the kills happen while answers to appends are lost.
	rounds := (times(20) + 1) / 2
	for n := range rounds {
		if n == rounds/2 {
			s.fault(s.kv, fakes.KeyValueFault{LoseAnswers: 0.4, LoseRequests: 0.2, Prefix: ledger.JournalPrefix, Seed: *seed})
		}
		s.killTwo(load, n, random)
		watch.see(s.awaitBilled(load, fmt.Sprintf("kill %d", n)))
	}
	kills := 2 * rounds
	s.fault(s.kv, fakes.KeyValueFault{})
	lost := 0
	for _, w := range s.storeState().Writes {
		if w.Answer == "lost" {
			lost++
		}
	}

	outages := (times(20) + 1) / 2
	for n := range outages {
		s.outageWithDeaths(load, n, random)
		watch.see(s.awaitBilled(load, fmt.Sprintf("outage %d", n)))
	}
	freezes := freezer.end()
	replies := load.end()
	watch.see(s.bills())
	replaced := s.replaceAll((times(20) + 7) / 8)
	time.Sleep(3 * time.Second) // late settlements of returned VMs
	bills := s.closedBills()
	watch.see(bills)
	whole := s.checkBills(bills, replies, cost)
	if t.Failed() {
		t.Log(load.deaths)
	}
	if len(watch.changed) > 0 {
		t.Errorf("bills changed after they were settled: %v", watch.changed)
	}
	slots := s.journalSlots()
	if freezes < times(20) || slots["seal"] < kills || lost < times(20) || whole == 0 {
		t.Errorf("too few failures: %d pauses, %d lost answers, slots %v, %d whole answers", freezes, lost, slots, whole)
	}
	t.Logf("seed %d: %d kills, %d lost answers, %d outages with 2 deaths, %d pauses, %d VMs replaced at once; %d bills, %d whole answers, %d connections lost, slots %v",
		*seed, kills, lost, outages, freezes, replaced, len(bills), whole, load.failed, slots)
}

// costOfOneChat returns the bill of one answer of the load.
func (s *system) costOfOneChat() float64 {
	s.t.Helper()
	reply, err := s.to(s.vms[0]).Do(context.Background(), s.chat("scoring", s.opts.shape.Models[0].Name, billedPrompt))
	if err != nil || reply.Code != jdaw.CodeOK {
		s.t.Fatalf("%+v, %v", reply, err)
	}
	for _, b := range s.awaitSettled() {
		if string(b.RequestID) == reply.RequestID && b.Cost > 0 {
			return b.Cost
		}
	}
	s.t.Fatalf("the answer %s is not billed", reply.RequestID)
	return 0
}

// twoServing returns the indexes of two VMs that answer requests.
func (s *system) twoServing(n int, random *rand.Rand) [2]int {
	s.t.Helper()
	first := n % 5
	pair := [2]int{first, (first + 1 + random.IntN(4)) % 5}
	for _, i := range pair {
		s.within(20*time.Second, string(s.vms[i].id)+" serves before it is killed", func() bool { return s.isServing(s.vms[i]) })
	}
	return pair
}

// killTwo kills two VMs under load and starts them again: a home and perhaps
// one of the two holders of its copies.
func (s *system) killTwo(load *chatLoad, n int, random *rand.Rand) {
	s.t.Helper()
	pair := s.twoServing(n, random)
	for _, i := range pair {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.vms[i].kill()
		load.died(s.vms[i])
	}
	for _, i := range pair {
		load.restart(i)
	}
}

// billedWait covers several pauses of a holder: it runs for about 1 s between
// two pauses of about 3 s, and is isolated for a part of that.
const billedWait = 40 * time.Second

// awaitBilled waits until each answer that a caller has got whole has a
// settled bill, and each request that an engine ran has a bill. Until then a
// further death would belong to the same failure: an entry may be lost when its
// home and both holders of its copies die before the journal is sealed, which
// takes about 2 s, or within one outage.
func (s *system) awaitBilled(load *chatLoad, when string) []jdaw.Bill {
	s.t.Helper()
	load.mu.Lock()
	replies := append([]demo.Reply(nil), load.replies...)
	load.mu.Unlock()
	runs := s.engineRuns()
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		bills := s.bills()
		billed, settled := map[string]bool{}, map[string]bool{}
		for _, b := range bills {
			billed[string(b.RequestID)] = true
			settled[string(b.RequestID)] = b.State == jdaw.BillSettled
		}
		var missing []string
		for _, r := range replies {
			if r.Code == jdaw.CodeOK && !settled[r.RequestID] {
				missing = append(missing, r.RequestID)
			}
		}
		for _, r := range runs {
			if !billed[r.RequestID] {
				missing = append(missing, r.RequestID)
			}
		}
		if len(missing) == 0 {
			return bills
		}
		if time.Since(began) > billedWait {
			s.describeJournals(missing)
			s.t.Log(load.deaths)
			s.t.Fatalf("answers without a settled bill, or runs without a bill, %s after %s: %v", billedWait, when, missing)
		}
	}
}

// describeJournals logs what is in the journals of requests that lack a bill,
// and which VMs sealed them.
func (s *system) describeJournals(ids []string) {
	kv, err := store.New(store.Config{Addresses: []string{s.kv.url(0)}})
	if err != nil {
		s.t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, id := range ids {
		inc := string(jdaw.RequestID(id).Incarnation())
		if seen[inc] {
			continue
		}
		seen[inc] = true
		items, _ := kv.List(context.Background(), ledger.JournalPrefix+inc+"/")
		for n, item := range items {
			var slot struct {
				Kind, By string
				At       time.Time
				Bills    []jdaw.Bill
			}
			_ = json.Unmarshal(item.Value, &slot)
			if slot.Kind != "batch" || n >= len(items)-3 {
				s.t.Logf("%s %s by %s at %s, %d bills", item.Key, slot.Kind, slot.By, slot.At.Format("04:05.000"), len(slot.Bills))
			}
			for _, b := range slot.Bills {
				if string(b.RequestID) == id {
					s.t.Logf("%s is %s in %s", id, b.State, item.Key)
				}
			}
		}
	}
}

// outageWithDeaths lets two VMs die while the key-value service is down. An
// entry has three holders with its home, so none may be lost.
func (s *system) outageWithDeaths(load *chatLoad, n int, random *rand.Rand) {
	s.t.Helper()
	kinds := []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang}
	pair := s.twoServing(n, random)
	s.fault(s.kv, fakes.KeyValueFault{Outage: kinds[n%len(kinds)]})
	time.Sleep(time.Duration(300+random.IntN(300)) * time.Millisecond)
	for _, i := range pair {
		s.vms[i].kill()
		load.died(s.vms[i])
		time.Sleep(time.Duration(200+random.IntN(500)) * time.Millisecond)
	}
	s.fault(s.kv, fakes.KeyValueFault{})
	for _, i := range pair {
		load.restart(i)
	}
}

// replaceAll kills all VMs at once while requests that are recorded as opened
// run, and starts them again. It returns the number of VMs killed.
func (s *system) replaceAll(rounds int) (killed int) {
	s.t.Helper()
	for range rounds {
		s.awaitReady()
		for _, p := range s.engines {
			s.fault(p, fakes.EngineFault{SlowMillis: 1000})
		}
		var wg sync.WaitGroup
		for _, v := range s.vms {
			wg.Go(func() {
				// The connection breaks; the logs say what ran.
				_, _ = s.to(v).Do(context.Background(), s.chat("scoring", s.opts.shape.Models[0].Name, billedPrompt))
			})
		}
		time.Sleep(700 * time.Millisecond) // the opened entries are in slots
		for _, v := range s.vms {
			v.kill()
			killed++
		}
		wg.Wait()
		for _, p := range s.engines {
			s.fault(p, fakes.EngineFault{})
		}
		for i := range s.vms {
			s.startVM(i)
		}
	}
	return killed
}
