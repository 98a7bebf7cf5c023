package relay

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
)

// Guards against requests to an upstream that said it is leaving or wants none,
// and against a notice that outlives the process that gave it.
func TestNotices(t *testing.T) {
	leaving, pause := jdaw.Answer{IsLeaving: true}, jdaw.Answer{Pause: 5 * time.Second}
	cases := map[string]struct {
		answers []jdaw.Answer
		change  func(st *fleet.State, p *picker)
		after   time.Duration
		want    bool // the upstream gets the request
	}{
		"none":                          {want: true},
		"leaving":                       {answers: []jdaw.Answer{leaving}},
		"leaving, a minute later":       {answers: []jdaw.Answer{leaving}, after: time.Minute},
		"leaving, then not":             {answers: []jdaw.Answer{leaving, {}}},
		"leaving, a new process":        {answers: []jdaw.Answer{leaving}, change: restart, want: true},
		"leaving, its entry returned":   {answers: []jdaw.Answer{leaving}, change: expire},
		"pause":                         {answers: []jdaw.Answer{pause}, after: 4900 * time.Millisecond},
		"pause over":                    {answers: []jdaw.Answer{pause}, after: 5 * time.Second, want: true},
		"pause, a new process":          {answers: []jdaw.Answer{pause}, change: restart, want: true},
		"pause, its entry returned":     {answers: []jdaw.Answer{pause}, change: expire, after: 4 * time.Second},
		"pause, then a shorter one":     {answers: []jdaw.Answer{pause, {Pause: time.Second}}, after: 4 * time.Second},
		"pause, then a success":         {answers: []jdaw.Answer{pause, {}}, after: 4 * time.Second},
		"pause of years":                {answers: []jdaw.Answer{{Pause: 1e9 * time.Second}}, after: 24 * time.Hour},
		"pause of years, a new process": {answers: []jdaw.Answer{{Pause: 1e9 * time.Second}}, change: restart, want: true},
		"malformed pause":               {answers: []jdaw.Answer{{InvalidPause: "soon"}}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st, p := testState(1, 1), newPicker("vm0", nil)
			st.Upstreams["drafts"][0].Born = 1
			res, ok := p.pick(now, st, drafts)
			if !ok {
				t.Fatal("the upstream got no request before its notice")
			}
			for _, a := range c.answers {
				res.notice(now, a)
			}
			res.release(now, outcomeOK)
			if c.change != nil {
				c.change(st, p)
			}
			at := now.Add(c.after)
			if _, ok := p.peek(at, st, drafts); ok != c.want {
				t.Errorf("an escalation may go there: %v, want %v", ok, c.want)
			}
			if _, ok := p.pick(at, st, drafts); ok != c.want {
				t.Errorf("a request goes there: %v, want %v", ok, c.want)
			}
		})
	}
}

// restart starts the process of the first upstream anew under the same id.
func restart(st *fleet.State, _ *picker) { st.Upstreams["drafts"][0].Born++ }

// expire removes the entry of the first upstream for a moment.
func expire(_ *fleet.State, p *picker) {
	p.forget(now, testState(0, 1))
}

// Guards against a notice of an earlier process that is taken for one of the
// process that runs now.
func TestNoticeOfEarlierProcess(t *testing.T) {
	st, p := testState(1, 1), newPicker("vm0", nil)
	res, _ := p.pick(now, st, drafts)
	restart(st, p)
	later, _ := p.pick(now, st, drafts)
	later.release(now, outcomeOK)
	res.notice(now, jdaw.Answer{IsLeaving: true, Pause: time.Minute})
	if _, ok := p.pick(now, st, drafts); !ok {
		t.Error("the new process gets no requests")
	}
}

// Guards against notices that stay in memory for every upstream that ever left.
func TestNoticesAreForgotten(t *testing.T) {
	st, p := testState(1, 1), newPicker("vm0", nil)
	res, _ := p.pick(now, st, drafts)
	res.notice(now, jdaw.Answer{IsLeaving: true, Pause: 1e9 * time.Second})
	res.release(now, outcomeOK)
	p.forget(now.Add(noticeRetention), testState(0, 1))
	if len(p.upstreams) != 0 {
		t.Errorf("%d upstreams are kept", len(p.upstreams))
	}
}

// Guards against a Retry-After that names a time before the upstreams take
// requests again, or a later one although another upstream takes them at once.
func TestNextReturn(t *testing.T) {
	cases := map[string]struct {
		answers []jdaw.Answer // by upstream
		out     bool          // the data centre is out
		want    time.Duration
	}{
		"no notices":               {answers: []jdaw.Answer{{}, {}}},
		"one paused":               {answers: []jdaw.Answer{{Pause: time.Second}, {}}},
		"all paused":               {answers: []jdaw.Answer{{Pause: 3 * time.Second}, {Pause: 2 * time.Second}}, want: 2 * time.Second},
		"one paused, one leaving":  {answers: []jdaw.Answer{{Pause: 3 * time.Second}, {IsLeaving: true}}, want: 3 * time.Second},
		"paused and leaving":       {answers: []jdaw.Answer{{Pause: time.Second, IsLeaving: true}, {Pause: 3 * time.Second}}, want: 3 * time.Second},
		"all leaving":              {answers: []jdaw.Answer{{IsLeaving: true}, {IsLeaving: true}}},
		"all paused, but also out": {answers: []jdaw.Answer{{Pause: time.Second}, {Pause: time.Second}}, out: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st, p := testState(len(c.answers), 1), newPicker("vm0", nil)
			for range c.answers {
				res, ok := p.pick(now, st, drafts)
				if !ok {
					t.Fatal("no upstream")
				}
				for i := range c.answers {
					if res.ID == st.Upstreams["drafts"][i].ID {
						res.notice(now, c.answers[i])
					}
				}
			}
			st.Out["oban"] = c.out
			if got := p.nextReturn(now, st, drafts); got != c.want {
				t.Errorf("the first upstream returns in %v, want %v", got, c.want)
			}
		})
	}
}
