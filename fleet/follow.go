package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

const (
	// watchWait bounds the wait of a watch with the pause before it, so that a dead
	// connection is detected within 3 s. Each watch is a billed call.
	watchWait = 2400 * time.Millisecond
	// watchSlack is the time above watchWait after which a watch counts as dead.
	watchSlack = 500 * time.Millisecond
	// applyMargin is reserved of the time within which a change must be in
	// force; the rest is the pause between two watches, so that a burst of
	// changes costs one call, not one each. minPauseShare is the least pause.
	applyMargin   = 800 * time.Millisecond
	minPauseShare = 0.5
	// rolloutPause is the pause in the last steps of a roll-out, which begin
	// finalPhase before its deadline, and of the evaluator of a roll-out.
	rolloutPause = 300 * time.Millisecond
	finalPhase   = 2200 * time.Millisecond
	// freshWait is the duration of a call above which its changes are new. The
	// store responds within 4 ms if it has changes already.
	freshWait = 50 * time.Millisecond
	// defaultApplyWithin is used if the configuration of the node states none.
	defaultApplyWithin = 2 * time.Second
	// minBackoff is the time to the second read if the first one fails, which may
	// be due to a broken connection. From then on the store counts as down, and
	// reads back off exponentially from downBackoff to maxBackoff. A successful
	// renewal ends the pause, so that recovery is detected within renewInterval at a
	// tenth of the cost of a read.
	minBackoff  = 50 * time.Millisecond
	downBackoff = 800 * time.Millisecond
	maxBackoff  = 3200 * time.Millisecond
	// storeBackoff is the time for which a failed store is not watched while
	// other VMs serve its changes. A successful renewal ends it.
	storeBackoff = 5 * time.Second
	// probeWait bounds the wait of the first watch after a loss: while nothing changes,
	// only its end shows that the store answers again.
	probeWait = 10 * time.Millisecond
	// replyMargin is left of the time within which a change must be in force when the
	// store is asked because a reply of another VM is stale.
	replyMargin = 100 * time.Millisecond
	// maxReadersAsked bounds the VMs that are called in sequence when the store
	// does not respond. Each call may take feedWait plus feedSlack.
	maxReadersAsked = 2
)

// batch is the result of one call for changes.
type batch struct {
	changes []jdaw.Change
	next    uint64 // revision to continue from
	// readAt is the time, by BootTime, as of which all changes up to next are known.
	readAt     time.Duration
	hasMore    bool // further changes can be read without a wait
	isFromPeer bool // served by another VM
	isStale    bool // served by another VM, and the store doesn't answer this one
}

// follow reads all items, then each change, and starts again after a gap.
func (n *Node) follow() {
	backoff := minBackoff
	for n.ctx.Err() == nil {
		outage := n.TimeSinceContact()
		rev, err := n.load(outage)
		if err != nil {
			n.logStoreLost(err)
			n.awaitStore(backoff)
			backoff = min(max(2*backoff, downBackoff), maxBackoff)
			continue
		}
		n.logStoreRegained()
		backoff = minBackoff
		err = n.followFrom(rev)
		if n.ctx.Err() == nil && !errors.Is(err, jdaw.ErrHistoryGone) {
			n.logStoreLost(err)
		}
	}
}

// logStaleReply logs that a reply of another VM is too old to rely on.
func (n *Node) logStaleReply(m Member, age time.Duration) {
	n.cfg.Log.WithFields(logrus.Fields{"feeder": m.VM, "ageMs": age.Milliseconds()}).Info("reply of the feeder is stale; asking the store")
}

// logStoreLost logs the loss of the store once.
func (n *Node) logStoreLost(err error) {
	if n.lostAt == 0 {
		n.cfg.Log.WithError(err).Warn("store lost")
		n.lostAt = jdaw.BootTime()
	}
}

func (n *Node) logStoreRegained() {
	if n.lostAt != 0 {
		n.cfg.Log.WithField("outageMs", (jdaw.BootTime() - n.lostAt).Milliseconds()).Info("store regained")
	}
	n.lostAt = 0
}

