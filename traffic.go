package jdaw

import (
	"context"
	"time"
)

// ViewChanged notifies all machines and traffic goroutines of a new member table.
type ViewChanged struct {
	View *View `json:"view"`
}

// EventName implements [Event].
func (ViewChanged) EventName() string { return "viewChanged" }

// ActionName implements [Action].
func (ViewChanged) ActionName() string { return "viewChanged" }

// ViewSource provides the current member table.
type ViewSource interface {
	View() *View
}

// CreditRequest requests a credit for one request on one upstream of a pool.
type CreditRequest struct {
	Pool      PoolID
	Workspace WorkspaceID
	RequestID RequestID
	// Versions that the workspace allows, in order of preference. A plain
	// service has none.
	Versions []ModelVersion
	Prefix   uint64        // hash of the prompt prefix; 0 for none
	Wait     time.Duration // longest time to wait for a credit
	Priority Priority
	Exclude  []UpstreamID // upstreams that failed this request before
	Prefer   UpstreamID   // upstream that holds a stream to resume
}

// Credit is the right to run one request on one upstream. It is void unless
// used before UseBefore, which is on this process's monotonic clock.
type Credit struct {
	ID        string
	Pool      PoolID
	Upstream  UpstreamID
	Address   string
	Version   ModelVersion
	UseBefore time.Time
}

// Outcome is the result of one use of a credit.
type Outcome string

// Outcomes of a credit.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeFailed    Outcome = "failed"    // the upstream answered with an error
	OutcomeBroken    Outcome = "broken"    // the connection broke or could not be established
	OutcomeRefused   Outcome = "refused"   // the upstream rejected the request
	OutcomeCancelled Outcome = "cancelled" // the caller disconnected
	OutcomeUnused    Outcome = "unused"    // nothing was sent
	OutcomeStarted   Outcome = "started"   // the upstream has begun to answer; the credit stays valid
)

// CreditResult ends a credit.
type CreditResult struct {
	Credit              Credit
	Workspace           WorkspaceID
	Prefix              uint64
	Outcome             Outcome
	FirstToken          time.Duration
	Duration            time.Duration
	PromptTokens        int
	OutputTokens        int
	Rated               bool
	Rating              float64 // 0..1
	Leaving             bool    // the upstream reported that it is leaving
	UpstreamIncarnation string  // of the upstream's process; empty if not reported
}

// Credits acquires and releases credits. Started and Release never block.
type Credits interface {
	Acquire(ctx context.Context, q CreditRequest) (Credit, error)
	// Started reports that a process of the upstream has begun to answer. The
	// incarnation may be empty.
	Started(c Credit, upstreamIncarnation string)
	Release(r CreditResult)
}

// BillState is the state of a request in the journal.
type BillState string

// States of a request in the journal.
const (
	BillOpen    BillState = "open"
	BillSettled BillState = "settled"
)

// Bill is the ledger entry of one request. A request has one bill regardless of
// its number of cascade steps, retries or resumed streams.
type Bill struct {
	RequestID    RequestID   `json:"requestId"`
	Workspace    WorkspaceID `json:"workspace"`
	Outlet       string      `json:"outlet,omitempty"`
	State        BillState   `json:"state"`
	Code         Code        `json:"code,omitempty"`
	Ran          Ran         `json:"ran,omitempty"`
	Model        string      `json:"model,omitempty"` // "model@version" of the answer
	Service      string      `json:"service,omitempty"`
	Steps        int         `json:"steps,omitempty"` // cascade steps taken
	PromptTokens int         `json:"promptTokens,omitempty"`
	OutputTokens int         `json:"outputTokens,omitempty"`
	Cost         float64     `json:"cost,omitempty"` // currency units
	At           time.Time   `json:"at"`
}

// WithSettlement returns the bill settled with the given result.
func (b Bill) WithSettlement(code Code, at time.Time) Bill {
	b.State = BillSettled
	b.Code = code
	b.Ran = code.Info().Ran
	b.At = at
	return b
}

// Ledger records requests. Both calls return only once the entry is replicated
// to other VMs or written to the key-value service.
type Ledger interface {
	// Open assigns the request's id and records it. An error means not run.
	Open(ctx context.Context, b Bill) (RequestID, error)
	// Settle records the outcome; it is called before the last byte of the
	// answer. Settling the same request again has no effect.
	Settle(ctx context.Context, b Bill) error
}

// StoredAnswer is the recorded answer to a keyed request.
type StoredAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// ClaimState is the state of an idempotency key.
type ClaimState string

// States of a claim.
const (
	ClaimMine    ClaimState = "mine"    // the caller of Claim runs the request
	ClaimSettled ClaimState = "settled" // Answer holds the stored answer
	ClaimRunning ClaimState = "running" // another VM runs it now
	ClaimUnknown ClaimState = "unknown" // its VM is dead; it may have run
)

// Claim is the result of claiming an idempotency key.
type Claim struct {
	State     ClaimState
	RequestID RequestID // of the request that holds the claim
	Answer    StoredAnswer
}

