package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/wire"
)

// Timeouts of recording an entry.
const (
	// recordTimeout limits the wait for a slot when no other VM holds a copy.
	recordTimeout = 2 * time.Second
	// singleCopyTimeout limits the wait for a slot when one VM holds a copy.
	// A commit takes one interval, so this expires only in an outage.
	singleCopyTimeout = 500 * time.Millisecond
	// copiesWanted is the number of other VMs that should hold an entry.
	copiesWanted = 2
	// housekeepingPeriod is the period of time-based checks.
	housekeepingPeriod = time.Second
)

// Config configures a Ledger. VM, Incarnation, Store, Views and Client are
// required.
type Config struct {
	VM          jdaw.VMID
	Incarnation jdaw.Incarnation
	Store       jdaw.Store
	Views       jdaw.ViewSource
	// Config provides the keys that sign issued idempotency keys.
	Config config.Source
	// Client returns the gRPC client of a VM's peer address.
	Client func(addr string) (wire.PeerClient, error)
	// Header returns the header of messages to other VMs.
	Header func() *wire.Header
	// Renew is called when the journal of an incarnation was sealed by another
	// VM. It changes the incarnation of the process and returns the new one.
	// It is called once per sealed incarnation and must not call the ledger.
	Renew    func(old jdaw.Incarnation) jdaw.Incarnation
	Clock    jdaw.Clock
	Recorder jdaw.Recorder
	Log      logrus.FieldLogger
}

// Ledger implements jdaw.Ledger and jdaw.Claims, and the gRPC methods Copy and
// KeyStatus of package wire.
type Ledger struct {
	cfg    Config
	wg     conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	current  *journal
	journals map[jdaw.Incarnation]*journal // current one, and sealed ones not fully written
	own      map[jdaw.Incarnation]bool     // all incarnations of this process

	storeDown atomic.Bool // the last write of the journal failed
	holders   *holders
	claims    *claimTable
}

var (
	_ jdaw.Ledger = (*Ledger)(nil)
	_ jdaw.Claims = (*Ledger)(nil)
)

// New returns a Ledger and starts its writer, its housekeeping and the search
// for orphaned journals.
func New(cfg Config) *Ledger {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Renew == nil {
		cfg.Renew = func(jdaw.Incarnation) jdaw.Incarnation { return jdaw.Incarnation(config.RandomHex(8)) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		journals: map[jdaw.Incarnation]*journal{},
		own:      map[jdaw.Incarnation]bool{},
		holders:  newHolders(),
		claims:   newClaimTable(),
	}
	if cfg.Header == nil {
		l.cfg.Header = func() *wire.Header {
			return &wire.Header{Vm: string(cfg.VM), Incarnation: string(l.Incarnation())}
		}
	}
	l.mu.Lock()
	l.start(cfg.Incarnation)
	l.mu.Unlock()
	l.wg.Go(func() { l.housekeep(ctx) })
	l.wg.Go(func() { l.sealOrphans(ctx) })
	return l
}

// Incarnation returns the incarnation that new requests are opened under.
func (l *Ledger) Incarnation() jdaw.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.inc
}

// Close writes pending entries, seals the journal and stops the goroutines. It
// is called after the last request has ended. Entries that are not written
// when ctx ends are left to the holders of their copies.
func (l *Ledger) Close(ctx context.Context) error {
	err := l.flush(ctx)
	l.stop()
	if err != nil {
		return err
	}
	j := l.journal()
	if !j.markSealed() {
		return nil
	}
	return errors.Wrap(sealJournal(ctx, l.cfg, j.inc, nil), "seal own journal")
}

// stop stops the goroutines without writing pending entries.
func (l *Ledger) stop() {
	l.holders.mu.Lock()
	l.holders.stopped = true
	l.holders.mu.Unlock()
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.claims.stop()
	l.wg.Wait()
}

func (l *Ledger) flush(ctx context.Context) error {
	l.mu.Lock()
	var waiting []*entry
	for _, j := range l.journals {
		j.mu.Lock()
		waiting = append(append(waiting, j.inFlight...), j.pending...)
		j.mu.Unlock()
	}
	l.mu.Unlock()
	for _, e := range waiting {
		select {
		case <-e.done:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "write the pending entries")
		}
	}
	return nil
}

// Open implements jdaw.Ledger.
func (l *Ledger) Open(ctx context.Context, b jdaw.Bill) (jdaw.RequestID, error) {
	// The retry uses the new incarnation after the journal was found sealed.
	for range 2 {
		j := l.journal()
		id, err := l.openIn(ctx, j, b)
		if !errors.Is(err, errSealed) {
			return id, err
		}
	}
	return "", jdaw.Fail(jdaw.CodeIsolated, "the VM was declared dead and is taking a new incarnation").WithRetryAfter(1)
}

