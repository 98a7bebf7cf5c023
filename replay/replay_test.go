package replay_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
	"jackdawbarrow/loop"
	"jackdawbarrow/replay"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

func machines() []jdaw.Machine {
	return []jdaw.Machine{guard.NewMachine(guard.MachineConfig{}), casc.NewMachine(casc.MachineConfig{})}
}

func run(t *testing.T, trace []byte) replay.Log {
	t.Helper()
	log, err := replay.Run(bytes.NewReader(trace), replay.Config{Registry: replay.Standard(), Machines: machines()})
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// A recorded trace must give the same actions on every run and the outcomes
// that the design specifies.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(paths) != 4 {
		t.Fatalf("found traces %v, %v, want 4", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			trace, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			stated, err := os.ReadFile(strings.TrimSuffix(path, ".jsonl") + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			outcomes, err := replay.ParseOutcomes(stated)
			if err != nil {
				t.Fatal(err)
			}
			log := run(t, trace)
			if err := log.Check(outcomes); err != nil {
				t.Error(err)
			}
			first, err := log.Encode()
			if err != nil {
				t.Fatal(err)
			}
			second, err := run(t, trace).Encode()
			if err != nil || !bytes.Equal(first, second) || len(first) == 0 {
				t.Errorf("two runs differ, or there are no actions: %d and %d bytes, %v", len(first), len(second), err)
			}
		})
	}
}

// alarm is a small event, action and machine in one: each event is answered by
// an action of the same name.
type alarm struct {
	Name  string `json:"name"`
	Level int    `json:"level"`
}

func (alarm) EventName() string { return "alarm" }

type echo struct{}

func (echo) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	if a, ok := ev.(alarm); ok {
		return []jdaw.Action{raise(a)}
	}
	return nil
}

type raise alarm

func (raise) ActionName() string { return "raise" }

const alarms = `{"at":"2026-05-01T09:00:00Z","event":"request","body":{"name":"a"}}
{"at":"2026-05-01T09:00:01Z","event":"request","body":{"name":"a"}}
{"at":"2026-05-01T09:00:02Z","event":"alarm","body":{"name":"a","level":1}}
{"at":"2026-05-01T09:00:03Z","event":"request","body":{"name":"a"}}
{"at":"2026-05-01T09:00:04Z","event":"alarm","body":{"name":"b","level":2}}
`

func runAlarms(trace string) (replay.Log, error) {
	r := replay.Standard()
	r.Register("alarm", func(b json.RawMessage) (jdaw.Event, error) {
		var a alarm
		err := json.Unmarshal(b, &a)
		return a, err
	})
	return replay.Run(strings.NewReader(trace), replay.Config{Registry: r, Machines: []jdaw.Machine{echo{}}})
}

// Every kind of outcome must be able to fail and report the difference; a check
// that cannot fail would accept a wrong decision.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		outcomes string
		want     string // in the difference; empty: met
	}{
		"present":         {"- action: raise", ""},
		"absent":          {"- action: suspend", "outcome 1, suspend: want at least 1, got 0"},
		"none met":        {"- {action: suspend, none: true}", ""},
		"none missed":     {"- {action: raise, none: true}", "raise: want none, got 2, the first at 2026-05-01T09:00:02Z"},
		"equals":          {"- {action: raise, field: name, equals: a, atMost: 1}", ""},
		"equals missed":   {"- {action: raise, field: name, equals: c}", `raise with name = "c": want at least 1, got 0`},
		"contains missed": {"- {action: raise, field: name, contains: x}", `raise with name containing "x": want at least 1`},
		"number":          {"- {action: raise, field: level, equals: '2'}", ""},
		"at least missed": {"- {action: raise, atLeast: 3}", "raise: want at least 3, got 2"},
		"at most missed":  {"- {action: raise, atMost: 1}", "raise: want at most 1, got 2"},
		"within requests": {"- {action: raise, field: name, equals: a, within: 2 requests}", ""},
		"too many":        {"- {action: raise, field: name, equals: a, within: 1 requests}", "want within 1 requests to a, got after 2"},
		"other counted":   {"- {action: raise, field: name, equals: b, requests: a, within: 2 requests}", "want within 2 requests to a, got after 3"},
		"within time":     {"- {action: raise, within: 2s}", ""},
		"too late":        {"- {action: raise, within: 1s}", "raise: want within 1s, got after 2s"},
		"order":           {"- order: [{action: raise, field: name, equals: a}, {action: raise, field: name, equals: b}]", ""},
		"order missed":    {"- order: [{action: raise, field: name, equals: b}, {action: raise, field: name, equals: a}]", `raise with name = "a" comes before raise with name = "b"`},
		"order absent":    {"- order: [{action: raise}, {action: suspend}]", "suspend does not occur"},
	}
	log, err := runAlarms(alarms)
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			outcomes, err := replay.ParseOutcomes([]byte(tt.outcomes))
			if err != nil {
				t.Fatal(err)
			}
			err = log.Check(outcomes)
			if tt.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var missed *replay.UnmetError
			if !errors.As(err, &missed) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want a MissedError with %q", err, tt.want)
			}
		})
	}
}

