package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
)

const seeds = 20

// Each case guards against a way to bill a request twice, at a wrong cost or
// not at all.
func TestOneBillPerRequest(t *testing.T) {
	cases := map[string]func(c *cluster, random *rand.Rand){
		// Entries that are only at the holders are lost with their VM.
		"home dies": func(c *cluster, random *rand.Rand) {
			time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
			c.kill(0)
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			c.setState(0, jdaw.MemberDead)
		},
		// An append whose response is lost is written twice.
		"lost answers": func(c *cluster, random *rand.Rand) {
			c.kv.SetFault(fakes.KeyValueFault{LoseAnswers: 0.3, LoseRequests: 0.2, Seed: random.Uint64()})
			time.Sleep(600 * time.Millisecond)
		},
		// VMs die while nothing can be written; the holders must keep their
		// entries until the seal succeeds.
		"outage in which homes die": func(c *cluster, random *rand.Rand) {
			time.Sleep(200 * time.Millisecond)
			outages := []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang}
			c.kv.SetFault(fakes.KeyValueFault{Outage: outages[random.IntN(3)]})
			time.Sleep(300 * time.Millisecond)
			c.kill(0)
			c.setState(0, jdaw.MemberDead)
			time.Sleep(500 * time.Millisecond)
			// The first VM's entries are at two VMs; the death of one
			// more VM leaves one holder.
			c.kill(1)
			c.setState(1, jdaw.MemberDead)
			time.Sleep(500 * time.Millisecond)
			c.kv.SetFault(fakes.KeyValueFault{})
		},
		// A paused writer continues under its old incarnation after others
		// sealed its journal, and its settlements are lost or doubled.
		"paused writer returns": func(c *cluster, random *rand.Rand) {
			time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
			sealed := c.vms[0].Incarnation()
			c.vms[0].gate.Lock()
			c.setState(0, jdaw.MemberDead)
			c.waitSealed(sealed)
			c.vms[0].gate.Unlock()
			c.setState(0, jdaw.MemberAlive)
			time.Sleep(500 * time.Millisecond)
			if n := c.vms[0].renews.Load(); n != 1 {
				c.t.Errorf("the sealed VM took a new incarnation %d times", n)
			}
		},
		// Two sealers write two seals, or one of them drops its entries.
		"two sealers and lost answers": func(c *cluster, random *rand.Rand) {
			time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
			c.kv.SetFault(fakes.KeyValueFault{LoseAnswers: 0.3, LoseRequests: 0.2, DelayMillis: 5, Seed: random.Uint64()})
			c.kill(0)
			c.setState(0, jdaw.MemberDead)
			time.Sleep(300 * time.Millisecond)
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					t.Parallel()
					c := newCluster(t, 6)
					cs := c.startCallers(2, seed)
					cs.awaitOpened(c)
					inject(c, rand.New(rand.NewPCG(seed, 7)))
					cs.end()
					c.check(cs)
				})
			}
		})
	}
}

// Guards against a bill that changes after it was exported: a writer that
// returns after the journal was closed must no longer settle requests.
func TestSettlementAfterClose(t *testing.T) {
	c := newCluster(t, 4)
	ctx := context.Background()
	id, err := c.vms[0].Open(ctx, jdaw.Bill{Workspace: "w"})
	if err != nil {
		t.Fatal(err)
	}
	sealed := c.vms[0].Incarnation()
	time.Sleep(200 * time.Millisecond)
	c.vms[0].gate.Lock()
	c.setState(0, jdaw.MemberDead)
	c.waitSealed(sealed)
	bills, err := ledger.ExportAt(ctx, c.st, time.Now())
	if err != nil || len(bills) != 1 || bills[0].State != jdaw.BillOpen {
		t.Fatalf("export before 60 s: %+v, %v", bills, err)
	}
	bills, err = ledger.ExportAt(ctx, c.st, time.Now().Add(ledger.LateSettlement+time.Second))
	if err != nil || len(bills) != 1 || bills[0].Ran != jdaw.OutcomeUnknown || bills[0].Cost != 0 {
		t.Fatalf("export after 60 s: %+v, %v", bills, err)
	}
	c.vms[0].gate.Unlock()
	err = c.vms[0].Settle(ctx, jdaw.Bill{RequestID: id, Cost: 3}.WithSettlement(jdaw.CodeOK, time.Now()))
	if err == nil || jdaw.CodeOf(err).Code != jdaw.CodeOutcomeUnknown {
		t.Fatalf("settlement after the journal was closed: %v", err)
	}
	// The same applies to a holder whose copies arrive too late.
	late := jdaw.Bill{RequestID: id, Cost: 4}.WithSettlement(jdaw.CodeOK, time.Now())
	if err := c.vms[1].Seal(ctx, sealed, []jdaw.Bill{late}); err != nil {
		t.Fatal(err)
	}
	again, err := ledger.Export(ctx, c.st)
	if err != nil || len(again) != 1 || again[0].Cost != 0 {
		t.Fatalf("the bill changed to %+v, %v", again, err)
	}
}

