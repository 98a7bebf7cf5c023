package proof

import (
	"context"
	"strings"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// Guards against a break anywhere on the way of a request through separate
// processes: answer, stream, session, order, bill and time line.
func TestWholePath(t *testing.T) {
	s := start(t, options{firstToken: 5 * time.Millisecond, perToken: time.Millisecond})
	ctx := context.Background()
	model := s.opts.shape.Models[0].Name
	want := fakes.Answer(model+"@v1", "system\nAnswer briefly.\nuser\nWhen does heat 7 begin?\n", s.opts.tokens)
	for _, v := range s.vms {
		reply, err := s.to(v).Do(ctx, s.chat("heats", model, "When does heat 7 begin?"))
		if err != nil || reply.Code != jdaw.CodeOK {
			t.Fatalf("%s: %+v, %v", v.id, reply, err)
		}
		if reply.Text == "" || reply.FirstToken == 0 {
			t.Fatalf("%s: no streamed text: %+v", v.id, reply)
		}
		if reply.Text != want {
			t.Errorf("%s: got the answer %q, want %q", v.id, reply.Text, want)
		}
		order, err := s.to(v).Do(ctx, s.order("heats", "order-"+string(v.id)))
		if err != nil || order.Code != jdaw.CodeOK {
			t.Fatalf("%s: order: %+v, %v", v.id, order, err)
		}
		s.checkTimeline(v, reply.RequestID)
	}
	if n := len(s.plainRuns()); n != len(s.vms) {
		t.Errorf("%d orders were executed, want %d", n, len(s.vms))
	}
	s.awaitSettled()
}

// checkTimeline reads the life of one request from the merged time line.
func (s *system) checkTimeline(v *vm, request string) {
	s.t.Helper()
	list, err := s.admin(v).Events(context.Background(), 0)
	if err != nil {
		s.t.Fatal(err)
	}
	if len(list.Missing) > 0 {
		s.t.Errorf("the time line misses %v", list.Missing)
	}
	var names []string
	for _, e := range list.Events {
		if string(e.RequestID) == request {
			names = append(names, e.Name)
		}
	}
	got := strings.Join(names, " ")
	for _, name := range []string{"admitted", "dispatched", "firstToken", "settled"} {
		if !strings.Contains(got, name) {
			s.t.Errorf("the time line of %s lacks %s: %s", request, name, got)
		}
	}
}

// awaitSettled waits until each request in the ledger has one settled bill.
func (s *system) awaitSettled() []jdaw.Bill {
	s.t.Helper()
	var bills []jdaw.Bill
	s.within(10*time.Second, "every request has a settled bill", func() bool {
		bills = s.bills()
		for _, b := range bills {
			if b.State != jdaw.BillSettled {
				return false
			}
		}
		return true
	})
	report := demo.NewReport()
	if b := report.Compare(bills); len(b.Twice) > 0 {
		s.t.Errorf("billed twice: %v", b.Twice)
	}
	return bills
}
