package orders

import (
	"time"

	"jackdawbarrow"
)

// Kind is the operation that an order requests.
type Kind string

// Kinds of orders.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Order states the desired state of one version on one engine.
type Order struct {
	Upstream jdaw.UpstreamID   `json:"upstream"`
	Address  string            `json:"address"`
	Fence    uint64            `json:"fence"`
	Kind     Kind              `json:"kind"`
	Version  jdaw.ModelVersion `json:"version"`
	// ValidUntil is the time after which the order must not be sent, because
	// the lease may expire.
	ValidUntil time.Time `json:"validUntil"`
}

// TakeLease requests the lease.
type TakeLease struct{}

// ActionName implements jdaw.Action.
func (TakeLease) ActionName() string { return "takeLease" }

// RenewLease requests a renewal of the lease.
type RenewLease struct {
	Lease string `json:"lease"`
}

// ActionName implements jdaw.Action.
func (RenewLease) ActionName() string { return "renewLease" }

// DropLease releases the lease.
type DropLease struct {
	Lease string `json:"lease"`
}

// ActionName implements jdaw.Action.
func (DropLease) ActionName() string { return "dropLease" }

// SendOrder sends an order to an engine.
type SendOrder struct {
	Order Order `json:"order"`
}

// ActionName implements jdaw.Action.
func (SendOrder) ActionName() string { return "sendOrder" }

// ReadVersions reads an engine's load report.
type ReadVersions struct {
	Upstream jdaw.UpstreamID `json:"upstream"`
	Address  string          `json:"address"`
}

// ActionName implements jdaw.Action.
func (ReadVersions) ActionName() string { return "readVersions" }

// LeaseAnswered is the result of TakeLease or RenewLease. SentAt is when the
// call was sent: the lease lasts at least leaseTime from then on.
type LeaseAnswered struct {
	Held   bool      `json:"held"`
	Lease  string    `json:"lease"`
	Fence  uint64    `json:"fence"` // 0 in the answer to a renewal
	SentAt time.Time `json:"sentAt"`
}

// EventName implements jdaw.Event.
func (LeaseAnswered) EventName() string { return "leaseAnswered" }

// OrderResult is the outcome of an order.
type OrderResult string

// Results of orders.
const (
	OrderDone    OrderResult = "done"
	OrderFenced  OrderResult = "fenced"  // the engine has seen a higher fencing token
	OrderUnsent  OrderResult = "unsent"  // not sent, for example because ValidUntil had passed
	OrderUnknown OrderResult = "unknown" // the engine may have executed it
)

// OrderAnswered is the result of SendOrder.
type OrderAnswered struct {
	Upstream jdaw.UpstreamID `json:"upstream"`
	Result   OrderResult     `json:"result"`
}

// EventName implements jdaw.Event.
func (OrderAnswered) EventName() string { return "orderAnswered" }

// VersionsRead is the result of ReadVersions.
type VersionsRead struct {
	Upstream jdaw.UpstreamID     `json:"upstream"`
	OK       bool                `json:"ok"`
	Versions []jdaw.ModelVersion `json:"versions,omitempty"`
}

// EventName implements jdaw.Event.
func (VersionsRead) EventName() string { return "versionsRead" }