// Claims makes keyed requests run at most once.
type Claims interface {
	// Claim claims the key for the request, or returns the state of the claim
	// that exists. bodyHash distinguishes a reused key from a retry. An error
	// means not run.
	Claim(ctx context.Context, w WorkspaceID, key string, id RequestID, bodyHash string) (Claim, error)
	// BeginDispatch must return true before the first byte is sent to an
	// upstream. It returns false if another VM has taken over the claim.
	BeginDispatch(id RequestID) bool
	// Finish stores the answer.
	Finish(ctx context.Context, w WorkspaceID, key string, id RequestID, a StoredAnswer) error
}

// ChatRequest is one call of a model engine.
type ChatRequest struct {
	RequestID RequestID
	Version   ModelVersion
	Body      []byte // the caller's JSON body
	Priority  Priority
	StreamID  string // of a stream to resume; empty for a new one
	// StreamStart is the position of the first chunk of the stream to resume;
	// it is above 0 if that stream continued an earlier one.
	StreamStart int
	// Position is the number of chunks already delivered.
	Position int
	// Text is the answer so far, for continuing on another upstream.
	Text string
	// UseBefore, unless zero, is the expiry of the credit: after it, no byte of
	// the request may be written.
	UseBefore time.Time
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	Position int // counts from 0 without gaps
	Text     string
	// Final is set on the last chunk, which has the usage and FinishReason.
	Final        bool
	FinishReason string
	PromptTokens int
	OutputTokens int
}

// ChatStream is a running answer. Next returns io.EOF after the final chunk.
// The errors of Next and Chat are coded; CodeUpstreamRefused and
// CodeUpstreamConnection mean that nothing ran.
type ChatStream interface {
	Next() (Chunk, error)
	StreamID() string
	UpstreamIncarnation() string
	Close()
}

// LeavingReporter is implemented by streams and errors of [Engine] and
// [Service] that report whether the upstream is leaving.
type LeavingReporter interface {
	Leaving() bool
}

// Engine calls model engines.
type Engine interface {
	Chat(ctx context.Context, address string, q ChatRequest) (ChatStream, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID   RequestID
	Method      string
	Path        string // with the query
	ContentType string
	Body        []byte
	Idempotent  bool
	Key         string // idempotency key passed on to the service; may be empty
	// UseBefore is as for [ChatRequest].
	UseBefore time.Time
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Leaving     bool
}

// Service calls plain services. Errors are coded as for [Engine].
type Service interface {
	Call(ctx context.Context, address string, q ServiceCall) (ServiceAnswer, error)
}

// Rater requests the quality of an answer, 0..1, from the rating service.
type Rater interface {
	Rate(ctx context.Context, q RateRequest) (float64, error)
}

// RateRequest is an answer to rate.
type RateRequest struct {
	Task   string `json:"task"`
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
	Model  string `json:"model"`
}

// PlanRequest requests the step of a cascade to start at or to continue with.
type PlanRequest struct {
	Workspace WorkspaceID
	Task      string
	Models    []string  // from cheap to costly
	Costs     []float64 // per 1,000 tokens, parallel to Models
	Target    float64   // quality target, 0..1
	Remaining time.Duration
}

// Planner chooses steps of cascades. It is safe for concurrent use.
type Planner interface {
	// Start returns the index of the first model to run.
	Start(q PlanRequest) int
	// Next returns the index of the next model after the answer of step was
	// rated, or false if that answer is to be delivered.
	Next(q PlanRequest, step int, rated bool, rating float64) (int, bool)
}

// Learner updates estimates with the outcomes of cascade steps.
type Learner interface {
	Learn(o StepOutcome)
}

// StepOutcome is the result of one step of a cascade.
type StepOutcome struct {
	Workspace WorkspaceID `json:"workspace"`
	Task      string      `json:"task"`
	Model     string      `json:"model"`
	Rated     bool        `json:"rated"`
	Rating    float64     `json:"rating"`
	Accepted  bool        `json:"accepted"` // the rating reached the target
	// Escalated is set if the answer of a cheaper model was rejected before.
	// Such requests are harder than the average, so they are counted separately.
	Escalated bool          `json:"escalated,omitempty"`
	Duration  time.Duration `json:"duration"`
	Tokens    int           `json:"tokens"`
}

// TimelineEvent is one event of the timeline.
type TimelineEvent struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Wall        int64       `json:"wall"` // hybrid logical clock, nanoseconds
	Logical     uint32      `json:"logical"`
	Name        string      `json:"name"`
	RequestID   RequestID   `json:"requestId,omitempty"`
	Workspace   WorkspaceID `json:"workspace,omitempty"`
	Upstream    UpstreamID  `json:"upstream,omitempty"`
	DataCentre  DataCentre  `json:"dataCentre,omitempty"`
	Text        string      `json:"text,omitempty"`
}

// Recorder adds events to the timeline; it sets VM, incarnation and clock.
type Recorder interface {
	Record(e TimelineEvent)
}
