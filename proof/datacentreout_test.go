package proof

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// returnColdTime is the cold time of the engines in TestInvariantDataCentreOut.
const returnColdTime = 2 * time.Second

// Guards against new work in a data centre that operators have taken out:
// while the key-value service is down, while a VM is cut off from its peers
// and from the store, and after two operators gave opposite orders. What ran
// there must end whole, and engines that return must be spared while cold.
func TestInvariantDataCentreOut(t *testing.T) {
	share(t, 7, times(20), func(t *testing.T, first, last int) {
		s := start(t, options{
			firstToken: 20 * time.Millisecond, perToken: 20 * time.Millisecond, coldFor: returnColdTime,
			edit: func(d *config.Document) {
				for i := range d.Upstreams {
					d.Upstreams[i].ColdMillis = int(returnColdTime.Milliseconds())
				}
			},
		})
		for i := first; i < last; i++ {
			o := &outage{s: s, t: t, dc: s.opts.shape.DataCentreOf(i), engine: i % 3}
			o.run(i)
			if t.Failed() {
				return
			}
		}
	})
}

// outage is one departure and return of a data centre.
type outage struct {
	s      *system
	t      *testing.T
	dc     jdaw.DataCentre
	engine int // the data centre's engine
}

func (o *outage) run(i int) {
	s := o.s
	home := s.vms[o.engine] // the data centre's own VM
	cut := s.vms[(o.engine+1)%3]
	operator := s.vms[(o.engine+2)%3]
	chat := func(n int) demo.Request {
		return s.chat([]string{"scoring", "heats"}[n%2], s.opts.shape.Models[0].Name, fmt.Sprintf("question %d of %d", n, i))
	}
	// VMs that are not cut off must lose nothing; the others may refuse.
	steady := s.send(operator, 4, 5*time.Millisecond, chat)
	loose := []*traffic{s.send(cut, 2, 5*time.Millisecond, chat), s.send(home, 8, 5*time.Millisecond, chat)}
	defer func() {
		steady.end()
		for _, l := range loose {
			l.end()
		}
	}()
	time.Sleep(200 * time.Millisecond)

	down := []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang}[i%3]
	s.fault(s.kv, fakes.KeyValueFault{Outage: down})
	s.cutOff(cut)
	began := time.Now()
	result, err := s.change(operator, config.Op{Kind: config.OpDataCentreOut, Name: string(o.dc)})
	if err != nil || !result.Suspended {
		o.t.Fatalf("order during an outage: %+v, %v", result, err)
	}
	answered := time.Now()
	time.Sleep(time.Until(answered.Add(noNewWorkAfter + 300*time.Millisecond)))
	if i%4 == 0 {
		// A return that is accepted at a VM without knowledge of the
		// suspension must not be undone by it.
		o.checkNoWork(answered.Add(noNewWorkAfter), time.Now())
		o.checkServed(steady, began, time.Now())
		s.fault(s.kv, fakes.KeyValueFault{})
		o.bringBack(cut, s.heal, steady)
		return
	}
	s.heal()
	healed := time.Now()
	// The VM that was cut off knows nothing of the order when it is reached
	// again, and the store does not yet have it.
	time.Sleep(500 * time.Millisecond)
	o.checkNoWork(answered.Add(noNewWorkAfter), time.Now())
	o.checkServed(steady, began, time.Now())
	o.checkEnded(loose[1], began.Add(-time.Minute), time.Now())
	s.fault(s.kv, fakes.KeyValueFault{})
	o.awaitReachable(cut, healed)
	if i%4 == 2 {
		// Nor one that is accepted before the suspension has reached the
		// document.
		o.bringBack(cut, func() {}, steady)
		return
	}
	o.disagree(operator, cut)
	o.bringBack(operator, func() {}, steady)
}

