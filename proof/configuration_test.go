package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
)

// Guards against changes that are lost, that are reverted or that do not reach
// a VM within 6 s. Operators at all VMs change one cascade on the condition
// that it is as they read it, which makes it a register with compare-and-swap,
// and each its own cascade without a condition.
func TestInvariantConfiguration(t *testing.T) {
	failures := map[string]func(c *changes){
		"racingOperators": func(c *changes) {
			for range times(20) {
				c.race()
			}
		},
		"lostAnswer": func(c *changes) {
			for i := range times(20) {
				c.s.fault(c.s.kv, fakes.KeyValueFault{
					LoseAnswers: 0.5, LoseRequests: 0.3, Prefix: config.StoreKey, Seed: *seed + uint64(i),
				})
				c.race()
			}
			c.s.fault(c.s.kv, fakes.KeyValueFault{})
		},
		"startInOutage1": func(c *changes) { c.startInOutage(0, times(20)/2) },
		"startInOutage2": func(c *changes) { c.startInOutage(times(20)/2, times(20)) },
		"cutBetweenVMs1": func(c *changes) { c.cutBetweenVMs(0, times(20)/2) },
		"cutBetweenVMs2": func(c *changes) { c.cutBetweenVMs(times(20)/2, times(20)) },
		"skippingWatch": func(c *changes) {
			for i := range times(20) {
				c.s.fault(c.s.kv, fakes.KeyValueFault{SkipWatch: 1 + i%4, Prefix: config.StoreKey})
				c.race()
			}
			c.s.fault(c.s.kv, fakes.KeyValueFault{})
		},
	}
	for name, run := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newChanges(t)
			run(c)
			c.check()
		})
	}
}

const sharedCascade = "shared"

// changes makes changes and records what must be true of them.
type changes struct {
	s        *system
	t        *testing.T
	began    time.Time
	random   *rand.Rand
	samplers []*sampler
	away     map[jdaw.VMID][]span

	mu      sync.Mutex
	next    int
	history []porcupine.Operation
	// own holds the accepted values of each operator's own cascade since the
	// last one that is certain; any of them may be the present one.
	own map[string][]int
	// accepted holds the revisions that operators were told.
	accepted map[jdaw.Revision]string
}

func newChanges(t *testing.T) *changes {
	s := start(t, options{shape: smallShape(4)})
	c := &changes{
		s: s, t: t, began: time.Now(), random: rand.New(rand.NewPCG(*seed, 1)), away: map[jdaw.VMID][]span{},
		own: map[string][]int{}, accepted: map[jdaw.Revision]string{},
	}
	for _, v := range s.vms {
		c.samplers = append(c.samplers, s.sample(v))
	}
	return c
}

// number returns a value that no other change writes.
func (c *changes) number() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

// numberScale keeps numbers within the range of a quality target, 0 to 1.
const numberScale = 1 << 20

func (c *changes) put(name string, number int) config.Op {
	value, err := json.Marshal(config.Cascade{
		Name: name, Models: []string{c.s.opts.shape.Models[0].Name}, QualityTarget: float64(number) / numberScale,
	})
	if err != nil {
		panic(err)
	}
	return config.Op{Kind: config.OpPut, Object: config.ObjectCascade, Name: name, Value: value}
}

func numberOf(doc config.Document, name string) int {
	for _, cascade := range doc.Cascades {
		if cascade.Name == name {
			return int(cascade.QualityTarget * numberScale)
		}
	}
	return 0
}

// race lets an operator at each VM change the shared cascade and their own.
func (c *changes) race(vms ...*vm) {
	if len(vms) == 0 {
		vms = c.s.vms
	}
	var wg sync.WaitGroup
	for i, v := range vms {
		wg.Go(func() {
			c.swap(i, v)
			c.write("own-"+string(v.id), v)
		})
	}
	wg.Wait()
	c.read(len(c.s.vms))
}

