package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/demo"
)

// Guards against calls at the key-value service that grow faster with the
// keyed orders than the claim and its answer: two writes and one read each. It
// prints the calls per second at 8 VMs for several rates.
func TestKeyedOrderStoreCalls(t *testing.T) {
	s := start(t, options{shape: smallShape(8), firstToken: 2 * time.Millisecond, tokens: 2})
	const span = 5 * time.Second
	type sample struct{ rate, puts, gets float64 }
	var samples []sample
	for _, rate := range []int{0, 10, 40, 80} {
		before := s.storeState().Counts
		began := time.Now()
		sent := s.ordersAtRate(rate, span)
		took := time.Since(began).Seconds()
		after := s.storeState().Counts
		per := func(kinds ...string) (n float64) {
			for _, kind := range kinds {
				n += float64(after[kind]-before[kind]) / took
			}
			return n
		}
		got := sample{float64(sent) / took, per("put"), per("get", "list", "watch")}
		samples = append(samples, got)
		t.Logf("%5.1f keyed orders/s: %6.1f writes/s, %6.1f reads/s", got.rate, got.puts, got.gets)
	}
	low, high := samples[1], samples[len(samples)-1]
	puts := (high.puts - low.puts) / (high.rate - low.rate)
	gets := (high.gets - low.gets) / (high.rate - low.rate)
	t.Logf("slope: %.2f writes and %.2f reads for each further order", puts, gets)
	// The group commit of the journals fills up between the two rates, so the
	// slope has a share of it: 8 VMs write at most 80 slots/s.
	if limit := 2 + 80/(high.rate-low.rate); puts > limit {
		t.Errorf("%.2f writes per order, want at most %.2f", puts, limit)
	}
	if gets > 1.5 {
		t.Errorf("%.2f reads per order, want about 1", gets)
	}
}

// ordersAtRate sends orders with callers' own keys to all VMs in turn.
func (s *system) ordersAtRate(rate int, span time.Duration) (sent int) {
	s.t.Helper()
	end := time.Now().Add(span)
	if rate == 0 {
		time.Sleep(span)
		return 0
	}
	callers := make([]*demo.Caller, len(s.vms))
	for i, v := range s.vms {
		callers[i] = s.to(v)
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for ; time.Now().Before(end); <-ticker.C {
		key := fmt.Sprintf("rate-%d-%d", rate, sent)
		caller := callers[sent%len(callers)]
		wg.Go(func() {
			if reply, err := caller.Do(s.t.Context(), s.order("stewards", key)); err != nil || reply.Code != jdaw.CodeOK {
				s.t.Errorf("%s: %+v, %v", key, reply, err)
			}
		})
		sent++
	}
	wg.Wait()
	return sent
}
