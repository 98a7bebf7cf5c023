package replay

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// Config configures a run.
type Config struct {
	Registry *Registry
	Machines []jdaw.Machine
	// Requests returns the name of the object that an event is a request to,
	// and the number of requests; 0 if it is none. It defaults to counting
	// [Request] events.
	Requests func(jdaw.Event) (name string, n int)
	// SkipUnknown leaves out events without a decoder. Otherwise they are a
	// fault, because a decision may depend on them.
	SkipUnknown bool
}

// Entry is one action of a run.
type Entry struct {
	At     time.Time         `json:"at"`
	Action string            `json:"action"`
	Fields map[string]string `json:"fields,omitempty"`

	event int // number of the event from the trace that led to it
}

// Log holds the actions of a run in order.
type Log struct {
	Entries []Entry

	start    time.Time // of the first event
	requests []requestCount
}

type requestCount struct {
	event int
	name  string
	n     int
}

// fielder is an action that names its key fields itself, because it holds
// values that do not encode to JSON or are too large for a log.
type fielder interface {
	ActionFields() map[string]string
}

// Run feeds a trace to the machines. It returns a *[TraceError] if the trace is
// broken.
func Run(trace io.Reader, cfg Config) (Log, error) {
	if cfg.Requests == nil {
		cfg.Requests = countRequests
	}
	var log Log
	n := 0
	err := readTrace(trace, func(_ int, l line) error {
		if cfg.SkipUnknown && !cfg.Registry.Has(l.Event) {
			return nil
		}
		ev, err := cfg.Registry.Decode(l.Event, l.Body)
		if err != nil {
			return err
		}
		if n++; n == 1 {
			log.start = l.At
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

// handle gives one event to all machines and then the events they emitted, in
// the order of package loop.
func (l *Log) handle(n int, at time.Time, ev jdaw.Event, machines []jdaw.Machine) error {
	pending := []jdaw.Event{ev}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, m := range machines {
			for _, a := range m.Handle(at, next) {
				if inner, ok := a.(jdaw.Event); ok {
					pending = append(pending, inner)
				}
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

// fieldsOf returns the key fields of an action: those that it names or else the
// plain values of its JSON object.
func fieldsOf(a jdaw.Action) (map[string]string, error) {
	if f, ok := a.(fielder); ok {
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