// checkNoWork fails if the data centre's engine started anything in a span.
func (o *outage) checkNoWork(from, to time.Time) {
	o.t.Helper()
	for _, run := range o.s.runsOf(o.s.engines[o.engine]) {
		if run.At.After(from) && run.At.Before(to) {
			o.t.Errorf("%s got new work %s after the bound: %+v\n%s", o.dc, run.At.Sub(from), run, o.s.describe(o.s.vms[0]))
			return
		}
	}
}

// checkServed fails unless all requests of a span got their whole answers.
func (o *outage) checkServed(w *traffic, from, to time.Time) {
	o.t.Helper()
	list := w.during(from, to)
	if len(list) == 0 {
		o.t.Error("no requests were sent during the failure")
	}
	for _, e := range list {
		if e.err != nil || e.reply.Code != jdaw.CodeOK {
			o.t.Errorf("a request was not answered: %+v, %v", e.reply, e.err)
			return
		}
		if !o.isWhole(e) {
			o.t.Errorf("an answer is not whole: %+v", e)
			return
		}
	}
}

// checkEnded fails if a request at the data centre's own VM, whose requests run
// there, ended otherwise than whole or refused as not run.
func (o *outage) checkEnded(w *traffic, from, to time.Time) {
	o.t.Helper()
	whole := 0
	for _, e := range w.during(from, to) {
		switch {
		case e.err == nil && e.reply.Code == jdaw.CodeOK && o.isWhole(e):
			whole++
		case e.err != nil || e.reply.Code == jdaw.CodeOK || e.reply.Ran != jdaw.NotRun:
			o.t.Errorf("a request that ran in %s did not end whole: %+v, %v", o.dc, e.reply, e.err)
			return
		}
	}
	if whole == 0 {
		o.t.Errorf("no request ran in %s before the order", o.dc)
	}
}

func (o *outage) isWhole(e exchange) bool {
	var body struct {
		Messages []struct{ Role, Content string } `json:"messages"`
	}
	mustDecode(e.request.Body, &body)
	prompt := ""
	for _, m := range body.Messages {
		prompt += m.Role + "\n" + m.Content + "\n"
	}
	model := o.s.opts.shape.Models[0]
	for _, v := range model.Versions {
		if e.reply.Text == fakes.Answer(model.Name+"@"+v, prompt, o.s.opts.tokens) {
			return true
		}
	}
	return false
}

// disagree gives opposite orders at two VMs at once. Whichever order is last
// must be in force everywhere within 6 s.
func (o *outage) disagree(a, b *vm) {
	var wg sync.WaitGroup
	errs := make([]error, 2)
	wg.Go(func() {
		_, errs[0] = o.s.change(a, config.Op{Kind: config.OpDataCentreOut, Name: string(o.dc)})
	})
	wg.Go(func() {
		_, errs[1] = o.s.change(b, config.Op{Kind: config.OpDataCentreIn, Name: string(o.dc)})
	})
	wg.Wait()
	for _, err := range errs {
		if err != nil && jdaw.CodeOf(err).Code != jdaw.CodeConflict {
			o.t.Errorf("an order was answered with %v", err)
		}
	}
	if errs[0] != nil && errs[1] != nil {
		o.t.Errorf("both orders were refused: %v; %v", errs[0], errs[1])
	}
	answered := time.Now()
	last := o.lastOrder()
	o.t.Logf("the last accepted order is that of revision %d: out %t; answers %v", last.revision, last.out, errs)
	for time.Now().Before(answered.Add(noNewWorkAfter)) {
		time.Sleep(50 * time.Millisecond)
	}
	if last.out {
		time.Sleep(200 * time.Millisecond)
		o.checkNoWork(answered.Add(noNewWorkAfter), time.Now())
	}
	o.awaitState(answered, last.out)
	if last.out {
		return
	}
	// The engine is restarted while nothing runs there.
	if _, err := o.s.change(a, config.Op{Kind: config.OpDataCentreOut, Name: string(o.dc)}); err != nil {
		o.t.Fatal(err)
	}
	o.awaitState(time.Now(), true)
	time.Sleep(time.Second)
}

