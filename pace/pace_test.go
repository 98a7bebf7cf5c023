package pace

import (
	"math"
	"testing"
	"time"

	"jackdawbarrow"
)

var start = time.Unix(1000, 0)

// known returns a service whose plain requests take 30 ms, and an upstream of it.
func known() (*Service, *Upstream) {
	s := NewService(Config{})
	u := &Upstream{service: s}
	for range minUsual {
		s.observe(whole(30))
	}
	u.Report(start, jdaw.LoadReport{Slots: 6, Slowdown: 1}, false)
	return s, u
}

func whole(ms float64) Sample {
	return Sample{Kind: KindWhole, Name: "orders", Amount: 1, Took: time.Duration(ms * float64(time.Millisecond))}
}

// Guards against services that are treated as reporting although their upstreams
// state no slowdown, and against a switch that stays on.
func TestReports(t *testing.T) {
	cases := map[string]struct {
		report jdaw.LoadReport
		after  time.Duration
		want   bool
	}{
		"nothing stated":   {jdaw.LoadReport{}, 0, false},
		"only the load":    {jdaw.LoadReport{Running: 1, Slots: 6}, 0, false},
		"with a slowdown":  {jdaw.LoadReport{Slots: 6, Slowdown: 1}, 0, true},
		"a while ago":      {jdaw.LoadReport{Slots: 6, Slowdown: 2.5}, reportsAge - time.Second, true},
		"no longer stated": {jdaw.LoadReport{Slots: 6, Slowdown: 2.5}, reportsAge, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewService(Config{})
			u := s.NewUpstream()
			u.Report(start, c.report, false)
			if got := s.Reports(start.Add(c.after)); got != c.want {
				t.Errorf("reports: %t, want %t", got, c.want)
			}
		})
	}
	if (*Service)(nil).Reports(start) {
		t.Error("an unknown service reports")
	}
}

// Guards against a slowdown that outlasts its cause, and against absurd figures
// that take all requests from an upstream or draw all to it.
func TestSpeedFollowsTheStatedSlowdown(t *testing.T) {
	cases := map[string]struct {
		slowdown float64
		after    time.Duration
		min, max float64
	}{
		"as usual":             {1, 0, 1, 1},
		"slow":                 {2.5, 0, 0.4, 0.4},
		"slow, half of it ago": {2.5, 200 * time.Millisecond, 0.5, 0.7},
		"slow, long ago":       {2.5, 400 * time.Millisecond, 1, 1},
		"stops reporting":      {2.5, time.Hour, 1, 1},
		"absurdly slow":        {10_000, 0, 0.2, 0.2},
		"absurdly fast":        {0.0001, 0, 2, 2},
		"none":                 {0, 0, 1, 1},
		"the clock steps back": {2.5, -time.Second, 0.4, 0.4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, u := known()
			u.Report(start, jdaw.LoadReport{Slots: 6, Slowdown: c.slowdown}, false)
			if got := 1 / u.RelativeTime(start.Add(c.after), jdaw.UpstreamLoad{}); got < c.min-1e-9 || got > c.max+1e-9 {
				t.Errorf("speed %.2f, want %.2f to %.2f", got, c.min, c.max)
			}
		})
	}
}

// Guards against base speeds that follow single samples, that miss a difference
// of more than two to one, or that leave their limits.
func TestBaseSpeed(t *testing.T) {
	unit := uint32(jdaw.OutcomeUnit)
	cases := map[string]struct {
		samples  int
		ms       float64
		others   jdaw.UpstreamLoad
		min, max float64
	}{
		"no samples":          {0, 0, jdaw.UpstreamLoad{}, 1, 1},
		"one hung request":    {1, 30_000, jdaw.UpstreamLoad{}, 0.7, 1},
		"slow":                {20, 30 / 0.7, jdaw.UpstreamLoad{}, 0.68, 0.8},
		"fast":                {20, 30 / 1.7, jdaw.UpstreamLoad{}, 1.5, 1.75},
		"only others' slow":   {0, 0, jdaw.UpstreamLoad{Timed: 20 * unit, Speed: 14 * unit}, 0.7, 0.78},
		"others' are absurd":  {0, 0, jdaw.UpstreamLoad{Timed: 1, Speed: math.MaxUint32}, 2.5, 2.5},
		"others' sum is lost": {0, 0, jdaw.UpstreamLoad{Timed: math.MaxUint32}, 0.4, 0.4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, u := known()
			sibling := s.NewUpstream()
			for range c.samples {
				u.Observe(start, whole(c.ms))
				sibling.Observe(start, whole(30))
				sibling.Observe(start, whole(30))
			}
			if got := u.Base(c.others) / sibling.Base(jdaw.UpstreamLoad{}); got < c.min || got > c.max {
				t.Errorf("%.2f times the base speed of the sibling, want %.2f to %.2f", got, c.min, c.max)
			}
		})
	}
}

