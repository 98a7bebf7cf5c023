package fleet

import (
	"context"
	"fmt"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/guard"
)

const (
	// failureBatchDelay batches the outcomes published after a failure. Each
	// write wakes the watches of all VMs, so successes alone trigger none.
	failureBatchDelay = 250 * time.Millisecond
	// countsInterval is the period at which reporters publish their counts.
	countsInterval = 2 * time.Second
	// lateCountsInterval applies in the last steps of a roll-out, when most
	// responses of the new version arrive and the decision is due.
	lateCountsInterval = 400 * time.Millisecond
	// maxReporters bounds the VMs that publish successes and speeds.
	maxReporters = 10
	// forwardTimeout bounds the call that forwards counts to another VM of the
	// data centre, which responds within a millisecond.
	forwardTimeout = 200 * time.Millisecond
)

// Outcome is the result of one request during a roll-out.
type Outcome struct {
	Service string
	Version string
	Failed  bool
	IsTimed bool
	Speed   float64 // see guard.Speed
	IsSlow  bool    // far slower than the fast responses of its kind
	// IsRunning marks a response in progress: only its speed counts so far.
	IsRunning bool
}

// Count records an outcome. The counts of all VMs are aggregated from the store.
func (n *Node) Count(o Outcome) {
	st := n.State()
	if st == nil {
		return
	}
	r, ok := st.Rollouts[o.Service]
	if !ok || r.State != RolloutRunning {
		return
	}
	v := jdaw.ModelVersion{Model: o.Service, Version: o.Version}
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.counts[v]
	if !ok || c.Revision != jdaw.Revision(r.Order) {
		c = guard.Counts{
			Version: v, Pool: jdaw.PoolID{Kind: o.Service, DataCentre: n.cfg.Self.DataCentre},
			OwnerIncarnation: jdaw.Incarnation(fmt.Sprintf("%s-%s-%d", n.cfg.Self.VM, n.cfg.Self.Start, r.Order)),
			Revision:         jdaw.Revision(r.Order),
		}
	}
	if o.IsTimed {
		c = c.WithSpeed(o.Speed)
		if o.IsSlow {
			c = c.WithSlow()
		}
	}
	switch {
	case o.Failed:
		c.Failed++
	case !o.IsRunning:
		c.OK++
	}
	n.counts[v] = c
	n.unpublished[v] = true
	// Only failures of the new version can trigger an immediate decision.
	if o.Failed && o.Version == r.Version {
		select {
		case n.failed <- struct{}{}:
		default:
		}
	}
}

// share publishes the counts shortly after a failure, and periodically.
func (n *Node) share() {
	for {
		t := time.NewTimer(n.sharePeriod())
		select {
		case <-n.ctx.Done():
			t.Stop()
			return
		case <-n.failed:
			t.Stop()
			jdaw.Sleep(n.ctx, failureBatchDelay)
			n.putAll(n.encodeCounts(n.takeUnpublished(everyVersion)))
		case <-t.C:
			which := n.isInRollout
			if n.isReporter() {
				which = everyVersion
			}
			n.shareCounts(n.encodeCounts(n.takeUnpublished(which)))
		}
	}
}

// shareCounts forwards counts to this VM's feeder, which writes those of all
// its VMs in one call. Near the end of a roll-out latency matters, and each
// VM writes its own.
func (n *Node) shareCounts(entries []jdaw.Entry) {
	entries = append(entries, n.drainForwarded()...)
	if len(entries) == 0 {
		return
	}
	if feeder, ok := n.countsWriter(); ok {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		err := n.cfg.Feed.Write(ctx, feeder.Peers, entries)
		cancel()
		if err == nil {
			return
		}
		n.cfg.Log.WithError(err).WithField("feeder", feeder.VM).Info("feeder takes no counts; writing them to the store")
	}
	n.putAll(entries)
}

// countsWriter returns the feeder that writes the counts of this VM.
func (n *Node) countsWriter() (Member, bool) {
	st := n.State()
	if st == nil || n.cfg.Feed == nil || st.hasLateRollout(time.Now()) {
		return Member{}, false
	}
	return st.source(n.cfg.Self, neverAvoided)
}

func (n *Node) sharePeriod() time.Duration {
	if st := n.State(); st != nil && st.hasLateRollout(time.Now()) {
		return lateCountsInterval
	}
	return countsInterval
}

func everyVersion(jdaw.ModelVersion) bool { return true }

// isInRollout reports whether a version is the new one of a roll-out. All VMs
// publish its counts: it gets few requests, so that each matters and few are
// written.
func (n *Node) isInRollout(v jdaw.ModelVersion) bool {
	st := n.State()
	return st != nil && st.Rollouts[v.Model].Version == v.Version
}

// isReporter reports whether this VM also publishes the counts of the stable
// version. In a large fleet a few reporters see as many requests as all VMs
// of a small one.
func (n *Node) isReporter() bool {
	st := n.State()
	if st == nil {
		return false
	}
	for i, vm := range jdaw.Rendezvous("reporter", st.VMs()) {
		if vm == n.cfg.Self.VM {
			return i < maxReporters
		}
	}
	return false
}

// takeUnpublished returns the unpublished counts of the chosen versions.
func (n *Node) takeUnpublished(which func(jdaw.ModelVersion) bool) []guard.Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	var changed []guard.Counts
	for v := range n.unpublished {
		if which(v) {
			changed = append(changed, n.counts[v])
			delete(n.unpublished, v)
		}
	}
	return changed
}

func (n *Node) encodeCounts(changed []guard.Counts) []jdaw.Entry {
	var entries []jdaw.Entry
	for _, c := range changed {
		e, err := encodeEntry(countsPrefix+c.Version.String()+"/"+string(n.cfg.Self.VM), c)
		if err != nil {
			n.cfg.Log.WithError(err).Warn("failed to encode counts; not published")
			continue
		}
		entries = append(entries, e)
	}
	return entries
}
