package ledger

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

// Timeouts of copies and of sealing.
const (
	// copyTimeout is well above a round trip between data centres and low
	// enough to try the next VM before the caller's timeout.
	copyTimeout = 250 * time.Millisecond
	// avoidTime is how long a VM that failed to take a copy is tried last; it
	// covers the time until the VM is declared dead.
	avoidTime = 2 * time.Second
	// unseenTime is how long after its last copy an incarnation that was never
	// in the member table counts as dead. A new incarnation sends copies
	// before it appears there.
	unseenTime = 10 * time.Second
	// replacedTime is how long an incarnation that was never in the member
	// table may still send a copy after another one of its VM has joined. That
	// one may be an earlier one of which this VM has only just learned.
	replacedTime = time.Second
	// sealedRetention is how long a holder still rejects copies for a sealed
	// journal.
	sealedRetention = time.Hour
	// deadRetention is how long the journal of a dead VM that never sent a copy
	// to this VM is tracked, in case the VM that should seal it fails. Without
	// a limit, the 145 VMs per day that end at 400 VMs added 2.4 % of a core
	// to the check run each second, every day.
	deadRetention      = time.Hour
	sealAttemptTimeout = 10 * time.Second
)

// copyResult is the result of copying an entry; held counts its holders.
type copyResult struct {
	held   int
	sealed bool
	full   bool
}

// sendCopies sends the entry to two other VMs; each rejection or failure moves
// on to the next candidate.
func (l *Ledger) sendCopies(ctx context.Context, j *journal, e *entry) copyResult {
	raw, err := json.Marshal(e.bill)
	if err != nil {
		return copyResult{}
	}
	req := &wire.CopyRequest{
		Header:        l.cfg.Header(),
		Incarnation:   string(j.inc),
		Entries:       [][]byte{raw},
		DurableBefore: j.durableBefore(),
		FirstNumber:   e.number,
	}
	candidates := make(chan jdaw.Member, 512)
	for _, m := range l.candidates(j.inc) {
		select {
		case candidates <- m:
		default: // 512 failing candidates exceed any caller's timeout
		}
	}
	close(candidates)
	var results [copiesWanted]copyResult
	var wg conc.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = l.copyToNext(ctx, req, candidates) })
	}
	wg.Wait()
	var sum copyResult
	for _, r := range results {
		sum.held += r.held
		sum.sealed = sum.sealed || r.sealed
		sum.full = sum.full || r.full
	}
	return sum
}

// copyToNext asks candidates until one holds the entry.
func (l *Ledger) copyToNext(ctx context.Context, req *wire.CopyRequest, candidates <-chan jdaw.Member) copyResult {
	var sum copyResult
	for m := range candidates {
		if ctx.Err() != nil {
			break
		}
		reply, err := l.copyTo(ctx, m, req)
		switch {
		case err != nil:
			l.holders.avoid(m.VM, l.cfg.Clock.Now().Add(avoidTime))
		case reply.GetSealed():
			sum.sealed = true
			return sum
		case reply.GetFull():
			sum.full = true
		default:
			sum.held = 1
			return sum
		}
	}
	return sum
}

