package peers

import (
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

func newMember(vm string) jdaw.Member {
	return jdaw.Member{
		VM: jdaw.VMID(vm), Incarnation: jdaw.Incarnation("inc-" + vm), DataCentre: "oban",
		Region: "scot-west", PeerAddr: "addr-" + vm, State: jdaw.MemberAlive,
	}
}

func alive(vm string, number uint64) Update { return Update{Member: newMember(vm), Number: number} }

func withState(state jdaw.MemberState, u Update) Update {
	u.Member = u.Member.WithState(state)
	return u
}

func withDraining(u Update) Update {
	u.Draining = true
	return u
}

// machineDriver drives one machine and answers its probes.
type machineDriver struct {
	m            *Machine
	at           time.Time
	unresponsive map[jdaw.VMID]bool // members that answer no probe
	cutOff       bool               // all messages are lost
	actions      []jdaw.Action
}

func newMachineDriver(others ...string) *machineDriver {
	s := &machineDriver{m: NewMachine(MachineConfig{Self: newMember("a"), Number: 10, Seed: 1}), at: start, unresponsive: map[jdaw.VMID]bool{}}
	for _, vm := range others {
		s.send(JoinReceived{Self: alive(vm, 10), Reply: func(Exchange) {}})
	}
	return s
}

func (s *machineDriver) send(ev jdaw.Event) {
	for _, a := range s.m.Handle(s.at, ev) {
		s.actions = append(s.actions, a)
		switch a := a.(type) {
		case SendProbe:
			ok := !s.cutOff && !s.unresponsive[a.Target]
			s.send(Probed{Target: a.Target, Sender: a.Target, SentAt: a.SentAt, OK: ok})
		case SendProbeFor:
			s.send(ProbedFor{Target: a.Target, Number: a.Number, SentAt: a.SentAt, OK: !s.cutOff, Reached: !s.cutOff && !s.unresponsive[a.Target]})
		}
	}
}

func (s *machineDriver) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := s.at.Add(d); s.at.Before(end); {
		s.at = s.at.Add(tick)
		s.send(jdaw.Tick{Gap: tick})
	}
}

func (s *machineDriver) state(vm jdaw.VMID) jdaw.MemberState {
	m, _ := s.m.view().Member(vm)
	return m.State
}

