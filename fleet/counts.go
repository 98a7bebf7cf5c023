package fleet

import (
	"context"
	"fmt"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/guard"
)

const (
	// countsDelay collects the outcomes that are shared after a failure. Each
	// write wakes the watches of all VMs, so successes alone are not shared.
	countsDelay = 250 * time.Millisecond
	// speedEvery is the period in which reporters share their counts.
	speedEvery = 2 * time.Second
	// lateSpeedEvery is the same in the last steps of a roll-out, when most
	// answers of the new version come and the decision is near.
	lateSpeedEvery = 400 * time.Millisecond
	// maxReporters bounds the VMs that share successes and speeds.
	maxReporters = 10
	// handOverTimeout bounds the call that hands counts to another VM of the data
	// centre, which answers within a millisecond.
	handOverTimeout = 200 * time.Millisecond
)

// Outcome is the result of one request during a roll-out.
type Outcome struct {
	Service string
	Version string
	Failed  bool
	IsTimed bool
	Speed   float64 // see guard.Speed
	IsSlow  bool    // it took far longer than quick answers of its kind do
	// IsRunning says that the answer goes on: only its speed counts yet.
	IsRunning bool
}

// Count notes an outcome. Counts of all VMs meet in the store.
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
	n.stale[v] = true
	// Only failures of the new version decide at once.
	if o.Failed && o.Version == r.Version {
		select {
		case n.failed <- struct{}{}:
		default:
		}
	}
}

// share writes the counts soon after a failure, and from time to time.
func (n *Node) share() {
	for {
		t := time.NewTimer(n.sharePeriod())
		select {
		case <-n.ctx.Done():
			t.Stop()
			return
		case <-n.failed:
			t.Stop()
			jdaw.Sleep(n.ctx, countsDelay)
			n.putAll(n.encodeCounts(n.takeStale(everyVersion)))
		case <-t.C:
			which := n.isInRollout
			if n.isReporter() {
				which = everyVersion
			}
			n.shareCounts(n.encodeCounts(n.takeStale(which)))
		}
	}
}

// shareCounts hands counts to the VM that reads the store for this one, which
// writes those of all its VMs in one call. Near the end of a roll-out the counts
// are urgent, and each VM writes its own.
func (n *Node) shareCounts(entries []jdaw.Entry) {
	entries = append(entries, n.drainTaken()...)
	if len(entries) == 0 {
		return
	}
	if feeder, ok := n.handsOver(); ok {
		ctx, cancel := context.WithTimeout(n.ctx, handOverTimeout)
		err := n.cfg.Feed.Write(ctx, feeder.Peers, entries)
		cancel()
		if err == nil {
			return
		}
		n.cfg.Log.WithError(err).WithField("feeder", feeder.VM).Info("feeder takes no counts; they are written to the store")
	}
	n.putAll(entries)
}

// handsOver returns the VM that writes the counts of this one.
func (n *Node) handsOver() (Member, bool) {
	st := n.State()
	if st == nil || n.cfg.Feed == nil || st.hasLateRollout(time.Now()) {
		return Member{}, false
	}
	return st.source(n.cfg.Self, neverAvoided)
}

func (n *Node) sharePeriod() time.Duration {
	if st := n.State(); st != nil && st.hasLateRollout(time.Now()) {
		return lateSpeedEvery
	}
	return speedEvery
}

func everyVersion(jdaw.ModelVersion) bool { return true }

// isInRollout reports whether a version is the new one of a roll-out. All VMs
// share its counts: it gets few requests, so that each of them counts and few
// are written.
func (n *Node) isInRollout(v jdaw.ModelVersion) bool {
	st := n.State()
	return st != nil && st.Rollouts[v.Model].Version == v.Version
}

// isReporter says which VMs of a large fleet share the counts of the stable
// version as well: the few reporters see as many requests as all VMs of a small
// one.
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

// takeStale returns the counts of the chosen versions that were not shared yet.
func (n *Node) takeStale(which func(jdaw.ModelVersion) bool) []guard.Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	var changed []guard.Counts
	for v := range n.stale {
		if which(v) {
			changed = append(changed, n.counts[v])
			delete(n.stale, v)
		}
	}
	return changed
}

func (n *Node) encodeCounts(changed []guard.Counts) []jdaw.Entry {
	var entries []jdaw.Entry
	for _, c := range changed {
		e, err := encodeEntry(countsPrefix+c.Version.String()+"/"+string(n.cfg.Self.VM), c)
		if err != nil {
			n.cfg.Log.WithError(err).Warn("counts not shared")
			continue
		}
		entries = append(entries, e)
	}
	return entries
}