func (l *Ledger) openIn(ctx context.Context, j *journal, b jdaw.Bill) (jdaw.RequestID, error) {
	e, err := j.admit(b)
	if err != nil {
		return "", err
	}
	err = l.record(ctx, j, e)
	if err == nil && j.isSealed() {
		err = errSealed
	}
	if err == nil {
		return e.bill.RequestID, nil
	}
	code := jdaw.CodeNoCopy
	var coded *jdaw.CodeError
	if errors.As(err, &coded) {
		code = coded.Code
	}
	// The open entry may already be in a slot or at a holder, so it is settled
	// as not run.
	j.settle(e.bill.WithSettlement(code, l.cfg.Clock.Now()))
	return "", err
}

// Settle implements jdaw.Ledger.
func (l *Ledger) Settle(ctx context.Context, b jdaw.Bill) error {
	l.claims.requestEnded(b.RequestID, b.Ran, l.cfg.Clock.Now())
	inc := b.RequestID.Incarnation()
	l.mu.Lock()
	j, own := l.journals[inc], l.own[inc]
	l.mu.Unlock()
	if !own {
		return jdaw.Fail(jdaw.CodeInternal, "request %s was not opened by this VM", b.RequestID)
	}
	if j == nil {
		return nil // all requests of that journal are settled
	}
	e := j.settle(b)
	if e == nil {
		return nil
	}
	return l.record(ctx, j, e)
}

// record returns when the entry is held by other VMs or is in a slot.
func (l *Ledger) record(ctx context.Context, j *journal, e *entry) error {
	if j.isSealed() {
		return l.waitDurable(ctx, e, recordTimeout, jdaw.CodeNoCopy)
	}
	r := l.sendCopies(ctx, j, e)
	if r.sealed {
		l.handleSealed(j)
		return l.waitDurable(ctx, e, recordTimeout, jdaw.CodeNoCopy)
	}
	if r.held >= copiesWanted {
		return nil
	}
	if r.held > 0 {
		if l.storeDown.Load() {
			return nil
		}
		err := l.waitDurable(ctx, e, singleCopyTimeout, jdaw.CodeNoCopy)
		if e.isDone() {
			return err
		}
		return nil
	}
	code := jdaw.CodeNoCopy
	if r.full {
		code = jdaw.CodeJournalFull
	}
	return l.waitDurable(ctx, e, recordTimeout, code)
}

func (e *entry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// waitDurable waits until the entry is in a slot; on a timeout it fails with
// code.
func (l *Ledger) waitDurable(ctx context.Context, e *entry, timeout time.Duration, code jdaw.Code) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return jdaw.Fail(code, "no other VM holds the record of the request and it was not written to the key-value service in time").WithRetryAfter(1)
}

func (l *Ledger) journal() *journal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// start makes the journal of an incarnation the current one. The caller holds mu.
func (l *Ledger) start(inc jdaw.Incarnation) {
	j := newJournal(inc)
	l.current = j
	l.journals[inc] = j
	l.own[inc] = true
	l.wg.Go(func() { l.write(l.ctx, j) })
}

// handleSealed switches to a new incarnation after the journal was found sealed.
func (l *Ledger) handleSealed(j *journal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !j.markSealed() {
		return
	}
	inc := l.cfg.Renew(j.inc)
	l.cfg.Log.WithFields(logrus.Fields{"vm": l.cfg.VM, "sealed": j.inc, "incarnation": inc}).Warn("journal was sealed by another VM")
	l.event("journalSealed", "journal "+string(j.inc)+" was sealed by another VM")
	if l.ctx.Err() == nil {
		l.start(inc)
	}
	select {
	case j.wake <- struct{}{}: // wakes an idle writer so that it ends
	default:
	}
}

func (l *Ledger) retire(j *journal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j != l.current {
		delete(l.journals, j.inc)
	}
}

func (l *Ledger) storeFailed(err error) {
	if !l.storeDown.Swap(true) {
		l.cfg.Log.WithField("vm", l.cfg.VM).WithError(err).Warn("write to the journal failed; retrying")
	}
}

func (l *Ledger) event(name, text string) {
	if l.cfg.Recorder != nil {
		l.cfg.Recorder.Record(jdaw.TimelineEvent{Name: name, Text: text})
	}
}

func (l *Ledger) housekeep(ctx context.Context) {
	for jdaw.Sleep(ctx, housekeepingPeriod) {
		if view := l.cfg.Views.View(); view != nil {
			l.ViewChanged(view)
		}
		l.claims.expire(l.cfg.Clock.Now())
	}
}
