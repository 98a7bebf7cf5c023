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
	// watchWait bounds how long a watch may be silent, so that a dead connection
	// is noticed within 3 s. Each watch is a paid call.
	watchWait = 2400 * time.Millisecond
	// watchSlack is the time above watchWait after which a watch counts as dead.
	watchSlack = 500 * time.Millisecond
	// applyMargin is kept of the time in which a change must be in force; the
	// rest is the pause between two watches, so that changes in quick succession
	// cost one call and not one each. minPauseShare is the least pause.
	applyMargin   = 800 * time.Millisecond
	minPauseShare = 0.5
	// quickPause is the pause in the last steps of a roll-out, which begin
	// finalSteps before its deadline, and of the judge of a roll-out.
	quickPause = 300 * time.Millisecond
	finalSteps = 2200 * time.Millisecond
	// freshWait is the time of a call above which its changes are new. The store
	// answers within 4 ms if there are changes.
	freshWait = 50 * time.Millisecond
	// defaultApplyWithin is used if the configuration of the node states none.
	defaultApplyWithin = 2 * time.Second
	// firstBackoff and lastBackoff pace the reads of a store that is away. A
	// renewal that succeeds ends the pause, so that its return is noticed within
	// renewEvery at a tenth of the price of a read.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 3200 * time.Millisecond
	// avoidStore is the time for which a store that failed is not watched while
	// other VMs pass its changes on. A renewal that succeeds ends it.
	avoidStore = 5 * time.Second
	// maxReadersAsked bounds the VMs that are asked in a row for changes that the
	// store does not give. Each may take feedWait and feedSlack.
	maxReadersAsked = 2
)

// errNoReader says that no other VM that reads the store answers.
var errNoReader = errors.New("neither the store nor a VM that reads it answers")

// batch is the result of one call for changes.
type batch struct {
	changes []jdaw.Change
	next    uint64 // revision to go on from
	isFed   bool   // another VM has passed them on
}

// follow reads everything, then each change, and starts again after a gap.
func (n *Node) follow() {
	backoff := firstBackoff
	for n.ctx.Err() == nil {
		outage := n.Silence()
		rev, err := n.load(outage)
		if err != nil {
			n.lost(err)
			n.awaitStore(backoff)
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		n.regained()
		backoff = firstBackoff
		err = n.followFrom(rev)
		if n.ctx.Err() == nil && !errors.Is(err, jdaw.ErrHistoryGone) {
			n.lost(err)
		}
	}
}

// lost logs the loss of the store once.
func (n *Node) lost(err error) {
	if n.lostAt == 0 {
		n.cfg.Log.WithError(err).Warn("store lost")
		n.lostAt = jdaw.BootTime()
	}
}

func (n *Node) regained() {
	if n.lostAt != 0 {
		n.cfg.Log.WithField("outageMs", (jdaw.BootTime() - n.lostAt).Milliseconds()).Info("store regained")
	}
	n.lostAt = 0
}

// awaitStore waits until a renewal shows that the store answers again, and for d
// at most.
func (n *Node) awaitStore(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-n.answers:
	case <-t.C:
	}
}

// storeAnswers notes that a renewal has succeeded after one that failed.
func (n *Node) storeAnswers() {
	n.avoidUntil.Store(0)
	select {
	case n.answers <- struct{}{}:
	default:
	}
}

func (n *Node) load(outage time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(n.ctx, 2*callTimeout)
	defer cancel()
	items, rev, err := n.cfg.Store.Load(ctx)
	if err != nil {
		return 0, err
	}
	lag := outage
	if n.State() == nil {
		lag = 0 // a VM that starts learns the age of a roll-out from its step
	}
	n.touch()
	n.expectWatch(0)
	n.cfg.Post(Reloading{Outage: outage})
	// Orders go before what refers to them.
	for _, own := range []bool{false, true} {
		for _, c := range items {
			if isOwn(c.Key) == own {
				n.post(c, lag)
			}
		}
	}
	n.cfg.Post(Synced{Reloaded: true})
	if n.cfg.Feed != nil {
		n.feedReload(items, rev)
	}
	return rev, nil
}

