package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
	"jackdawbarrow/store"
	"jackdawbarrow/wire"
)

// viewHolder is a view that the benchmark replaces.
type viewHolder struct{ v atomic.Pointer[jdaw.View] }

func (h *viewHolder) View() *jdaw.View { return h.v.Load() }

// startLedger returns the ledger of member 0, whose member table is the given
// one; it reaches no other VM.
func startLedger(b testing.TB, kvURL string, view *jdaw.View) *ledger.Ledger {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	kv, err := store.New(store.Config{Addresses: []string{kvURL}})
	if err != nil {
		b.Fatal(err)
	}
	views := &viewHolder{}
	views.v.Store(view)
	l := ledger.New(ledger.Config{
		VM: vmID(0), Incarnation: incarnationOf(0), Store: kv, Views: views, Log: quiet,
		Client: func(string) (wire.PeerClient, error) { return nil, errors.New("no other VM") },
	})
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = l.Close(ctx) // the journal of the benchmark is not sealed
	})
	return l
}

// BenchmarkCapacityMachineLedger measures the check of journals at each change
// of the member table and once a second, by the number of journals of VMs
// that have died since this VM started.
func BenchmarkCapacityMachineLedger(b *testing.B) {
	for _, dead := range []int{0, 145, 725, 1450} {
		b.Run(fmt.Sprintf("viewChanged/dead=%d", dead), func(b *testing.B) {
			// The service does not answer, so that seals do not end.
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }))
			b.Cleanup(srv.CloseClientConnections)
			view := largeView(vmID(0), largeVMs)
			l := startLedger(b, srv.URL, view)
			for i := 0; i < dead; i += largeVMs - 1 {
				before := largeView(vmID(0), largeVMs)
				for j := 1; j < largeVMs && i+j <= dead; j++ {
					before.Members[j].Incarnation = incarnationOf(1000 + i + j)
				}
				l.ViewChanged(before)
			}
			for b.Loop() {
				l.ViewChanged(view)
			}
		})
	}
}

// BenchmarkCapacitySeal measures the calls at the key-value service that the
// seal of one journal takes, by the length of the journal.
func BenchmarkCapacitySeal(b *testing.B) {
	for _, slots := range []int{16, 256, 4096, 65536} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			kv := fakes.NewKeyValue()
			srv := httptest.NewServer(kv)
			b.Cleanup(srv.Close)
			value, err := json.Marshal(map[string]any{"kind": "batch", "batch": "b", "at": epoch})
			if err != nil {
				b.Fatal(err)
			}
			dead := member(1)
			for n := range slots {
				url := fmt.Sprintf("/v1/kv/%s%s/%010d?cas=0", ledger.JournalPrefix, dead.Incarnation, n)
				kv.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, url, strings.NewReader(string(value))))
			}
			before := kv.Counts()
			alive := &jdaw.View{Self: vmID(0), Members: []jdaw.Member{member(0), dead}}
			l := startLedger(b, srv.URL, &jdaw.View{Self: vmID(0), Members: []jdaw.Member{member(0), dead.WithState(jdaw.MemberDead)}})
			for b.Loop() {
				l.ViewChanged(alive)
				for kv.Counts()["put"] == before["put"] {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(time.Second) // a second seal would show here
			}
			after := kv.Counts()
			b.ReportMetric(float64(after["get"]-before["get"]), "kv-reads/seal")
			b.ReportMetric(float64(after["put"]-before["put"]), "kv-writes/seal")
			b.ReportMetric(0, "ns/op")
		})
	}
}
