package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/wire"
)

// ClaimPrefix is the prefix of the keys of all claims.
const ClaimPrefix = "jdaw/claim/"

// Timeouts of claims.
const (
	claimTimeout     = 3 * time.Second
	keyStatusTimeout = 500 * time.Millisecond
	// minCancelAge is the age from which another VM may cancel a claim that was
	// not dispatched. Newer ones may still be waiting for an upstream.
	minCancelAge = 30 * time.Second
	// finishLater limits the retries to store an answer after Finish failed.
	finishLater = 10 * time.Minute
)

// claimRecord is the value of a claim in the key-value service. Attempt
// is unique to each write.
type claimRecord struct {
	Attempt     string            `json:"attempt"`
	RequestID   jdaw.RequestID    `json:"requestId"`
	VM          jdaw.VMID         `json:"vm"`
	BodyHash    string            `json:"bodyHash"`
	At          time.Time         `json:"at"`
	Settled     bool              `json:"settled,omitempty"`
	NoBody      bool              `json:"noBody,omitempty"` // the body exceeded maxStoredBody
	Answer      jdaw.StoredAnswer `json:"answer,omitzero"`
	Incarnation jdaw.Incarnation  `json:"incarnation"`
}

func claimKey(w jdaw.WorkspaceID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return ClaimPrefix + url.PathEscape(string(w)) + "/" + hex.EncodeToString(sum[:])
}

func keyReused() error {
	return jdaw.Fail(jdaw.CodeKeyReused, "the idempotency key was used with another request body")
}

// Claim implements jdaw.Claims. An issued key must be claimed at its issuing VM;
// at any other VM the result is ClaimUnknown.
func (l *Ledger) Claim(ctx context.Context, w jdaw.WorkspaceID, key string, id jdaw.RequestID, bodyHash string) (jdaw.Claim, error) {
	if IsIssuedKey(key) {
		return l.claimIssued(w, key, id, bodyHash)
	}
	now := l.cfg.Clock.Now()
	l.claims.add(&claimEntry{id: id, bodyHash: bodyHash, phase: phaseClaiming, began: now})
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := l.takeClaim(ctx, w, key, id, bodyHash)
	won := err == nil && claim.State == jdaw.ClaimMine
	// A failed write may still have stored the claim under this id; the
	// tombstone lets the next request with the key take it over.
	if !l.claims.confirm(id, won, l.cfg.Clock.Now()) && won {
		return jdaw.Claim{}, jdaw.Fail(jdaw.CodeStoreUnavailable, "another VM took over the idempotency key").WithRetryAfter(1)
	}
	return claim, err
}

func (l *Ledger) claimIssued(w jdaw.WorkspaceID, key string, id jdaw.RequestID, bodyHash string) (jdaw.Claim, error) {
	k, err := l.VerifyKey(w, key)
	if err != nil {
		return jdaw.Claim{}, err
	}
	now := l.cfg.Clock.Now()
	if !l.IsHome(k) || now.After(k.Expires) {
		return jdaw.Claim{State: jdaw.ClaimUnknown}, nil
	}
	return l.claims.claimIssued(key, id, bodyHash, now)
}

