package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/owner"
	"jackdawbarrow/strict"
)

// keyPrefix is the prefix of the lease keys, followed by the region.
const keyPrefix = "jdaw/orders/"

// Config configures a Node.
type Config struct {
	Self   jdaw.VMID
	Region jdaw.Region
	Store  jdaw.Store
	Post   func(jdaw.Event)
	Clock  jdaw.Clock
	HTTP   *http.Client
	Log    logrus.FieldLogger
}

// Node executes the actions of its Machine.
type Node struct {
	cfg     Config
	machine *Machine
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// New returns a Node with its Machine.
func New(cfg Config) *Node {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: orderTimeout, Transport: strict.New(strict.Config{})}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	n := &Node{cfg: cfg, machine: NewMachine(MachineConfig{Self: cfg.Self, Region: cfg.Region})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Machine returns the machine to run in the event loop.
func (n *Node) Machine() jdaw.Machine { return n.machine }

// Close cancels the calls in flight and waits for them.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
	n.cfg.HTTP.CloseIdleConnections()
}

// Execute runs an action of the machine; it reports false for other actions.
func (n *Node) Execute(a jdaw.Action) bool {
	switch a := a.(type) {
	case TakeLease:
		n.wg.Go(n.takeLease)
	case RenewLease:
		n.wg.Go(func() { n.renewLease(a.Lease) })
	case DropLease:
		n.wg.Go(func() { n.dropLease(a.Lease) })
	case SendOrder:
		n.wg.Go(func() { n.cfg.Post(OrderAnswered{Upstream: a.Order.Upstream, Result: n.send(a.Order)}) })
	case ReadVersions:
		n.wg.Go(func() { n.readVersions(a) })
	default:
		return false
	}
	return true
}

func (n *Node) key() string { return keyPrefix + string(n.cfg.Region) }

func (n *Node) takeLease() {
	sentAt := n.cfg.Clock.Now()
	lease, err := n.cfg.Store.Lease(n.ctx, n.key()+"/"+string(n.cfg.Self), leaseTime)
	if err != nil {
		n.cfg.Post(LeaseAnswered{SentAt: sentAt})
		return
	}
	fence, held, err := n.cfg.Store.Acquire(n.ctx, n.key(), []byte(n.cfg.Self), lease)
	n.cfg.Post(LeaseAnswered{Held: held && err == nil, Lease: lease, Fence: fence, SentAt: sentAt})
}

func (n *Node) renewLease(lease string) {
	sentAt := n.cfg.Clock.Now()
	held, err := n.cfg.Store.RenewLease(n.ctx, lease)
	if err != nil {
		// The lease may still be held; validUntil of the last renewal applies.
		n.cfg.Post(LeaseAnswered{Held: true, SentAt: sentAt})
		return
	}
	n.cfg.Post(LeaseAnswered{Held: held, Lease: lease, SentAt: sentAt})
}

func (n *Node) dropLease(lease string) {
	if err := n.cfg.Store.Release(n.ctx, n.key(), lease); err != nil {
		n.cfg.Log.WithError(err).Info("failed to release the orders lease; it will expire")
	}
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Version string `json:"version"`
	From    string `json:"from"`
}

// send sends an order unless ValidUntil has passed. The time is checked last
// because this goroutine may have been paused after the machine's decision.
func (n *Node) send(o Order) OrderResult {
	body, err := json.Marshal(engineOrder{Fence: o.Fence, Kind: o.Kind, Version: o.Version.String(), From: string(n.cfg.Self)})
	if err != nil {
		return OrderUnsent
	}
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(o.Address, "/")+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return OrderUnsent
	}
	r.GetBody = nil // keeps the transport from resending an order after a connection error
	r.Header.Set("Content-Type", "application/json")
	if !n.cfg.Clock.Now().Before(o.ValidUntil) {
		return OrderUnsent
	}
	resp, err := n.cfg.HTTP.Do(r)
	if err != nil {
		n.cfg.Log.WithError(err).WithField("upstream", o.Upstream).Warn("order outcome unknown; waiting for the load report")
		return OrderUnknown
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return OrderFenced
	case resp.StatusCode < http.StatusMultipleChoices:
		return OrderDone
	}
	return OrderUnknown
}

func (n *Node) readVersions(a ReadVersions) {
	doc, err := owner.FetchLoad(n.ctx, n.cfg.HTTP, a.Address)
	read := VersionsRead{Upstream: a.Upstream, OK: err == nil}
	for _, v := range doc.Versions {
		read.Versions = append(read.Versions, jdaw.ParseModelVersion(v))
	}
	n.cfg.Post(read)
}
