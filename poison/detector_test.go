package poison

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

const service = "lines"

var began = time.Unix(1_000_000, 0)

// after returns a time in milliseconds after the beginning.
func after(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

func newDetector() *Detector {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Log: log})
}

// crash is one request at an upstream that crashed; times are milliseconds.
type crash struct {
	process, request string
	sent, ended      int
	parts            string // shared ones, separated by spaces
}

// prompt returns the last part of the prompt. Requests whose names differ in the
// number at the end repeat one prompt.
func (c crash) prompt() string { return "own-" + strings.TrimRight(c.request, "0123456789") }

func (c crash) value() jdaw.Crash {
	v := jdaw.Crash{
		Process: xxhash.Sum64String(c.process), Request: xxhash.Sum64String(c.request), Service: service,
		Sent: after(c.sent), Ended: after(c.ended),
	}
	for _, id := range append(strings.Fields(c.parts), c.prompt()) {
		v.Parts = append(v.Parts, jdaw.NewSuspectPart(service, id))
	}
	return v
}

// answered is an answer to a request with parts.
type answered struct {
	at    int
	parts string
}

// quarantined returns the parts of the decided quarantines.
func (d *Detector) quarantined() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, q := range d.decided {
		ids = append(ids, q.Part.ID)
	}
	sort.Strings(ids)
	return strings.Join(ids, " ")
}

