package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/wire"
)

const (
	// writeTimeout bounds the time to find out whether a change was accepted.
	writeTimeout = 6 * time.Second
	// confirmTimeout is the time within which a configuration is in force.
	confirmTimeout = 6 * time.Second
	hintTimeout    = 1500 * time.Millisecond
	confirmRetry   = 100 * time.Millisecond
	maxParallel    = 64
	// maxDocumentBytes is the limit of the key-value service for one value.
	maxDocumentBytes = 1 << 20
	// maxLostRaces bounds the attempts against concurrent changes of other
	// objects. 370 changes a day come nowhere near it.
	maxLostRaces = 50
)

// Change is a change of the document.
type Change struct {
	ID string // unique; by it a writer finds out whether it was accepted
	// Base is the revision that the operator saw. Later changes of the same
	// objects are conflicts. 0 stands for the revision at the first read.
	Base    jdaw.Revision
	Objects []string // "kind/name"
	// Apply returns the next revision of the document, with the change's
	// record. It may be called several times, on different documents.
	Apply func(config.Document) (config.Document, error)
}

// Result tells how far a change or a suspension has got.
type Result struct {
	Code        jdaw.Code     `json:"code"` // CodeOK or CodeSuspended
	Revision    jdaw.Revision `json:"revision"`
	InForce     int           `json:"inForce"` // VMs that confirmed it, with this one
	Known       int           `json:"known"`   // VMs known, with this one
	Unconfirmed []jdaw.VMID   `json:"unconfirmed,omitempty"`
}

// errResolved ends a fold whose suspension the document resolves already.
var errResolved = errors.New("the suspension is resolved")

// Submit writes a change by compare-and-swap, sends it to all members and
// waits for their confirmations for up to 6 s. An error is coded:
// CodeConflict, CodeInvalidChange or CodeStoreUnavailable if the change was
// not accepted, and CodeOutcomeUnknown if that could not be found out.
func (n *Node) Submit(ctx context.Context, c Change) (Result, error) {
	doc, revision, err := n.write(ctx, c)
	if err != nil {
		return Result{}, err
	}
	n.cfg.Post(DocumentRead{Doc: &doc})
	return n.confirm(ctx, jdaw.CodeOK, revision, nil), nil
}

// Suspend puts a suspension in force at this VM, sends it to all members and
// waits for their confirmations for up to 6 s.
func (n *Node) Suspend(ctx context.Context, s jdaw.Suspension) (Result, error) {
	if err := checkSuspension(s); err != nil {
		return Result{}, err
	}
	snap := n.Snapshot()
	if snap == nil {
		return Result{}, jdaw.Fail(jdaw.CodeNoConfiguration, "the VM has no configuration to suspend %s %q in", s.Kind, s.Name)
	}
	if err := n.tell(ctx, HintReceived{Suspensions: []jdaw.Suspension{s}}); err != nil {
		return Result{}, errors.Wrap(err, "suspend")
	}
	return n.confirm(ctx, jdaw.CodeSuspended, snap.Revision(), []jdaw.Suspension{s}), nil
}

func checkSuspension(s jdaw.Suspension) error {
	switch s.Kind {
	case jdaw.SuspendDataCentre, jdaw.SuspendVersion, jdaw.SuspendUpstream, jdaw.SuspendVM:
	default:
		return jdaw.Fail(jdaw.CodeBadField, "unknown kind of suspension %q", s.Kind)
	}
	if s.ID == "" || s.Name == "" {
		return jdaw.Fail(jdaw.CodeBadField, "a suspension needs an id and a name")
	}
	return nil
}

// write returns the document that contains the change, and the change's
// revision. While a write is in doubt it writes again only against the same
// index and under the same id: whichever of the writes arrives first makes the
// others fail, and the id in the document settles the doubt.
func (n *Node) write(ctx context.Context, c Change) (config.Document, jdaw.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	doubt := uint64(0) // index of a write without an answer
	inDoubt := false
	base, hasBase := c.Base, c.Base > 0
	for races := 0; races < maxLostRaces; {
		doc, index, err := n.readStore(ctx)
		if err != nil {
			if !inDoubt {
				return doc, 0, jdaw.Fail(jdaw.CodeStoreUnavailable, "the configuration cannot be read: %v", err)
			}
			if !pauseFor(ctx, confirmRetry) {
				return doc, 0, jdaw.Fail(jdaw.CodeOutcomeUnknown, "change %s was sent, and whether it was accepted cannot be read: %v", c.ID, err)
			}
			continue
		}
		if r, ok := findChange(doc, c.ID); ok {
			return doc, r.Revision, nil
		}
		inDoubt = inDoubt && index == doubt
		// A document that does not exist has revision 0. That is a base too,
		// or the second of two first documents would replace the first.
		if !hasBase {
			base, hasBase = doc.Revision, true
		}
		next, encoded, err := prepare(doc, base, c)
		if err != nil {
			return doc, 0, err
		}
		ok, err := n.putStore(ctx, encoded, index)
		if err != nil {
			inDoubt, doubt = true, index
			if !pauseFor(ctx, confirmRetry) {
				return doc, 0, jdaw.Fail(jdaw.CodeOutcomeUnknown, "change %s was sent and not answered: %v", c.ID, err)
			}
			continue
		}
		if ok {
			return next, next.Revision, nil
		}
		races++
		// A random pause keeps writers from colliding again.
		pauseFor(ctx, rand.N(20*time.Millisecond))
	}
	return config.Document{}, 0, jdaw.Fail(jdaw.CodeConflict, "change %s lost against %d concurrent changes", c.ID, maxLostRaces)
}

