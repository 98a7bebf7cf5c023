package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/ledger"
)

const (
	requestVMs = 16
	// shortHold leaves no credit held at a renewal in most cases.
	shortHold = 50 * time.Millisecond
)

// BenchmarkCapacityRequests measures the messages, journal writes and
// processor time of requests that end at once, by rate.
func BenchmarkCapacityRequests(b *testing.B) {
	for _, perVM := range []float64{0, 0.5, 1, 2.5, 5, 10} {
		b.Run(fmt.Sprintf("perVM=%g", perVM), func(b *testing.B) { benchmarkRequests(b, perVM, shortHold) })
	}
}

// BenchmarkCapacityHeld measures the renewal of credits, by the time that a
// request holds its credit.
func BenchmarkCapacityHeld(b *testing.B) {
	for _, hold := range []time.Duration{shortHold, 2 * time.Second, 4 * time.Second, 8 * time.Second, 12 * time.Second} {
		b.Run(fmt.Sprintf("hold=%s", hold), func(b *testing.B) { benchmarkRequests(b, 2.5, hold) })
	}
}

// load sends requests to all VMs of a cluster.
type load struct {
	c      *cluster
	hold   time.Duration
	done   atomic.Int64
	failed atomic.Int64
	held   atomic.Int64
	wg     sync.WaitGroup
	mu     sync.Mutex
	first  error
}

func benchmarkRequests(b *testing.B, perVM float64, hold time.Duration) {
	c := startCluster(b, requestVMs)
	l := &load{c: c, hold: hold}
	time.Sleep(4 * time.Second) // the wait after takeovers
	ctx, cancel := context.WithCancel(context.Background())
	if perVM > 0 {
		for i := range c.vms {
			l.wg.Go(func() { l.run(ctx, i, perVM) })
		}
	}
	var from, to usage
	var held, journal int64
	for b.Loop() {
		time.Sleep(hold + 3*time.Second)
		from = c.usage()
		done, bytes := l.done.Load(), c.journalBytes()
		time.Sleep(8 * time.Second)
		to = c.usage()
		c.report(b, from, to)
		held = l.held.Load()
		if done = l.done.Load() - done; done > 0 {
			journal = (c.journalBytes() - bytes) / done
			b.ReportMetric(float64(done)/to.at.Sub(from.at).Seconds()/requestVMs, "requests/s/VM")
		}
	}
	cancel()
	l.wg.Wait()
	b.ReportMetric(float64(held)/requestVMs, "held/VM")
	b.ReportMetric(float64(journal), "journal-B/request")
	if n := l.failed.Load(); n > 0 {
		b.Fatalf("%d requests failed: %v", n, l.first)
	}
}

// journalBytes returns the bytes written to journals so far.
func (c *cluster) journalBytes() int64 {
	n := int64(0)
	for _, w := range c.storeState().Writes {
		if strings.HasPrefix(w.Key, ledger.JournalPrefix) {
			n += int64(w.Bytes)
		}
	}
	return n
}

func (l *load) run(ctx context.Context, i int, perVM float64) {
	random := rand.New(rand.NewPCG(uint64(i), 0))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / perVM * float64(time.Second))):
		}
		n := random.IntN(1 << 30)
		l.wg.Go(func() {
			if err := l.request(l.c.vms[i], n); err != nil {
				l.failed.Add(1)
				l.mu.Lock()
				l.first = err
				l.mu.Unlock()
				return
			}
			l.done.Add(1)
		})
	}
}

// request goes through the ledger and a pool of the VM's region, as a chat
// request does. One in 20 of the first model's requests runs the version in
// roll-out.
func (l *load) request(v *vm, n int) error {
	ctx := context.Background()
	k := n % kinds
	var near []jdaw.DataCentre
	for _, dc := range dataCentres {
		if dc.Region == v.self.Region {
			near = append(near, dc.Name)
		}
	}
	version := versionOf(k)
	if n/kinds%20 == 0 {
		version.Version = "v2"
	}
	w := workspaceID(n / 7 % largeWorkspaces)
	bill := jdaw.Bill{Workspace: w, Outlet: "counter", At: time.Now()}
	id, err := v.ledger.Open(ctx, bill)
	if err != nil {
		return err
	}
	credit, err := v.owner.Holder().Acquire(ctx, jdaw.CreditRequest{
		Pool: jdaw.PoolID{Kind: kindName(k), DataCentre: near[n/120%len(near)]}, Workspace: w, RequestID: id,
		Versions: []jdaw.ModelVersion{version}, Prefix: uint64(n), Wait: 5 * time.Second, Priority: jdaw.PriorityInteractive,
	})
	if err != nil {
		return err
	}
	l.held.Add(1)
	time.Sleep(l.hold)
	l.held.Add(-1)
	v.owner.Holder().Release(jdaw.CreditResult{
		Credit: credit, Workspace: w, Outcome: jdaw.OutcomeOK, FirstToken: 300 * time.Millisecond, Duration: l.hold, UpstreamIncarnation: "a1",
	})
	bill.RequestID, bill.Model, bill.Steps, bill.PromptTokens, bill.OutputTokens, bill.Cost = id, credit.Version.String(), 1, 900, 414, 0.0832
	return v.ledger.Settle(ctx, bill.WithSettlement(jdaw.CodeOK, time.Now()))
}
