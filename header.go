package jdaw

// HeaderSeen reports what a message from another VM said about its sender. It
// is sent when that differs from the sender's last message, and otherwise
// twice a second at most, so that traffic does not flood the loop.
type HeaderSeen struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Revision    Revision    `json:"revision"`
	Suspensions uint64      `json:"suspensions"` // hash over the ids in force
}

// EventName implements [Event].
func (HeaderSeen) EventName() string { return "headerSeen" }
