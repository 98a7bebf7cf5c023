package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// JournalPrefix is the prefix of the keys of all journals.
const JournalPrefix = "jdaw/journal/"

type slotKind string

const (
	slotBatch slotKind = "batch"
	slotSeal  slotKind = "seal"  // no new requests after it
	slotLate  slotKind = "late"  // entries written after the seal
	slotClose slotKind = "close" // later slots are ignored
)

// slot is the value of one key of a journal. Batch is unique to each
// write, so that a writer whose response was lost recognizes its own slot.
type slot struct {
	Kind  slotKind    `json:"kind"`
	Batch string      `json:"batch"`
	By    jdaw.VMID   `json:"by,omitempty"`
	At    time.Time   `json:"at"`
	Bills []jdaw.Bill `json:"bills,omitempty"`
}

// Backoff between retries while the key-value service fails.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

func newSlot(kind slotKind, by jdaw.VMID, at time.Time, bills []jdaw.Bill) slot {
	return slot{Kind: kind, Batch: config.RandomHex(8), By: by, At: at, Bills: bills}
}

func slotKey(inc jdaw.Incarnation, n uint64) string {
	return fmt.Sprintf("%s%s/%010d", JournalPrefix, inc, n)
}

func parseSlotKey(key string) (jdaw.Incarnation, uint64, error) {
	inc, number, ok := strings.Cut(strings.TrimPrefix(key, JournalPrefix), "/")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return "", 0, errors.Newf("%q is not the key of a journal slot", key)
	}
	return jdaw.Incarnation(inc), n, nil
}

func readSlot(ctx context.Context, st jdaw.Store, inc jdaw.Incarnation, n uint64) (slot, bool, error) {
	item, found, err := st.Get(ctx, slotKey(inc, n))
	if err != nil || !found {
		return slot{}, false, err
	}
	var s slot
	err = json.Unmarshal(item.Value, &s)
	return s, true, errors.Wrapf(err, "decode %s", item.Key)
}

// writeSlot creates slot n or reads the existing one, and returns its content;
// equal batch ids mean that the write succeeded. After an error it reads before
// it writes again; the retry is the same batch under create-if-absent, so a
// first write that arrives late has no effect. failed is called after each
// failed attempt.
func writeSlot(ctx context.Context, st jdaw.Store, inc jdaw.Incarnation, n uint64, s slot, failed func(error)) (slot, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return slot{}, errors.Wrap(err, "encode slot")
	}
	backoff := minBackoff
	for {
		created, err := st.Put(ctx, slotKey(inc, n), value, 0)
		if err == nil && created {
			return s, nil
		}
		there, found, readErr := readSlot(ctx, st, inc, n)
		if readErr == nil && found {
			return there, nil
		}
		if err == nil {
			err = readErr
		}
		if err != nil {
			failed(err)
		}
		if !jdaw.Sleep(ctx, backoff) {
			return slot{}, errors.Wrapf(context.Cause(ctx), "write %s", slotKey(inc, n))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// findEnd returns the number of the first free slot. Slots are created without
// gaps, so a binary search finds it without reading a long journal.
func findEnd(ctx context.Context, st jdaw.Store, inc jdaw.Incarnation) (uint64, error) {
	exists := func(n uint64) (bool, error) {
		_, found, err := st.Get(ctx, slotKey(inc, n))
		return found, err
	}
	// All slots below low exist.
	low, high := uint64(0), uint64(1)
	for {
		found, err := exists(high - 1)
		if err != nil {
			return 0, err
		}
		if !found {
			break
		}
		low, high = high, 2*high
	}
	high--
	for low < high {
		mid := (low + high) / 2
		found, err := exists(mid)
		if err != nil {
			return 0, err
		}
		if found {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, nil
}
