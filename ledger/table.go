package ledger

import (
	"sync"
	"time"

	"jackdawbarrow"
)

// Limits of the claim table.
const (
	// claimMemory is the time for which the table remembers a claim that has
	// ended. It exceeds the lifetime of issued keys: a key that the table has
	// forgotten is refused because it has expired.
	claimMemory = KeyLifetime + time.Minute
	// maxAnswerBytes bounds the answers kept for issued keys. Beyond it the
	// oldest are dropped, and a retry is told that the outcome is unknown.
	maxAnswerBytes = 8 << 20
	// maxStoredBody is the largest body that a claim keeps.
	maxStoredBody = 64 << 10
)

type claimPhase string

const (
	phaseClaiming   claimPhase = "claiming"   // the claim may or may not be in the store
	phaseClaimed    claimPhase = "claimed"    // nothing was sent to an upstream
	phaseDispatched claimPhase = "dispatched" // an upstream may run it
	phaseNotRun     claimPhase = "notRun"     // tombstone: never ran and never will
	phaseSettled    claimPhase = "settled"    // the answer is known
	phaseUnknown    claimPhase = "unknown"    // ended without an answer
)

// claimEntry is a keyed request whose home is this process.
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

// claimTable holds the keyed requests of this process. Every decision whether
// a request may run or never will is taken under its lock.
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
// was told meanwhile that the request never runs.
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

// claim says what became of the request to somebody with the same key.
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

// status answers KeyStatus. With cancel, a request that has not been
// dispatched never will be.
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

// requestEnded is called with the settlement of each request. It leaves a
// tombstone if the request did not run, so that a retry may. A request that
// ran keeps its phase until its answer is stored.
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

// settle keeps the answer; it returns false if the table has no such request
// or the request may not run.
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

// expire forgets claims that ended long ago. The status of a forgotten request
// is unknown, which is true of any request.
func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		if !e.ended.IsZero() && now.Sub(e.ended) > claimMemory {
			delete(t.byID, id)
		}
	}
	for key, e := range t.issued {
		if !e.ended.IsZero() && now.Sub(e.ended) > claimMemory {
			delete(t.issued, key)
		}
	}
	for len(t.answers) > 0 && now.Sub(t.answers[0].ended) > claimMemory {
		t.bytes -= len(t.answers[0].answer.Body)
		t.answers = t.answers[1:]
	}
}
