package relay

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// whereFleet is a fixed state of the deployment.
type whereFleet struct{ st *fleet.State }

func (f whereFleet) State() *fleet.State { return f.st }
func (whereFleet) IsCurrent() bool       { return true }
func (whereFleet) Count(fleet.Outcome)   { panic("a question counted an outcome") }

// whereRelay has n upstreams of the service "drafts" behind the routes /plain/ and
// /stream/.
func whereRelay(n int, others jdaw.Backlog) (*Relay, *fleet.State) {
	st := testState(n, 1)
	table := *st.Table
	table.HasKeys, table.Keys = true, map[string]config.KeyGrant{"secret-1": {Workspace: "w", Rank: 3}, "secret-2": {Workspace: "w", Rank: 1}}
	shares := []config.ServiceShare{{Service: "drafts", Weight: 1}}
	table = table.WithRoutes([]config.Route{
		{Name: "plain", Host: "h", Prefix: "/plain/", Kind: config.RouteSafe, Shares: shares, Target: time.Second, Timeout: 5 * time.Second},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: config.RouteUnsafe, Shares: shares},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: config.RouteStreaming, Shares: shares, Models: []string{"small", "large"}},
	})
	st.Table = &table
	cfg := Config{
		Self: "vm0", Fleet: whereFleet{st}, Planner: casc.NewPlanner(casc.PlannerConfig{ExploreOneIn: 1}), QualityTarget: 0.5,
		Backlogs: backlogs{others: others},
	}
	return New(cfg), st
}

func plainQuestion() WhereRequest {
	return WhereRequest{Host: "h", Path: "/plain/x", Workspace: "w"}
}

// Guards against a reason that differs from the one that keeps the upstream from
// requests, and against an upstream left out without a reason.
func TestWhereTellsWhyUpstreamsAreLeftOut(t *testing.T) {
	at := time.Now()
	restrict := func(x *Relay, st *fleet.State, change func(s *upstreamState)) {
		s := x.picker.stateOf(&st.Upstreams["drafts"][0])
		change(s)
		s.restrict(at.Add(time.Minute))
	}
	cases := map[string]struct {
		change      func(x *Relay, st *fleet.State)
		want, first exclusion
	}{
		"none": {func(*Relay, *fleet.State) {}, notExcluded, notExcluded},
		"leaving": {func(_ *Relay, st *fleet.State) {
			st.Upstreams["drafts"][0].Leaving = true
		}, excludedLeaving, notExcluded},
		"data centre out": {func(_ *Relay, st *fleet.State) {
			st.Upstreams["drafts"][0].DataCentre = "leith"
			st.Out["leith"] = true
		}, excludedOut, notExcluded},
		"another version": {func(_ *Relay, st *fleet.State) {
			st.Upstreams["drafts"][0].Version = "v2"
		}, excludedVersion, notExcluded},
		"outlier": {func(x *Relay, st *fleet.State) {
			x.picker.backlogs = backlogs{outliers: map[jdaw.UpstreamKey]bool{st.Upstreams["drafts"][0].ID.Key(): true}}
		}, excludedOutlier, notExcluded},
		"notice": {func(x *Relay, st *fleet.State) {
			restrict(x, st, func(s *upstreamState) { s.notices = notices{isLeaving: true, at: at} })
		}, excludedNotice, notExcluded},
		"pause": {func(x *Relay, st *fleet.State) {
			restrict(x, st, func(s *upstreamState) { s.notices = notices{pausedUntil: at.Add(time.Minute), at: at} })
		}, excludedPause, notExcluded},
		"replaced": {func(x *Relay, st *fleet.State) {
			restrict(x, st, func(s *upstreamState) { s.replacedUntil = at.Add(time.Minute) })
		}, excludedReplaced, notExcluded},
		"ejected": {func(x *Relay, st *fleet.State) {
			restrict(x, st, func(s *upstreamState) { s.ejectedUntil = at.Add(time.Minute) })
		}, excludedEjected, notExcluded},
		"cold quota used": {func(x *Relay, st *fleet.State) {
			u := &st.Upstreams["drafts"][0]
			u.ColdUntil = at.Add(time.Minute)
			for range 7 {
				s := x.picker.stateOf(u)
				s.coldSent = append(s.coldSent, time.Now().Add(time.Second))
			}
		}, excludedCold, notExcluded},
		"full": {func(x *Relay, st *fleet.State) {
			s := x.picker.stateOf(&st.Upstreams["drafts"][0])
			s.pace.Report(time.Now().Add(time.Second), jdaw.LoadReport{Running: 8, Waiting: 8, Slots: 8, Slowdown: 1}, true)
		}, excludedFull, notExcluded},
		"no slot": {func(x *Relay, st *fleet.State) {
			x.picker.stateOf(&st.Upstreams["drafts"][0]).inUse = 8 * queueFactor
		}, excludedNoSlot, notExcluded},
		"all ejected": {func(x *Relay, st *fleet.State) {
			for i := range st.Upstreams["drafts"] {
				s := x.picker.stateOf(&st.Upstreams["drafts"][i])
				s.ejectedUntil = at.Add(time.Minute)
				s.restrict(s.ejectedUntil)
			}
		}, notExcluded, excludedEjected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, st := whereRelay(2, nil)
			c.change(x, st)
			w := x.Where(plainQuestion())
			if w.Refusal != nil {
				t.Fatalf("refused: %+v", w.Refusal)
			}
			u := w.Upstreams[0]
			if u.LeftOut != c.want || u.LeftOutFirst != c.first {
				t.Errorf("left out %q, first %q, want %q and %q", u.LeftOut, u.LeftOutFirst, c.want, c.first)
			}
			if c.want != notExcluded && w.Pick != "u1" {
				t.Errorf("the pick is %q, want the other upstream", w.Pick)
			}
		})
	}
}