// feedReload passes on what everything that was read shows of the changes since
// the last ones. When the store forgets its history, the VMs that this one feeds
// then go on without reading everything themselves.
func (n *Node) feedReload(items []jdaw.Change, rev uint64) {
	before := n.known
	n.known = make(map[string]uint64, len(items))
	for _, c := range items {
		n.known[c.Key] = c.Revision
	}
	if before == nil {
		n.cfg.Feed.Restart(rev)
		return
	}
	n.cfg.Feed.Add(changesSince(before, items, rev), rev)
}

// changesSince returns the changes up to a revision that lead from the known keys
// to the items. Later ones are read again after that revision.
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

// feed passes changes on to other VMs.
func (n *Node) feed(b batch, rev uint64) {
	for _, c := range b.changes {
		if c.Removed {
			delete(n.known, c.Key)
		} else {
			n.known[c.Key] = c.Revision
		}
	}
	n.cfg.Feed.Add(b.changes, rev)
}

// followFrom posts changes until calls fail twice in a row: one failure may be
// that of a connection.
func (n *Node) followFrom(rev uint64) error {
	failures := 0
	// What was read is new, and after a common start the first watch would
	// return at once for each VM that registers.
	paused := n.pauseBefore()
	for {
		asked := time.Now()
		b, err := n.changes(rev)
		if err != nil {
			n.expectAnswer(0)
			failures++
			if n.ctx.Err() != nil || errors.Is(err, jdaw.ErrHistoryGone) || failures > 1 {
				return err
			}
			jdaw.Sleep(n.ctx, firstBackoff)
			continue
		}
		failures = 0
		n.touch()
		rev = max(rev, b.next)
		lag := paused
		switch {
		case b.isFed:
			lag = feederPause
		case time.Since(asked) > freshWait:
			lag = 0 // the changes came while the call waited
		}
		paused = 0
		for _, c := range b.changes {
			n.post(c, lag)
		}
		if len(b.changes) > 0 {
			n.cfg.Post(Synced{})
		}
		if n.cfg.Feed != nil {
			n.feed(b, rev)
		}
		switch {
		case b.isFed:
			n.expectFed()
		case len(b.changes) > 0:
			paused = n.pauseBefore()
		default:
			n.expectWatch(0)
		}
	}
}

// pauseBefore waits before the next watch and returns the time. A VM that others
// feed does not wait.
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

// changes waits for changes after a revision: from the VM that reads the store
// for this one, or from the store. The store may turn single VMs away; while it
// does, any VM that reads it will do.
func (n *Node) changes(rev uint64) (batch, error) {
	if feeder, ok := n.feeder(); ok {
		if b, err := n.ask(feeder, rev, false); err == nil {
			return b, nil
		}
	}
	err := errNoReader
	isAsked := int64(jdaw.BootTime()) >= n.avoidUntil.Load()
	if isAsked {
		var b batch
		if b, err = n.watch(rev); err == nil {
			n.regained()
		}
		if err == nil || errors.Is(err, jdaw.ErrHistoryGone) || n.ctx.Err() != nil {
			return b, err
		}
		n.expectAnswer(0)
	}
	for _, reader := range n.readers(n.isAvoided) {
		b, askErr := n.ask(reader, rev, true)
		if askErr != nil {
			continue
		}
		if isAsked {
			n.avoidUntil.Store(int64(jdaw.BootTime() + avoidStore))
			n.lost(err)
		}
		return b, nil
	}
	// Without a reader the store is asked again, whatever it did before.
	n.avoidUntil.Store(0)
	return batch{}, err
}

// ask asks another VM for changes. A large batch is left to the store unless
// isAnySize.
func (n *Node) ask(m Member, rev uint64, isAnySize bool) (batch, error) {
	ctx, cancel := context.WithTimeout(n.ctx, feedWait+feedSlack)
	defer cancel()
	changes, next, err := n.cfg.Feed.Changes(ctx, m.Peers, jdaw.FeedRequest{After: rev, Wait: feedWait, IsAnySize: isAnySize})
	if err != nil && n.ctx.Err() == nil && !errors.Is(err, jdaw.ErrReadStore) {
		n.avoided[m.VM] = time.Now().Add(avoidFeeder)
		n.cfg.Log.WithError(err).WithField("feeder", m.VM).Info("feeder does not answer; another source is read instead")
	}
	return batch{changes: changes, next: next, isFed: true}, err
}

// watch waits for changes in the store.
func (n *Node) watch(rev uint64) (batch, error) {
	wait, slack := n.watchTime()
	ctx, cancel := context.WithTimeout(n.ctx, wait+slack)
	defer cancel()
	changes, next, err := n.cfg.Store.Changes(ctx, rev, wait)
	return batch{changes: changes, next: next}, err
}

