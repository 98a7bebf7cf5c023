package fleet

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// quarantineEntry is the entry of a quarantine in the store. It expires with its
// lease; operators lift the quarantine by removing it.
type quarantineEntry struct {
	Service string    `json:"service"`
	Part    string    `json:"part"`
	Crashes int       `json:"crashes"`
	VM      jdaw.VMID `json:"vm"` // that decided
}

const keyBase = 16

func quarantineKey(key jdaw.PromptPartKey) string {
	return quarantinePrefix + strconv.FormatUint(uint64(key), keyBase)
}

// decodeQuarantine reads the entry of a quarantine. The key alone says which part
// it is; a malformed value is reported, and the quarantine is in force.
func decodeQuarantine(c jdaw.Change) (jdaw.Event, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(c.Key, quarantinePrefix), keyBase, 64)
	if err != nil {
		return nil, errors.Newf("%.64q is no key of a prompt part", c.Key)
	}
	key := jdaw.PromptPartKey(n)
	if c.Removed {
		return QuarantineGone{Key: key}, nil
	}
	var e quarantineEntry
	err = json.Unmarshal(c.Value, &e)
	part := jdaw.NewSuspectPart(e.Service, e.Part)
	part.Key = key
	q := jdaw.Quarantine{Part: part, Service: e.Service, Crashes: e.Crashes}
	return QuarantineSeen{Quarantine: q}, errors.Wrap(err, "decode quarantine")
}

// quarantineSeen takes the full time from now on: when the lease of the entry was
// given is not known.
func (m *Machine) quarantineSeen(at time.Time, q jdaw.Quarantine) {
	key := q.Part.Key
	if m.reload != nil {
		m.reload.quarantined[key] = true
	}
	if _, ok := m.quarantined[key]; ok {
		return
	}
	q.Until = at.Add(jdaw.QuarantineTime)
	m.quarantined[key] = q
	delete(m.lapsed, key)
	m.dirty = true
}

// quarantineGone ends a quarantine, unless its entry expired in an outage of the
// store: then VMs write it again.
func (m *Machine) quarantineGone(at time.Time, key jdaw.PromptPartKey) {
	q, ok := m.quarantined[key]
	if !ok {
		return
	}
	if at.Before(m.graceUntil) {
		m.lapsed[key] = q
	}
	delete(m.quarantined, key)
	m.dirty = true
}

// Quarantine writes a quarantine to the store, unless it is there.
func (n *Node) Quarantine(q jdaw.Quarantine) {
	n.enqueue("quarantine", func(ctx context.Context) error { return n.writeQuarantine(ctx, q) })
}

func (n *Node) writeQuarantine(ctx context.Context, q jdaw.Quarantine) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := n.cfg.Store.Lease(ctx, jdaw.QuarantineTime)
	if err != nil {
		return errors.Wrap(err, "lease of a quarantine")
	}
	entry, err := encodeEntry(quarantineKey(q.Part.Key), quarantineEntry{
		Service: q.Service, Part: q.Part.ID, Crashes: q.Crashes, VM: n.cfg.Self.VM,
	})
	if err != nil {
		return err
	}
	ok, err := n.cfg.Store.PutIf(ctx, entry.Key, entry.Value, 0, lease)
	switch {
	case err != nil:
		// The entry may have been written, so its lease stays.
		return errors.Wrap(err, "write quarantine")
	case !ok:
		return errors.Wrap(n.cfg.Store.EndLease(ctx, lease), "end the lease of a quarantine that another VM wrote")
	}
	n.cfg.Log.WithFields(logrus.Fields{"service": q.Service, "part": q.Part.ID, "key": entry.Key}).Info("quarantine written")
	return nil
}
