package fleet

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// write is a call to the store that waits for its turn.
type write struct {
	what string
	run  func(ctx context.Context) error
}

func (n *Node) enqueue(what string, run func(ctx context.Context) error) {
	select {
	case n.writes <- write{what: what, run: run}:
	default:
		// The machine asks again with its next tick.
		n.cfg.Log.WithField("write", what).Warn("write dropped: the store takes none")
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

// putAfter writes unless another VM has written since revision after. What the
// store does not take from this VM, another one writes: the store may turn a
// judge away while its roll-out has to end. The condition holds there as well.
func (n *Node) putAfter(ctx context.Context, e jdaw.Entry, after uint64) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	ok, err := n.cfg.Store.PutIf(call, e.Key, e.Value, after, "")
	cancel()
	if err != nil {
		ok, err = n.putThroughOthers(ctx, e, after, err)
	}
	if err == nil && !ok {
		n.cfg.Log.WithField("key", e.Key).Info("not written: another VM decided first, or an answer was lost")
	}
	return err
}

// putThroughOthers has other VMs write what the store has not taken because of
// cause.
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

// Take accepts entries of another VM, which are written with this VM's next
// counts. Later values of a key replace earlier ones.
func (n *Node) Take(entries []jdaw.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		n.taken[e.Key] = e.Value
	}
}

// WriteIf writes for another VM at once.
func (n *Node) WriteIf(ctx context.Context, e jdaw.Entry, revision uint64) (bool, error) {
	return n.cfg.Store.PutIf(ctx, e.Key, e.Value, revision, "")
}

// drainTaken returns the entries of other VMs that wait to be written, and
// forgets them.
func (n *Node) drainTaken() []jdaw.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := make([]jdaw.Entry, 0, len(n.taken))
	for key, value := range n.taken {
		entries = append(entries, jdaw.Entry{Key: key, Value: value})
	}
	clear(n.taken)
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
