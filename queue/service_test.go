package queue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawbarrow"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns a time in a test.
func after(d time.Duration) time.Time { return begin.Add(d) }

// learned returns a service whose requests take a time.
func learned(limit int, took time.Duration) *service {
	s := newService("desk", limit)
	for range timesKept {
		s.times.observe(took)
	}
	return s
}

func request(w jdaw.WorkspaceID, rank int, deadline time.Duration) Request {
	return Request{Workspace: w, Rank: rank, Deadline: after(deadline)}
}

// Guards against a lone caller in calm that waits or is rejected, against more
// requests than places, and against a rejection while slots are free.
func TestRoom(t *testing.T) {
	cases := map[string]struct {
		room     Room
		deadline time.Duration
		arrive   int
		granted  int
		waiting  int
	}{
		"calm":                               {Room{Slots: 18}, time.Second, 10, 10, 0},
		"others have a part":                 {Room{Slots: 18, Others: 17}, time.Second, 12, 10, 2},
		"others have all":                    {Room{Slots: 18, Others: 60}, time.Second, 3, 1, 2},
		"no usable upstream is no queue":     {Room{}, time.Second, 5, 5, 0},
		"short deadline while there is room": {Room{Slots: 18, Others: 5}, time.Millisecond, 8, 8, 0},
		"short deadline without room":        {Room{Slots: 18, Others: 60}, 70 * time.Millisecond, 3, 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := learned(DefaultLimit, 60*time.Millisecond)
			granted := 0
			for range c.arrive {
				if ticket, _ := s.arrive(begin, c.room, request("w", 0, c.deadline)); ticket.verdict == "granted" {
					granted++
				}
			}
			if granted != c.granted || s.waiting != c.waiting {
				t.Errorf("granted %d, %d wait; want %d and %d", granted, s.waiting, c.granted, c.waiting)
			}
		})
	}
}