// prepare makes the next document, or fails with a coded error.
func prepare(doc config.Document, base jdaw.Revision, c Change) (config.Document, []byte, error) {
	if err := checkConflict(doc, base, c); err != nil {
		return doc, nil, err
	}
	next, err := c.Apply(doc)
	if err != nil {
		var coded *jdaw.CodeError
		if errors.As(err, &coded) || errors.Is(err, errResolved) {
			return doc, nil, err
		}
		return doc, nil, jdaw.Fail(jdaw.CodeInvalidChange, "change %s: %v", c.ID, err)
	}
	if r, ok := findChange(next, c.ID); !ok || next.Revision != doc.Revision+1 || r.Revision != next.Revision {
		return doc, nil, jdaw.Fail(jdaw.CodeInternal, "change %s does not lead from revision %d to a recorded next one", c.ID, doc.Revision)
	}
	encoded, err := next.Encode()
	if err != nil {
		return doc, nil, jdaw.Fail(jdaw.CodeInvalidChange, "change %s: %v", c.ID, err)
	}
	if len(encoded) > maxDocumentBytes {
		return doc, nil, jdaw.Fail(jdaw.CodeInvalidChange, "change %s makes the configuration %d bytes long; the limit is %d", c.ID, len(encoded), maxDocumentBytes)
	}
	return next, encoded, nil
}

// checkConflict fails if a change since base touches an object of c.
func checkConflict(doc config.Document, base jdaw.Revision, c Change) error {
	if base > doc.Revision {
		return jdaw.Fail(jdaw.CodeConflict, "change %s is based on revision %d, which is above the current revision %d", c.ID, base, doc.Revision)
	}
	touched := map[string]bool{}
	for _, o := range c.Objects {
		touched[o] = true
	}
	since := jdaw.Revision(0)
	for _, r := range doc.Changes {
		if r.Revision <= base {
			continue
		}
		since++
		for _, o := range r.Objects {
			if touched[o] {
				return jdaw.Fail(jdaw.CodeConflict, "change %s and change %s of %s, accepted as revision %d, both touch %s", c.ID, r.ID, r.Operator, r.Revision, o)
			}
		}
	}
	if doc.Revision-base > since {
		return jdaw.Fail(jdaw.CodeConflict, "change %s is based on revision %d; the changes since then are no longer listed in revision %d", c.ID, base, doc.Revision)
	}
	return nil
}

func findChange(doc config.Document, id string) (config.ChangeRecord, bool) {
	for _, r := range doc.Changes {
		if r.ID == id {
			return r, true
		}
	}
	return config.ChangeRecord{}, false
}

// confirm sends the revision or the suspensions to all members that are not
// dead and collects their confirmations.
func (n *Node) confirm(ctx context.Context, code jdaw.Code, r jdaw.Revision, suspensions []jdaw.Suspension) Result {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	res := Result{Code: code, Revision: r, Known: 1}
	if n.awaitLocal(ctx, r) {
		res.InForce = 1
	} else {
		res.Unconfirmed = append(res.Unconfirmed, n.cfg.Self)
	}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxParallel)
	for _, m := range n.cfg.Peers.View().Members {
		if m.VM == n.cfg.Self || m.State == jdaw.MemberDead {
			continue
		}
		res.Known++
		calls.Go(func() {
			ok := n.confirmOne(ctx, m.VM, r, suspensions)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				res.InForce++
				return
			}
			res.Unconfirmed = append(res.Unconfirmed, m.VM)
		})
	}
	calls.Wait()
	sort.Slice(res.Unconfirmed, func(i, j int) bool { return res.Unconfirmed[i] < res.Unconfirmed[j] })
	return res
}

// confirmOne hints until the member confirms. A member that dies meanwhile
// cannot confirm any more.
func (n *Node) confirmOne(ctx context.Context, vm jdaw.VMID, r jdaw.Revision, suspensions []jdaw.Suspension) bool {
	for {
		m, ok := n.cfg.Peers.View().Member(vm)
		if !ok || m.State == jdaw.MemberDead {
			return false
		}
		reply, err := n.sendHint(ctx, m.PeerAddr, suspensions)
		if err == nil && reply.GetHeader().GetVm() == string(vm) && jdaw.Revision(reply.GetHeader().GetRevision()) >= r {
			return true
		}
		if !pauseFor(ctx, confirmRetry) {
			return false
		}
	}
}

func (n *Node) sendHint(ctx context.Context, addr string, suspensions []jdaw.Suspension) (*wire.HintReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	client, err := n.cfg.Peers.Client(addr)
	if err != nil {
		return nil, err
	}
	reply, err := client.Hint(ctx, &wire.HintRequest{Header: n.cfg.Peers.Header(), Suspensions: toWire(suspensions)})
	if err != nil {
		return nil, err
	}
	n.cfg.Peers.Observe(reply.GetHeader())
	return reply, nil
}

// fold writes the suspensions into the document, one change each.
func (n *Node) fold(suspensions []jdaw.Suspension) error {
	for _, s := range suspensions {
		doc, _, err := n.write(n.ctx, Change{
			ID:      foldID(s),
			Objects: []string{foldObject(s)},
			Apply: func(doc config.Document) (config.Document, error) {
				if isResolved(doc, s.ID) {
					return doc, errResolved
				}
				return foldInto(doc, s, n.cfg.Clock.Now()), nil
			},
		})
		if err != nil && !errors.Is(err, errResolved) {
			return errors.Wrap(err, fmt.Sprintf("fold suspension %s", s.ID))
		}
		n.cfg.Post(DocumentRead{Doc: &doc})
	}
	return nil
}

// pauseFor waits; it returns false if ctx ended before.
func pauseFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
