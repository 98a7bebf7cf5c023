package fleet

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// write is a queued call to the store.
type write struct {
	what string
	run  func(ctx context.Context) error
}

func (n *Node) enqueue(what string, run func(ctx context.Context) error) {
	select {
	case n.writes <- write{what: what, run: run}:
	default:
		// The machine requests it again on its next tick.
		n.cfg.Log.WithField("write", what).Warn("write queue full; write dropped")
	}
}

func (n *Node) write() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case w := <-n.writes:
			if err := w.run(n.ctx); err != nil && n.ctx.Err() == nil {
				n.cfg.Log.WithError(err).WithField("write", w.what).Warn("write to the store failed")
			}
		}
	}
}

func (n *Node) writeRollout(ctx context.Context, a WriteRollout) error {
	key, value, err := n.cfg.Encoder.EncodeRollout(a.Service, a.Version, a.State)
	if err != nil {
		return err
	}
	n.cfg.Log.WithFields(logrus.Fields{
		"service": a.Service, "version": a.Version, "state": a.State, "reason": a.Reason,
	}).Info("roll-out decided")
	return n.putAfter(ctx, jdaw.Entry{Key: key, Value: value}, a.After)
}

func (n *Node) writeStep(ctx context.Context, a WriteStep) error {
	entry, err := encodeEntry(rolloutPrefix+a.Step.Service, a.Step)
	if err != nil {
		return err
	}
	return n.putAfter(ctx, entry, a.After)
}

// putAfter writes unless another VM has written since revision after. If the
// store rejects this VM, another one writes instead: the store may reject an
// evaluator while its roll-out has to end. The condition applies there as
// well.
func (n *Node) putAfter(ctx context.Context, e jdaw.Entry, after uint64) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	ok, err := n.cfg.Store.PutIf(call, e.Key, e.Value, after, "")
	cancel()
	if err != nil {
		ok, err = n.putThroughOthers(ctx, e, after, err)
	}
	if err == nil && !ok {
		n.cfg.Log.WithField("key", e.Key).Info("conditional write failed: another VM decided first, or a response was lost")
	}
	return err
}

// putThroughOthers sends a write that failed with cause to the store through
// other VMs.
func (n *Node) putThroughOthers(ctx context.Context, e jdaw.Entry, after uint64, cause error) (bool, error) {
	for _, m := range n.readers(neverAvoided) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		ok, err := n.cfg.Feed.WriteIf(call, m.Peers, e, after)
		cancel()
		if err == nil {
			n.cfg.Log.WithError(cause).WithFields(logrus.Fields{"key": e.Key, "through": m.VM}).Info("written through another VM")
			return ok, nil
		}
		cause = errors.CombineErrors(cause, err)
	}
	return false, cause
}

// errLeaving is returned by a VM that is being stopped.
var errLeaving = errors.New("this VM is being stopped and may not write the entries")

// Take accepts entries of another VM, which are written with this VM's next
// counts. Later values of a key replace earlier ones. A VM that is being stopped may
// end before, and accepts none.
func (n *Node) Take(entries []jdaw.Entry) error {
	select {
	case <-n.leave:
		return errLeaving
	default:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		n.forwarded[e.Key] = e.Value
	}
	return nil
}

// WriteIf writes for another VM at once.
func (n *Node) WriteIf(ctx context.Context, e jdaw.Entry, revision uint64) (bool, error) {
	return n.cfg.Store.PutIf(ctx, e.Key, e.Value, revision, "")
}

// drainForwarded returns the entries of other VMs that are queued for
// writing, and clears the queue.
func (n *Node) drainForwarded() []jdaw.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := make([]jdaw.Entry, 0, len(n.forwarded))
	for key, value := range n.forwarded {
		entries = append(entries, jdaw.Entry{Key: key, Value: value})
	}
	clear(n.forwarded)
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// putAll writes entries in as few calls as the store allows.
func (n *Node) putAll(entries []jdaw.Entry) {
	for len(entries) > 0 {
		part := entries[:min(len(entries), jdaw.MaxPuts)]
		entries = entries[len(part):]
		n.enqueue("counts", func(ctx context.Context) error {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return n.cfg.Store.Put(call, part, "")
		})
	}
}

func encodeEntry(key string, v any) (jdaw.Entry, error) {
	b, err := json.Marshal(v)
	return jdaw.Entry{Key: key, Value: b}, errors.Wrapf(err, "encode %s", key)
}