// Guards against a part that goes on crashing upstreams, and against a sound part
// that is quarantined.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		events []any
		at     int
		want   string
	}{
		"two requests, each sent after a crash": {
			[]any{
				crash{"u1", "a", 0, 100, "team bad"},
				crash{"u2", "a", 100, 300, "team bad"},
				answered{350, "other"},
				crash{"u3", "b", 310, 500, "team bad"},
			}, 700, "bad",
		},
		"retries of one request": {
			[]any{
				crash{"u1", "a", 0, 100, "rare"},
				crash{"u2", "a", 100, 300, "rare"},
				crash{"u3", "a", 300, 500, "rare"},
				answered{550, "other"},
			}, 1000, "",
		},
		"upstreams that end together": {
			[]any{
				crash{"u1", "a", 0, 100, "team x"},
				crash{"u2", "b", 10, 101, "team x"},
				crash{"u3", "c", 20, 102, "team x"},
				crash{"u4", "d", 30, 103, "team x"},
				crash{"u5", "e", 40, 104, "team x"},
				answered{200, "other"},
			}, 1000, "",
		},
		"upstreams that end together twice": {
			[]any{
				crash{"u1", "a", 0, 100, "x"},
				crash{"u2", "b", 10, 101, "x"},
				crash{"u3", "a", 105, 300, "x"},
				crash{"u4", "b", 106, 301, "x"},
				answered{400, "other"},
			}, 1000, "",
		},
		"many requests that wait at several upstreams": {
			[]any{
				crash{"u1", "a", 0, 100, "bad"},
				crash{"u2", "b", 10, 150, "bad"},
				crash{"u3", "c", 20, 180, "bad"},
				crash{"u4", "a", 110, 400, "bad"},
				crash{"u5", "b", 160, 420, "bad"},
				answered{400, "other"},
			}, 1000, "bad",
		},
		"a part answered elsewhere": {
			[]any{
				crash{"u1", "a", 0, 100, "x"},
				crash{"u2", "b", 100, 300, "x"},
				answered{350, "x"},
				crash{"u3", "c", 310, 500, "x"},
				crash{"u4", "d", 510, 700, "x"},
			}, 1000, "",
		},
		"a part answered before": {
			[]any{
				answered{0, "x"},
				crash{"u1", "a", 5000, 5100, "x"},
				crash{"u2", "b", 5100, 5300, "x"},
				crash{"u3", "c", 5310, 5500, "x"},
				answered{5600, "other"},
			}, 6000, "",
		},
		"a part answered long before": {
			[]any{
				answered{0, "x"},
				crash{"u1", "a", 15000, 15100, "x"},
				crash{"u2", "b", 15100, 15300, "x"},
				crash{"u3", "c", 15310, 15500, "x"},
				answered{15600, "other"},
			}, 16000, "x",
		},
		"a service that answers nobody": {
			[]any{
				answered{0, "other"}, crash{"u1", "a", 10, 100, "x"}, crash{"u2", "b", 100, 300, "x"}, crash{"u3", "c", 310, 500, "x"},
			}, 1000, "",
		},
		"too early to have heard of answers": {
			[]any{
				crash{"u1", "a", 0, 100, "x"}, crash{"u2", "b", 100, 200, "x"}, crash{"u3", "c", 210, 300, "x"}, answered{350, "other"},
			}, 590, "",
		},
		"sound requests at the same upstreams": {
			[]any{
				crash{"u1", "a", 0, 100, "team bad"},
				crash{"u1", "sx", 0, 100, "team good"},
				crash{"u2", "a", 100, 300, "team bad"},
				crash{"u2", "sx", 100, 300, "team good"},
				crash{"u3", "b", 310, 500, "team bad"},
				crash{"u3", "sy", 310, 500, "team good"},
				crash{"u4", "b", 510, 700, "team bad"},
				answered{800, "other"},
			}, 1000, "bad",
		},
		"a sound request at a process that is reported later": {
			[]any{
				crash{"u1", "a", 0, 100, "team bad"},
				crash{"u2", "a", 100, 300, "team bad"},
				crash{"u3", "b", 310, 500, "team bad"},
				answered{600, "other"},
				decide(700),
				crash{"u3", "sx", 310, 500, "team good"},
				crash{"u4", "b", 600, 900, "team bad"},
				crash{"u4", "sx", 600, 900, "team good"},
				crash{"u5", "c", 650, 1100, "team bad"},
				crash{"u5", "sy", 950, 1100, "team good"},
				answered{1200, "other"},
			}, 2000, "bad",
		},
		"the first part, whatever follows": {
			[]any{
				crash{"u1", "a", 0, 100, "bad x"},
				crash{"u2", "a", 100, 300, "bad x"},
				crash{"u3", "b", 310, 500, "bad x"},
				answered{600, "other"},
				decide(700),
				crash{"u4", "c", 800, 900, "bad y"},
				answered{950, "other"},
				crash{"u5", "c", 900, 1000, "bad y"},
				answered{1100, "other"},
			}, 2000, "bad x",
		},
		"a sound rare part at the same upstreams as one request with the deadly part": {
			[]any{
				crash{"u1", "a", 0, 100, "team bad"},
				crash{"u1", "sx", 0, 100, "good"},
				crash{"u2", "a", 100, 300, "team bad"},
				crash{"u2", "sx", 100, 300, "good"},
				crash{"u3", "a", 300, 500, "team bad"},
				crash{"u3", "sy", 310, 500, "good"},
				answered{900, "other"},
			}, 1000, "",
		},
		"the next crash after it": {
			[]any{
				crash{"u1", "a", 0, 100, "team bad"},
				crash{"u1", "sx", 0, 100, "good"},
				crash{"u2", "a", 100, 300, "team bad"},
				crash{"u2", "sx", 100, 300, "good"},
				crash{"u3", "a", 300, 500, "team bad"},
				crash{"u3", "sy", 310, 500, "good"},
				answered{900, "other"},
				crash{"u4", "b", 510, 950, "team bad"},
			}, 1000, "bad",
		},
		"one prompt that is sent again": {
			[]any{
				crash{"u1", "p1", 0, 100, "team"},
				crash{"u2", "p1", 100, 300, "team"},
				crash{"u3", "p2", 310, 500, "team"},
				answered{600, "team"},
			}, 1000, "own-p",
		},
		"one prompt without shared parts": {
			[]any{
				crash{"u1", "p1", 0, 100, ""},
				crash{"u2", "p1", 100, 300, ""},
				crash{"u3", "p2", 310, 500, ""},
				answered{600, "other"},
			}, 1000, "own-p",
		},
		"one prompt whose shared part nobody else has": {
			[]any{
				crash{"u1", "p1", 0, 100, "team bad"},
				crash{"u2", "p1", 100, 300, "team bad"},
				crash{"u3", "p2", 310, 500, "team bad"},
				answered{600, "team"},
			}, 1000, "own-p",
		},
		"a sound prompt beside it with the same shared part": {
			[]any{
				crash{"u1", "p1", 0, 100, "team"},
				crash{"u1", "sx", 0, 100, "team"},
				crash{"u2", "p1", 100, 300, "team"},
				crash{"u3", "p1", 310, 500, "team"},
				crash{"u3", "sy", 320, 500, "team"},
				answered{600, "other"},
			}, 1000, "",
		},
		"two prompts that each explain all crashes": {
			[]any{
				crash{"u1", "p1", 0, 100, "team bad"},
				crash{"u1", "q1", 0, 100, "team bad"},
				crash{"u2", "p1", 100, 300, "team bad"},
				crash{"u2", "q1", 100, 300, "team bad"},
				crash{"u3", "p2", 310, 500, "team bad"},
				crash{"u3", "q2", 310, 500, "team bad"},
				crash{"u4", "p2", 510, 700, "team bad"},
				crash{"u4", "q2", 510, 700, "team bad"},
				crash{"u5", "p2", 710, 900, "team bad"},
				crash{"u5", "q2", 710, 900, "team bad"},
				answered{950, "team"},
			}, 1500, "bad",
		},
		"a prompt that was answered": {
			[]any{
				crash{"u1", "p1", 0, 100, "team"},
				crash{"u2", "p1", 100, 300, "team"},
				answered{400, "team own-p"},
				crash{"u3", "p2", 410, 500, "team"},
			}, 1000, "",
		},
		"two parts at once": {
			[]any{
				crash{"u1", "a", 0, 100, "team bad"},
				crash{"v1", "k", 20, 120, "club foul"},
				crash{"u2", "a", 100, 300, "team bad"},
				crash{"v2", "k", 125, 330, "club foul"},
				crash{"u3", "b", 310, 500, "team bad"},
				crash{"v3", "l", 340, 540, "club foul"},
				answered{600, "other"},
			}, 1000, "bad foul",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDetector()
			d.play(c.events)
			d.Decide(after(c.at))
			if got := d.quarantined(); got != c.want {
				t.Errorf("quarantined %q, want %q", got, c.want)
			}
		})
	}
}

