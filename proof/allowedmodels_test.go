package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// restricted is the workspace whose permission is withdrawn. It alone uses the
// costly model, so that the engines' logs show what ran for it.
const restricted = "heats"

// Guards against runs of a model for a workspace after its permission was
// withdrawn: under load, at a VM that has an old configuration because it was
// cut off from the key-value service and from its peers, and as the next step
// of a cascade that began before.
func TestInvariantAllowedModels(t *testing.T) {
	share(t, 10, times(20), func(t *testing.T, first, last int) {
		s := start(t, options{firstToken: 20 * time.Millisecond, perToken: 15 * time.Millisecond})
		s.fault(s.engines[0], fakes.EngineFault{Quality: s.poorAnswers()})
		for i := first; i < last; i++ {
			withdrawPermission(t, s, i)
			if t.Failed() {
				return
			}
		}
	})
}

func withdrawPermission(t *testing.T, s *system, i int) {
	random := rand.New(rand.NewPCG(*seed, uint64(i)))
	cheap, costly := s.opts.shape.Models[0].Name, s.opts.shape.Models[1].Name
	cut := s.vms[i%3]
	operator, second := s.vms[(i+1)%3], s.vms[(i+2)%3]
	if _, err := s.change(operator, s.allow(restricted, cheap, costly)); err != nil {
		t.Fatal(err)
	}
	slow := s.beginSlowCascades(i)
	var loads []*traffic
	for _, v := range s.vms {
		loads = append(loads,
			s.send(v, 2, 10*time.Millisecond, func(n int) demo.Request {
				return s.chat(restricted, costly, fmt.Sprintf("direct %d of %d", n, i))
			}),
			s.send(v, 2, 10*time.Millisecond, func(n int) demo.Request {
				return s.cascade(fmt.Sprintf("cascade %d of %d", n, i))
			}),
			s.send(v, 1, 10*time.Millisecond, func(n int) demo.Request {
				return s.chat("scoring", cheap, fmt.Sprintf("other %d of %d", n, i))
			}))
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	if len(s.runsSince(costly+"@v1", began)) == 0 {
		t.Error("the costly model did not run before its permission was withdrawn")
	}
	s.cutOff(cut)
	cut.cutStore()
	before := len(s.configWrites())
	changed := make(chan error, 1)
	go func() {
		_, err := s.change(operator, s.allow(restricted, cheap))
		changed <- err
	}()
	s.within(5*time.Second, "the change is accepted", func() bool { return len(s.configWrites()) > before })
	accepted := s.configWrites()[before].At
	// The VM is reached again before or after the change must be in force.
	heal := accepted.Add(time.Duration(1000+random.IntN(5500)) * time.Millisecond)
	time.Sleep(time.Until(heal))
	s.heal()
	if i%2 == 0 {
		cut.healStore()
	}
	healed := time.Now()
	if err := <-changed; err != nil {
		t.Fatalf("the permission was not withdrawn: %v", err)
	}
	time.Sleep(time.Until(accepted.Add(inForceWithin + 600*time.Millisecond)))
	s.checkForbidden(t, costly, accepted.Add(inForceWithin), "a model without permission")
	if healed.Sub(accepted) < inForceWithin/2 {
		s.within(10*time.Second, "the VM that was cut off answers that the model is not allowed", func() bool {
			code, _, _ := s.ask(cut, s.chat(restricted, costly, "late"))
			return code == jdaw.CodeModelNotAllowed
		})
	}
	code, _, err := s.ask(second, s.chat(restricted, costly, "late"))
	if code != jdaw.CodeModelNotAllowed {
		t.Errorf("%s answered %s, %v to a model without permission", second.id, code, err)
	}
	cut.healStore()
	for _, l := range append(loads, slow...) {
		l.end()
	}
	for n, l := range slow {
		for _, e := range l.during(time.Time{}, accepted) {
			if s.vms[n] == cut {
				continue // it may refuse the escalation
			}
			if e.err != nil || e.reply.Code != jdaw.CodeOK || e.ended.Before(accepted.Add(inForceWithin)) {
				t.Errorf("a cascade that was to outlast the change ended with %+v, %v after %s", e.reply, e.err, e.ended.Sub(e.began))
			}
		}
	}
	s.checkForbidden(t, costly, accepted.Add(inForceWithin), "a model without permission")
	served := 0
	for _, e := range loads[3*indexOf(s.vms, operator)+2].during(accepted, time.Now()) {
		if e.err == nil && e.reply.Code == jdaw.CodeOK {
			served++
		}
	}
	if served == 0 {
		t.Error("another workspace was not served meanwhile")
	}
	s.awaitReady()
}

// cascade is a request of a task of its own, because a cascade that has learned
// that the cheap model does not suffice starts at the costly one.
func (s *system) cascade(text string) demo.Request {
	q := s.chat(restricted, "cascade", text)
	q.Task = text
	return q
}

// poorAnswers makes the answers of the cheap model bad enough to escalate.
func (s *system) poorAnswers() map[string]float64 {
	out := map[string]float64{}
	for _, v := range s.opts.shape.Models[0].Versions {
		out[s.opts.shape.Models[0].Name+"@"+v] = 0.1
	}
	return out
}

// beginSlowCascades starts a cascade at each VM whose first step outlasts the
// time until the change must be in force, so that its escalation comes later.
// One in three later cascades escalates at once, by the answers of engine 0.
func (s *system) beginSlowCascades(i int) []*traffic {
	s.t.Helper()
	const perToken = 650 // ms
	for _, p := range s.engines {
		s.fault(p, fakes.EngineFault{SlowMillis: perToken, Quality: s.poorAnswers()})
	}
	before := len(s.engineRuns())
	var out []*traffic
	for _, v := range s.vms {
		out = append(out, s.send(v, 1, time.Minute, func(int) demo.Request {
			return s.cascade(fmt.Sprintf("slow cascade %d", i))
		}))
	}
	s.within(10*time.Second, "the slow cascades run", func() bool { return len(s.engineRuns()) >= before+len(s.vms) })
	for n, p := range s.engines {
		if n == 0 {
			s.fault(p, fakes.EngineFault{Quality: s.poorAnswers()})
			continue
		}
		s.fault(p, fakes.EngineFault{})
	}
	return out
}

func indexOf(list []*vm, v *vm) int {
	for i := range list {
		if list[i] == v {
			return i
		}
	}
	return -1
}

// allow sets the models that a workspace may use.
func (s *system) allow(workspace string, models ...string) config.Op {
	for _, w := range s.document.Workspaces {
		if string(w.ID) != workspace {
			continue
		}
		w.Allow = models
		value, err := json.Marshal(w)
		if err != nil {
			s.t.Fatal(err)
		}
		return config.Op{Kind: config.OpPut, Object: config.ObjectWorkspace, Name: workspace, Value: value}
	}
	s.t.Fatalf("no workspace %s", workspace)
	return config.Op{}
}

// checkForbidden fails if an engine started to run the model after a time.
func (s *system) checkForbidden(t *testing.T, model string, after time.Time, what string) {
	t.Helper()
	for _, run := range s.engineRuns() {
		if (isVersionOf(model, run.Version) || run.Version == model) && run.At.After(after) {
			t.Errorf("%s ran %s after the bound: %+v\n%s", what, run.At.Sub(after), run, s.describe(s.vms[0]))
			return
		}
	}
}