// Guards against an older or weaker update replacing a newer one, which would
// revive dead members or undo refutations.
func TestPrecedenceOfUpdates(t *testing.T) {
	tests := map[string]struct {
		updates []Update
		want    jdaw.MemberState
	}{
		"suspect over alive":             {[]Update{alive("b", 5), withState(jdaw.MemberSuspect, alive("b", 5))}, jdaw.MemberSuspect},
		"alive does not end suspicion":   {[]Update{withState(jdaw.MemberSuspect, alive("b", 5)), alive("b", 5)}, jdaw.MemberSuspect},
		"refutation ends suspicion":      {[]Update{withState(jdaw.MemberSuspect, alive("b", 5)), alive("b", 6)}, jdaw.MemberAlive},
		"dead over suspect":              {[]Update{withState(jdaw.MemberSuspect, alive("b", 5)), withState(jdaw.MemberDead, alive("b", 5))}, jdaw.MemberDead},
		"old suspicion is ignored":       {[]Update{alive("b", 6), withState(jdaw.MemberSuspect, alive("b", 5))}, jdaw.MemberAlive},
		"refutation ends death":          {[]Update{alive("b", 5), withState(jdaw.MemberDead, alive("b", 5)), alive("b", 6)}, jdaw.MemberAlive},
		"draining survives suspicion":    {[]Update{withDraining(alive("b", 5)), withState(jdaw.MemberSuspect, alive("b", 5))}, jdaw.MemberDraining},
		"draining at an equal number":    {[]Update{alive("b", 5), withDraining(alive("b", 5))}, jdaw.MemberDraining},
		"draining is kept by refutation": {[]Update{withDraining(alive("b", 5)), alive("b", 6)}, jdaw.MemberDraining},
		"unknown dead is not added":      {[]Update{withState(jdaw.MemberDead, alive("b", 5))}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newMachineDriver()
			for _, u := range tt.updates {
				s.send(ProbeReceived{Exchange: Exchange{Updates: []Update{u}}, Reply: func(Exchange) {}})
			}
			if got := s.state("b"); got != tt.want {
				t.Fatalf("state %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a restarted VM keeping the dead or draining state of its
// earlier incarnation.
func TestRestartEndsDraining(t *testing.T) {
	s := newMachineDriver()
	s.send(JoinReceived{Self: withDraining(alive("b", 5)), Reply: func(Exchange) {}})
	u := alive("b", 900)
	u.Member.Incarnation = "second"
	s.send(JoinReceived{Self: u, Reply: func(Exchange) {}})
	if got := s.state("b"); got != jdaw.MemberAlive {
		t.Fatalf("state after the restart %q, want alive", got)
	}
}

// Guards against a VM not refuting an update that declares it dead.
func TestRefutation(t *testing.T) {
	s := newMachineDriver("b")
	s.send(ProbeReceived{Sender: "b", Exchange: Exchange{Updates: []Update{withState(jdaw.MemberDead, alive("a", 41))}}, Reply: func(Exchange) {}})
	answer, ok := s.actions[len(s.actions)-2].(Answer)
	if !ok {
		t.Fatalf("no answer in %v", s.actions)
	}
	got := answer.Exchange.Updates[0]
	if got.Member.VM != "a" || got.Number != 42 || got.Member.State != jdaw.MemberAlive {
		t.Fatalf("first update of the answer %+v, want a alive with number 42", got)
	}
}

// Guards against an unresponsive VM staying alive in the table, and against
// responsive VMs being declared dead.
func TestFailureDetection(t *testing.T) {
	s := newMachineDriver("b", "c", "d", "e", "f", "g", "h")
	s.run(5 * time.Second)
	s.unresponsive["c"] = true
	s.run(6 * time.Second)
	for vm, want := range map[jdaw.VMID]jdaw.MemberState{"b": jdaw.MemberAlive, "c": jdaw.MemberDead, "h": jdaw.MemberAlive} {
		if got := s.state(vm); got != want {
			t.Errorf("%s is %q, want %q", vm, got, want)
		}
	}
	if s.m.view().Isolated {
		t.Error("isolated although 6 VMs answer")
	}
}

// Guards against a partitioned VM that keeps serving or declares the rest of
// the deployment dead.
func TestCutOffVMIsolatesItself(t *testing.T) {
	s := newMachineDriver("b", "c", "d")
	s.run(3 * time.Second)
	s.cutOff = true
	s.run(2 * time.Second)
	if !s.m.view().Isolated {
		t.Fatal("not isolated 2 s after the cut")
	}
	s.run(20 * time.Second)
	for _, vm := range []jdaw.VMID{"b", "c", "d"} {
		if s.state(vm) == jdaw.MemberDead {
			t.Errorf("%s is dead in the table of the partitioned VM", vm)
		}
	}
	s.cutOff = false
	s.run(600 * time.Millisecond)
	if s.m.view().Isolated {
		t.Fatal("still isolated after an answered probe")
	}
}

// Guards against a paused VM that resumes without isolating itself: an answer
// to a probe sent before the pause must not end the isolation.
func TestPauseIsolates(t *testing.T) {
	s := newMachineDriver("b", "c")
	s.run(2 * time.Second)
	before := s.at
	// The last contact was 1.45 s ago, so that only the gap causes isolation.
	const gap = 1050 * time.Millisecond
	s.at = s.at.Add(gap)
	s.m.Handle(s.at, jdaw.Tick{Gap: gap})
	s.m.Handle(s.at, Probed{Target: "b", Sender: "b", SentAt: before, OK: true})
	if !s.m.view().Isolated {
		t.Fatal("the answer to an old probe ended the isolation")
	}
	s.run(time.Second)
	if s.m.view().Isolated {
		t.Fatal("still isolated a second after the pause")
	}
}

// Guards against messages that grow with the number of changes.
func TestUpdatesAreBounded(t *testing.T) {
	s := newMachineDriver()
	for i := 0; i < 100; i++ {
		s.send(JoinReceived{Self: alive(fmt.Sprintf("vm%d", i), 1), Reply: func(Exchange) {}})
	}
	s.actions = nil
	s.run(60 * time.Second)
	seen := map[jdaw.VMID]bool{}
	for _, a := range s.actions {
		p, ok := a.(SendProbe)
		if !ok {
			continue
		}
		if len(p.Updates) > maxUpdates {
			t.Fatalf("%d updates in a probe, want at most %d", len(p.Updates), maxUpdates)
		}
		for _, u := range p.Updates {
			seen[u.Member.VM] = true
		}
	}
	if len(seen) != 101 {
		t.Fatalf("changes of %d members were sent in 60 s, want all 101", len(seen))
	}
}

// Guards against replays of a recorded trace that differ from the first run.
func TestReplayIsDeterministic(t *testing.T) {
	run := func() string {
		s := newMachineDriver("b", "c", "d", "e")
		s.run(2 * time.Second)
		s.unresponsive["d"] = true
		s.run(10 * time.Second)
		text := ""
		for _, a := range s.actions {
			if v, ok := a.(jdaw.ViewChanged); ok {
				text += fmt.Sprintf("%+v\n", *v.View)
				continue
			}
			if _, ok := a.(Answer); !ok {
				text += fmt.Sprintf("%+v\n", a)
			}
		}
		return text
	}
	if first, second := run(), run(); first != second {
		t.Fatalf("two runs differ:\n%s\n---\n%s", first, second)
	}
}

// Guards against misuse of the lagging VM list: applying a mark of an earlier
// incarnation, draining a removed VM, or missing a leaving VM or upstream.
func TestListMerge(t *testing.T) {
	entry := func(vm string, leaving bool) ListedVM {
		return ListedVM{VM: jdaw.VMID(vm), DataCentre: "oban", Region: "scot-west", PeerAddr: "addr-" + vm, Leaving: leaving}
	}
	s := newMachineDriver("b", "c")
	s.run(time.Second)
	s.send(ListRead{OK: true, List: List{
		Version: 3, VMs: []ListedVM{entry("a", false), entry("b", true), entry("c", false), entry("d", false)},
		Upstreams: []ListedUpstream{{Address: "http://u1", Leaving: true}, {Address: "http://u2"}},
	}})
	if got := s.state("b"); got != jdaw.MemberAlive {
		t.Errorf("b is %q by a mark that may refer to an earlier incarnation, want alive", got)
	}
	s.send(ListRead{OK: true, List: List{Version: 4, VMs: []ListedVM{entry("c", true), entry("d", false)}}})
	if got := s.state("c"); got != jdaw.MemberDraining {
		t.Errorf("c is %q, want draining", got)
	}
	if got := s.state("b"); got != jdaw.MemberAlive {
		t.Errorf("b is %q after it left the list, want alive", got)
	}
	s.send(ListRead{OK: true, List: List{Version: 2, Upstreams: []ListedUpstream{{Address: "http://u9", Leaving: true}}}})
	if got := fmt.Sprint(s.m.view().LeavingUpstreams, s.m.view().ListedByDataCentre); got != "[] map[oban:2]" {
		t.Errorf("list state %s after an older list, want that of version 4", got)
	}
	s.actions = nil
	s.run(3 * time.Second)
	joined := false
	for _, a := range s.actions {
		j, ok := a.(SendJoin)
		joined = joined || (ok && j.Addr == "addr-d")
	}
	if !joined {
		t.Error("no attempt to join the listed VM d")
	}
}
