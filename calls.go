package jdaw

import (
	"net/http"
	"time"
)

// Call is the decoded headers of a caller's request.
type Call struct {
	ID           string        // identifies this attempt of the caller
	WorkspaceKey string        // workspace key; empty for none
	Deadline     time.Duration // how long the caller waits; 0 if not stated
	ResumeAfter  string        // id of the last event received by the caller; empty for none
	// Model is empty to let the router choose one of the route's models.
	Model        string
	Prompt       []PromptPart
	PromptTokens int
	OutputTokens int // at most
	Session      string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is the values of the headers that one request to an upstream has in
// addition to the caller's.
type Attempt struct {
	Upstream    UpstreamID
	Workspace   WorkspaceID
	Deadline    time.Duration // time left
	ResumeAfter string
	Model       string // empty to keep the caller's
	Urgency     int    // priority in the upstream's queue, 0 first; -1 to omit
}

// Answer is the decoded headers of an upstream's answer.
type Answer struct {
	RequestID       string
	IsSigned        bool // the answer was produced by an upstream's server
	NotRun          bool // the upstream did not run the request and will not
	IsOtherUpstream bool // a different upstream answers at the address
	IsEncoded       bool // the body has a content encoding that the upstream did not apply
	Confidence      int  // 0 to 100; -1 if not stated
	// IsLeaving is set if the upstream shuts down and takes no new requests.
	IsLeaving bool
	// Pause is the time for which the upstream, which rejected the request, wants
	// no others from this VM; 0 if not stated.
	Pause time.Duration
	// InvalidPause is a malformed value of Pause, which is ignored.
	InvalidPause string
	// Load is the upstream's load when it answered; zero if not stated.
	Load LoadReport
}

// LoadReport is what an upstream states about its load in a response.
type LoadReport struct {
	Running int // requests in slots
	Waiting int // requests in the queue
	Slots   int // 0 if the upstream stated no load
	// Slowdown is the time that work takes at the moment relative to the
	// upstream's usual time: 1 as usual, 2 twice as long; 0 if not stated.
	Slowdown float64
}

// IsKnown reports whether the upstream stated its load.
func (l LoadReport) IsKnown() bool { return l.Slots > 0 }

// CallProtocol translates the headers of requests and answers. Status codes and
// bodies are passed on unchanged.
type CallProtocol interface {
	// ReadCall decodes a caller's headers. It fails if a required one is
	// missing or malformed.
	ReadCall(h http.Header) (Call, error)
	// WriteAttempt converts a caller's headers to those for an upstream.
	WriteAttempt(h http.Header, a Attempt)
	// ReadAnswer decodes an upstream's headers.
	ReadAnswer(status int, h http.Header) Answer
}