// decide is a decision at a time in milliseconds.
type decide int

func (d *Detector) play(events []any) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case crash:
			d.Crashed(after(ev.ended), ev.value())
		case answered:
			d.Answered(after(ev.at), service, strings.Fields(ev.parts))
		case decide:
			d.Decide(after(int(ev)))
		}
	}
}

// Guards against a shared part that goes on crashing upstreams when the quarantined
// prompt is gone, and against one that is kept back though others were answered, or
// for long.
func TestSharedPartOfAQuarantinedPrompt(t *testing.T) {
	cases := map[string]struct {
		answered string // after the quarantine of the prompt
		want     string
	}{
		"nobody was answered": {"team", "bad own-p"},
		"others were":         {"team bad", "own-p"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDetector()
			d.play([]any{
				crash{"u1", "p1", 0, 100, "team bad"},
				crash{"u2", "p1", 100, 300, "team bad"},
				crash{"u3", "p2", 310, 500, "team bad"},
				answered{600, "team"},
				decide(1000),
				answered{1100, c.answered},
				decide(2000),
			})
			if got := d.quarantined(); got != c.want {
				t.Errorf("quarantined %q, want %q", got, c.want)
			}
			if got := d.Unstored(after(2000)); len(got) != 1 || got[0].Part.ID != "own-p" {
				t.Errorf("to be stored: %v, want the prompt alone", got)
			}
			d.play([]any{decide(62_500)})
			if got := d.quarantined(); got != "own-p" {
				t.Errorf("quarantined %q after a minute, want the prompt alone", got)
			}
		})
	}
}

// Guards against time that grows with the evidence: after the crash of many
// upstreams at once, each message would weigh all of it.
func TestEvidenceIsWeighedSeldom(t *testing.T) {
	d := newDetector()
	d.play([]any{crash{"u1", "a", 0, 100, "x"}, decide(200), decide(5000), decide(5100)})
	if got := d.weighedAt; !got.Equal(after(5000)) {
		t.Errorf("weighed at %v, want 5 s", got.Sub(began))
	}
	d.play([]any{crash{"u2", "b", 5100, 5150, "x"}, decide(5200)})
	if got := d.weighedAt; !got.Equal(after(5200)) {
		t.Errorf("weighed at %v after a crash, want 5.2 s", got.Sub(began))
	}
}

// guilty is the evidence against the part "bad".
var guilty = []any{
	crash{"u1", "a", 0, 100, "bad"}, crash{"u2", "a", 100, 300, "bad"}, crash{"u3", "b", 310, 500, "bad"}, answered{600, "other"},
}

