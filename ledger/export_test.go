package ledger

import (
	"context"
	"time"

	"jackdawbarrow"
)

// Kill stops the goroutines without writing pending entries.
func (l *Ledger) Kill() { l.stop() }

// ExportAt is Export at a given time.
func ExportAt(ctx context.Context, st jdaw.Store, now time.Time) ([]jdaw.Bill, error) {
	return exportAt(ctx, st, now)
}

// Seal seals a journal as a holder with these entries does.
func (l *Ledger) Seal(ctx context.Context, inc jdaw.Incarnation, bills []jdaw.Bill) error {
	return sealJournal(ctx, l.cfg, inc, bills)
}

// IsSealed reports whether the journal has been sealed.
func IsSealed(ctx context.Context, st jdaw.Store, inc jdaw.Incarnation) bool {
	items, err := st.List(ctx, JournalPrefix+string(inc)+"/")
	if err != nil {
		return false
	}
	journals, err := foldJournals(items)
	return err == nil && journals[inc] != nil && journals[inc].sealed
}

// Homes returns the number of tracked journals of other VMs.
func (l *Ledger) Homes() int {
	l.holders.mu.Lock()
	defer l.holders.mu.Unlock()
	return len(l.holders.journals)
}
