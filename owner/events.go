package owner

import (
	"fmt"
	"strconv"
	"time"

	"jackdawbarrow"
)

// AcquireRequested asks for a credit. Ticket names the caller that waits for
// the [Grant] or [Refuse] with the same number.
type AcquireRequested struct {
	Ticket      uint64              `json:"ticket"`
	From        jdaw.VMID           `json:"from"`
	Incarnation jdaw.Incarnation    `json:"incarnation"`
	FromAddr    string              `json:"fromAddr,omitempty"`
	Revision    jdaw.Revision       `json:"revision"`
	Pool        jdaw.PoolID         `json:"pool"`
	Workspace   jdaw.WorkspaceID    `json:"workspace"`
	RequestID   jdaw.RequestID      `json:"requestId"`
	Versions    []jdaw.ModelVersion `json:"versions,omitempty"`
	Prefix      uint64              `json:"prefix,omitempty"`
	Wait        time.Duration       `json:"wait"`
	Priority    jdaw.Priority       `json:"priority"`
	Exclude     []jdaw.UpstreamID   `json:"exclude,omitempty"`
	Prefer      jdaw.UpstreamID     `json:"prefer,omitempty"`
}

// EventName implements jdaw.Event.
func (AcquireRequested) EventName() string { return "acquireRequested" }

// AcquireCancelled reports that the caller of the ticket no longer waits.
type AcquireCancelled struct {
	Ticket uint64 `json:"ticket"`
}

// EventName implements jdaw.Event.
func (AcquireCancelled) EventName() string { return "acquireCancelled" }

// Released reports the end of one credit or, with the outcome "started", the
// start of its response.
type Released struct {
	Credit              string            `json:"credit"`
	Pool                jdaw.PoolID       `json:"pool"`
	Upstream            jdaw.UpstreamID   `json:"upstream"`
	Outcome             jdaw.Outcome      `json:"outcome"`
	Version             jdaw.ModelVersion `json:"version"`
	FirstToken          time.Duration     `json:"firstToken,omitempty"`
	Duration            time.Duration     `json:"duration,omitempty"`
	Rated               bool              `json:"rated,omitempty"`
	Rating              float64           `json:"rating,omitempty"`
	Leaving             bool              `json:"leaving,omitempty"`
	Prefix              uint64            `json:"prefix,omitempty"`
	UpstreamIncarnation string            `json:"upstreamIncarnation,omitempty"`
}

// CreditsReleased reports ended credits and those whose response has started.
type CreditsReleased struct {
	From     jdaw.VMID  `json:"from"`
	Releases []Released `json:"releases"`
}

// EventName implements jdaw.Event.
func (CreditsReleased) EventName() string { return "creditsReleased" }

// Held is a credit that a VM holds. An entry without credit in a renewal marks
// the renewal as a complete list of the VM's credits of that pool.
type Held struct {
	Credit    string           `json:"credit,omitempty"`
	Pool      jdaw.PoolID      `json:"pool"`
	Upstream  jdaw.UpstreamID  `json:"upstream,omitempty"`
	Workspace jdaw.WorkspaceID `json:"workspace,omitempty"`
}

// CreditsRenewed lists what a VM holds; it is answered by [RenewAnswer].
type CreditsRenewed struct {
	Ticket      uint64           `json:"ticket"`
	From        jdaw.VMID        `json:"from"`
	Incarnation jdaw.Incarnation `json:"incarnation"`
	Held        []Held           `json:"held"`
}

// EventName implements jdaw.Event.
func (CreditsRenewed) EventName() string { return "creditsRenewed" }

// LoadReported is the result of a poll. If Failed is set, only Pool and
// Upstream are set as well.
type LoadReported struct {
	Pool        jdaw.PoolID         `json:"pool"`
	Upstream    jdaw.UpstreamID     `json:"upstream"`
	Failed      bool                `json:"failed,omitempty"`
	Incarnation string              `json:"incarnation,omitempty"`
	Uptime      time.Duration       `json:"uptime,omitempty"`
	Running     int                 `json:"running"`
	Queued      int                 `json:"queued"`
	Capacity    int                 `json:"capacity"`
	Versions    []jdaw.ModelVersion `json:"versions,omitempty"`
	Leaving     bool                `json:"leaving,omitempty"`
	MeasuredAt  time.Time           `json:"measuredAt"`
}

// EventName implements jdaw.Event.
func (LoadReported) EventName() string { return "loadReported" }

// CacheChange is one change of an upstream's prefix cache.
type CacheChange struct {
	Sequence uint64    `json:"sequence"` // counts from 1 without gaps
	Prefix   uint64    `json:"prefix"`
	Evicted  bool      `json:"evicted,omitempty"` // false: stored
	At       time.Time `json:"at"`
}

// CacheReported carries cache events of an upstream. They may be late, and a
// gap in Sequence means that some were lost.
type CacheReported struct {
	Pool     jdaw.PoolID     `json:"pool"`
	Upstream jdaw.UpstreamID `json:"upstream"`
	Changes  []CacheChange   `json:"changes"`
}

// EventName implements jdaw.Event.
func (CacheReported) EventName() string { return "cacheReported" }

// OutstandingReported is a member's answer to [AskOutstanding].
type OutstandingReported struct {
	Pool        jdaw.PoolID      `json:"pool"`
	From        jdaw.VMID        `json:"from"`
	Incarnation jdaw.Incarnation `json:"incarnation"`
	Failed      bool             `json:"failed,omitempty"`
	Held        []Held           `json:"held,omitempty"`
}

// EventName implements jdaw.Event.
func (OutstandingReported) EventName() string { return "outstandingReported" }