// awaitStore waits until a lease renewal succeeds, for d at most.
func (n *Node) awaitStore(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-n.storeUp:
	case <-t.C:
	}
}

// storeRecovered signals that a renewal succeeded after a failed one.
func (n *Node) storeRecovered() {
	n.avoidUntil.Store(0)
	select {
	case n.storeUp <- struct{}{}:
	default:
	}
}

func (n *Node) load(outage time.Duration) (uint64, error) {
	asked, readAt := time.Now(), jdaw.BootTime()
	items, rev, err := n.cfg.Store.Load(n.ctx)
	if err != nil {
		return 0, err
	}
	n.own.seen(jdaw.Change{Key: n.ownKey(), Removed: true}) // unless an item follows
	lag := outage
	if n.State() == nil {
		lag = 0 // a starting VM takes the age of a roll-out from its step
	}
	n.recordRead(readAt)
	n.expectWatch(0)
	n.cfg.Post(Reloading{Outage: outage})
	// Orders precede the entries that refer to them.
	for _, own := range []bool{false, true} {
		for _, c := range items {
			if isInternalKey(c.Key) == own {
				n.post(c, lag)
			}
		}
	}
	n.own.readUntil(asked)
	n.cfg.Post(Synced{Reloaded: true})
	if n.cfg.Feed != nil {
		n.publishReload(items, rev, readAt)
	}
	return rev, nil
}

// publishReload publishes the difference between a full read and the last
// known state. When the store has discarded its history, the VMs fed by this
// one can thus continue without a full read of their own.
func (n *Node) publishReload(items []jdaw.Change, rev uint64, readAt time.Duration) {
	before := n.known
	n.known = make(map[string]uint64, len(items))
	for _, c := range items {
		n.known[c.Key] = c.Revision
	}
	if before == nil {
		n.cfg.Feed.Restart(rev, readAt)
		return
	}
	n.cfg.Feed.Add(changesSince(before, items, rev), rev, readAt)
}

