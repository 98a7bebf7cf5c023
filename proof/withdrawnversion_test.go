package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// Guards against new work for a version that was withdrawn during its
// roll-out: the key-value service goes down just after the withdrawal, or is
// down before it, and a VM is frozen meanwhile and has requests waiting when
// it wakes. Sessions pinned to the version must be told so.
func TestInvariantWithdrawnVersion(t *testing.T) {
	repetitions := times(20)
	shape := smallShape(3)
	// A version is withdrawn for good, so each repetition needs its own.
	for i := range repetitions {
		shape.Models[0].Versions = append(shape.Models[0].Versions, fmt.Sprintf("r%d", i))
	}
	share(t, 7, repetitions, func(t *testing.T, first, last int) {
		s := start(t, options{
			shape: shape, firstToken: 10 * time.Millisecond, perToken: 10 * time.Millisecond,
			edit: func(d *config.Document) {
				for i := range d.Models[0].Versions {
					if v := &d.Models[0].Versions[i]; v.Name[0] == 'r' {
						v.State = config.VersionRollout
					}
				}
			},
		})
		for i := first; i < last; i++ {
			withdrawVersion(t, s, i)
			if t.Failed() {
				return
			}
		}
	})
}

func withdrawVersion(t *testing.T, s *system, i int) {
	random := rand.New(rand.NewPCG(*seed, uint64(i)))
	model := s.opts.shape.Models[0].Name
	version := fmt.Sprintf("%s@r%d", model, i)
	frozen := s.vms[i%3]
	operator, second := s.vms[(i+1)%3], s.vms[(i+2)%3]
	if _, err := s.change(operator, config.Op{Kind: config.OpStartRollout, Name: version, Share: 50}); err != nil {
		t.Fatal(err)
	}
	token := s.pinnedTo(version, second, i)
	pinned := func(n int) demo.Request {
		q := s.chat("heats", model, fmt.Sprintf("pinned %d of %d", n, i))
		q.Session = token
		return q
	}
	var loads []*traffic
	for _, v := range s.vms {
		loads = append(loads, s.send(v, 2, 10*time.Millisecond, pinned),
			s.send(v, 2, 10*time.Millisecond, func(n int) demo.Request {
				return s.chat("scoring", model, fmt.Sprintf("new %d of %d", n, i))
			}))
	}
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	if len(s.runsSince(version, began)) == 0 {
		t.Error("the version did not run before it was withdrawn")
	}
	frozen.freeze()
	ordered := s.orderWithdrawal(t, operator, version, i)
	// The VM wakes before or after the withdrawal must be in force.
	time.Sleep(time.Until(ordered.Add(time.Duration(2000+random.IntN(5000)) * time.Millisecond)))
	// Connections that are opened now wait for the VM to wake.
	waiting := s.send(frozen, 6, 10*time.Millisecond, pinned)
	time.Sleep(50 * time.Millisecond)
	frozen.thaw()
	time.Sleep(time.Until(ordered.Add(inForceWithin + 1200*time.Millisecond)))
	s.checkForbidden(t, version, ordered.Add(inForceWithin), "a withdrawn version")
	for _, v := range []*vm{operator, second} {
		code, reply, err := s.ask(v, pinned(0))
		if code != jdaw.CodeSessionVersionWithdrawn {
			t.Errorf("%s answered %s, %v to a session of a withdrawn version: %+v", v.id, code, err, reply)
		}
	}
	s.within(20*time.Second, "the VM that woke answers that the session's version is withdrawn", func() bool {
		code, _, _ := s.ask(frozen, pinned(0))
		return code == jdaw.CodeSessionVersionWithdrawn
	})
	s.fault(s.kv, fakes.KeyValueFault{})
	waiting.end()
	for _, l := range loads {
		l.end()
	}
	// The end of the outage must not bring the version back.
	s.within(inForceWithin, "the withdrawal is stored", func() bool {
		doc := s.storedDocument()
		for _, v := range doc.Models[0].Versions {
			if model+"@"+v.Name == version {
				return v.State == config.VersionWithdrawn
			}
		}
		return false
	})
	s.checkForbidden(t, version, ordered.Add(inForceWithin), "a withdrawn version")
	s.awaitReady()
}

// pinnedTo starts sessions until one is pinned to the version.
func (s *system) pinnedTo(version string, v *vm, i int) string {
	s.t.Helper()
	model := s.opts.shape.Models[0].Name
	for n := range 200 {
		q := s.chat("heats", model, "begin")
		q.NewSession = fmt.Sprintf("session-%d-%d", i, n)
		reply, err := s.to(v).Do(s.t.Context(), q)
		if err != nil || reply.Code != jdaw.CodeOK {
			s.t.Fatalf("a session could not be started: %+v, %v", reply, err)
		}
		q.NewSession, q.Session = "", reply.Session
		began := time.Now()
		if _, err := s.to(v).Do(s.t.Context(), q); err != nil {
			s.t.Fatal(err)
		}
		if len(s.runsSince(version, began)) > 0 {
			return reply.Session
		}
	}
	s.t.Fatalf("no session was pinned to %s", version)
	return ""
}

// orderWithdrawal withdraws the version. In even repetitions the key-value
// service goes down just after it has accepted the change; in odd ones it is
// down before, and the order becomes a suspension. It returns the time from
// which the bound counts.
func (s *system) orderWithdrawal(t *testing.T, v *vm, version string, i int) time.Time {
	t.Helper()
	op := config.Op{Kind: config.OpWithdrawVersion, Name: version, Reason: "test"}
	down := fakes.KeyValueFault{Outage: []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang}[i%3]}
	if i%2 == 1 {
		s.fault(s.kv, down)
		result, err := s.change(v, op)
		if err != nil || !result.Suspended {
			t.Fatalf("withdrawal during an outage: %+v, %v", result, err)
		}
		return time.Now()
	}
	before := len(s.configWrites())
	changed := make(chan error, 1)
	go func() {
		_, err := s.change(v, op)
		changed <- err
	}()
	s.within(5*time.Second, "the withdrawal is accepted", func() bool { return len(s.configWrites()) > before })
	s.fault(s.kv, down)
	accepted := s.configWrites()[before].At
	if err := <-changed; err != nil {
		t.Fatalf("an accepted withdrawal was answered with %v", err)
	}
	return accepted
}
