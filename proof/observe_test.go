package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
	"jackdawbarrow/store"
)

const (
	// inForceWithin is the time after which an accepted change is in force.
	inForceWithin = 6 * time.Second
	// noNewWorkAfter is the time after the answer to an order until which a
	// data centre may still get new work.
	noNewWorkAfter = 3 * time.Second
	// samplePeriod is the time between two reads of a VM's status.
	samplePeriod = 25 * time.Millisecond
)

// share runs the repetitions of a failure at several systems at once, because
// most of the time of a repetition is spent on waiting for a bound.
func share(t *testing.T, systems, repetitions int, run func(t *testing.T, first, last int)) {
	for i := range systems {
		t.Run(fmt.Sprintf("system%d", i+1), func(t *testing.T) {
			t.Parallel()
			run(t, i*repetitions/systems, (i+1)*repetitions/systems)
		})
	}
}

// span is a time in which a VM was cut off, frozen or down.
type span struct{ from, to time.Time }

// sample is one answer of a VM's administration API.
type sample struct {
	at       time.Time
	revision jdaw.Revision
}

// sampler reads the status of one VM until it is stopped.
type sampler struct {
	vm      jdaw.VMID
	client  *admin.Client
	done    chan struct{}
	ended   chan struct{}
	once    sync.Once
	mu      sync.Mutex
	samples []sample
}

func (s *system) sample(v *vm) *sampler {
	p := &sampler{vm: v.id, client: s.admin(v), done: make(chan struct{}), ended: make(chan struct{})}
	go p.run()
	s.t.Cleanup(p.stop)
	return p
}

func (p *sampler) run() {
	defer close(p.ended)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := p.client.Status(ctx)
		cancel()
		if err == nil {
			p.mu.Lock()
			p.samples = append(p.samples, sample{at: time.Now(), revision: status.Revision})
			p.mu.Unlock()
		}
		select {
		case <-p.done:
			return
		case <-time.After(samplePeriod):
		}
	}
}

func (p *sampler) stop() {
	p.once.Do(func() { close(p.done) })
	<-p.ended
}

func (p *sampler) last() jdaw.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[len(p.samples)-1].revision
}

// checkOrder fails if the VM's revision ever went back.
func (p *sampler) checkOrder(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := 1; i < len(p.samples); i++ {
		if p.samples[i].revision < p.samples[i-1].revision {
			t.Errorf("%s went back from revision %d to %d", p.vm, p.samples[i-1].revision, p.samples[i].revision)
		}
	}
}

// reached returns when the VM was first seen with the revision.
func (p *sampler) reached(r jdaw.Revision) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.samples {
		if s.revision >= r {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// configWrites returns the accepted writes of the configuration in order. The
// first one made revision 1.
func (s *system) configWrites() []fakes.KeyValueWrite {
	s.t.Helper()
	var out []fakes.KeyValueWrite
	for _, w := range s.storeState().Writes {
		if w.Key == config.StoreKey {
			out = append(out, w)
		}
	}
	return out
}

// storedDocument reads the configuration straight from the key-value service.
func (s *system) storedDocument() config.Document {
	s.t.Helper()
	kv, err := store.New(store.Config{Addresses: []string{s.kv.url(0)}})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	item, found, err := kv.Get(ctx, config.StoreKey)
	if err != nil || !found {
		s.t.Fatalf("the configuration is not in the store: %v", err)
	}
	doc, err := config.DecodeDocument(item.Value)
	if err != nil {
		s.t.Fatal(err)
	}
	return doc
}

// status returns a VM's status, or false if it does not answer.
func (s *system) status(v *vm) (admin.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := s.admin(v).Status(ctx)
	return status, err == nil
}

// traffic is what one kind of caller saw.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu     sync.Mutex
	ended  bool
	events []exchange
}

// exchange is one request of a caller and its end.
type exchange struct {
	began, ended time.Time
	request      demo.Request
	reply        demo.Reply
	err          error
}

// send keeps n callers busy, each with one request at a time. A nil vm stands
// for callers that use the entry list.
func (s *system) send(v *vm, n int, pause time.Duration, next func(i int) demo.Request) *traffic {
	w := &traffic{stop: make(chan struct{})}
	for c := range n {
		caller := s.caller()
		if v != nil {
			caller = s.to(v)
		}
		w.wg.Go(func() {
			for i := c; ; i += n {
				q := next(i)
				e := exchange{began: time.Now(), request: q}
				e.reply, e.err = caller.Do(context.Background(), q)
				e.ended = time.Now()
				w.mu.Lock()
				w.events = append(w.events, e)
				w.mu.Unlock()
				select {
				case <-w.stop:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	s.t.Cleanup(w.end)
	return w
}

// end stops the callers after their requests in progress.
func (w *traffic) end() {
	w.mu.Lock()
	ended := w.ended
	w.ended = true
	w.mu.Unlock()
	if !ended {
		close(w.stop)
	}
	w.wg.Wait()
}

// since returns the exchanges that began in a span and have ended.
func (w *traffic) during(from, to time.Time) []exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []exchange
	for _, e := range w.events {
		if !e.began.Before(from) && e.began.Before(to) {
			out = append(out, e)
		}
	}
	return out
}

// runsSince returns what the engines started to run of a version after a time.
func (s *system) runsSince(version string, after time.Time) []fakes.EngineRun {
	s.t.Helper()
	var out []fakes.EngineRun
	for _, run := range s.engineRuns() {
		if run.Version == version && run.At.After(after) {
			out = append(out, run)
		}
	}
	return out
}

// describe prints the control events around a fault, so that a report shows
// whether the router or the machine was late.
func (s *system) describe(v *vm) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	list, err := s.admin(v).Events(ctx, 0)
	if err != nil {
		return err.Error()
	}
	out := fmt.Sprintf("missing %v\n", list.Missing)
	for _, e := range list.Events {
		if e.RequestID == "" && e.Name != "refused" {
			out += fmt.Sprintf("%s %s %s %s\n", time.Unix(0, e.Wall).Format("15:04:05.000"), e.VM, e.Name, e.Text)
		}
	}
	return out
}

// adminOptions are the options of a change that is to be made.
var adminOptions = admin.ChangeOptions{}

func mustDecode(b []byte, into any) {
	if err := json.Unmarshal(b, into); err != nil {
		panic(err)
	}
}
