package spread

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// DocumentRead is a document read from the store or made by a change that was
// accepted here.
type DocumentRead struct {
	Doc *config.Document `json:"doc"`
}

// EventName implements jdaw.Event.
func (DocumentRead) EventName() string { return "spreadDocumentRead" }

// Pulled is the end of a Pull. Doc is nil if the other VM has no higher
// revision.
type Pulled struct {
	From        jdaw.VMID         `json:"from"`
	OK          bool              `json:"ok"`
	Doc         *config.Document  `json:"doc,omitempty"`
	Suspensions []jdaw.Suspension `json:"suspensions,omitempty"`
}

// EventName implements jdaw.Event.
func (Pulled) EventName() string { return "spreadPulled" }

// HintReceived is a Hint from another VM, or a suspension made at this one.
type HintReceived struct {
	Sender      jdaw.VMID         `json:"sender,omitempty"`
	Revision    jdaw.Revision     `json:"revision"`
	Suspensions []jdaw.Suspension `json:"suspensions,omitempty"`
	Reply       func()            `json:"-"`
}

// EventName implements jdaw.Event.
func (HintReceived) EventName() string { return "spreadHintReceived" }

// Folded is the end of an attempt to fold the suspensions.
type Folded struct {
	OK bool `json:"ok"`
}

// EventName implements jdaw.Event.
func (Folded) EventName() string { return "spreadFolded" }

// ReadStore asks for a read of the document.
type ReadStore struct{}

// ActionName implements jdaw.Action.
func (ReadStore) ActionName() string { return "spreadReadStore" }

// SetWatch starts or ends the watch of the document.
type SetWatch struct {
	On bool `json:"on"`
}

// ActionName implements jdaw.Action.
func (SetWatch) ActionName() string { return "spreadSetWatch" }

// SendPull asks a member for what it has.
type SendPull struct {
	VM   jdaw.VMID `json:"vm"`
	Addr string    `json:"addr"`
}

// ActionName implements jdaw.Action.
func (SendPull) ActionName() string { return "spreadSendPull" }

// SendHint tells members of a new revision or suspension.
type SendHint struct {
	Addrs       []string          `json:"addrs"`
	Suspensions []jdaw.Suspension `json:"suspensions,omitempty"`
}

// ActionName implements jdaw.Action.
func (SendHint) ActionName() string { return "spreadSendHint" }

// Fold asks to write the suspensions into the document.
type Fold struct {
	Suspensions []jdaw.Suspension `json:"suspensions"`
}

// ActionName implements jdaw.Action.
func (Fold) ActionName() string { return "spreadFold" }

// Answer answers a gRPC call.
type Answer struct {
	Reply func() `json:"-"`
}

// ActionName implements jdaw.Action.
func (Answer) ActionName() string { return "spreadAnswer" }

// hashSuspensions is equal at two VMs with the same suspensions in force.
func hashSuspensions(list []jdaw.Suspension) uint64 {
	if len(list) == 0 {
		return 0
	}
	ids := make([]string, 0, len(list))
	for _, s := range list {
		ids = append(ids, s.ID)
	}
	sort.Strings(ids)
	return xxhash.Sum64String(strings.Join(ids, "\x00"))
}