func (l *Ledger) copyTo(ctx context.Context, m jdaw.Member, req *wire.CopyRequest) (*wire.CopyReply, error) {
	client, err := l.cfg.Client(m.PeerAddr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return client.Copy(ctx, req)
}

// candidates orders the other live VMs: own region first, since a partition makes
// other regions look dead; then responsive VMs first, other data centres before
// the own one, and by rendezvous hash so that a journal keeps its holders. The
// first two are in different data centres where possible.
func (l *Ledger) candidates(inc jdaw.Incarnation) []jdaw.Member {
	view := l.cfg.Views.View()
	if view == nil {
		return nil
	}
	self, _ := view.Member(l.cfg.VM)
	now := l.cfg.Clock.Now()
	priority := func(m jdaw.Member) int {
		r := 0
		if l.holders.isAvoided(m.VM, now) || m.State == jdaw.MemberSuspect {
			r += 2
		}
		if m.DataCentre == self.DataCentre {
			r++
		}
		if m.Region != self.Region {
			r += 4
		}
		return r
	}
	type candidate struct {
		member   jdaw.Member
		priority int
		hash     uint64
	}
	var all []candidate
	for _, m := range view.Serving() {
		if m.VM != l.cfg.VM {
			all = append(all, candidate{m, priority(m), jdaw.RendezvousWeight(string(inc), m.VM)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].priority != all[j].priority {
			return all[i].priority < all[j].priority
		}
		return all[i].hash > all[j].hash
	})
	for i := 1; i < len(all); i++ {
		if all[i].priority == all[0].priority && all[i].member.DataCentre != all[0].member.DataCentre {
			second := all[i]
			copy(all[2:i+1], all[1:i])
			all[1] = second
			break
		}
	}
	out := make([]jdaw.Member, len(all))
	for i := range all {
		out[i] = all[i].member
	}
	return out
}

// holders is the state that this VM keeps for other VMs' journals.
type holders struct {
	mu       sync.Mutex
	stopped  bool // no further sealing goroutine may start
	journals map[jdaw.Incarnation]*remoteJournal
	avoided  map[jdaw.VMID]time.Time
	lost     lostRegions
}

// remoteJournal is the state of another VM's journal at a possible sealer.
type remoteJournal struct {
	vm            jdaw.VMID
	region        jdaw.Region // empty until seen in the member table
	entries       map[jdaw.RequestID]heldEntry
	received      uint64 // number of entries accepted, in order of arrival
	durableBefore uint64
	firstCopy     time.Time // zero if it never sent a copy
	lastCopy      time.Time
	seenAt        time.Time // when the member table first showed it alive; zero if it never did
	sealing       bool
	sealed        bool
	sealedAt      time.Time
	deadAt        time.Time // when first seen dead; zero if alive
}

type heldEntry struct {
	number  uint64 // copy number assigned by the sender
	arrival uint64
	bill    jdaw.Bill
}

func newHolders() *holders {
	return &holders{journals: map[jdaw.Incarnation]*remoteJournal{}, avoided: map[jdaw.VMID]time.Time{}, lost: lostRegions{}}
}

func (h *holders) avoid(vm jdaw.VMID, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoided[vm] = until
}

func (h *holders) isAvoided(vm jdaw.VMID, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.avoided[vm])
}

// remoteJournal returns the state of a journal. The caller holds mu.
func (h *holders) remoteJournal(vm jdaw.VMID, inc jdaw.Incarnation) *remoteJournal {
	o := h.journals[inc]
	if o == nil {
		o = &remoteJournal{vm: vm, entries: map[jdaw.RequestID]heldEntry{}}
		h.journals[inc] = o
	}
	return o
}

// Copy implements the method of wire.PeerServer: it holds entries of another
// VM's journal until they are in a slot.
func (l *Ledger) Copy(_ context.Context, req *wire.CopyRequest) (*wire.CopyReply, error) {
	bills := make([]jdaw.Bill, len(req.GetEntries()))
	for i, raw := range req.GetEntries() {
		if err := json.Unmarshal(raw, &bills[i]); err != nil {
			return nil, errors.Wrap(err, "decode ledger entry")
		}
	}
	reply := &wire.CopyReply{Header: l.cfg.Header()}
	now := l.cfg.Clock.Now()
	h := l.holders
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.remoteJournal(jdaw.VMID(req.GetHeader().GetVm()), jdaw.Incarnation(req.GetIncarnation()))
	if o.sealed {
		reply.Sealed = true
		return reply, nil
	}
	if o.firstCopy.IsZero() {
		o.firstCopy = now
	}
	o.lastCopy = now
	o.dropBefore(req.GetDurableBefore())
	for i, b := range bills {
		if !o.hold(req.GetFirstNumber()+uint64(i), b) {
			reply.Full = true
		}
	}
	return reply, nil
}

func (o *remoteJournal) dropBefore(number uint64) {
	if number <= o.durableBefore {
		return
	}
	o.durableBefore = number
	for id, e := range o.entries {
		if e.number < number {
			delete(o.entries, id)
		}
	}
}

// hold stores one entry; it returns false if the buffer is full.
func (o *remoteJournal) hold(number uint64, b jdaw.Bill) bool {
	if number < o.durableBefore {
		return true
	}
	// Messages may arrive out of order: a settlement replaces the open entry,
	// never the reverse.
	old, ok := o.entries[b.RequestID]
	if ok && old.number >= number {
		return true
	}
	if !ok && len(o.entries) >= maxUnrecorded {
		return false
	}
	o.received++
	o.entries[b.RequestID] = heldEntry{number: number, arrival: o.received, bill: b}
	return true
}

// ViewChanged seals the journals of VMs that are dead in the member table. It is
// called on each jdaw.ViewChanged and once a second.
func (l *Ledger) ViewChanged(view *jdaw.View) {
	now := l.cfg.Clock.Now()
	h := l.holders
	h.mu.Lock()
	defer h.mu.Unlock()
	// An isolated VM sees all others as dead.
	if h.stopped || view.Isolated {
		return
	}
	for _, m := range view.Members {
		if m.VM != l.cfg.VM && m.State != jdaw.MemberDead && m.Incarnation != "" {
			o := h.remoteJournal(m.VM, m.Incarnation)
			if o.seenAt.IsZero() {
				o.seenAt = now
			}
			o.region = m.Region
		}
	}
	h.lost.update(view, l.snapshot(), now)
	serving := view.Serving()
	self, _ := view.Member(l.cfg.VM)
	for inc, o := range h.journals {
		if o.sealed {
			if now.Sub(o.sealedAt) > sealedRetention {
				delete(h.journals, inc)
			}
			continue
		}
		if o.sealing {
			continue
		}
		if !h.isDead(o, view, inc, now) {
			o.deadAt = time.Time{}
			continue
		}
		if o.deadAt.IsZero() {
			o.deadAt = now
		}
		if m, ok := view.Member(o.vm); ok && o.region == "" {
			o.region = m.Region // all incarnations of a VM are in one region
		}
		if o.region != self.Region && (now.Sub(o.deadAt) < otherRegionDelay || h.lost.isCutOff(o.region, now)) {
			continue
		}
		if o.firstCopy.IsZero() && !l.isFirstSealer(serving, inc) {
			if now.Sub(o.deadAt) > deadRetention {
				delete(h.journals, inc)
			}
			continue
		}
		o.sealing = true
		l.wg.Go(func() { l.sealHome(o, inc) })
	}
}

// isDead reports whether the journal's incarnation is over. The caller holds mu.
func (h *holders) isDead(o *remoteJournal, view *jdaw.View, inc jdaw.Incarnation, now time.Time) bool {
	m, ok := view.Member(o.vm)
	if ok && m.Incarnation == inc {
		return m.State == jdaw.MemberDead
	}
	if !o.seenAt.IsZero() {
		return true
	}
	if ok && h.isReplaced(o, m, now) {
		return true
	}
	return now.Sub(o.firstCopy) > unseenTime && now.Sub(o.lastCopy) > unseenTime
}

// isReplaced reports whether the VM failed and was started again as m before
// the member table showed the journal's incarnation. The caller holds mu.
func (h *holders) isReplaced(o *remoteJournal, m jdaw.Member, now time.Time) bool {
	next := h.journals[m.Incarnation]
	return next != nil && next.seenAt.After(o.lastCopy) && now.Sub(next.seenAt) > replacedTime
}

// isFirstSealer reports whether this VM seals a journal that it holds no copies
// of. Both holders may have died along with the journal's VM.
func (l *Ledger) isFirstSealer(serving []jdaw.Member, inc jdaw.Incarnation) bool {
	best, first := uint64(0), jdaw.VMID("")
	for i := range serving {
		vm := serving[i].VM
		if hash := jdaw.RendezvousWeight(string(inc), vm); first == "" || hash > best {
			best, first = hash, vm
		}
	}
	return first == l.cfg.VM
}

// sealHome seals the journal with the held entries. Copies that arrive while
// the seal is written are written as well before the journal is marked sealed
// here; from then on Copy rejects copies.
func (l *Ledger) sealHome(o *remoteJournal, inc jdaw.Incarnation) {
	backoff := minBackoff
	written := uint64(0) // entries up to this arrival are written
	first := true
	for {
		entries, last := l.holders.entriesAfter(o, written)
		if !first && len(entries) == 0 && l.holders.endSealing(o, written, l.cfg.Clock.Now()) {
			l.cfg.Log.WithFields(logrus.Fields{"vm": l.cfg.VM, "home": o.vm, "incarnation": inc}).Info("sealed the journal of a dead VM")
			l.event("journalSealedForDead", "journal "+string(inc)+" of "+string(o.vm)+" is sealed")
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, sealAttemptTimeout)
		err := sealJournal(ctx, l.cfg, inc, entries)
		cancel()
		if err == nil {
			first, written, backoff = false, last, minBackoff
			continue
		}
		if !jdaw.Sleep(l.ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
		// A VM that was only unreachable continues its journal.
		if view := l.cfg.Views.View(); first && view != nil && l.holders.cancelSealing(o, view, inc, l.cfg.Clock.Now()) {
			return
		}
	}
}

// entriesAfter returns the entries that arrived after the given one. Copy
// numbers are unsuitable: messages may arrive out of order.
func (h *holders) entriesAfter(o *remoteJournal, arrival uint64) ([]jdaw.Bill, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var held []heldEntry
	for _, e := range o.entries {
		if e.arrival > arrival {
			held = append(held, e)
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].number < held[j].number })
	var bills []jdaw.Bill
	for _, e := range held {
		bills = append(bills, e.bill)
	}
	return bills, o.received
}

// endSealing marks the journal sealed unless more copies have arrived.
func (h *holders) endSealing(o *remoteJournal, written uint64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.received > written {
		return false
	}
	o.sealed, o.sealedAt = true, now
	o.entries = nil
	return true
}

func (h *holders) cancelSealing(o *remoteJournal, view *jdaw.View, inc jdaw.Incarnation, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !view.Isolated && h.isDead(o, view, inc, now) {
		return false
	}
	o.sealing = false
	return true
}

// sealJournal seals a journal and writes the entries into the seal, or after
// another VM's seal. Entries that are already in the journal are harmless: the
// first settlement of a request counts.
func sealJournal(ctx context.Context, cfg Config, inc jdaw.Incarnation, bills []jdaw.Bill) error {
	next, err := findEnd(ctx, cfg.Store, inc)
	if err != nil {
		return err
	}
	sealed := false
	if next > 0 {
		last, _, err := readSlot(ctx, cfg.Store, inc, next-1)
		if err != nil {
			return err
		}
		sealed = last.Kind != slotBatch
	}
	// 4,096 entries may not fit into one value.
	const perSlot = 1000
	for !sealed || len(bills) > 0 {
		part := bills[:min(len(bills), perSlot)]
		kind := slotLate
		if !sealed {
			kind = slotSeal
		}
		s := newSlot(kind, cfg.VM, cfg.Clock.Now(), part)
		there, err := writeSlot(ctx, cfg.Store, inc, next, s, func(error) {})
		if err != nil {
			return err
		}
		next++
		if there.Batch == s.Batch {
			bills = bills[len(part):]
		}
		if there.Kind != slotBatch {
			sealed = true
		}
	}
	return nil
}