// Guards against a quarantine that is not written again after a failure, outlasts
// its removal from the store, or never ends.
func TestLifeOfAQuarantine(t *testing.T) {
	d := newDetector()
	d.play(guilty)
	d.Decide(after(1000))
	isInForce := func(ms int) bool {
		_, ok := d.Find(after(ms), service, []string{"team", "bad"})
		return ok
	}
	if _, ok := d.Find(after(1000), "desk", []string{"bad"}); ok || !isInForce(1000) {
		t.Fatal("the part is not quarantined at its service alone")
	}
	for _, c := range []struct{ at, want int }{{1000, 1}, {1100, 0}, {3100, 1}} {
		if got := d.Unstored(after(c.at)); len(got) != c.want {
			t.Fatalf("%d quarantines to write at %d ms, want %d", len(got), c.at, c.want)
		}
	}
	key := jdaw.PromptPartKeyOf(service, "bad")
	stored := map[jdaw.PromptPartKey]jdaw.Quarantine{key: {Until: after(600_000)}}
	d.Stored(after(3200), stored, nil)
	if got := d.Unstored(after(9000)); len(got) != 0 || !isInForce(9000) {
		t.Fatalf("%d quarantines to write, in force: %v", len(got), isInForce(9000))
	}
	d.Stored(after(9100), nil, stored)
	if got := d.Unstored(after(9100)); len(got) != 1 || !isInForce(9100) {
		t.Fatalf("lapsed in an outage: %d quarantines to write, in force: %v", len(got), isInForce(9100))
	}
	d.Stored(after(9200), stored, nil)
	d.Stored(after(10_000), nil, nil)
	if isInForce(10_000) {
		t.Fatal("the quarantine outlasts its removal from the store")
	}
	d.Report(after(11_000), []jdaw.PromptPartKey{key})
	if !isInForce(11_000) || isInForce(13_000) {
		t.Fatal("a report is not in force for as long as reports are recent")
	}
}

// Guards against evidence that VMs pass back and forth, and that is lost on its
// way to the VM that decides.
func TestEvidenceOfOtherVMs(t *testing.T) {
	a, b, c := newDetector(), newDetector(), newDetector()
	a.play(guilty[:2])
	b.play(guilty[2:])
	at := after(700)
	c.Merge(at, a.Evidence(at, time.Second), true)
	c.Merge(at, b.Evidence(at, time.Second), false)
	c.Merge(at, b.Evidence(at, time.Second), false)
	c.Decide(at)
	if got := c.quarantined(); got != "bad" {
		t.Fatalf("quarantined %q, want bad", got)
	}
	// Two of three messages are 200 ms in transit when the crashes are told first.
	slow := newDetector()
	for i, delay := range []int{200, 200, 0} {
		c := guilty[i].(crash)
		c.sent, c.ended = c.sent+delay, c.ended+delay
		slow.Merge(at, jdaw.CrashEvidence{Crashes: []jdaw.Crash{c.value()}}, true)
	}
	slow.play(guilty[3:])
	slow.Decide(after(2000))
	if got := slow.quarantined(); got != "" {
		t.Fatalf("quarantined %q: the messages form a chain without exact times", got)
	}
	slow.play(guilty)
	slow.Decide(after(2000))
	if got := slow.quarantined(); got != "bad" {
		t.Fatalf("quarantined %q after better times, want bad", got)
	}
	late := newDetector()
	late.Merge(after(1500), b.Evidence(at, time.Second), true)
	if e := late.Evidence(after(1600), 450*time.Millisecond); !e.Answered[jdaw.PromptPartKeyOf(service, "other")].Equal(after(600)) {
		t.Errorf("an answer heard of late is not passed on: %v", e)
	}
	d := newDetector()
	d.Merge(at, b.Evidence(at, time.Second), false)
	if e := d.Evidence(at, time.Second); len(e.Crashes)+len(e.Answered) != 0 {
		t.Errorf("%v of another data centre is passed on", e)
	}
	if e := b.Evidence(after(5000), time.Second); len(e.Answered) != 0 || len(e.Crashes) != 1 {
		t.Errorf("%v is told again, want the crash alone", e)
	}
	if e := b.Evidence(after(6000), time.Second); len(e.Crashes) != 0 {
		t.Errorf("%v is told for long", e)
	}
}

// Guards against memory that grows with the parts that callers name.
func TestEvidenceIsBounded(t *testing.T) {
	d := newDetector()
	for i := range 3 * maxAnswered {
		d.Answered(after(i/100), service, []string{fmt.Sprint("part", i)})
	}
	for i := range 3 * maxCrashes {
		d.Crashed(after(i), crash{fmt.Sprint("u", i), fmt.Sprint("q", i), i, i, fmt.Sprint("x", i)}.value())
	}
	if len(d.answered) > maxAnswered || len(d.crashes) > maxCrashes {
		t.Errorf("%d answers and %d crashes are kept", len(d.answered), len(d.crashes))
	}
	at := after(60_000)
	if e := d.Evidence(at, time.Hour); len(e.Crashes) > maxSentCrashes || len(d.answered) != 0 {
		t.Errorf("%d crashes are sent and %d old answers kept", len(e.Crashes), len(d.answered))
	}
}