// order is the state of the data centre in the stored configuration.
type order struct {
	revision jdaw.Revision
	out      bool
}

func (o *outage) lastOrder() order {
	doc := o.s.storedDocument()
	for _, dc := range doc.DataCentres {
		if dc.Name == o.dc {
			return order{doc.Revision, dc.Out}
		}
	}
	o.t.Fatalf("the configuration has lost data centre %s", o.dc)
	return order{}
}

// awaitState waits until all VMs agree on the data centre's state.
func (o *outage) awaitState(from time.Time, out bool) {
	o.t.Helper()
	for _, v := range o.s.vms {
		for {
			status, ok := o.s.status(v)
			if ok && slices.Contains(status.OutOf, o.dc) == out {
				break
			}
			if time.Since(from) > inForceWithin {
				o.t.Fatalf("%s does not have out=%t after 6 s: %+v\nstored: %+v\n%s", v.id, out, status, o.lastOrder(), o.s.describe(v))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// bringBack restarts the engine, so that it is cold, and brings the data
// centre back under load. The order must stay in force.
func (o *outage) bringBack(v *vm, connect func(), steady *traffic) {
	s := o.s
	began := time.Now()
	s.fault(s.engines[o.engine], fakes.EngineFault{Restart: true})
	restarted := time.Now()
	err := o.orderReturn(v)
	if err != nil && jdaw.CodeOf(err).Code == jdaw.CodeConflict {
		err = o.orderReturn(v) // the suspension was written at the same time
	}
	if err != nil {
		o.t.Fatalf("the return of %s was refused: %v", o.dc, err)
	}
	connect()
	o.awaitState(time.Now(), false)
	time.Sleep(time.Until(restarted.Add(returnColdTime)))
	o.checkCold(restarted)
	// The write of the suspension must not undo the order later.
	o.awaitState(time.Now().Add(-inForceWithin), false)
	s.within(10*time.Second, "the data centre works again", func() bool {
		for _, run := range s.runsOf(s.engines[o.engine]) {
			if run.At.After(restarted) {
				return true
			}
		}
		return false
	})
	o.checkServed(steady, began, time.Now())
}

func (o *outage) orderReturn(v *vm) error {
	_, err := o.s.change(v, config.Op{Kind: config.OpDataCentreIn, Name: string(o.dc)})
	return err
}

// awaitReachable waits until the VM has left its isolation.
func (o *outage) awaitReachable(v *vm, from time.Time) {
	o.t.Helper()
	for {
		status, ok := o.s.status(v)
		if ok && !status.Isolated {
			return
		}
		if time.Since(from) > 20*time.Second {
			o.t.Fatalf("%s is still isolated: %+v", v.id, status)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkCold fails if the engine ran more than its cold capacity before it was
// warm, or fell over.
func (o *outage) checkCold(restarted time.Time) {
	o.t.Helper()
	incarnations := map[string]bool{}
	for _, run := range o.s.runsOf(o.s.engines[o.engine]) {
		if run.At.Before(restarted) {
			continue
		}
		incarnations[run.Incarnation] = true
		if run.Running > 2 && run.At.Before(restarted.Add(returnColdTime)) {
			o.t.Errorf("the cold engine of %s ran %d requests at once: %+v", o.dc, run.Running, run)
			return
		}
	}
	if len(incarnations) > 1 {
		o.t.Errorf("the cold engine of %s fell over: incarnations %v", o.dc, incarnations)
	}
}

// errNoAnswer marks a request that got neither an answer nor a refusal.
var errNoAnswer = errors.New("no answer")

// ask sends one request to one VM and returns the result code.
func (s *system) ask(v *vm, q demo.Request) (jdaw.Code, demo.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reply, err := s.to(v).Do(ctx, q)
	if err != nil {
		return 0, reply, errors.Join(errNoAnswer, err)
	}
	return reply.Code, reply, nil
}

// isVersionOf reports whether a logged version is of the model.
func isVersionOf(model, version string) bool { return strings.HasPrefix(version, model+"@") }