// swap changes the shared cascade on the condition that it is as the VM has it.
func (c *changes) swap(client int, v *vm) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	doc, err := c.s.admin(v).Configuration(ctx)
	cancel()
	if err != nil {
		return // a VM without a configuration
	}
	in := swapInput{expect: numberOf(doc, sharedCascade), next: c.number()}
	call := time.Since(c.began).Nanoseconds()
	result, err := c.s.admin(v).Change(context.Background(), config.Change{
		BaseRevision: doc.Revision, Ops: []config.Op{c.put(sharedCascade, in.next)},
	}, adminOptions)
	out := c.outcome(err)
	if out == swapped {
		c.accept(result.Revision, fmt.Sprintf("%s %d", sharedCascade, in.next))
	}
	c.record(client, in, swapOutput{result: out}, call)
}

// write changes an operator's own cascade.
func (c *changes) write(name string, v *vm) {
	n := c.number()
	result, err := c.s.admin(v).Change(context.Background(), config.Change{Ops: []config.Op{c.put(name, n)}}, adminOptions)
	out := c.outcome(err)
	c.mu.Lock()
	switch out {
	case swapped:
		c.own[name] = []int{n}
	case unknown:
		if len(c.own[name]) == 0 {
			c.own[name] = []int{0}
		}
		c.own[name] = append(c.own[name], n)
	}
	c.mu.Unlock()
	if out == swapped {
		c.accept(result.Revision, fmt.Sprintf("%s %d", name, n))
	}
}

func (c *changes) accept(r jdaw.Revision, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.accepted[r]; ok {
		c.t.Errorf("revision %d was given to two changes: %s and %s", r, other, what)
	}
	c.accepted[r] = what
}

// read reads the shared cascade from the key-value service.
func (c *changes) read(client int) {
	call := time.Since(c.began).Nanoseconds()
	n := numberOf(c.s.storedDocument(), sharedCascade)
	c.record(client, swapInput{isRead: true}, swapOutput{value: n}, call)
}

func (c *changes) record(client int, in swapInput, out swapOutput, call int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ret := time.Since(c.began).Nanoseconds()
	if out.result == unknown {
		ret = time.Hour.Nanoseconds() // it may take effect at any later time
	}
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: ret})
}

type swapResult string

const (
	swapped  swapResult = "swapped"
	conflict swapResult = "conflict"
	refused  swapResult = "refused"
	unknown  swapResult = "unknown"
)

type swapInput struct {
	isRead       bool
	expect, next int
}

type swapOutput struct {
	result swapResult
	value  int // of a read
}

func (c *changes) outcome(err error) swapResult {
	if err == nil {
		return swapped
	}
	switch jdaw.CodeOf(err).Code {
	case jdaw.CodeConflict:
		return conflict
	case jdaw.CodeStoreUnavailable:
		return refused
	case jdaw.CodeOutcomeUnknown:
		return unknown
	}
	c.t.Errorf("unexpected answer to a change: %v", err)
	return unknown
}

// register is the sequential specification of the shared cascade.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		have, in, out := state.(int), input.(swapInput), output.(swapOutput)
		if in.isRead {
			return statesIf(out.value == have, have)
		}
		switch out.result {
		case swapped:
			return statesIf(have == in.expect, in.next)
		case conflict:
			return statesIf(have != in.expect, have)
		case refused:
			return []any{have}
		}
		if have == in.expect {
			return []any{have, in.next}
		}
		return []any{have}
	},
}).ToModel()

func statesIf(ok bool, state int) []any {
	if ok {
		return []any{state}
	}
	return nil
}

// startInOutage starts a VM while the key-value service is down. It must get
// the newest configuration from its peers.
func (c *changes) startInOutage(from, to int) {
	outages := []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang}
	last := len(c.s.vms) - 1
	for i := from; i < to; i++ {
		v := c.s.vms[last]
		c.samplers[len(c.samplers)-1].stop()
		down := span{from: time.Now()}
		v.kill()
		c.race(c.s.vms[:last]...)
		want := c.s.storedDocument().Revision
		c.s.fault(c.s.kv, fakes.KeyValueFault{Outage: outages[i%len(outages)]})
		v = c.s.startVM(last)
		down.to = time.Now()
		c.away[v.id] = append(c.away[v.id], down)
		c.samplers = append(c.samplers, c.s.sample(v))
		c.awaitRevision(want)
		c.s.fault(c.s.kv, fakes.KeyValueFault{})
		c.race()
	}
}

