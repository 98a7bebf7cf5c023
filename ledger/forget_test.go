package ledger_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
	"jackdawbarrow/store"
	"jackdawbarrow/wire"
)

// steppedClock advances only by calls to advance.
type steppedClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *steppedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *steppedClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

type fixedView struct{ v *jdaw.View }

func (f fixedView) View() *jdaw.View { return f.v }

// Guards against tracking the journal of every VM that ever died, which slowed
// down the check run each second with every replaced VM.
func TestDeadHomesAreForgotten(t *testing.T) {
	srv := httptest.NewServer(fakes.NewKeyValue())
	defer srv.Close()
	st, err := store.New(store.Config{Addresses: []string{srv.URL}})
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	view := func(life string) *jdaw.View {
		v := &jdaw.View{Self: "vm0"}
		for i := range 40 {
			vm := jdaw.VMID(fmt.Sprintf("vm%d", i))
			v.Members = append(v.Members, jdaw.Member{VM: vm, Incarnation: jdaw.Incarnation(life + string(vm)), State: jdaw.MemberAlive})
		}
		return v
	}
	clock := &steppedClock{now: time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)}
	// The ledger's own check once a second sees a view without other members,
	// which changes nothing.
	l := ledger.New(ledger.Config{
		VM: "vm0", Incarnation: "first-vm0", Store: st, Views: fixedView{}, Clock: clock, Log: quiet,
		Client: func(string) (wire.PeerClient, error) { return nil, errUnreachable },
	})
	defer l.Kill()
	l.ViewChanged(view("first-"))
	first := l.Homes()
	replaced := view("second-")
	l.ViewChanged(replaced)
	if got := l.Homes(); got != 2*first {
		t.Fatalf("%d journals after the replacement, want %d: those of dead VMs may still have to be sealed", got, 2*first)
	}
	clock.advance(time.Hour - time.Second)
	l.ViewChanged(replaced)
	if got := l.Homes(); got != 2*first {
		t.Fatalf("%d journals before the hour is over, want %d", got, 2*first)
	}
	// Journals that this VM sealed itself are tracked for an hour after the
	// seal.
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		clock.advance(time.Hour + time.Second)
		l.ViewChanged(replaced)
		got := l.Homes()
		if got == first {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d journals after the hour, want the %d of live VMs", got, first)
		}
	}
}
