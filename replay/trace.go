package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// maxLine is larger than any event; a configuration may have up to 1 MB.
const maxLine = 4 << 20

// line is one event of a trace, or one action that the process took.
type line struct {
	At     time.Time         `json:"at"`
	Event  string            `json:"event,omitempty"`
	Body   json.RawMessage   `json:"body,omitempty"`
	Action string            `json:"action,omitempty"`
	Fields map[string]string `json:"fields,omitempty"`
}

// TraceError is an error in a trace.
type TraceError struct {
	Line  int
	Event string // empty if the line could not be read
	Cause error
}

// Error implements error.
func (e *TraceError) Error() string {
	if e.Event == "" {
		return fmt.Sprintf("line %d of the trace: %v", e.Line, e.Cause)
	}
	return fmt.Sprintf("line %d of the trace, event %s: %v", e.Line, e.Event, e.Cause)
}

// Unwrap returns the cause.
func (e *TraceError) Unwrap() error { return e.Cause }

// readTrace calls each with the events of a trace in order.
func readTrace(r io.Reader, each func(n int, l line) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	n := 0
	for scanner.Scan() {
		n++
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return &TraceError{Line: n, Cause: err}
		}
		if err := each(n, l); err != nil {
			return &TraceError{Line: n, Event: l.Event, Cause: err}
		}
	}
	if err := scanner.Err(); err != nil {
		return &TraceError{Line: n + 1, Cause: err}
	}
	return nil
}

// recordedActions are the decisions that a trace contains. Other actions follow
// from the events or are frequent and carry no decision.
var recordedActions = map[string]bool{
	"grant": true, "refuse": true, "sendCounts": true, "suspend": true, "proposal": true,
}

// Recorder writes a trace. Its methods are called by one goroutine, that of the
// control loop; a writer that blocks delays the control loop.
type Recorder struct {
	registry *Registry
	w        *bufio.Writer
	err      error
	skipped  map[string]int
}

// NewRecorder returns a recorder that writes to w the events that the registry
// can decode. All others are skipped: no replayed machine handles them, and some
// carry documents with keys and tokens.
func NewRecorder(w io.Writer, registry *Registry) *Recorder {
	return &Recorder{registry: registry, w: bufio.NewWriter(w), skipped: map[string]int{}}
}

// Record writes one event. It has the type of loop.Config.Record and
// RecordEmitted. An event that cannot be encoded is counted and skipped,
// because a recording error must not stop the control loop.
func (r *Recorder) Record(at time.Time, ev jdaw.Event) {
	if !r.registry.Has(ev.EventName()) {
		return
	}
	b, err := encode(at, ev)
	r.write(ev.EventName(), b, err)
}

// RecordAction writes one decision. It has the type of loop.Config.RecordAction.
func (r *Recorder) RecordAction(at time.Time, a jdaw.Action) {
	name := a.ActionName()
	if !recordedActions[name] {
		return
	}
	fields, err := fieldsOf(a)
	if err != nil {
		r.skipped[name]++
		return
	}
	b, err := json.Marshal(line{At: at.UTC(), Action: name, Fields: fields})
	r.write(name, b, err)
}

func (r *Recorder) write(name string, b []byte, err error) {
	if err != nil {
		r.skipped[name]++
		return
	}
	if r.err == nil {
		_, r.err = r.w.Write(append(b, '\n'))
	}
}

// Flush writes the buffered data and returns the first error of the writer.
func (r *Recorder) Flush() error {
	if r.err == nil {
		r.err = r.w.Flush()
	}
	return errors.Wrap(r.err, "write trace")
}

// Skipped returns how many events and actions of each name could not be encoded.
func (r *Recorder) Skipped() map[string]int { return r.skipped }

func encode(at time.Time, ev jdaw.Event) ([]byte, error) {
	var body any = ev
	if a, ok := ev.(config.Adopted); ok {
		body = adoptedBodyOf(a)
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(line{At: at.UTC(), Event: ev.EventName(), Body: b})
}