// Guards against an answer that differs from the pick of a request with the same draws.
func TestWhereIsThePick(t *testing.T) {
	cases := map[string]WhereRequest{
		"plain":   plainQuestion(),
		"model":   {Host: "h", Path: "/stream/x", Workspace: "w", Model: "large"},
		"prompt":  {Host: "h", Path: "/stream/x", Workspace: "w", Prompt: []jdaw.PromptPart{{ID: "a", Tokens: 900}, {ID: "b", Tokens: 50}}},
		"session": {Host: "h", Path: "/stream/x", Workspace: "w", Session: "s"},
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			for _, hasReports := range []bool{false, true} {
				x, st := whereRelay(5, jdaw.Backlog{jdaw.UpstreamID("u1").Key(): {Tokens: 4000, Running: 5}})
				if hasReports {
					x.picker.stateOf(&st.Upstreams["drafts"][2]).pace.Report(time.Now(), jdaw.LoadReport{Running: 8, Slots: 8, Slowdown: 2}, false)
				}
				for i := range 20 {
					r.Draws.Salt = uint64(i) * 0x9E3779B97F4A7C15
					w := x.Where(r)
					q := pickRequest{service: "drafts", salt: r.Draws.Salt}
					q.prefix = prefixHash(r.Prompt, w.model(r))
					if len(r.Prompt) > 0 {
						q.work = promptWork{shared: 900, own: 50}
					}
					res, ok := x.picker.pick(time.Now(), st, q)
					if !ok || res.ID != w.Pick {
						t.Fatalf("reports %t, draw %d: the pick is %q, the answer %q", hasReports, i, res.ID, w.Pick)
					}
				}
			}
		})
	}
}

// model returns the model of the first attempt.
func (w Where) model(r WhereRequest) string {
	if w.Cascade != nil {
		return w.Cascade.First
	}
	return r.Model
}

