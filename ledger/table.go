package ledger

import (
	"sync"
	"time"

	"jackdawbarrow"
)

// Limits of the claim table.
const (
	// claimRetention is how long the table retains a claim that has ended. It
	// exceeds the lifetime of issued keys: a key whose claim was deleted is
	// rejected because it has expired.
	claimRetention = KeyLifetime + time.Minute
	// maxAnswerBytes limits the answers kept for issued keys. Above it the
	// oldest are dropped, and a retry gets ClaimUnknown.
	maxAnswerBytes = 8 << 20
	// maxStoredBody is the largest body stored in a claim, in bytes.
	maxStoredBody = 64 << 10
)

type claimPhase string

const (
	phaseClaiming   claimPhase = "claiming"   // the claim may or may not be in the store
	phaseClaimed    claimPhase = "claimed"    // not yet sent to an upstream
	phaseDispatched claimPhase = "dispatched" // may have been sent to an upstream
	phaseNotRun     claimPhase = "notRun"     // tombstone: never ran and never will
	phaseSettled    claimPhase = "settled"    // the answer is known
	phaseUnknown    claimPhase = "unknown"    // ended without an answer
)

// claimEntry is a keyed request that was claimed by this process.
type claimEntry struct {
	id       jdaw.RequestID
	bodyHash string
	phase    claimPhase
	answer   jdaw.StoredAnswer
	noBody   bool // the answer was too large or has been dropped
	issued   bool
	began    time.Time
	ended    time.Time
}

// claimTable holds the keyed requests of this process. Each decision
// whether a request may run is made under its lock.
type claimTable struct {
	mu      sync.Mutex
	stopped bool
	byID    map[jdaw.RequestID]*claimEntry
	issued  map[string]*claimEntry // last request of an issued key
	answers []*claimEntry          // issued, settled, oldest first
	bytes   int
}

func newClaimTable() *claimTable {
	return &claimTable{byID: map[jdaw.RequestID]*claimEntry{}, issued: map[string]*claimEntry{}}
}

func (t *claimTable) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

func (t *claimTable) add(e *claimEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[e.id] = e
}

// confirm ends phaseClaiming: a won claim may be dispatched, unless another VM
// has meanwhile been told that the request never runs.
func (t *claimTable) confirm(id jdaw.RequestID, won bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e.phase != phaseClaiming {
		return false
	}
	if won {
		e.phase = phaseClaimed
		return true
	}
	e.phase, e.ended = phaseNotRun, now
	return false
}

// claimIssued claims a key that this process issued.
func (t *claimTable) claimIssued(key string, id jdaw.RequestID, bodyHash string, now time.Time) (jdaw.Claim, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.issued[key]
	if e != nil && e.bodyHash != bodyHash {
		return jdaw.Claim{}, keyReused()
	}
	if e != nil && e.phase != phaseNotRun {
		return e.claim(), nil
	}
	e = &claimEntry{id: id, bodyHash: bodyHash, phase: phaseClaimed, issued: true, began: now}
	t.byID[id] = e
	t.issued[key] = e
	return jdaw.Claim{State: jdaw.ClaimMine, RequestID: id}, nil
}

// claim returns the result for another request with the same key.
func (e *claimEntry) claim() jdaw.Claim {
	c := jdaw.Claim{State: jdaw.ClaimRunning, RequestID: e.id}
	switch {
	case e.phase == phaseUnknown || e.phase == phaseSettled && e.noBody:
		c.State = jdaw.ClaimUnknown
	case e.phase == phaseSettled:
		c.State, c.Answer = jdaw.ClaimSettled, e.answer
	}
	return c
}

func (t *claimTable) beginDispatch(id jdaw.RequestID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil {
		return true // a request without a key
	}
	if e.phase == phaseClaimed {
		e.phase = phaseDispatched
	}
	return e.phase == phaseDispatched
}

// status returns the phase for KeyStatus. With cancel, a request that has not
// been dispatched is marked as never to run.
func (t *claimTable) status(id jdaw.RequestID, cancel bool, now time.Time) (claimPhase, jdaw.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil {
		return phaseUnknown, jdaw.Claim{State: jdaw.ClaimUnknown, RequestID: id}
	}
	if cancel && (e.phase == phaseClaiming || e.phase == phaseClaimed) {
		e.phase, e.ended = phaseNotRun, now
	}
	return e.phase, e.claim()
}

// requestEnded is called with the settlement of each request. If the
// request did not run, it leaves a tombstone so that a retry may run. A request
// that ran keeps its phase until its answer is stored.
func (t *claimTable) requestEnded(id jdaw.RequestID, ran jdaw.Ran, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil {
		return
	}
	if e.phase == phaseSettled || e.phase == phaseUnknown || e.phase == phaseNotRun {
		return
	}
	switch ran {
	case jdaw.NotRun:
		e.phase, e.ended = phaseNotRun, now
	case jdaw.OutcomeUnknown:
		e.phase, e.ended = phaseUnknown, now
	}
}

// settle stores the answer; it returns false if the table has no such request
// or the request must not run.
func (t *claimTable) settle(id jdaw.RequestID, a jdaw.StoredAnswer, now time.Time) (*claimEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil || e.phase == phaseNotRun {
		return nil, false
	}
	if e.phase == phaseSettled {
		return e, true
	}
	e.phase, e.ended = phaseSettled, now
	if e.noBody = len(a.Body) > maxStoredBody; e.noBody {
		a.Body = nil
	}
	e.answer = a
	if e.issued {
		t.answers = append(t.answers, e)
		t.bytes += len(a.Body)
	}
	for t.bytes > maxAnswerBytes {
		oldest := t.answers[0]
		t.answers = t.answers[1:]
		t.bytes -= len(oldest.answer.Body)
		oldest.answer.Body, oldest.noBody = nil, true
	}
	return e, true
}

// expire deletes claims that ended more than claimRetention ago. The status of
// a deleted request is unknown, which is always a valid answer.
func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		if !e.ended.IsZero() && now.Sub(e.ended) > claimRetention {
			delete(t.byID, id)
		}
	}
	for key, e := range t.issued {
		if !e.ended.IsZero() && now.Sub(e.ended) > claimRetention {
			delete(t.issued, key)
		}
	}
	for len(t.answers) > 0 && now.Sub(t.answers[0].ended) > claimRetention {
		t.bytes -= len(t.answers[0].answer.Body)
		t.answers = t.answers[1:]
	}
}