func (n *Node) isFeeder() bool {
	st := n.State()
	return st != nil && n.cfg.Feed != nil && st.isFeeder(n.cfg.Self)
}

// watchTime returns the longest wait of a call to the store, and the time above
// it after which the call has failed. A feeder must notice a loss before others
// rely on it for too long.
func (n *Node) watchTime() (wait, slack time.Duration) {
	if n.isFeeder() {
		return feedWait, feedSlack
	}
	return watchWait, watchSlack
}

// feeder returns the VM to ask for changes, see [State.source].
func (n *Node) feeder() (Member, bool) {
	st := n.State()
	if st == nil || n.cfg.Feed == nil {
		return Member{}, false
	}
	return st.source(n.cfg.Self, n.isAvoided)
}

// readers returns the VMs that read and write for this one while the store does
// not answer it.
func (n *Node) readers(isAvoided func(jdaw.VMID) bool) []Member {
	st := n.State()
	if st == nil || n.cfg.Feed == nil {
		return nil
	}
	list := st.readers(n.cfg.Self, isAvoided)
	return list[:min(len(list), maxReadersAsked)]
}

// isAvoided is the follower's to call.
func (n *Node) isAvoided(vm jdaw.VMID) bool { return time.Now().Before(n.avoided[vm]) }

func neverAvoided(jdaw.VMID) bool { return false }

// pause returns the time between two watches.
func (n *Node) pause() time.Duration {
	st := n.State()
	if st == nil {
		st = &State{}
	}
	pause := st.pause(time.Now(), n.cfg.ApplyWithin)
	if n.isFeeder() {
		pause = min(pause, feederPause)
	}
	return pause
}

// pause returns the time after which the next changes must be read. The last
// steps of a roll-out follow each other quickly, and a judge that reads the
// counts late adds to what a bad version gets.
func (s *State) pause(at time.Time, applyWithin time.Duration) time.Duration {
	pause := max(applyWithin-applyMargin, time.Duration(minPauseShare*float64(applyWithin)))
	for _, r := range s.Rollouts {
		if r.State != RolloutRunning {
			continue
		}
		if r.IsJudged {
			return quickPause
		}
		pause = min(pause, max(r.Deadline().Add(-finalSteps).Sub(at), quickPause))
	}
	return pause
}

func (n *Node) touch() { n.contact.Store(int64(jdaw.BootTime())) }

// Silence returns the time since the last news of the store.
func (n *Node) Silence() time.Duration {
	return jdaw.BootTime() - time.Duration(n.contact.Load())
}

// IsCurrent reports whether the store's changes are read in time, from the store
// or from a VM that reads it. It is false once an answer is overdue or all calls
// have failed: then there may be changes that this VM does not know.
func (n *Node) IsCurrent() bool { return int64(jdaw.BootTime()) <= n.dueBy.Load() }

// ReadsStore reports whether this VM itself reads the store in time. Only such
// VMs pass changes on: two that are cut off could otherwise each take the other's
// silence for that of the store.
func (n *Node) ReadsStore() bool { return int64(jdaw.BootTime()) <= n.storeDueBy.Load() }

// expectWatch notes that the answer of a watch comes after a pause.
func (n *Node) expectWatch(paused time.Duration) {
	wait, slack := n.watchTime()
	n.expectAnswer(paused + wait + slack)
}

// expectAnswer notes that the store's next answer comes within d.
func (n *Node) expectAnswer(d time.Duration) {
	due := int64(jdaw.BootTime() + d)
	n.dueBy.Store(due)
	n.storeDueBy.Store(due)
}

// expectFed notes that the next answer comes from another VM.
func (n *Node) expectFed() {
	n.dueBy.Store(int64(jdaw.BootTime() + feedWait + feedSlack))
	n.storeDueBy.Store(0)
}

// post turns one change into an event. lag is the longest time that it may have
// lain in the store.
func (n *Node) post(c jdaw.Change, lag time.Duration) {
	decode := n.cfg.Decoder.DecodeChange
	if isOwn(c.Key) {
		decode = decodeOwn
	}
	ev, err := decode(c)
	if err != nil {
		n.cfg.Log.WithError(err).WithField("key", c.Key).Warn("entry ignored: it cannot be read")
		return
	}
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