// Guards against a question that reserves, counts or forgets anything.
func TestWhereChangesNoState(t *testing.T) {
	x, st := whereRelay(4, jdaw.Backlog{jdaw.UpstreamID("u1").Key(): {Tokens: 4000, Running: 5}})
	at := time.Now()
	q := pickRequest{service: "drafts", name: "plain"}
	cold := &st.Upstreams["drafts"][3]
	cold.ColdUntil = at.Add(time.Hour)
	for range 6 {
		res, ok := x.picker.pick(at, st, q)
		if !ok {
			t.Fatal("no upstream")
		}
		res.notice(at, jdaw.Answer{Load: jdaw.LoadReport{Running: 3, Slots: 8, Slowdown: 1.5}})
	}
	// The first has left the window, and a decision forgets it.
	x.picker.stateOf(cold).coldSent = []time.Time{at.Add(-time.Minute), at}
	place, err := x.admission.queue.Admit(t.Context(), "drafts", (&call{deadline: at.Add(time.Minute)}).queueRequest(0, 0))
	if err != nil || place == nil {
		t.Fatalf("no place: %v", err)
	}
	// The planner has counted a start.
	x.cfg.Planner.Start(jdaw.PlanRequest{Models: []string{"small", "large"}, Costs: []float64{1, 2}})
	planner := x.cfg.Planner.(*casc.Planner)
	snapshot := func() string {
		x.picker.mu.Lock()
		defer x.picker.mu.Unlock()
		states := ""
		for _, u := range st.Upstreams["drafts"] {
			states += fmt.Sprintf("%+v\n", *x.picker.upstreams[u.ID])
		}
		states += fmt.Sprintf("%+v\n", *x.picker.services["drafts"])
		return fmt.Sprintf("%s%d upstreams, %d services, %v candidates, %v %v\n%+v\n%+v\n%v\n%v %v", states, len(x.picker.upstreams),
			len(x.picker.services), x.picker.candidates, x.picker.matches, x.picker.relativeTimes, x.retryBudget.buckets, x.abandonBudget.tokens,
			x.admission.queue.Waiting("drafts"), x.hedges, reflect.ValueOf(planner).Elem().FieldByName("starts"))
	}
	delete(x.picker.upstreams, "u2") // a decision creates it
	st2 := *st
	st2.Upstreams = map[string][]fleet.Upstream{"drafts": {st.Upstreams["drafts"][0], st.Upstreams["drafts"][1], st.Upstreams["drafts"][3]}}
	full := st
	st = &st2
	before, demand := snapshot(), len(x.Demand())
	for _, r := range []WhereRequest{
		plainQuestion(),
		{Host: "h", Path: "/stream/x", Workspace: "w", Prompt: []jdaw.PromptPart{{ID: "a", Tokens: 900}, {ID: "b", Tokens: 50}}},
		{Host: "h", Path: "/plain/x", Workspace: "another"},
		{Host: "h", Path: "/plain/x", Workspace: "w", Deadline: time.Millisecond},
	} {
		x.Where(r)
	}
	if after := snapshot(); after != before {
		t.Errorf("the state was\n%s\nand is\n%s", before, after)
	}
	if n := len(x.Demand()); n != demand {
		t.Errorf("demand of %d workspaces, was %d", n, demand)
	}
	if x.picker.upstreams["u2"] != nil {
		t.Error("the state of an upstream was created")
	}
	if len(full.Upstreams["drafts"]) != 4 {
		t.Error("the list of upstreams has changed")
	}
}

// fillQueue takes all places of the service.
func fillQueue(x *Relay, st *fleet.State) {
	x.picker.stateOf(&st.Upstreams["drafts"][0]).pace.Report(time.Now(), jdaw.LoadReport{Running: 1, Slots: 8, Slowdown: 1}, false)
	for range 12 {
		r := (&call{deadline: time.Now().Add(time.Minute)}).queueRequest(0, 0)
		if place, err := x.admission.queue.Admit(context.Background(), "drafts", r); err != nil || place == nil {
			panic(err)
		}
	}
	time.Sleep(5 * time.Millisecond) // the least time that the service takes, as far as is known
}

// Guards against refusals that differ from those that callers get.
func TestWhereRefusals(t *testing.T) {
	cases := map[string]struct {
		r      WhereRequest
		change func(x *Relay, st *fleet.State)
		code   jdaw.Code
		hasEnd bool // states when to return
	}{
		"no route":       {WhereRequest{Host: "other", Path: "/plain/x"}, nil, jdaw.CodeNoRoute, false},
		"no workspace":   {WhereRequest{Host: "h", Path: "/plain/x"}, nil, jdaw.CodeNoKey, false},
		"no such one":    {WhereRequest{Host: "h", Path: "/plain/x", Workspace: "v"}, nil, jdaw.CodeWrongKey, false},
		"key as a name":  {WhereRequest{Host: "h", Path: "/plain/x", Workspace: "secret-1"}, nil, jdaw.CodeWrongKey, false},
		"no upstream":    {plainQuestion(), func(_ *Relay, st *fleet.State) { st.Upstreams = nil }, jdaw.CodeNoUpstream, true},
		"draining, once": {WhereRequest{Host: "h", Path: "/once/x", Workspace: "w"}, func(x *Relay, _ *fleet.State) { x.Drain(time.Now()) }, jdaw.CodeDraining, true},
		"no chance in the queue": {
			WhereRequest{Host: "h", Path: "/plain/x", Workspace: "w", Deadline: 21 * time.Millisecond}, fillQueue, jdaw.CodeNoCapacity, true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, st := whereRelay(1, nil)
			if c.change != nil {
				c.change(x, st)
			}
			w := x.Where(c.r)
			got := jdaw.CodeOK
			if w.Refusal != nil {
				got = w.Refusal.Code
			}
			if got != c.code {
				t.Fatalf("refusal %+v, want code %d", w.Refusal, c.code)
			}
			if c.code != jdaw.CodeOK && (w.Refusal.RetryAfterMs > 0) != c.hasEnd {
				t.Errorf("return after %d ms", w.Refusal.RetryAfterMs)
			}
		})
	}
}
