package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/guard"
)

// Keys of this system in the store.
const (
	memberPrefix     = "jdaw/vm/"
	countsPrefix     = "jdaw/counts/"
	rolloutPrefix    = "jdaw/rollout/"
	quarantinePrefix = "jdaw/quarantine/"
)

const (
	// callTimeout bounds all other calls; the store answers within 4 ms.
	callTimeout = time.Second
	// leaseTTL bounds the time for which callers are still given the address of a dead VM.
	leaseTTL      = 3 * time.Second
	renewInterval = time.Second
)

// RolloutEncoder encodes the state of a roll-out for operators.
type RolloutEncoder interface {
	EncodeRollout(service, version string, state RolloutState) (key string, value []byte, err error)
}

// Config configures a Node.
type Config struct {
	Self    Member
	Store   jdaw.ChangeStore
	Decoder jdaw.ChangeDecoder
	Encoder RolloutEncoder
	Post    func(jdaw.Event)
	// Feed exchanges changes between VMs. Without it each VM reads the store.
	Feed jdaw.ChangeFeed
	// ApplyWithin is the time in which a change in the store must be in force.
	ApplyWithin time.Duration
	Log         logrus.FieldLogger
}

// Node follows the store, registers this VM and carries out the writes.
type Node struct {
	cfg         Config
	state       atomic.Pointer[State]
	lastContact atomic.Int64 // time as of which the store's changes are known, by BootTime
	// nextReadDue is the deadline for the next update, and nextStoreReadDue that for a
	// response of the store itself, by BootTime.
	nextReadDue      atomic.Int64
	nextStoreReadDue atomic.Int64
	avoidUntil       atomic.Int64  // end of the time without watches, by BootTime
	storeUp          chan struct{} // signals that renewals succeed again
	ctx              context.Context
	cancel           context.CancelFunc
	wg               conc.WaitGroup
	leave            chan struct{}
	left             sync.Once
	writes           chan write
	own              ownEntry

	mu     sync.Mutex
	counts map[jdaw.ModelVersion]guard.Counts
	// avoided are feeders that failed, until when; lostAt is the time, by BootTime,
	// since which the store does not respond, 0 while it does; known are the
	// revisions of all keys. Only the follower goroutine uses them.
	avoided map[jdaw.VMID]time.Time
	lostAt  time.Duration
	// rejected are the reasons of rejected entries by key. Only follow uses it.
	rejected      map[string]string
	rejectedCount atomic.Int64
	known         map[string]uint64
	failed        chan struct{}              // a failure is to be published
	unpublished   map[jdaw.ModelVersion]bool // counts not yet published
	// forwarded are entries that this VM writes for others, with its own next counts.
	forwarded map[string][]byte
}

// New starts following the store.
func New(cfg Config) *Node {
	if cfg.ApplyWithin == 0 {
		cfg.ApplyWithin = defaultApplyWithin
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, ctx: ctx, cancel: cancel, leave: make(chan struct{}), writes: make(chan write, 64),
		counts: map[jdaw.ModelVersion]guard.Counts{}, unpublished: map[jdaw.ModelVersion]bool{}, forwarded: map[string][]byte{},
		avoided: map[jdaw.VMID]time.Time{}, rejected: map[string]string{}, failed: make(chan struct{}, 1), storeUp: make(chan struct{}, 1),
	}
	n.wg.Go(func() { n.follow() })
	n.wg.Go(func() { n.register() })
	n.wg.Go(func() { n.write() })
	n.wg.Go(func() { n.share() })
	return n
}

// Close stops all goroutines. The VM's entry expires with its lease unless
// Leave was called.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
}

// Leave removes the VM's entry; it is called when a drain begins.
func (n *Node) Leave() { n.left.Do(func() { close(n.leave) }) }

// State returns the state in force, or nil before the first read.
func (n *Node) State() *State { return n.state.Load() }