// cutBetweenVMs cuts one VM off, from its peers alone or from the key-value
// service as well, while changes are made on both sides.
func (c *changes) cutBetweenVMs(from, to int) {
	for i := from; i < to; i++ {
		v := c.s.vms[i%len(c.s.vms)]
		cut := span{from: time.Now()}
		c.s.cutOff(v)
		if i%2 == 0 {
			v.cutStore()
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.race()
		}()
		time.Sleep(time.Duration(100+c.random.IntN(1900)) * time.Millisecond)
		c.s.heal()
		v.healStore()
		cut.to = time.Now()
		c.away[v.id] = append(c.away[v.id], cut)
		<-done
		c.awaitRevision(c.s.storedDocument().Revision)
	}
}

// awaitRevision waits until all VMs have the revision.
func (c *changes) awaitRevision(r jdaw.Revision) {
	c.t.Helper()
	live := c.samplers[len(c.samplers)-1:]
	if len(c.samplers) >= len(c.s.vms) {
		live = append(live, c.samplers[:len(c.s.vms)-1]...)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range live {
		for p.last() < r {
			if time.Now().After(deadline) {
				c.t.Fatalf("%s has revision %d and not %d\n%s", p.vm, p.last(), r, c.s.describe(c.s.vms[0]))
			}
			time.Sleep(samplePeriod)
		}
	}
}

// check compares everything that was recorded with the key-value service.
func (c *changes) check() {
	writes := c.s.configWrites()
	doc := c.s.storedDocument()
	c.awaitRevision(doc.Revision)
	for _, p := range c.samplers {
		p.stop()
		p.checkOrder(c.t)
	}
	if want := jdaw.Revision(len(writes)); doc.Revision != want {
		c.t.Errorf("%d writes of the configuration led to revision %d", want, doc.Revision)
	}
	for name, numbers := range c.own {
		if n := numberOf(doc, name); !contains(numbers, n) {
			c.t.Errorf("the configuration has the value %d of %s; accepted were %v", n, name, numbers)
		}
	}
	if result := porcupine.CheckOperationsTimeout(register, c.history, 30*time.Second); result != porcupine.Ok {
		c.t.Errorf("the history of the shared cascade is not one of a register with compare-and-swap: %s\n%v", result, c.history)
	}
	slowest := c.checkInForce(writes)
	c.t.Logf("%d changes accepted, %d writes, slowest in force everywhere %s after its write", len(c.accepted), len(writes), slowest.Round(time.Millisecond))
}

func contains(list []int, n int) bool {
	for _, have := range list {
		if have == n {
			return true
		}
	}
	return false
}

// checkInForce compares the time of each write with the times at which the VMs
// were seen with its revision. The time in which a VM could not be reached
// does not count.
func (c *changes) checkInForce(writes []fakes.KeyValueWrite) time.Duration {
	slowest := time.Duration(0)
	for i, w := range writes {
		r := jdaw.Revision(i + 1)
		if w.At.Before(c.began) {
			continue // the first configuration is written before the VMs start
		}
		for _, v := range c.s.vms {
			from := w.At
			for _, a := range c.away[v.id] {
				if a.from.Before(from.Add(inForceWithin)) && a.to.After(from) {
					from = a.to
				}
			}
			at, ok := c.reached(v.id, r)
			if !ok {
				c.t.Errorf("%s never had revision %d", v.id, r)
				continue
			}
			took := at.Sub(from)
			slowest = max(slowest, took)
			if took > inForceWithin {
				c.t.Errorf("%s had revision %d after %s\n%s", v.id, r, took, c.s.describe(v))
			}
		}
	}
	return slowest
}

func (c *changes) reached(vm jdaw.VMID, r jdaw.Revision) (time.Time, bool) {
	var first time.Time
	for _, p := range c.samplers {
		if at, ok := p.reached(r); ok && p.vm == vm && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