// Guards against an order within a workspace that lets urgent requests or those with
// little time left miss their deadline behind others, and against a workspace that
// waits behind one that was served more.
func TestOrder(t *testing.T) {
	type arrival struct {
		id       string
		w        jdaw.WorkspaceID
		rank     int
		deadline time.Duration
	}
	cases := map[string]struct {
		used     map[jdaw.WorkspaceID]float64
		others   jdaw.Demand
		arrivals []arrival
		want     string
	}{
		"rank, then deadline": {
			arrivals: []arrival{{"late", "a", 2, time.Second}, {"soon", "a", 2, 900 * time.Millisecond}, {"urgent", "a", 0, 2 * time.Second}},
			want:     "urgent soon late",
		},
		"least served workspace": {
			used:     map[jdaw.WorkspaceID]float64{"a": 200, "b": 20},
			arrivals: []arrival{{"a1", "a", 0, time.Second}, {"b1", "b", 5, time.Second}},
			want:     "b1 a1",
		},
		"use at other VMs": {
			others:   jdaw.Demand{jdaw.NewDemandKey("desk", "a"): {Served: 500}},
			arrivals: []arrival{{"a1", "a", 0, time.Second}, {"b1", "b", 5, time.Second}},
			want:     "b1 a1",
		},
		"equal use takes turns": {
			arrivals: []arrival{{"a1", "a", 0, time.Second}, {"a2", "a", 0, time.Second}, {"b1", "b", 0, time.Second}, {"b2", "b", 0, time.Second}},
			want:     "a1 b1 a2 b2",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := learned(DefaultLimit, 60*time.Millisecond)
			room := Room{Slots: 6, Others: 60}
			busy, _ := s.arrive(begin, room, request("x", 0, time.Second))
			for w, used := range c.used {
				f := s.flowOf(begin, w)
				f.served = f.served.with(begin, used)
			}
			s.others = c.others
			ids := map[*ticket]string{}
			for _, a := range c.arrivals {
				ticket, _ := s.arrive(begin, room, request(a.w, a.rank, a.deadline))
				ids[ticket] = a.id
			}
			got := ""
			for now := begin; busy != nil; {
				now = now.Add(60 * time.Millisecond)
				s.end(now, busy, false)
				busy = nil
				for _, next := range s.grantAll(now, room) {
					if got != "" {
						got += " "
					}
					got += ids[next]
					busy = next
				}
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a refusal that comes only when the deadline passes, and against
// callers who return together or later than they honour.
func TestReject(t *testing.T) {
	room := Room{Slots: 6, Others: 60}
	s := learned(DefaultLimit, 100*time.Millisecond)
	s.arrive(begin, room, request("a", 0, time.Second))
	var pauses []time.Duration
	for i := range 20 {
		r := request(jdaw.WorkspaceID(fmt.Sprint(i%4)), 0, 900*time.Millisecond)
		r.ReturnDraw = float64(i%10) / 10
		ticket, _ := s.arrive(begin, room, r)
		if ticket.verdict == rejected {
			pauses = append(pauses, ticket.rejection.RetryAfter)
		}
	}
	if len(pauses) < 10 || s.waiting == 0 {
		t.Fatalf("%d rejected, %d wait", len(pauses), s.waiting)
	}
	distinct := map[time.Duration]bool{}
	for _, p := range pauses {
		distinct[p] = true
		if p < minReturn || p > 300*time.Millisecond {
			t.Errorf("Retry-After %v is not honoured", p)
		}
	}
	if len(distinct) < 5 {
		t.Errorf("callers return together: %v", pauses)
	}
	// The upstreams turn slow while requests wait.
	for range timesKept {
		s.times.observe(600 * time.Millisecond)
	}
	before := s.waiting
	if out := s.advance(after(100*time.Millisecond), room); len(out) == 0 || s.waiting >= before {
		t.Errorf("%d decided, %d of %d still wait", len(out), s.waiting, before)
	}
}

// Guards against requests that are served late and make others late, and against the
// refusal of what would be late anywhere.
func TestLate(t *testing.T) {
	cases := map[string]struct {
		took    time.Duration
		demand  uint32 // of others, in milliseconds
		target  time.Duration
		verdict verdict
	}{
		"can meet its target":                {40 * time.Millisecond, 100_000, 300 * time.Millisecond, waiting},
		"would be late":                      {100 * time.Millisecond, 100_000, 180 * time.Millisecond, rejected},
		"would be late, without an overload": {100 * time.Millisecond, 0, 180 * time.Millisecond, waiting},
		"the service takes longer than that": {200 * time.Millisecond, 100_000, 180 * time.Millisecond, waiting},
		"no target":                          {100 * time.Millisecond, 100_000, 0, waiting},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := learned(DefaultLimit, c.took)
			s.others = jdaw.Demand{s.total: {Asked: c.demand}}
			room := Room{Slots: 6, Others: 60}
			var last *ticket
			for range 3 {
				r := request("a", 0, 2*time.Second)
				if c.target > 0 {
					r.Target = after(c.target)
				}
				last, _ = s.arrive(begin, room, r)
			}
			if last.verdict != c.verdict || last.verdict == rejected && last.rejection.Cause != CauseLate {
				t.Errorf("%s (%s), want %s", last.verdict, last.rejection.Cause, c.verdict)
			}
		})
	}
}

// Guards against one workspace that fills the queue, and against a queue or a table of
// workspaces that grows without end.
func TestBounds(t *testing.T) {
	room := Room{Slots: 6, Others: 60}
	s := learned(32, time.Millisecond)
	for i := range 40 {
		s.arrive(begin, room, request("greedy", 0, time.Duration(10+i)*time.Second))
	}
	small, _ := s.arrive(begin, room, request("small", 0, 10*time.Second))
	if small.verdict != waiting || s.waiting != 32 {
		t.Errorf("the small workspace's request is %s, %d wait", small.verdict, s.waiting)
	}
	for i := range 20_000 {
		s.arrive(after(time.Duration(i)*time.Microsecond), room, request(jdaw.WorkspaceID(fmt.Sprint("w", i)), 0, 20*time.Second))
	}
	if s.waiting > 32 || len(s.flows) > maxFlows+1 {
		t.Errorf("%d wait, %d workspaces are kept", s.waiting, len(s.flows))
	}
}

// Guards against shares that ignore the demand at other VMs, and against a share that
// binds while there is room.
func TestShare(t *testing.T) {
	key := func(w jdaw.WorkspaceID) jdaw.DemandKey { return jdaw.NewDemandKey("desk", w) }
	total := jdaw.TotalDemandKey("desk")
	crowd := jdaw.Demand{total: {}}
	for i := range 64 {
		crowd[key(jdaw.WorkspaceID(fmt.Sprint(i)))] = jdaw.WorkspaceUse{Asked: 600}
	}
	crowd[total] = jdaw.WorkspaceUse{Asked: 600 * 2000}
	capacity := shareMargin * placesPerSlot * 6 * milliseconds(useDecay)
	cases := map[string]struct {
		others jdaw.Demand
		want   float64 // the level
	}{
		"room for all":          {jdaw.Demand{key("a"): {Asked: 9000}, total: {Asked: 9000}}, math.Inf(1)},
		"one greedy":            {jdaw.Demand{key("a"): {Asked: 90_000}, key("b"): {Asked: 2000}, total: {Asked: 92_000}}, capacity - 2000},
		"two greedy":            {jdaw.Demand{key("a"): {Asked: 90_000}, key("b"): {Asked: 80_000}, total: {Asked: 170_000}}, capacity / 2},
		"2,000 of equal demand": {crowd, capacity / 2000},
		"another service's":     {jdaw.Demand{jdaw.NewDemandKey("other", "a"): {Asked: 90_000}}, math.Inf(1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := learned(DefaultLimit, 60*time.Millisecond)
			s.others = c.others
			got := s.fairLevel(begin, Room{Slots: 6})
			if got != c.want && math.Abs(got-c.want) > 1e-6*c.want {
				t.Errorf("level %f, want %f", got, c.want)
			}
		})
	}
	t.Run("under half of the slots taken", func(t *testing.T) {
		s := learned(DefaultLimit, 60*time.Millisecond)
		s.others = cases["one greedy"].others
		for range 2 {
			r := request("a", 0, time.Second)
			r.ShareDraw = 1
			if ticket, _ := s.arrive(begin, Room{Slots: 6, Others: 1}, r); ticket.verdict != granted {
				t.Fatalf("%s while slots are free", ticket.verdict)
			}
		}
	})
}

// Guards against places that are lost or given twice in any order of events.
func TestNoPlaceIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService("desk", rapid.IntRange(1, 20).Draw(t, "limit"))
		now := begin
		room := Room{Slots: 6}
		known := map[*ticket]bool{}
		check := func() {
			inFlight, queued := 0, 0
			for ticket := range known {
				switch ticket.verdict {
				case granted:
					inFlight++
				case waiting:
					queued++
				}
			}
			listed := 0
			for _, f := range s.active {
				if len(f.waiting) == 0 {
					t.Fatal("a workspace without requests is active")
				}
				listed += len(f.waiting)
			}
			if s.inFlight != inFlight || s.waiting != queued || listed != queued || queued > s.limit {
				t.Fatalf("counted %d in flight and %d waiting (%d listed, limit %d), have %d and %d",
					s.inFlight, s.waiting, listed, s.limit, inFlight, queued)
			}
		}
		pick := func(v verdict) *ticket {
			var first *ticket
			for ticket := range known {
				if ticket.verdict == v && (first == nil || ticket.seq < first.seq) {
					first = ticket
				}
			}
			return first
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"arrive": func(t *rapid.T) {
				ticket, decided := s.arrive(now, room, Request{
					Workspace: jdaw.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")),
					Rank:      rapid.IntRange(0, 3).Draw(t, "rank"), Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond),
					ShareDraw: rapid.Float64Range(0, 1).Draw(t, "share"), ReturnDraw: rapid.Float64Range(0, 1).Draw(t, "return"),
				})
				known[ticket] = true
				if r := ticket.rejection; r.Cause == CauseDeadline && (r.InFlight+r.Others)*2 < r.Slots {
					t.Fatalf("rejected with %d in flight and %d of others at %d slots", r.InFlight, r.Others, r.Slots)
				}
				for _, other := range decided {
					if other.verdict == waiting || !known[other] {
						t.Fatalf("a decided request is %s", other.verdict)
					}
				}
			},
			"end": func(t *rapid.T) {
				if ticket := pick(granted); ticket != nil {
					s.end(now, ticket, rapid.Bool().Draw(t, "measured"))
					s.end(now, ticket, true)
				}
			},
			"leave": func(*rapid.T) {
				if ticket := pick(waiting); ticket != nil {
					s.leave(ticket)
					s.leave(ticket)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				s.advance(now, room)
				if s.inFlight == 0 && s.waiting > 0 && room.Others < room.Slots {
					t.Fatalf("%d wait though %d of %d slots are free", s.waiting, room.Slots-room.Others, room.Slots)
				}
			},
			"report": func(t *rapid.T) {
				room = Room{Slots: rapid.IntRange(0, 18).Draw(t, "slots"), Others: rapid.IntRange(0, 40).Draw(t, "others")}
				s.others = jdaw.Demand{
					s.total:                        {Asked: uint32(rapid.IntRange(0, 100_000).Draw(t, "total"))},
					jdaw.NewDemandKey(s.name, "a"): {Asked: uint32(rapid.IntRange(0, 100_000).Draw(t, "a")), Served: 100},
				}
			},
		})
	})
}

// BenchmarkArrive decides about a request while 256 wait.
func BenchmarkArrive(b *testing.B) {
	for name, workspaces := range map[string]int{"24 workspaces": 24, "256 workspaces": 256} {
		b.Run(name, func(b *testing.B) {
			s := learned(DefaultLimit, time.Millisecond)
			room := Room{Slots: 18, Others: 60}
			s.others = jdaw.Demand{s.total: {Asked: 100_000}}
			for i := range 63 {
				s.others[jdaw.NewDemandKey("desk", jdaw.WorkspaceID(fmt.Sprint(i)))] = jdaw.WorkspaceUse{Asked: 2000, Served: 500}
			}
			for i := range DefaultLimit + 1 {
				s.arrive(begin, room, request(jdaw.WorkspaceID(fmt.Sprint(i%workspaces)), 0, time.Hour))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				t, _ := s.arrive(after(time.Duration(i)*time.Millisecond), room, request(jdaw.WorkspaceID(fmt.Sprint(i%workspaces)), 0, time.Hour))
				s.leave(t)
			}
		})
	}
}