// A mistyped outcome must be an error, or any run meets it.
func TestParseOutcomesRejects(t *testing.T) {
	tests := map[string]string{
		"unknown field":       "- {action: raise, atmost: 1}",
		"no action":           "- {field: name, equals: a}",
		"field without value": "- {action: raise, field: name}",
		"value without field": "- {action: raise, equals: a}",
		"bad bound":           "- {action: raise, within: soon}",
		"nothing to count":    "- {action: raise, within: 5 requests}",
		"none with a bound":   "- {action: raise, none: true, within: 5s}",
		"order with action":   "- {action: raise, order: [{action: a}]}",
		"empty order entry":   "- order: [{}]",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if out, err := replay.ParseOutcomes([]byte(text)); err == nil {
				t.Errorf("accepted as %+v", out)
			}
		})
	}
}

// An invalid trace must be an error with its line, or only a part is checked.
func TestBrokenTrace(t *testing.T) {
	tests := map[string]struct {
		trace string
		line  int
	}{
		"cut line":      {alarms[:len(alarms)-20], 5},
		"unknown event": {alarms + `{"at":"2026-05-01T09:00:00Z","event":"nothing","body":{}}`, 6},
		"wrong body":    {`{"at":"2026-05-01T09:00:00Z","event":"alarm","body":[]}`, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := runAlarms(tt.trace)
			var fault *replay.TraceError
			if !errors.As(err, &fault) || fault.Line != tt.line {
				t.Errorf("error %v, want a TraceError in line %d", err, tt.line)
			}
		})
	}
}

// A trace recorded by a running loop must lead to the decision that the loop
// took, or traces do not represent the process.
func TestRecordedLoopReplays(t *testing.T) {
	var trace bytes.Buffer
	rec := replay.NewRecorder(&trace, replay.Standard())
	var mu sync.Mutex
	var live []jdaw.Suspension
	done := make(chan struct{}, 1)
	l := loop.New(loop.Config{
		Machines: machines(), Record: rec.Record,
		Execute: func(a jdaw.Action) {
			if s, ok := a.(guard.Suspend); ok {
				mu.Lock()
				live = append(live, s.Suspension)
				mu.Unlock()
				done <- struct{}{}
			}
		},
	})
	candidate := jdaw.ModelVersion{Model: "m", Version: "v2"}
	doc := config.Document{
		SessionKeys: []config.SessionKey{{ID: "k1", Secret: "keep-this-out"}},
		Rollouts:    []config.Rollout{{Model: "m", Version: "v2", State: config.RolloutRunning}},
	}
	l.Post(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	l.Post(jdaw.ViewChanged{View: &jdaw.View{Self: "vm1", Members: []jdaw.Member{{VM: "vm1", State: jdaw.MemberAlive}}}})
	l.Post(guard.Counts{Version: candidate, OwnerIncarnation: "a", OK: 6, Failed: 6})
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("no suspension within 10 s")
	}
	l.Close()
	if err := rec.Flush(); err != nil || len(rec.Skipped()) > 0 {
		t.Fatalf("recording: %v, left out %v", err, rec.Skipped())
	}
	if strings.Contains(trace.String(), "keep-this-out") {
		t.Error("the trace holds a session key")
	}
	log := run(t, trace.Bytes())
	outcome := []replay.Outcome{{Match: replay.Match{Action: "suspend", Field: "id", Equals: live[0].ID}}}
	if err := log.Check(outcome); err != nil {
		t.Error(err)
	}
}

type unencodable struct{ Reply func() }

func (unencodable) EventName() string { return "unencodable" }

// An event that cannot be encoded must not stop the recording of the others.
func TestRecorderSkipsUnencodable(t *testing.T) {
	var trace bytes.Buffer
	registry := replay.Standard()
	registry.Register("unencodable", func(json.RawMessage) (jdaw.Event, error) { return unencodable{}, nil })
	rec := replay.NewRecorder(&trace, registry)
	rec.Record(start, unencodable{Reply: func() {}})
	rec.Record(start, jdaw.Tick{Gap: time.Second})
	if err := rec.Flush(); err != nil {
		t.Fatal(err)
	}
	want := `{"at":"2026-05-01T09:00:00Z","event":"tick","body":{"gap":1000000000}}` + "\n"
	if trace.String() != want || rec.Skipped()["unencodable"] != 1 {
		t.Errorf("wrote %q, left out %v, want %q", trace.String(), rec.Skipped(), want)
	}
}

// relay answers an alarm by an action that is an event as well.
type relay struct{}

type relayed struct{ alarm }

func (relayed) ActionName() string { return "relayed" }

func (relay) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	if a, ok := ev.(alarm); ok {
		return []jdaw.Action{relayed{a}}
	}
	return nil
}

type onRelayed struct{}

func (onRelayed) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	if r, ok := ev.(relayed); ok {
		return []jdaw.Action{raise(r.alarm)}
	}
	return nil
}

// Actions that are events must reach all machines as in package loop, or a
// replay misses events between machines.
func TestEmittedEventsReachAllMachines(t *testing.T) {
	r := replay.NewRegistry()
	r.Register("alarm", func(json.RawMessage) (jdaw.Event, error) { return alarm{Name: "a"}, nil })
	log, err := replay.Run(strings.NewReader(`{"event":"alarm"}`), replay.Config{Registry: r, Machines: []jdaw.Machine{onRelayed{}, relay{}}})
	if err != nil || len(log.Entries) != 2 || log.Entries[1].Action != "raise" {
		t.Errorf("actions %+v, %v, want relayed and raise", log.Entries, err)
	}
}
