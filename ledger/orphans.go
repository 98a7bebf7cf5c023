package ledger

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// Search for orphaned journals: unsealed ones without a live writer.
const (
	orphanPeriod = 3 * time.Second
	// orphanCatchUp is the period while a search has left journals over. After
	// all VMs are replaced, a whole day's journals may have to be checked.
	orphanCatchUp = 500 * time.Millisecond
	// orphanAge is how long a journal must have had no live writer. A new
	// incarnation writes slots before it appears in the member table.
	orphanAge = 10 * time.Second
	// maxOrphansPerScan limits the reads of one search; a seal takes about two
	// reads for each doubling of the journal's length.
	maxOrphansPerScan = 20
)

// orphans is the state of the search.
type orphans struct {
	since  map[string]time.Time // incarnations without a live writer
	sealed map[string]bool
}

// sealOrphans seals the journals of dead incarnations that no running VM tracks:
// their holders and the VM that would have sealed them died as well, for
// example when all VMs are replaced at once. Without it their unsettled
// requests would never be billed. One VM searches; a second one is harmless.
func (l *Ledger) sealOrphans(ctx context.Context) {
	var o orphans
	period := orphanPeriod
	for jdaw.Sleep(ctx, period) {
		period = orphanPeriod
		view := l.cfg.Views.View()
		if view == nil || view.Isolated || !l.isFirstSealer(view.Serving(), "orphans") || l.isAnyRegionCutOff() {
			o = orphans{}
			continue
		}
		more, err := l.scanOrphans(ctx, &o, view)
		if more {
			period = orphanCatchUp
		}
		if err != nil && ctx.Err() == nil {
			l.cfg.Log.WithField("vm", l.cfg.VM).WithError(err).Debug("search for orphaned journals failed; retrying")
		}
	}
}

// isAnyRegionCutOff keeps the search from sealing journals of live VMs across a
// network partition.
func (l *Ledger) isAnyRegionCutOff() bool {
	h := l.holders
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost.isAnyCutOff(l.cfg.Clock.Now())
}

// scanOrphans seals up to maxOrphansPerScan journals and reports whether more
// remain.
func (l *Ledger) scanOrphans(ctx context.Context, o *orphans, view *jdaw.View) (more bool, err error) {
	names, err := l.cfg.Store.Names(ctx, JournalPrefix)
	if err != nil {
		return false, err
	}
	now := l.cfg.Clock.Now()
	live := l.liveIncarnations(view)
	last := *o
	*o = orphans{since: map[string]time.Time{}, sealed: map[string]bool{}}
	left := maxOrphansPerScan
	for _, name := range names {
		name = strings.TrimSuffix(name, "/")
		if live[name] {
			continue
		}
		o.sealed[name] = last.sealed[name]
		first, seen := last.since[name]
		if !seen {
			first = now
		}
		o.since[name] = first
		if o.sealed[name] || now.Sub(first) < orphanAge {
			continue
		}
		if left == 0 {
			more = true
			continue
		}
		left--
		if err := l.sealOrphan(ctx, jdaw.Incarnation(name)); err != nil {
			return more, err
		}
		o.sealed[name] = true
	}
	return more, nil
}

// liveIncarnations returns those of this process and of all members that are
// not dead.
func (l *Ledger) liveIncarnations(view *jdaw.View) map[string]bool {
	live := map[string]bool{}
	for _, m := range view.Members {
		if m.State != jdaw.MemberDead {
			live[string(m.Incarnation)] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for inc := range l.own {
		live[string(inc)] = true
	}
	return live
}

// sealOrphan has no effect if the journal is already sealed.
func (l *Ledger) sealOrphan(ctx context.Context, inc jdaw.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, sealAttemptTimeout)
	defer cancel()
	if err := sealJournal(ctx, l.cfg, inc, nil); err != nil {
		return err
	}
	l.cfg.Log.WithFields(logrus.Fields{"vm": l.cfg.VM, "incarnation": inc}).Debug("sealed an orphaned journal")
	return nil
}
