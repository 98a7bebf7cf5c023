package replay

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// Config configures a run.
type Config struct {
	Registry *Registry
	Machines []jdaw.Machine
	// NewMachines, if set, creates the machines of the process that the trace
	// names; it is called once, with the zero value if the trace names none.
	NewMachines func(Process) []jdaw.Machine
	// Requests returns the name of the object that an event is a request to,
	// and the number of requests; 0 if it is none. It defaults to counting
	// [Request] events.
	Requests func(jdaw.Event) (name string, n int)
	// SkipUnknown skips events without a decoder. Otherwise they are an error,
	// because a decision may depend on them.
	SkipUnknown bool
}

// Entry is one action of a run.
type Entry struct {
	At     time.Time         `json:"at"`
	Action string            `json:"action"`
	Fields map[string]string `json:"fields,omitempty"`

	event int // number of the event in the trace that caused it
}

// Log holds the actions of a run in order.
type Log struct {
	Entries []Entry
	// Recorded are the decisions that the process took, if the trace has them.
	Recorded []Entry

	rules    *rules
	start    time.Time // of the first event
	requests []requestCount
}

type requestCount struct {
	event int
	name  string
	n     int
}

// fieldLogger is an action that provides its key fields, because it holds values
// that do not encode to JSON or are too large for a log.
type fieldLogger interface {
	ActionFields() map[string]string
}

// Run feeds a trace to the machines. It returns a *[TraceError] if the trace is
// invalid.
func Run(trace io.Reader, cfg Config) (Log, error) {
	if cfg.Requests == nil {
		cfg.Requests = countRequests
	}
	log := Log{rules: newRules()}
	n := 0
	err := readTrace(trace, func(_ int, l line) error {
		if l.Action != "" {
			log.Recorded = append(log.Recorded, Entry{At: l.At, Action: l.Action, Fields: l.Fields, event: n})
			return nil
		}
		if cfg.SkipUnknown && !cfg.Registry.Has(l.Event) {
			return nil
		}
		ev, err := cfg.Registry.Decode(l.Event, l.Body)
		if err != nil {
			return err
		}
		if n++; n == 1 {
			log.start = l.At
			if cfg.NewMachines != nil {
				process, _ := ev.(Process)
				cfg.Machines = cfg.NewMachines(process)
			}
		}
		if name, count := cfg.Requests(ev); count > 0 {
			log.requests = append(log.requests, requestCount{event: n, name: name, n: count})
		}
		return log.handle(n, l.At, ev, cfg.Machines)
	})
	return log, err
}

func countRequests(ev jdaw.Event) (string, int) {
	if r, ok := ev.(Request); ok {
		return r.Name, 1
	}
	return "", 0
}

// handle passes one event to all machines and then the events they emitted, in
// the order of package loop.
func (l *Log) handle(n int, at time.Time, ev jdaw.Event, machines []jdaw.Machine) error {
	pending := []jdaw.Event{ev}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		l.rules.event(next)
		for _, m := range machines {
			for _, a := range m.Handle(at, next) {
				if inner, ok := a.(jdaw.Event); ok {
					pending = append(pending, inner)
				}
				l.rules.action(at, a)
				fields, err := fieldsOf(a)
				if err != nil {
					return errors.Wrapf(err, "encode action %s", a.ActionName())
				}
				l.Entries = append(l.Entries, Entry{At: at, Action: a.ActionName(), Fields: fields, event: n})
			}
		}
	}
	return nil
}

// CompareRecorded returns an error for the first decision in which the replay and
// the recording differ. A trace without decisions is an error.
func (l Log) CompareRecorded() error {
	if len(l.Recorded) == 0 {
		return errors.New("the trace holds no decisions of the process")
	}
	var replayed []Entry
	for _, e := range l.Entries {
		if recordedActions[e.Action] {
			replayed = append(replayed, e)
		}
	}
	for i, want := range l.Recorded {
		if i >= len(replayed) {
			return errors.Newf("the replay ends before decision %d, %s %v", i+1, want.Action, want.Fields)
		}
		if got := replayed[i]; !got.At.Equal(want.At) || got.Action != want.Action || !maps.Equal(got.Fields, want.Fields) {
			return errors.Newf("decision %d was %s %v at %s, the replay gives %s %v at %s",
				i+1, want.Action, want.Fields, stamp(want), got.Action, got.Fields, stamp(got))
		}
	}
	if n := len(l.Recorded); len(replayed) > n {
		return errors.Newf("the replay gives %d decisions, %d were recorded; the first further one is %s %v",
			len(replayed), n, replayed[n].Action, replayed[n].Fields)
	}
	return nil
}

// fieldsOf returns the key fields of an action: those that it provides or else
// the scalar values of its JSON object.
func fieldsOf(a jdaw.Action) (map[string]string, error) {
	if f, ok := a.(fieldLogger); ok {
		return f.ActionFields(), nil
	}
	b, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	values := map[string]json.RawMessage{}
	if json.Unmarshal(b, &values) != nil {
		return nil, nil // not an object, for example an action that is an enum
	}
	fields := map[string]string{}
	for name, v := range values {
		if text := string(v); !strings.HasPrefix(text, "{") && !strings.HasPrefix(text, "[") {
			fields[name] = plain(v)
		}
	}
	return fields, nil
}

// plain returns a JSON string without its quotes and other values as they are.
func plain(v json.RawMessage) string {
	var s string
	if json.Unmarshal(v, &s) == nil {
		return s
	}
	return string(v)
}

// Encode returns the actions as JSON lines. Two runs over the same trace give
// the same bytes.
func (l Log) Encode() ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	for _, e := range l.Entries {
		if err := enc.Encode(e); err != nil {
			return nil, errors.Wrapf(err, "encode action %s", e.Action)
		}
	}
	return out.Bytes(), nil
}

// requestsBefore counts the requests to a name up to an event.
func (l Log) requestsBefore(event int, name string) int {
	n := 0
	for _, r := range l.requests {
		if r.event <= event && r.name == name {
			n += r.n
		}
	}
	return n
}