// Guards against a learned speed that is told forever, and against samples taken
// before the usual duration is known: a VM that just started has a base speed of
// 1.
func TestSamplesDecay(t *testing.T) {
	_, u := known()
	for range 10 {
		u.Observe(start, whole(60))
	}
	now, _ := u.Samples(start)
	later, _ := u.Samples(start.Add(20 * time.Second))
	if now != 10*jdaw.OutcomeUnit || later != now/2 {
		t.Errorf("%d samples, and %d after the half-life", now, later)
	}
	fresh := NewService(Config{}).NewUpstream()
	for range minUsual {
		fresh.Observe(start, whole(60))
	}
	if timed, _ := fresh.Samples(start); timed != 0 || fresh.Base(jdaw.UpstreamLoad{}) != 1 {
		t.Errorf("%d samples of a VM that just started, base speed %.2f", timed, fresh.Base(jdaw.UpstreamLoad{}))
	}
}

// Guards against a report that is used when it is stale, that hides requests sent
// since, or that is believed when absurd.
func TestInFlight(t *testing.T) {
	cases := map[string]struct {
		report  jdaw.LoadReport
		sent    int
		after   time.Duration
		counted int
		want    float64
	}{
		"never reported":      {jdaw.LoadReport{}, 0, 0, 4, 4},
		"fresh":               {jdaw.LoadReport{Running: 6, Waiting: 3, Slots: 6}, 0, 0, 2, 9},
		"fresh, more sent":    {jdaw.LoadReport{Running: 6, Waiting: 3, Slots: 6}, 2, 0, 2, 11},
		"half as fresh":       {jdaw.LoadReport{Running: 6, Waiting: 4, Slots: 6}, 0, 100 * time.Millisecond, 2, 6},
		"stale":               {jdaw.LoadReport{Running: 6, Waiting: 4, Slots: 6}, 3, 200 * time.Millisecond, 2, 2},
		"absurd":              {jdaw.LoadReport{Running: 1_000_000, Slots: 6}, 0, 0, 2, 48},
		"fresh and idle":      {jdaw.LoadReport{Slots: 6}, 0, 0, 7, 0},
		"the clock went back": {jdaw.LoadReport{Running: 1, Slots: 6}, 0, -time.Minute, 7, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, u := known()
			u.report = jdaw.LoadReport{}
			u.Report(start, c.report, false)
			for range c.sent {
				u.Sent()
			}
			if got := u.InFlight(start.Add(c.after), c.counted); math.Abs(got-c.want) > 1e-6 {
				t.Errorf("%.2f in flight, want %.2f", got, c.want)
			}
		})
	}
}