// Guards against two sealers whose settlements of a request differ: the first
// in the journal counts, in any order of opened and settled entries.
func TestFirstSettlementCounts(t *testing.T) {
	c := newCluster(t, 2)
	ctx := context.Background()
	opened := jdaw.Bill{RequestID: "a-1", State: jdaw.BillOpen}
	for _, b := range []jdaw.Bill{
		opened, opened.WithSettlement(jdaw.CodeOK, time.Now()), opened,
		opened.WithSettlement(jdaw.CodeUpstreamFailed, time.Now()),
	} {
		if err := c.vms[1].Seal(ctx, "a", []jdaw.Bill{b}); err != nil {
			t.Fatal(err)
		}
	}
	bills, err := ledger.Export(ctx, c.st)
	if err != nil || len(bills) != 1 || bills[0].Code != jdaw.CodeOK {
		t.Fatalf("%+v, %v", bills, err)
	}
}

// Guards against a last VM that stops serving, and against one that answers
// before its record is durable.
func TestSingleVM(t *testing.T) {
	c := newCluster(t, 1)
	ctx := context.Background()
	id, err := c.vms[0].Open(ctx, jdaw.Bill{Workspace: "w"})
	if err != nil {
		t.Fatal(err)
	}
	if bills, err := ledger.Export(ctx, c.st); err != nil || len(bills) != 1 || bills[0].State != jdaw.BillOpen {
		t.Fatalf("after Open: %+v, %v", bills, err)
	}
	if err := c.vms[0].Settle(ctx, jdaw.Bill{RequestID: id, Cost: 2}.WithSettlement(jdaw.CodeOK, time.Now())); err != nil {
		t.Fatal(err)
	}
	if bills, err := ledger.Export(ctx, c.st); err != nil || len(bills) != 1 || bills[0].Cost != 2 {
		t.Fatalf("after Settle: %+v, %v", bills, err)
	}
	c.kv.SetFault(fakes.KeyValueFault{Outage: fakes.OutageRefuse})
	if _, err := c.vms[0].Open(ctx, jdaw.Bill{Workspace: "w"}); err == nil || jdaw.CodeOf(err).Code != jdaw.CodeNoCopy {
		t.Fatalf("Open without peers and store: %v", err)
	}
}

// Guards against buffers that grow without limit in an outage, and against
// settlements that find no space.
func TestJournalBound(t *testing.T) {
	c := newCluster(t, 3)
	c.kv.SetFault(fakes.KeyValueFault{Outage: fakes.OutageRefuse})
	ctx := context.Background()
	var ids []jdaw.RequestID
	for range 5000 {
		id, err := c.vms[0].Open(ctx, jdaw.Bill{Workspace: "w"})
		if err == nil {
			ids = append(ids, id)
			continue
		}
		if code := jdaw.CodeOf(err); code.Code != jdaw.CodeJournalFull || code.Code.Info().Ran != jdaw.NotRun {
			t.Fatalf("refusal: %v", err)
		}
		break
	}
	if len(ids) != 2048 {
		t.Errorf("%d requests were admitted before the refusal, want 2048", len(ids))
	}
	for _, id := range ids {
		b := jdaw.Bill{RequestID: id, Cost: 1}.WithSettlement(jdaw.CodeOK, time.Now())
		if err := c.vms[0].Settle(ctx, b); err != nil {
			t.Fatalf("settlement in the outage: %v", err)
		}
	}
	if _, err := c.vms[0].Open(ctx, jdaw.Bill{Workspace: "w"}); err != nil {
		t.Errorf("no room after the settlements replaced the opened entries: %v", err)
	}
	c.kv.SetFault(fakes.KeyValueFault{})
	if err := c.vms[0].Close(ctx); err != nil {
		t.Fatal(err)
	}
	c.vms[0].dead.Store(true)
	bills, err := ledger.Export(ctx, c.st)
	if err != nil || len(bills) != len(ids)+1 {
		t.Fatalf("%d bills, %v", len(bills), err)
	}
}