// takeClaim creates the claim, or takes it over if the VM that holds it
// confirms that its request never ran and never will.
func (l *Ledger) takeClaim(ctx context.Context, w jdaw.WorkspaceID, key string, id jdaw.RequestID, bodyHash string) (jdaw.Claim, error) {
	rec := claimRecord{
		Attempt:     config.RandomHex(8),
		RequestID:   id,
		VM:          l.cfg.VM,
		Incarnation: id.Incarnation(),
		BodyHash:    bodyHash,
		At:          l.cfg.Clock.Now(),
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return jdaw.Claim{}, errors.Wrap(err, "encode claim")
	}
	mine := jdaw.Claim{State: jdaw.ClaimMine, RequestID: id}
	index := uint64(0)
	backoff := minBackoff
	reread := false
	for {
		put, putErr := false, error(nil)
		if !reread {
			put, putErr = l.cfg.Store.Put(ctx, claimKey(w, key), value, index)
			if putErr == nil && put {
				return mine, nil
			}
		}
		cur, at, found, err := l.readClaim(ctx, w, key)
		if err == nil && found {
			if cur.Attempt == rec.Attempt {
				return mine, nil
			}
			claim, takeOver, settled, err := l.resolveClaim(ctx, cur, bodyHash, reread)
			if err != nil || !takeOver && !settled {
				return claim, err
			}
			// The holding VM has the answer and may have stored it by now.
			reread = settled
			index = at
			continue
		}
		reread = false
		if err == nil && !found {
			index = 0
			if putErr == nil {
				continue // deleted between the two calls
			}
		}
		if !jdaw.Sleep(ctx, backoff) {
			return jdaw.Claim{}, jdaw.Fail(jdaw.CodeStoreUnavailable, "cannot claim the idempotency key: the key-value service does not answer").WithRetryAfter(1)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// resolveClaim determines the state of another request's claim. settled asks
// the caller to read the claim again; it is set only if reread is false.
func (l *Ledger) resolveClaim(ctx context.Context, cur claimRecord, bodyHash string, reread bool) (claim jdaw.Claim, takeOver, settled bool, err error) {
	if cur.BodyHash != bodyHash {
		return jdaw.Claim{}, false, false, keyReused()
	}
	claim = jdaw.Claim{State: jdaw.ClaimUnknown, RequestID: cur.RequestID}
	if cur.Settled {
		if !cur.NoBody {
			claim.State, claim.Answer = jdaw.ClaimSettled, cur.Answer
		}
		return claim, false, false, nil
	}
	phase, local := l.queryClaimHolder(ctx, cur)
	switch phase {
	case phaseNotRun:
		return claim, true, false, nil
	case phaseUnknown:
		return claim, false, false, nil
	case phaseSettled:
		if local != nil {
			return *local, false, false, nil
		}
		if !reread {
			return claim, false, true, nil
		}
	}
	claim.State = jdaw.ClaimRunning
	return claim, false, false, nil
}

// queryClaimHolder asks the VM that holds an open claim for its phase. If that
// VM is alive but does not answer, the request counts as running; if dead, as
// unknown.
func (l *Ledger) queryClaimHolder(ctx context.Context, cur claimRecord) (claimPhase, *jdaw.Claim) {
	now := l.cfg.Clock.Now()
	cancel := now.Sub(cur.At) > minCancelAge
	if cur.VM == l.cfg.VM {
		phase, claim := l.claims.status(cur.RequestID, cancel, now)
		return phase, &claim
	}
	view := l.cfg.Views.View()
	if view == nil {
		return phaseDispatched, nil
	}
	m, ok := view.Member(cur.VM)
	if !ok || m.State == jdaw.MemberDead {
		return phaseUnknown, nil
	}
	client, err := l.cfg.Client(m.PeerAddr)
	if err != nil {
		return phaseDispatched, nil
	}
	ctx, stop := context.WithTimeout(ctx, keyStatusTimeout)
	defer stop()
	reply, err := client.KeyStatus(ctx, &wire.KeyStatusRequest{
		Header:         l.cfg.Header(),
		RequestId:      string(cur.RequestID),
		CancelIfNotRun: cancel,
	})
	if err != nil {
		return phaseDispatched, nil
	}
	switch phase := claimPhase(reply.GetStatus()); phase {
	case phaseNotRun, phaseSettled, phaseUnknown:
		return phase, nil
	}
	return phaseDispatched, nil
}

// KeyStatus implements the method of wire.PeerServer: it returns the status of
// a keyed request of this VM.
func (l *Ledger) KeyStatus(_ context.Context, req *wire.KeyStatusRequest) (*wire.KeyStatusReply, error) {
	phase, _ := l.claims.status(jdaw.RequestID(req.GetRequestId()), req.GetCancelIfNotRun(), l.cfg.Clock.Now())
	status := "running"
	switch phase {
	case phaseNotRun, phaseSettled, phaseUnknown:
		status = string(phase)
	}
	return &wire.KeyStatusReply{Header: l.cfg.Header(), Status: status}, nil
}

// BeginDispatch implements jdaw.Claims.
func (l *Ledger) BeginDispatch(id jdaw.RequestID) bool { return l.claims.beginDispatch(id) }

// Finish implements jdaw.Claims. If the write fails, it is retried in the
// background, and retries of the request at this VM get the answer from memory.
// A body above 64 KB is not stored, and retries of the request get
// ClaimUnknown.
func (l *Ledger) Finish(ctx context.Context, w jdaw.WorkspaceID, key string, id jdaw.RequestID, a jdaw.StoredAnswer) error {
	e, ok := l.claims.settle(id, a, l.cfg.Clock.Now())
	if !ok {
		return jdaw.Fail(jdaw.CodeInternal, "request %s has no claim", id)
	}
	if e.issued {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := l.storeAnswer(waitCtx, w, key, e)
	if jdaw.CodeOf(err) != nil && jdaw.CodeOf(err).Code == jdaw.CodeStoreUnavailable {
		l.finishLater(w, key, e)
	}
	return err
}

func (l *Ledger) finishLater(w jdaw.WorkspaceID, key string, e *claimEntry) {
	l.claims.mu.Lock()
	defer l.claims.mu.Unlock()
	if l.claims.stopped {
		return
	}
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, finishLater)
		defer cancel()
		if err := l.storeAnswer(ctx, w, key, e); err != nil {
			l.cfg.Log.WithField("requestId", e.id).WithError(err).Warn("failed to store the answer of a keyed request")
		}
	})
}

// storeAnswer writes the answer into the claim. After an error it reads the
// claim again; compare-and-set on the index keeps a delayed write from being
// applied twice.
func (l *Ledger) storeAnswer(ctx context.Context, w jdaw.WorkspaceID, key string, e *claimEntry) error {
	backoff := minBackoff
	for {
		cur, index, found, err := l.readClaim(ctx, w, key)
		if err == nil {
			if !found || cur.RequestID != e.id {
				return jdaw.Fail(jdaw.CodeInternal, "request %s no longer holds its claim", e.id)
			}
			if cur.Settled {
				return nil
			}
			cur.Settled, cur.Answer, cur.NoBody = true, e.answer, e.noBody
			value, err := json.Marshal(cur)
			if err != nil {
				return errors.Wrap(err, "encode claim")
			}
			put, err := l.cfg.Store.Put(ctx, claimKey(w, key), value, index)
			if err == nil && put {
				return nil
			}
		}
		if !jdaw.Sleep(ctx, backoff) {
			return jdaw.Fail(jdaw.CodeStoreUnavailable, "the answer of a keyed request is not yet stored")
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Ledger) readClaim(ctx context.Context, w jdaw.WorkspaceID, key string) (claimRecord, uint64, bool, error) {
	item, found, err := l.cfg.Store.Get(ctx, claimKey(w, key))
	if err != nil || !found {
		return claimRecord{}, 0, false, err
	}
	var rec claimRecord
	err = json.Unmarshal(item.Value, &rec)
	return rec, item.Index, true, errors.Wrapf(err, "decode %s", item.Key)
}
