package jdaw

// HeaderSeen reports the state of the sender in a message from another VM. It is
// emitted when the state has changed since the sender's last message, and
// otherwise at most twice a second, so that traffic does not flood the loop.
type HeaderSeen struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Revision    Revision    `json:"revision"`
	Suspensions uint64      `json:"suspensions"` // hash over the ids in force
}

// EventName implements [Event].
func (HeaderSeen) EventName() string { return "headerSeen" }
