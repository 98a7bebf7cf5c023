package jdaw

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPartKey is a hash of a service and the ID of a prompt part, used in
// messages between VMs and in the store.
type PromptPartKey uint64

// PromptPartKeyOf returns the hash of a part at a service; id "" stands for the
// service as a whole.
func PromptPartKeyOf(service, id string) PromptPartKey {
	return PromptPartKey(xxhash.Sum64String(service + "\x00" + id))
}

// maxPartName bounds the ID of a part in logs and messages, in bytes. Callers
// choose it; its key covers all of it.
const maxPartName = 64

// SuspectPart is a prompt part that requests at a crashed upstream had.
type SuspectPart struct {
	Key PromptPartKey
	ID  string // cut to 64 bytes
}

// NewSuspectPart returns the part of a service with an ID.
func NewSuspectPart(service, id string) SuspectPart {
	return SuspectPart{Key: PromptPartKeyOf(service, id), ID: id[:min(len(id), maxPartName)]}
}

// Crash is one request that an upstream had not answered to the end when its process
// crashed.
type Crash struct {
	Process uint64 // hash of the upstream's id and start
	Request uint64 // hash of the request's id
	Service string
	Sent    time.Time // of the request to the upstream
	Ended   time.Time
	Parts   []SuspectPart // in the order of the prompt; the last one is its own
}

// WithParts returns a copy with other parts.
func (c Crash) WithParts(parts []SuspectPart) Crash {
	c.Parts = parts
	return c
}

// CrashEvidence is what VMs tell each other of crashes and of the prompt parts
// that were answered lately, which did not cause them.
type CrashEvidence struct {
	Crashes  []Crash
	Answered map[PromptPartKey]time.Time // last answer
}

// Quarantine keeps a prompt part from the upstreams of a service.
type Quarantine struct {
	Part    SuspectPart
	Service string
	Crashes int // processes that ended
	Until   time.Time
}

// QuarantineTime is the duration of a quarantine. If the part still crashes
// upstreams afterwards, a few more crashes renew it.
const QuarantineTime = 10 * time.Minute