// Guards against a settlement that is recorded twice when the caller of Settle
// repeats it.
func TestSettleTwice(t *testing.T) {
	c := newCluster(t, 3)
	ctx := context.Background()
	id, err := c.vms[0].Open(ctx, jdaw.Bill{Workspace: "w"})
	if err != nil {
		t.Fatal(err)
	}
	for _, cost := range []float64{1, 2} {
		if err := c.vms[0].Settle(ctx, jdaw.Bill{RequestID: id, Cost: cost}.WithSettlement(jdaw.CodeOK, time.Now())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	bills, err := ledger.Export(ctx, c.st)
	if err != nil || len(bills) != 1 || bills[0].Cost != 1 {
		t.Fatalf("%+v, %v", bills, err)
	}
}

// Guards against calls at the key-value service that grow with the number of
// requests. It prints the calls per second for request rates and VM counts.
func TestStoreCallRates(t *testing.T) {
	const span = 2 * time.Second
	for _, load := range []struct{ vms, rate int }{
		{8, 50}, {8, 200}, {8, 800}, {2, 200}, {4, 200}, {16, 200},
	} {
		c := newCluster(t, load.vms)
		ctx, cancel := context.WithTimeout(context.Background(), span)
		requests := make(chan struct{})
		done := make(chan struct{})
		for i := range 8 * load.vms {
			go func() {
				v := c.vms[i%load.vms]
				for range requests {
					if id, err := v.Open(context.Background(), jdaw.Bill{Workspace: "w"}); err == nil {
						_ = v.Settle(context.Background(), jdaw.Bill{RequestID: id}.WithSettlement(jdaw.CodeOK, time.Now()))
					}
				}
				done <- struct{}{}
			}()
		}
		ticker := time.NewTicker(time.Second / time.Duration(load.rate))
		sent := 0
		for ctx.Err() == nil {
			<-ticker.C
			requests <- struct{}{}
			sent++
		}
		ticker.Stop()
		cancel()
		counts := c.kv.Counts()
		close(requests)
		for range 8 * load.vms {
			<-done
		}
		perSecond := func(n int64) float64 { return float64(n) / span.Seconds() }
		t.Logf("%2d VMs, %3.0f requests/s: %5.1f writes/s, %4.1f reads/s", load.vms, float64(sent)/span.Seconds(),
			perSecond(counts["put"]), perSecond(counts["get"]+counts["list"]))
		// One commit per VM and 100 ms, and the first commits at once.
		if limit := float64(load.vms)*10 + float64(load.vms)/span.Seconds(); perSecond(counts["put"]) > limit {
			t.Errorf("%.1f writes/s exceed the group commit's %.1f", perSecond(counts["put"]), limit)
		}
		if n := counts["get"] + counts["list"]; n != 0 {
			t.Errorf("%d reads without a fault", n)
		}
	}
}

// Guards against a request that ran and has no bill: its VM dies after the
// settlement was queued and before a copy of it was sent, while the copies of
// another request have told the holders which entries they may drop.
func TestHomeDiesBetweenSettlementAndCopy(t *testing.T) {
	c := newCluster(t, 3)
	ctx := context.Background()
	home := c.vms[0]
	open := func() jdaw.RequestID {
		id, err := home.Open(ctx, jdaw.Bill{Workspace: "w"})
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	open() // the first batch is written at once, the next one an interval later
	time.Sleep(20 * time.Millisecond)
	id := open()
	cut, cancel := context.WithCancel(ctx)
	cancel()
	b := jdaw.Bill{RequestID: id, Workspace: "w", Cost: 1}
	if err := home.Settle(cut, b.WithSettlement(jdaw.CodeOK, time.Now())); err == nil {
		t.Fatal("the settlement was copied")
	}
	open()
	c.kill(0)
	c.setState(0, jdaw.MemberDead)
	c.waitSealed(home.Incarnation())
	bills, err := ledger.ExportAt(ctx, c.st, time.Now().Add(2*ledger.LateSettlement))
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range bills {
		if b.RequestID == id {
			return
		}
	}
	t.Errorf("no bill for %s among %d", id, len(bills))
}

// Guards against requests that are never billed because every VM that tracked
// their journal died: all VMs are replaced at once.
func TestAllVMsReplacedAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	ctx := context.Background()
	var ids []jdaw.RequestID
	for _, v := range c.vms {
		id, err := v.Open(ctx, jdaw.Bill{Workspace: "w"})
		if err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	time.Sleep(300 * time.Millisecond) // the opened entries are in slots
	for i, v := range c.vms {
		c.kill(i)
		fresh := &vm{c: c, id: v.id, addr: v.addr}
		c.mu.Lock()
		c.members[i].Incarnation = jdaw.Incarnation(config.RandomHex(8))
		c.mu.Unlock()
		c.vms[i] = fresh
	}
	for i, v := range c.vms {
		v.Ledger = c.startLedger(v, i, c.members[i].Incarnation)
	}
	for _, id := range ids {
		for began := time.Now(); !ledger.IsSealed(ctx, c.st, id.Incarnation()); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 20*time.Second {
				t.Fatalf("journal %s is not sealed after 20 s", id.Incarnation())
			}
		}
	}
	bills, err := ledger.ExportAt(ctx, c.st, time.Now().Add(2*ledger.LateSettlement))
	if err != nil || len(bills) != len(ids) {
		t.Fatalf("%d bills for %d requests, %v", len(bills), len(ids), err)
	}
	for _, b := range bills {
		if b.State != jdaw.BillSettled || b.Code != jdaw.CodeOutcomeUnknown || b.Cost != 0 {
			t.Errorf("want a bill of zero with unknown outcome, got %+v", b)
		}
	}
	for _, v := range c.vms {
		if !slices.Contains(ids, jdaw.RequestID(string(v.Incarnation())+"-1")) && ledger.IsSealed(ctx, c.st, v.Incarnation()) {
			t.Errorf("the journal of a live VM was sealed")
		}
	}
}
