package events_test

import (
	"bytes"
	"strings"
	"testing"

	"jackdawbarrow"
	"jackdawbarrow/events"
)

const oneLog = `{"level":"info","msg":"state in force","ready":14,"revision":46,"storeSilentMs":0,"time":"2026-02-13T16:01:18.000Z"}
{"level":"info","msg":"state in force","ready":13,"revision":47,"storeSilentMs":0,"time":"2026-02-13T16:01:20.221Z"}
{"level":"warning","msg":"store lost","error":"timeout","time":"2026-02-13T16:01:20.300Z"}
{"level":"info","msg":"attempt failed","request":"aa01","attempt":1,"address":"10.3.64.30:8028","version":"v1","outcome":"failed","mayRetry":true,"tookMs":240,"revision":47,"candidates":3,"inUse":2,"cause":"the stream broke","upstream":"i-1","time":"2026-02-13T16:01:20.800Z"}
{"level":"info","msg":"request ended","request":"bb02","code":0,"status":200,"time":"2026-02-13T16:01:20.810Z"}
{"level":"info","msg":"answer dropped for a larger model","request":"aa01","model":"small","confidence":33,"target":0.48,"remainingMs":9510,"queueMs":120,"time":"2026-02-13T16:01:20.900Z"}
{"level":"info","msg":"hedge sent","request":"aa01","service":"drafts","first":"i-1","upstream":"i-2","address":"10.3.64.31:8028","waitedMs":140,"delayMs":130,"occupancy":0.2,"time":"2026-02-13T16:01:20.950Z"}
{"level":"info","msg":"hedge ended","request":"aa01","service":"drafts","upstream":"i-2","result":"won","tookMs":50,"time":"2026-02-13T16:01:21.000Z"}
not JSON
{"level":"info","msg":"request ended","request":"aa01","route":"r1","service":"drafts","workspace":"w1","code":1406,"status":504,"tookMs":900,"attempts":2,"cause":"the upstream did not answer in time","time":"2026-02-13T16:01:21.200Z"}
{"level":"info","msg":"state in force","ready":12,"revision":48,"storeSilentMs":0,"time":"2026-02-13T16:01:25.000Z"}
`

// Guards against an explanation that lacks a decision or its inputs, that
// takes lines of other requests or VMs, or that lacks the state of
// the VM at the decision.
func TestExplanation(t *testing.T) {
	x := events.NewExplanation("aa01")
	if err := x.Read(strings.NewReader(oneLog), "/var/log/entry1.log"); err != nil {
		t.Fatal(err)
	}
	other := `  20.5 entry2 {"msg":"store lost","time":"2026-02-13T16:01:20.500Z"}`
	if err := x.Read(strings.NewReader(other), "all.log"); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := events.WriteText(&out, x.Events()); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{
		"79 ms before the request: ready=13 revision=47",
		"error=timeout",
		"attempt 1 at 10.3.64.30:8028 (version v1, one of 3 that could take it, 2 of this VM's requests there) ended as failed after 240 ms by revision 47; another attempt is allowed; the stream broke",
		"model small answers with confidence 33, target 0.48, 9510 ms are left, a larger model would wait for 120 ms: the answer is dropped and a larger model is asked",
		"no answer from i-1 after 140 ms, later than most (130 ms): i-2 at 10.3.64.31:8028 is asked as well",
		"result of the second attempt, at i-2: won after 50 ms",
		"route r1 to service drafts ended with result upstreamTimeout and status 504 after 900 ms and 2 attempts; the upstream did not answer in time",
	}
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(lines), len(want), out.String())
	}
	for i, w := range want {
		if !strings.Contains(lines[i], w) || !strings.Contains(lines[i], "entry1") {
			t.Errorf("line %d is\n%s\nwant entry1 and\n%s", i, lines[i], w)
		}
	}
	if x.Skipped() != 1 {
		t.Errorf("%d lines skipped, want 1", x.Skipped())
	}
}

// Guards against events for a request that is in no log.
func TestExplanationOfAnUnknownRequest(t *testing.T) {
	x := events.NewExplanation(jdaw.RequestID("cc03"))
	if err := x.Read(strings.NewReader(oneLog), "entry1.log"); err != nil {
		t.Fatal(err)
	}
	if list := x.Events(); len(list) != 0 {
		t.Errorf("got %+v", list)
	}
}
