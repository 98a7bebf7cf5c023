package peers

import (
	"fmt"
	"testing"

	"jackdawbarrow"
)

// Guards against updates about failures being queued behind those about many
// starts, which delayed the takeover of pools by half a minute.
func TestFailuresAreSentFirst(t *testing.T) {
	s := newMachineDriver()
	for i := range 40 {
		s.send(JoinReceived{Self: alive(fmt.Sprintf("n%02d", i), 10), Reply: func(Exchange) {}})
	}
	for i := range 4 {
		u := withState(jdaw.MemberSuspect, alive(fmt.Sprintf("n%02d", 10*i+9), 10))
		s.send(ProbeReceived{Sender: "n00", Exchange: Exchange{Updates: []Update{u}}, Reply: func(Exchange) {}})
	}
	// The failures have been sent more often than some of the starts by the
	// last of these answers.
	for n := range 10 {
		s.send(ProbeReceived{Sender: "n00", Reply: func(Exchange) {}})
		suspects := 0
		answer := s.actions[len(s.actions)-1].(Answer)
		for _, u := range answer.Exchange.Updates {
			if u.Member.State == jdaw.MemberSuspect {
				suspects++
			}
		}
		if suspects != 4 || len(answer.Exchange.Updates) != maxUpdates {
			t.Fatalf("answer %d has %d suspects in %d updates, want 4 in %d", n, suspects, len(answer.Exchange.Updates), maxUpdates)
		}
	}
}