// Execute carries out the actions of the machine and ignores all others. It
// does not block.
func (n *Node) Execute(a jdaw.Action) {
	switch a := a.(type) {
	case Publish:
		n.state.Store(a.State)
	case WriteRollout:
		n.enqueue("roll-out state", func(ctx context.Context) error { return n.writeRollout(ctx, a) })
	case ReviewVersion:
		n.cfg.Post(guard.CompletionDue{Version: a.Version})
	case WriteStep:
		n.enqueue("roll-out step", func(ctx context.Context) error { return n.writeStep(ctx, a) })
	}
}

// KeyPrefix is the prefix of the keys that VMs of this system write.
const KeyPrefix = "jdaw/"

func isInternalKey(key string) bool { return strings.HasPrefix(key, KeyPrefix) }

// decodeInternal reads the keys that VMs of this system write.
func decodeInternal(c jdaw.Change) (jdaw.Event, error) {
	switch {
	case strings.HasPrefix(c.Key, memberPrefix):
		if c.Removed {
			return MemberGone{VM: strings.TrimPrefix(c.Key, memberPrefix)}, nil
		}
		return decodeMember(c)
	case strings.HasPrefix(c.Key, quarantinePrefix):
		return decodeQuarantine(c)
	case c.Removed:
		return nil, nil
	case strings.HasPrefix(c.Key, countsPrefix):
		var counts guard.Counts
		err := json.Unmarshal(c.Value, &counts)
		return counts, errors.Wrap(err, "decode counts")
	case strings.HasPrefix(c.Key, rolloutPrefix):
		s := StepSeen{Revision: c.Revision}
		err := json.Unmarshal(c.Value, &s)
		return s, errors.Wrap(err, "decode step")
	}
	return nil, nil
}

// decodeMember reads the entry of a VM. One that is malformed counts as removed:
// callers would be sent to its address.
func decodeMember(c jdaw.Change) (jdaw.Event, error) {
	vm := strings.TrimPrefix(c.Key, memberPrefix)
	gone := MemberGone{VM: vm}
	var m Member
	if err := json.Unmarshal(c.Value, &m); err != nil {
		return gone, errors.Wrap(err, "decode VM")
	}
	if string(m.VM) != vm {
		return gone, errors.Newf("the entry is of VM %.64q", string(m.VM))
	}
	for _, addr := range []string{m.Address, m.Peers} {
		if a, err := netip.ParseAddrPort(addr); addr != "" && (err != nil || a.Port() == 0) {
			return gone, errors.Newf("%.64q is not IP:port", addr)
		}
	}
	return MemberSeen{Member: m}, nil
}

// register keeps the VM's entry alive until the drain.
func (n *Node) register() {
	lease := ""
	hasFailed := false
	for {
		err := n.renew(&lease)
		switch {
		case err != nil && n.ctx.Err() == nil:
			n.cfg.Log.WithError(err).Warn("failed to renew registration")
		case hasFailed:
			n.storeRecovered()
		}
		hasFailed = err != nil
		t := time.NewTimer(renewInterval)
		select {
		case <-n.ctx.Done():
			t.Stop()
			return
		case <-n.leave:
			t.Stop()
			n.deregister(lease)
			return
		case <-t.C:
		}
	}
}

// renew renews the lease and writes the entry if the store doesn't hold it. A failed
// write is repeated under the same lease: the store may still do the first one.
func (n *Node) renew(lease *string) error {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	if *lease != "" {
		ok, err := n.cfg.Store.RenewLease(ctx, *lease)
		if err != nil {
			return err
		}
		if ok && n.own.isWritten() {
			return nil
		}
		if ok {
			n.cfg.Log.WithField("lease", *lease).Info("own entry is not in the store under this lease; writing it again")
			return n.writeOwn(ctx, *lease)
		}
	}
	fresh, err := n.cfg.Store.Lease(ctx, leaseTTL)
	if err != nil {
		*lease = ""
		return err
	}
	*lease = fresh
	return n.writeOwn(ctx, fresh)
}

func (n *Node) deregister(lease string) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	if err := n.cfg.Store.EndLease(ctx, lease); err != nil {
		n.cfg.Log.WithError(err).Warn("failed to remove own entry; it expires with its lease")
	}
}