// changesSince returns the changes up to a revision that turn the known keys
// into the items. Later ones are read again after that revision.
func changesSince(known map[string]uint64, items []jdaw.Change, rev uint64) []jdaw.Change {
	var changes []jdaw.Change
	isThere := make(map[string]bool, len(items))
	for _, c := range items {
		isThere[c.Key] = true
		if c.Revision > known[c.Key] && c.Revision <= rev {
			changes = append(changes, c)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	for key := range known {
		if !isThere[key] {
			changes = append(changes, jdaw.Change{Key: key, Revision: rev, Removed: true})
		}
	}
	return changes
}

// publishChanges publishes changes to other VMs.
func (n *Node) publishChanges(b batch, rev uint64) {
	for _, c := range b.changes {
		if c.Removed {
			delete(n.known, c.Key)
		} else {
			n.known[c.Key] = c.Revision
		}
	}
	n.cfg.Feed.Add(b.changes, rev, b.readAt)
}

// followFrom posts changes until two consecutive calls fail: a single failure
// may be a broken connection.
func (n *Node) followFrom(rev uint64) error {
	failures := 0
	// The state just read is fresh, and when all VMs start together, the first
	// watch would return at once for each VM that registers.
	paused := n.pauseBefore()
	for {
		asked := time.Now()
		b, err := n.changes(rev, paused)
		if err != nil {
			n.expectAnswer(0)
			failures++
			if n.ctx.Err() != nil || errors.Is(err, jdaw.ErrHistoryGone) || failures > 1 {
				return err
			}
			jdaw.Sleep(n.ctx, minBackoff)
			continue
		}
		failures = 0
		outage := n.TimeSinceContact()
		n.recordRead(b.readAt)
		rev = max(rev, b.next)
		lag := paused
		switch {
		case b.isFromPeer && outage > n.maxReplyAge()+feedWait+feedSlack:
			lag = outage
		case b.isFromPeer:
			lag = maxFeederPause
		case time.Since(asked) > freshWait:
			lag = 0 // the changes arrived while the call waited
		}
		paused = 0
		for _, c := range b.changes {
			n.post(c, lag)
		}
		if b.isFromPeer {
			n.own.readUntil(time.Now().Add(b.readAt - jdaw.BootTime()))
		} else {
			n.own.readUntil(asked)
		}
		if len(b.changes) > 0 {
			n.cfg.Post(Synced{})
		}
		if n.cfg.Feed != nil {
			n.publishChanges(b, rev)
		}
		switch {
		case b.isStale:
			n.expectAnswer(0)
		case b.isFromPeer:
			n.expectPeer(b)
		case len(b.changes) > 0:
			paused = n.pauseBefore()
		default:
			n.expectWatch(0)
		}
	}
}

// pauseBefore waits before the next watch and returns the time waited. A VM
// with a feeder does not wait.
func (n *Node) pauseBefore() time.Duration {
	paused := time.Duration(0)
	if _, isFed := n.feeder(); !isFed {
		paused = n.pause()
	}
	n.expectWatch(paused)
	if paused > 0 {
		jdaw.Sleep(n.ctx, paused)
	}
	return paused
}

// changes waits for changes after a revision: from this VM's feeder or, after a
// pause, from the store. The store may reject single VMs; meanwhile, changes come from
// any VM that reads it.
//
// Another VM may have lost the store without knowing it yet. Its reply is relied on if
// what it has read is so recent that the next reply, or an answer of the store, comes
// within the time in which a change must be in force. After a stale reply the store is
// asked, whatever it did before.
func (n *Node) changes(rev uint64, paused time.Duration) (batch, error) {
	var stale *batch // the most recent one
	ask := func(m Member, isAnySize bool) (batch, bool) {
		b, err := n.fetchFrom(m, rev, isAnySize)
		if err != nil {
			return b, false
		}
		if age := jdaw.BootTime() - b.readAt; !b.hasMore && age > n.maxReplyAge() {
			b.isStale = true
			if stale == nil || b.readAt > stale.readAt {
				stale = &b
			}
			n.logStaleReply(m, age)
			return b, false
		}
		return b, true
	}
	if feeder, ok := n.feeder(); ok {
		if b, ok := ask(feeder, false); ok {
			return b, nil
		}
		if stale != nil {
			n.avoided[feeder.VM] = time.Now().Add(feederBackoff)
		}
	}
	avoidsStore := int64(jdaw.BootTime()) < n.avoidUntil.Load()
	readers := n.readers(n.isAvoided)
	if avoidsStore && len(readers) > 0 {
		if b, ok := ask(readers[0], true); ok {
			return b, nil
		}
		readers = readers[1:]
	}
	b, err := n.watch(rev, paused)
	if err == nil {
		n.avoidUntil.Store(0)
		n.logStoreRegained()
	}
	if err == nil || errors.Is(err, jdaw.ErrHistoryGone) || n.ctx.Err() != nil {
		return b, err
	}
	n.expectAnswer(0)
	for _, reader := range readers {
		if b, ok := ask(reader, true); ok {
			n.avoidUntil.Store(int64(jdaw.BootTime() + storeBackoff))
			n.logStoreLost(err)
			return b, nil
		}
	}
	n.avoidUntil.Store(0)
	if stale != nil {
		n.logStoreLost(err)
		return *stale, nil
	}
	return batch{}, err
}

// maxReplyAge is the age up to which a reply of another VM is relied on without asking
// the store. The next call of that VM may take feedWait and feedSlack.
func (n *Node) maxReplyAge() time.Duration {
	return max(n.cfg.ApplyWithin-feedWait-feedSlack-replyMargin, 0)
}

// fetchFrom reads changes from another VM. A large batch has to be read from
// the store unless isAnySize is set.
func (n *Node) fetchFrom(m Member, rev uint64, isAnySize bool) (batch, error) {
	ctx, cancel := context.WithTimeout(n.ctx, feedWait+feedSlack)
	defer cancel()
	r, err := n.cfg.Feed.Changes(ctx, m.Peers, jdaw.FeedRequest{After: rev, Wait: feedWait, IsAnySize: isAnySize})
	if err != nil && n.ctx.Err() == nil && !errors.Is(err, jdaw.ErrReadStore) {
		n.avoided[m.VM] = time.Now().Add(feederBackoff)
		n.cfg.Log.WithError(err).WithField("feeder", m.VM).Info("feeder does not answer; using another source")
	}
	return batch{changes: r.Changes, next: r.Next, readAt: r.ReadAt, hasMore: r.HasMore, isFromPeer: true}, err
}

// watch waits for changes in the store after a pause.
func (n *Node) watch(rev uint64, paused time.Duration) (batch, error) {
	wait, slack := n.watchTime(paused)
	if n.lostAt != 0 {
		wait = min(wait, probeWait)
	}
	if n.ReadsStore() {
		n.expectAnswer(wait + slack) // whether others rely on this VM may have changed
	}
	ctx, cancel := context.WithTimeout(n.ctx, wait+slack)
	defer cancel()
	asked := jdaw.BootTime()
	changes, next, err := n.cfg.Store.Changes(ctx, rev, wait)
	answered := jdaw.BootTime()
	// The store has answered at the end of the wait, or at once with changes, whose way
	// here may have taken as long as the watch tolerates.
	readAt := min(asked+wait, answered)
	if len(changes) > 0 {
		readAt = max(asked, min(asked+wait, answered-slack))
	}
	return batch{changes: changes, next: next, readAt: readAt}, err
}

func (n *Node) isFeeder() bool {
	st := n.State()
	return st != nil && n.cfg.Feed != nil && st.isFeeder(n.cfg.Self)
}

// isReliedOn reports whether other VMs rely on this one for changes.
func (n *Node) isReliedOn() bool {
	return n.isFeeder() || n.cfg.Feed != nil && n.cfg.Feed.IsAsked()
}

// watchTime returns the longest wait of a call to the store after a pause, and the
// time above it after which the call has failed. A VM on which others rely must detect
// a loss of the store soon, and its replies must be recent.
func (n *Node) watchTime(paused time.Duration) (wait, slack time.Duration) {
	if n.isReliedOn() {
		return feedWait, feedSlack
	}
	return max(watchWait-paused, minBackoff), watchSlack
}

// feeder returns the VM to read changes from, see [State.source].
func (n *Node) feeder() (Member, bool) {
	st := n.State()
	if st == nil || n.cfg.Feed == nil {
		return Member{}, false
	}
	return st.source(n.cfg.Self, n.isAvoided)
}

// readers returns the VMs that read and write for this one while the store
// does not respond to it.
func (n *Node) readers(isAvoided func(jdaw.VMID) bool) []Member {
	st := n.State()
	if st == nil || n.cfg.Feed == nil {
		return nil
	}
	list := st.readers(n.cfg.Self, isAvoided)
	return list[:min(len(list), maxReadersAsked)]
}

// isAvoided may be called by the follower goroutine only.
func (n *Node) isAvoided(vm jdaw.VMID) bool { return time.Now().Before(n.avoided[vm]) }

func neverAvoided(jdaw.VMID) bool { return false }

// pause returns the time between two watches.
func (n *Node) pause() time.Duration {
	st := n.State()
	if st == nil {
		st = &State{}
	}
	pause := st.pause(time.Now(), n.cfg.ApplyWithin)
	if n.isReliedOn() {
		pause = min(pause, maxFeederPause, max(n.maxReplyAge()-feedWait-feedSlack, minBackoff))
	}
	return pause
}

// pause returns the time after which the next changes must be read. The last
// steps of a roll-out are short, and an evaluator that reads the counts late
// increases the requests sent to a bad version.
func (s *State) pause(at time.Time, applyWithin time.Duration) time.Duration {
	pause := max(applyWithin-applyMargin, time.Duration(minPauseShare*float64(applyWithin)))
	for _, r := range s.Rollouts {
		if r.State != RolloutRunning {
			continue
		}
		if r.IsEvaluator {
			return rolloutPause
		}
		pause = min(pause, max(r.Deadline().Add(-finalPhase).Sub(at), rolloutPause))
	}
	return pause
}

// recordRead records that all changes up to a time are known. Only the follower
// goroutine calls it.
func (n *Node) recordRead(readAt time.Duration) {
	n.lastContact.Store(max(n.lastContact.Load(), int64(readAt)))
}

// TimeSinceContact returns the age of what is known of the store.
func (n *Node) TimeSinceContact() time.Duration {
	return jdaw.BootTime() - time.Duration(n.lastContact.Load())
}

// IsCurrent reports whether the store's changes are read in time, from the store
// or from a VM that reads it. It is false once an answer is overdue or all calls
// have failed: then this VM may lack changes.
func (n *Node) IsCurrent() bool { return int64(jdaw.BootTime()) <= n.nextReadDue.Load() }

// ReadsStore reports whether this VM itself reads the store in time. Only such
// VMs serve changes: otherwise two VMs cut off from the store could each
// treat the other's empty responses as the store's.
func (n *Node) ReadsStore() bool { return int64(jdaw.BootTime()) <= n.nextStoreReadDue.Load() }

// expectWatch sets the deadline for the response of a watch that starts after a pause.
func (n *Node) expectWatch(paused time.Duration) {
	wait, slack := n.watchTime(paused)
	n.expectAnswer(paused + wait + slack)
}

// expectAnswer sets the deadline for the store's next response to d from now.
func (n *Node) expectAnswer(d time.Duration) {
	due := int64(jdaw.BootTime() + d)
	n.nextReadDue.Store(due)
	n.nextStoreReadDue.Store(due)
}

// expectPeer sets the deadline for the response of another VM after the last one. It
// comes while what that VM has read is recent enough.
func (n *Node) expectPeer(last batch) {
	due := jdaw.BootTime() + feedWait + feedSlack
	if !last.hasMore {
		due = min(due, last.readAt+n.cfg.ApplyWithin)
	}
	n.nextReadDue.Store(int64(due))
	n.nextStoreReadDue.Store(0)
}

// maxRejected bounds the rejected entries whose reason is remembered.
const maxRejected = 1000

// logRejected counts a rejected entry, and logs it once for each reason: upstreams
// write their entries every second.
func (n *Node) logRejected(key string, err error) {
	if err == nil {
		delete(n.rejected, key)
		return
	}
	n.rejectedCount.Add(1)
	reason := err.Error()
	if n.rejected[key] == reason {
		return
	}
	if len(n.rejected) >= maxRejected {
		clear(n.rejected)
	}
	n.rejected[key] = reason
	n.cfg.Log.WithError(err).WithField("key", key).Warn("entry rejected")
}

// RejectedEntries returns how many entries of the store were rejected as
// malformed.
func (n *Node) RejectedEntries() int64 { return n.rejectedCount.Load() }

// post turns one change into an event. lag is the longest time that it may
// have been in the store unread.
func (n *Node) post(c jdaw.Change, lag time.Duration) {
	if c.Key == n.ownKey() {
		n.own.seen(c)
	}
	decode := n.cfg.Decoder.DecodeChange
	if isInternalKey(c.Key) {
		decode = decodeInternal
	}
	ev, err := decode(c)
	n.logRejected(c.Key, err)
	if order, ok := ev.(RolloutOrdered); ok {
		order.Lag = lag
		n.cfg.Log.WithFields(logrus.Fields{
			"service": order.Service, "version": order.Version, "revision": order.Revision,
			"removed": order.Removed, "lagMs": lag.Milliseconds(),
		}).Info("roll-out ordered")
		ev = order
	}
	if ev != nil {
		n.cfg.Post(ev)
	}
}
