package queue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
)

// Guards against a preview that differs from the decision, or changes the queue.
func TestPreviewIsTheDecision(t *testing.T) {
	cases := map[string]struct {
		taken    int
		waiting  int
		drains   bool
		isOther  bool // of a workspace without other requests
		deadline time.Duration
		cause    Cause // empty if the request gets a place or waits
		waits    bool
	}{
		"a place is free":    {taken: 2, deadline: time.Minute},
		"it waits":           {taken: 3, deadline: time.Minute, waits: true},
		"it waits in a line": {taken: 3, waiting: 2, deadline: time.Minute, waits: true},
		"no chance":          {taken: 3, deadline: time.Millisecond, cause: CauseDeadline, waits: true},
		"too many wait":      {taken: 3, waiting: 4, deadline: time.Hour, cause: CauseFull, waits: true},
		"another makes way":  {taken: 3, waiting: 4, isOther: true, deadline: time.Minute, waits: true},
		"draining":           {taken: 3, drains: true, deadline: time.Minute, cause: CauseDraining, waits: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			room := Room{Slots: 2} // three places
			q := New(Config{Room: func(string) Room { return room }, IsOn: func(string) bool { return true }, Limit: 4})
			long := Request{Workspace: "w", Deadline: time.Now().Add(time.Minute)}
			for range c.taken {
				if p, err := q.Admit(context.Background(), "desk", long); p == nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for range c.waiting {
				go func() { _, _ = q.Admit(ctx, "desk", long) }()
			}
			for q.Waiting("desk") < c.waiting {
				time.Sleep(time.Millisecond)
			}
			if c.drains {
				q.Drain()
			}
			r := Request{Workspace: "w", Deadline: time.Now().Add(c.deadline)}
			if c.isOther {
				r.Workspace = "v"
			}
			snapshot := func() string {
				q.mu.Lock()
				defer q.mu.Unlock()
				s := q.services["desk"]
				text := fmt.Sprintf("%d %d %d %v %v %d %d", s.waiting, s.inFlight, len(s.flows), s.asked, s.times, s.seq, len(s.active))
				for _, f := range s.flows {
					text += fmt.Sprintf(" %v %d %v %v %v", f.key, len(f.waiting), f.asked, f.served, f.returnAt)
				}
				return text
			}
			before := snapshot()
			p := q.Preview(time.Now(), "desk", room, r)
			if after := snapshot(); after != before {
				t.Errorf("the queue was\n%s\nand is\n%s", before, after)
			}
			got := Cause("")
			if p.Rejection != nil {
				got = p.Rejection.Cause
			}
			if !p.IsOn || got != c.cause || p.Waiting != c.waiting || p.InFlight != c.taken || (p.Wait > 0) != c.waits {
				t.Errorf("preview %+v, rejection %+v", p, p.Rejection)
			}
			if c.waits && c.cause == "" {
				return // Admit would wait
			}
			_, err := q.Admit(ctx, "desk", r)
			decided := Cause("")
			if rejection, ok := err.(*Rejection); ok {
				decided = rejection.Cause
			}
			if decided != got {
				t.Errorf("the preview says %q, the queue decides %q", got, decided)
			}
		})
	}
}

// Guards against a preview of a service without a queue.
func TestPreviewWithoutQueue(t *testing.T) {
	q := New(Config{Room: func(string) Room { return Room{} }, IsOn: func(string) bool { return false }})
	if p := q.Preview(time.Now(), "desk", Room{}, Request{Workspace: jdaw.WorkspaceID("w")}); p != (Preview{}) {
		t.Errorf("preview %+v", p)
	}
}
