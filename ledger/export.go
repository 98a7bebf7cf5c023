package ledger

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// LateSettlement is how long after a seal a returning writer may still settle
// its requests.
const LateSettlement = 60 * time.Second

// journalState is the state of one journal after applying its slots.
type journalState struct {
	next     uint64 // first free slot
	sealed   bool
	sealedAt time.Time
	closed   bool
	closedAt time.Time
	bills    map[jdaw.RequestID]jdaw.Bill
}

// Export reads all journals and returns one bill per request, sorted by id. A
// request without a settlement in a journal sealed more than 60 s ago is
// billed at zero cost with an unknown outcome; Export first closes the journal so that
// no later settlement changes this bill. Other requests without a settlement
// are still open.
func Export(ctx context.Context, st jdaw.Store) ([]jdaw.Bill, error) {
	return exportAt(ctx, st, time.Now())
}

func exportAt(ctx context.Context, st jdaw.Store, now time.Time) ([]jdaw.Bill, error) {
	items, err := st.List(ctx, JournalPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the journals")
	}
	journals, err := foldJournals(items)
	if err != nil {
		return nil, err
	}
	var bills []jdaw.Bill
	for inc, state := range journals {
		if state.isDue(now) {
			if state, err = closeJournal(ctx, st, inc, state, now); err != nil {
				return nil, err
			}
		}
		bills = append(bills, state.export()...)
	}
	sort.Slice(bills, func(i, j int) bool { return bills[i].RequestID < bills[j].RequestID })
	return bills, nil
}

// foldJournals applies the slots, which are sorted by key and therefore by
// number within a journal.
func foldJournals(items []jdaw.Item) (map[jdaw.Incarnation]*journalState, error) {
	journals := map[jdaw.Incarnation]*journalState{}
	for _, item := range items {
		inc, n, err := parseSlotKey(item.Key)
		if err != nil {
			return nil, err
		}
		var s slot
		if err := json.Unmarshal(item.Value, &s); err != nil {
			return nil, errors.Wrapf(err, "decode %s", item.Key)
		}
		state := journals[inc]
		if state == nil {
			state = &journalState{bills: map[jdaw.RequestID]jdaw.Bill{}}
			journals[inc] = state
		}
		state.next = n + 1
		state.apply(s)
	}
	return journals, nil
}

func (j *journalState) apply(s slot) {
	if j.closed {
		return
	}
	switch s.Kind {
	case slotSeal:
		if !j.sealed {
			j.sealed, j.sealedAt = true, s.At
		}
	case slotClose:
		j.closed, j.closedAt = true, s.At
	}
	for _, b := range s.Bills {
		if j.bills[b.RequestID].State != jdaw.BillSettled {
			j.bills[b.RequestID] = b
		}
	}
}

func (j *journalState) isDue(now time.Time) bool {
	if !j.sealed || j.closed || now.Sub(j.sealedAt) < LateSettlement {
		return false
	}
	for _, b := range j.bills {
		if b.State != jdaw.BillSettled {
			return true
		}
	}
	return false
}

func (j *journalState) export() []jdaw.Bill {
	bills := make([]jdaw.Bill, 0, len(j.bills))
	for _, b := range j.bills {
		if j.closed && b.State != jdaw.BillSettled {
			b = b.WithSettlement(jdaw.CodeOutcomeUnknown, j.closedAt)
			b.Cost = 0
		}
		bills = append(bills, b)
	}
	return bills
}

// closeJournal appends the closing slot after all existing slots and returns the
// closed state.
func closeJournal(ctx context.Context, st jdaw.Store, inc jdaw.Incarnation, state *journalState, now time.Time) (*journalState, error) {
	closing := newSlot(slotClose, "", now, nil)
	for !state.closed {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		there, err := writeSlot(ctx, st, inc, state.next, closing, func(error) {})
		cancel()
		if err != nil {
			return nil, errors.Wrapf(err, "close journal %s", inc)
		}
		state.next++
		state.apply(there)
	}
	return state, nil
}