// RevisionPullFailed reports that the pull requested by [PullRevision] failed.
// A pull that succeeds results in config.Adopted.
type RevisionPullFailed struct {
	Revision jdaw.Revision `json:"revision"`
}

// EventName implements jdaw.Event.
func (RevisionPullFailed) EventName() string { return "revisionPullFailed" }

// CountsConfirmed reports that the evaluator received the counts of a
// [SendCounts].
type CountsConfirmed struct {
	Counts []VersionCounts `json:"counts"`
}

// EventName implements jdaw.Event.
func (CountsConfirmed) EventName() string { return "countsConfirmed" }

// Grant gives a credit to the caller that waits for the ticket.
type Grant struct {
	Ticket   uint64            `json:"ticket"`
	Credit   string            `json:"credit"`
	Pool     jdaw.PoolID       `json:"pool"`
	Upstream jdaw.UpstreamID   `json:"upstream"`
	Address  string            `json:"address"`
	Version  jdaw.ModelVersion `json:"version"`
	// Waited is the time in the queue. The holder adds it to the time at
	// which it sent the call to get the earliest possible time of the
	// grant.
	Waited time.Duration `json:"waited"`
}

// ActionName implements jdaw.Action.
func (Grant) ActionName() string { return "grant" }

// ActionFields returns the key fields for a log of actions.
func (g Grant) ActionFields() map[string]string {
	return map[string]string{
		"ticket": strconv.FormatUint(g.Ticket, 10), "credit": g.Credit, "pool": g.Pool.String(),
		"upstream": string(g.Upstream), "version": g.Version.String(),
	}
}

// Refuse rejects the request of the ticket with a result code; nothing has run.
type Refuse struct {
	Ticket     uint64        `json:"ticket"`
	Code       jdaw.Code     `json:"code"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// ActionName implements jdaw.Action.
func (Refuse) ActionName() string { return "refuse" }

// PollLoad asks an upstream for its load report.
type PollLoad struct {
	Pool     jdaw.PoolID     `json:"pool"`
	Upstream jdaw.UpstreamID `json:"upstream"`
	Address  string          `json:"address"`
}

// ActionName implements jdaw.Action.
func (PollLoad) ActionName() string { return "pollLoad" }

// AskOutstanding asks a member which credits of the pool it holds.
type AskOutstanding struct {
	Pool jdaw.PoolID `json:"pool"`
	VM   jdaw.VMID   `json:"vm"`
	Addr string      `json:"addr"`
}

// ActionName implements jdaw.Action.
func (AskOutstanding) ActionName() string { return "askOutstanding" }

// PullRevision fetches the configuration from a VM with a newer revision.
type PullRevision struct {
	Revision jdaw.Revision `json:"revision"`
	FromAddr string        `json:"fromAddr"`
}

// ActionName implements jdaw.Action.
func (PullRevision) ActionName() string { return "pullRevision" }

// RenewAnswer answers [CreditsRenewed]. Unknown lists credits of pools that
// this VM does not own.
type RenewAnswer struct {
	Ticket  uint64   `json:"ticket"`
	Unknown []string `json:"unknown,omitempty"`
}

// ActionName implements jdaw.Action.
func (RenewAnswer) ActionName() string { return "renewAnswer" }

// VersionCounts are cumulative outcomes of one version in one pool. Counter
// identifies the series: counts that restart at zero get another counter.
type VersionCounts struct {
	Version         jdaw.ModelVersion `json:"version"`
	Pool            jdaw.PoolID       `json:"pool"`
	Counter         string            `json:"counter"`
	OK              uint64            `json:"ok"`
	Failed          uint64            `json:"failed"`
	Rated           uint64            `json:"rated"`
	RatingSum       float64           `json:"ratingSum"`
	RatingSquareSum float64           `json:"ratingSquareSum"`
}

// SendCounts sends the outcome counts of a version in roll-out and of its
// stable version to the evaluator. It is answered by [CountsConfirmed].
type SendCounts struct {
	Evaluator jdaw.VMID       `json:"judge"`
	Addr      string          `json:"addr"`
	Revision  jdaw.Revision   `json:"revision"` // that the counts are based on
	Counts    []VersionCounts `json:"counts"`
}

// ActionName implements jdaw.Action.
func (SendCounts) ActionName() string { return "sendCounts" }

// ActionFields returns the key fields for a log of actions.
func (s SendCounts) ActionFields() map[string]string {
	fields := map[string]string{"judge": string(s.Evaluator)}
	for _, c := range s.Counts {
		fields[c.Pool.String()+" "+c.Version.String()] = fmt.Sprintf("%d ok, %d failed, %d rated", c.OK, c.Failed, c.Rated)
	}
	return fields
}

// PoolStats are the statistics of one owned pool.
type PoolStats struct {
	Pool     jdaw.PoolID `json:"pool"`
	Granting bool        `json:"granting"`
	InUse    int         `json:"inUse"`
	Limit    int         `json:"limit"`
	Waiting  int         `json:"waiting"`
	// Firsts and Retries count granted credits. A retry excludes upstreams
	// at which an earlier attempt failed.
	Firsts         uint64 `json:"firsts"`
	Retries        uint64 `json:"retries"`
	RetriesRefused uint64 `json:"retriesRefused"`
	Refused        uint64 `json:"refused"`
	ColdReturns    uint64 `json:"coldReturns"` // resets to the cold limit
}

// Amplification returns the upstream calls per request.
func (s PoolStats) Amplification() float64 {
	if s.Firsts == 0 {
		return 1
	}
	return float64(s.Firsts+s.Retries) / float64(s.Firsts)
}

// PublishStats carries the statistics of all owned pools, once a second.
type PublishStats struct {
	Pools []PoolStats `json:"pools"`
}

// ActionName implements jdaw.Action.
func (PublishStats) ActionName() string { return "publishStats" }
