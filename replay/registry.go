package replay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/casc"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
	"jackdawbarrow/owner"
)

// Decode decodes the body of an event.
type Decode func(json.RawMessage) (jdaw.Event, error)

// Registry maps the names of events to their decoders.
type Registry struct {
	decoders map[string]Decode
}

// NewRegistry returns a registry without events.
func NewRegistry() *Registry { return &Registry{decoders: map[string]Decode{}} }

// Register adds or replaces the decoder of an event.
func (r *Registry) Register(name string, decode func(json.RawMessage) (jdaw.Event, error)) {
	r.decoders[name] = decode
}

// Has reports whether the event has a decoder.
func (r *Registry) Has(name string) bool { return r.decoders[name] != nil }

// Decode decodes the body of the event with this name.
func (r *Registry) Decode(name string, body json.RawMessage) (jdaw.Event, error) {
	decode := r.decoders[name]
	if decode == nil {
		return nil, errors.Newf("no decoder is registered for event %q", name)
	}
	return decode(body)
}

// Request is the event of one request that was granted to a model version or
// another named object. No machine handles it; outcomes count it.
type Request struct {
	Name string `json:"name"`
}

// EventName implements [jdaw.Event].
func (Request) EventName() string { return "request" }

// Process is the first event of a recorded trace. It identifies the process whose
// machines are replayed.
type Process struct {
	VM          jdaw.VMID        `json:"vm"`
	Incarnation jdaw.Incarnation `json:"incarnation"`
}

// EventName implements [jdaw.Event].
func (Process) EventName() string { return "processStarted" }

// Standard returns a registry with the events of the root package and of
// packages config, owner, guard and casc.
func Standard() *Registry {
	r := NewRegistry()
	r.Register("tick", decodeTick)
	r.Register("viewChanged", decodeView)
	r.Register("configAdopted", decodeAdopted)
	r.Register("versionCounts", decodeCounts)
	r.Register("stepOutcome", decodeOutcome)
	r.Register("request", decodeRequest)
	r.Register("processStarted", decodeProcess)
	registerOwner(r)
	return r
}

// registerOwner adds the events of package owner.
func registerOwner(r *Registry) {
	r.Register("acquireRequested", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.AcquireRequested
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("acquireCancelled", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.AcquireCancelled
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("creditsReleased", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.CreditsReleased
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("creditsRenewed", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.CreditsRenewed
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("loadReported", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.LoadReported
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("cacheReported", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.CacheReported
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("outstandingReported", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.OutstandingReported
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("revisionPullFailed", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.RevisionPullFailed
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
	r.Register("countsConfirmed", func(b json.RawMessage) (jdaw.Event, error) {
		var ev owner.CountsConfirmed
		err := json.Unmarshal(b, &ev)
		return ev, err
	})
}

func decodeProcess(b json.RawMessage) (jdaw.Event, error) {
	var ev Process
	err := json.Unmarshal(b, &ev)
	return ev, err
}

func decodeTick(b json.RawMessage) (jdaw.Event, error) {
	var ev jdaw.Tick
	err := json.Unmarshal(b, &ev)
	return ev, err
}

func decodeView(b json.RawMessage) (jdaw.Event, error) {
	var ev jdaw.ViewChanged
	if err := json.Unmarshal(b, &ev); err != nil {
		return nil, err
	}
	if ev.View == nil {
		return nil, errors.New("the view is missing")
	}
	return ev, nil
}

func decodeCounts(b json.RawMessage) (jdaw.Event, error) {
	var ev guard.Counts
	err := json.Unmarshal(b, &ev)
	return ev, err
}

func decodeOutcome(b json.RawMessage) (jdaw.Event, error) {
	var ev casc.Outcome
	err := json.Unmarshal(b, &ev)
	return ev, err
}

func decodeRequest(b json.RawMessage) (jdaw.Event, error) {
	var ev Request
	err := json.Unmarshal(b, &ev)
	return ev, err
}

// adoptedBody is a configuration in a trace. The index of the snapshot is rebuilt
// on decoding.
type adoptedBody struct {
	Document    config.Document   `json:"document"`
	Suspensions []jdaw.Suspension `json:"suspensions,omitempty"`
}

// adoptedBodyOf omits all keys and tokens, because traces are shared.
func adoptedBodyOf(a config.Adopted) adoptedBody {
	if a.Snapshot == nil {
		return adoptedBody{}
	}
	doc := a.Snapshot.Doc
	doc.SessionKeys = nil
	doc.Operators = nil
	doc.Workspaces = append([]config.Workspace(nil), doc.Workspaces...)
	for i := range doc.Workspaces {
		doc.Workspaces[i].Keys = nil
	}
	return adoptedBody{Document: doc, Suspensions: a.Snapshot.Suspensions}
}

func decodeAdopted(b json.RawMessage) (jdaw.Event, error) {
	var body adoptedBody
	if err := json.Unmarshal(b, &body); err != nil {
		return nil, err
	}
	return config.Adopted{Snapshot: config.NewSnapshot(body.Document, body.Suspensions)}, nil
}