// Guards against requests to an upstream that is known to refuse them, and
// against avoiding one for longer than its queue lasts.
func TestIsFull(t *testing.T) {
	full := jdaw.LoadReport{Running: 6, Waiting: 4, Slots: 6}
	cases := map[string]struct {
		refused *jdaw.LoadReport
		last    jdaw.LoadReport
		after   time.Duration
		want    bool
	}{
		"never refused":            {nil, full, 0, false},
		"refused with free slots":  {&jdaw.LoadReport{Running: 2, Slots: 6}, jdaw.LoadReport{Running: 2, Slots: 6}, 0, false},
		"as full as when refusing": {&full, full, fullTime - 1, true},
		"has room again":           {&full, jdaw.LoadReport{Running: 6, Waiting: 2, Slots: 6}, 0, false},
		"a while ago":              {&full, full, fullTime, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, u := known()
			if c.refused != nil {
				u.Report(start, *c.refused, true)
			}
			u.Report(start, c.last, false)
			if got := u.IsFull(start.Add(c.after)); got != c.want {
				t.Errorf("full: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against estimates that leave out the queue, the speed or the load of
// the upstream, and against ones made without data.
func TestEstimate(t *testing.T) {
	s, u := known()
	for range 50 {
		s.observe(whole(30))
		s.observe(Sample{Kind: KindFirst, Amount: 4000, Took: 400 * time.Millisecond})
		s.observe(Sample{Kind: KindEvents, Amount: 1, Running: 20, Took: 50 * time.Millisecond})
		s.observe(Sample{Kind: KindEvents, Amount: 1, Running: 2, Took: 25 * time.Millisecond})
	}
	slow := jdaw.UpstreamLoad{Timed: 1 << 20, Speed: 1 << 19}
	cases := map[string]struct {
		others      jdaw.UpstreamLoad
		work        Work
		first, last float64 // milliseconds
		ok          bool
	}{
		"plain, idle":            {jdaw.UpstreamLoad{}, Work{Name: "orders", Slots: 6}, 30, 30, true},
		"plain, a full queue":    {jdaw.UpstreamLoad{}, Work{Name: "orders", Slots: 6, InFlight: 11}, 60, 60, true},
		"plain, slow upstream":   {slow, Work{Name: "orders", Slots: 6}, 60, 60, true},
		"plain, unknown route":   {jdaw.UpstreamLoad{}, Work{Name: "other", Slots: 6}, 0, 0, false},
		"stream, small batch":    {jdaw.UpstreamLoad{}, Work{Tokens: 4000, Events: 11, InFlight: 2}, 400, 650, true},
		"stream, large batch":    {jdaw.UpstreamLoad{}, Work{Tokens: 4000, Events: 11, InFlight: 20}, 400, 900, true},
		"stream, twice the work": {jdaw.UpstreamLoad{}, Work{Tokens: 8000, Events: 1}, 800, 800, true},
		"stream, slow upstream":  {slow, Work{Tokens: 4000, Events: 11, InFlight: 2}, 800, 1300, true},
		"stream, unknown name":   {jdaw.UpstreamLoad{}, Work{Name: "escalated", Tokens: 4000}, 0, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := u.Estimate(start, c.others, c.work)
			if ok != c.ok {
				t.Fatalf("known: %t, want %t", ok, c.ok)
			}
			first, last := got.First.Seconds()*1000, got.Last.Seconds()*1000
			if ok && (math.Abs(first-c.first) > 0.02*c.first || math.Abs(last-c.last) > 0.02*c.last) {
				t.Errorf("first after %.0f ms, last after %.0f ms, want %.0f and %.0f", first, last, c.first, c.last)
			}
		})
	}
	u.Report(start, jdaw.LoadReport{Slots: 6, Slowdown: 2}, false)
	for name, c := range map[string]struct {
		work  Work
		first float64
	}{
		"slowed down all the time":   {Work{Name: "orders", Slots: 6}, 60},
		"slowed down a part of time": {Work{Tokens: 4000, Events: 1}, 600},
	} {
		if got, _ := u.Estimate(start, jdaw.UpstreamLoad{}, c.work); math.Abs(got.First.Seconds()*1000-c.first) > 0.02*c.first {
			t.Errorf("%s: %s, want %.0f ms", name, got.First, c.first)
		}
	}
	e := Estimate{First: time.Second, Last: 2 * time.Second, Spread: math.Ln2}.WithMargin(1)
	if e.First.Round(time.Millisecond) != 2*time.Second || e.Last.Round(time.Millisecond) != 4*time.Second {
		t.Errorf("with a margin of one deviation: %+v", e)
	}
}

// Guards against all VMs choosing the same upstream at once, and against choosing
// one that must get nothing.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		options  []Option
		min, max []float64 // shares
	}{
		"equal":          {[]Option{{1, 0, 6, true, 0}, {1, 0, 6, true, 0}}, []float64{0.4, 0.4}, []float64{0.6, 0.6}},
		"one faster":     {[]Option{{1 / 0.7, 0, 6, true, 0}, {1 / 0.7, 0, 6, true, 0}, {1 / 1.7, 0, 6, true, 0}}, []float64{0.02, 0.02, 0.55}, []float64{0.25, 0.25, 0.9}},
		"the fast busy":  {[]Option{{1 / 0.7, 0, 6, true, 0}, {1 / 0.7, 0, 6, true, 0}, {1 / 1.7, 18, 6, true, 0}}, []float64{0.2, 0.2, 0.2}, []float64{0.5, 0.5, 0.4}},
		"one seems idle": {[]Option{{1, 6, 6, true, 0}, {1, 6, 6, true, 0}, {1, 0, 6, true, 0}}, []float64{0.1, 0.1, 0.4}, []float64{0.4, 0.4, 0.7}},
		"one not free":   {[]Option{{1, 0, 6, false, 0}, {1, 9, 6, true, 0}}, []float64{0, 1}, []float64{0, 1}},
		"no slots known": {[]Option{{1, 0, 0, true, 0}}, []float64{1}, []float64{1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := make([]float64, len(c.options))
			for i := range uint64(1000) {
				got[Choose((i+1)*0x9E3779B97F4A7C15, c.options)] += 1.0 / 1000
			}
			for i := range got {
				if got[i] < c.min[i]-1e-9 || got[i] > c.max[i]+1e-9 {
					t.Errorf("shares %.2f, want at least %v and at most %v", got, c.min, c.max)
				}
			}
		})
	}
	if got := Choose(1, []Option{{RelativeTime: 1, Slots: 6}}); got != -1 {
		t.Errorf("chose %d of none that is free", got)
	}
}
