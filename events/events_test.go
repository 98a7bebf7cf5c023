package events_test

import (
	"bytes"
	"strings"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/events"
)

func stamps(walls ...int64) func() (int64, uint32) {
	return func() (int64, uint32) {
		w := walls[0]
		walls = walls[1:]
		return w, 0
	}
}

// A ring that grew without bound would exhaust the memory of a small VM.
func TestRingKeepsTheNewestEvents(t *testing.T) {
	ring := events.NewRing(events.Config{VM: "a", Size: 2, Stamp: stamps(1, 2, 3)})
	for _, name := range []string{"first", "second", "third"} {
		ring.Record(jdaw.TimelineEvent{Name: name})
	}
	got := ring.Last(0)
	if len(got) != 2 || got[0].Name != "second" || got[1].Name != "third" {
		t.Fatalf("want second and third, got %+v", got)
	}
}

func TestMergedText(t *testing.T) {
	a := []jdaw.TimelineEvent{{VM: "a", Wall: 1000, Name: "admitted", RequestID: "r-1"}, {VM: "a", Wall: 9000, Name: "settled", RequestID: "r-1"}}
	b := []jdaw.TimelineEvent{{VM: "b", Wall: 5000, Logical: 2, Name: "granted", RequestID: "r-1", Upstream: "u1"}, {VM: "b", Wall: 6000, Name: "other", RequestID: "r-2"}}
	var out bytes.Buffer
	if err := events.WriteText(&out, events.Filter{Request: "r-1"}.Apply(events.Merge(a, b))); err != nil {
		t.Fatal(err)
	}
	want := `00:00:00.000001+0 a          admitted           request=r-1
00:00:00.000005+2 b          granted            request=r-1 upstream=u1
00:00:00.000009+0 a          settled            request=r-1
`
	if out.String() != want {
		t.Fatalf("got:\n%swant:\n%s", out.String(), want)
	}
}

// Event texts may hold names from callers, which must not become markup.
func TestPageEscapesText(t *testing.T) {
	list := []jdaw.TimelineEvent{{VM: "a", Wall: 1, Name: "refused", Text: "<script>x</script>"}}
	var out bytes.Buffer
	if err := events.WriteHTML(&out, list, []jdaw.VMID{"b"}); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<script>x") {
		t.Fatal("the text was not escaped")
	}
	if !strings.Contains(out.String(), "Not reached: b") {
		t.Fatal("the missing VM is not named")
	}
}
