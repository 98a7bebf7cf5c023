package fleet

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Upstream is one registered process of a service.
type Upstream struct {
	ID         jdaw.UpstreamID
	Service    string
	Address    string // IP:port
	DataCentre jdaw.DataCentre
	Version    string
	Slots      int
	Leaving    bool
	Cold       time.Duration // remaining cold time, as reported by the upstream
	Born       int64         // start of its process, compared for equality only
	Revision   uint64        // of its entry
	// ColdUntil and SeenAt are set by the machine.
	ColdUntil time.Time
	SeenAt    time.Time
}

// IsCold reports whether the upstream has to be kept at a reduced load.
func (u *Upstream) IsCold(at time.Time) bool { return at.Before(u.ColdUntil) }

// precedes reports whether the upstream was seen before another one; of those in
// one full read, whether its entry was written before.
func (u *Upstream) precedes(other *Upstream) bool {
	if !u.SeenAt.Equal(other.SeenAt) {
		return u.SeenAt.Before(other.SeenAt)
	}
	return u.Revision < other.Revision
}

// Reloading starts a full read; items that do not follow were removed.
type Reloading struct {
	// Outage is the time without contact to the store before.
	Outage time.Duration
}

// EventName implements [jdaw.Event].
func (Reloading) EventName() string { return "reloading" }

// Synced ends a batch of changes.
type Synced struct {
	Reloaded bool
}

// EventName implements [jdaw.Event].
func (Synced) EventName() string { return "synced" }

// RoutesSeen is a version of the routes.
type RoutesSeen struct{ Table *config.RouteTable }

// EventName implements [jdaw.Event].
func (RoutesSeen) EventName() string { return "routesSeen" }

// UpstreamSeen is an upstream's entry.
type UpstreamSeen struct{ Upstream Upstream }

// EventName implements [jdaw.Event].
func (UpstreamSeen) EventName() string { return "upstreamSeen" }

// UpstreamGone says that an upstream's entry was removed.
type UpstreamGone struct{ ID jdaw.UpstreamID }

// EventName implements [jdaw.Event].
func (UpstreamGone) EventName() string { return "upstreamGone" }

// DataCentreOrdered takes a data centre out or brings it back.
type DataCentreOrdered struct {
	DataCentre jdaw.DataCentre
	Out        bool
}

// EventName implements [jdaw.Event].
func (DataCentreOrdered) EventName() string { return "dataCentreOrdered" }

// QuarantineSeen is a prompt part that is kept from the upstreams of a service.
type QuarantineSeen struct{ Quarantine jdaw.Quarantine }

// EventName implements [jdaw.Event].
func (QuarantineSeen) EventName() string { return "quarantineSeen" }

// QuarantineGone says that a quarantine has expired or was lifted.
type QuarantineGone struct{ Key jdaw.PromptPartKey }

// EventName implements [jdaw.Event].
func (QuarantineGone) EventName() string { return "quarantineGone" }

// RolloutOrdered is an order to move a service to a version.
type RolloutOrdered struct {
	Service  string
	Version  string
	Duration time.Duration
	Revision uint64
	Removed  bool
	// Lag is the longest time that the order may have been in the store unread.
	Lag time.Duration
}

// EventName implements [jdaw.Event].
func (RolloutOrdered) EventName() string { return "rolloutOrdered" }

// RolloutReported is the state of a roll-out as operators see it.
type RolloutReported struct {
	Service  string
	Version  string
	State    RolloutState
	Revision uint64
	Removed  bool
}

// EventName implements [jdaw.Event].
func (RolloutReported) EventName() string { return "rolloutReported" }

// RolloutState is the state of a roll-out.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolledBack"
)
