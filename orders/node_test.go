package orders

import (
	"net/http/httptest"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/loop"
	"jackdawbarrow/store"
)

// Guards against orders that an engine cannot parse. Covers the path from the
// lease in the key-value service to the order at a fake engine.
func TestNodeLoadsAVersion(t *testing.T) {
	kv := httptest.NewServer(fakes.NewKeyValue())
	defer kv.Close()
	engine := fakes.NewEngine(fakes.EngineConfig{Versions: []string{"m@v1"}, ChecksFence: true})
	upstream := httptest.NewServer(engine)
	defer upstream.Close()
	client, err := store.New(store.Config{Addresses: []string{kv.URL}})
	if err != nil {
		t.Fatal(err)
	}
	doc := snapshot(600).Doc
	doc.Upstreams = doc.Upstreams[:1]
	doc.Upstreams[0].Address = upstream.URL

	ready := make(chan struct{})
	var l *loop.Loop
	n := New(Config{Self: "a", Region: "r", Store: client, Post: func(ev jdaw.Event) {
		<-ready
		l.Post(ev)
	}})
	l = loop.New(loop.Config{Machines: []jdaw.Machine{n.Machine()}, Execute: func(a jdaw.Action) { n.Execute(a) }})
	close(ready)
	defer l.Close()
	defer n.Close()
	l.Post(view("a", "a"))
	l.Post(config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		orders := engine.Orders()
		if len(orders) > 0 && orders[0].Version == "m@v2" && orders[0].Kind == "load" && orders[0].Fence > 0 && orders[0].From == "a" {
			return
		}
		if time.Since(start) > 20*time.Second {
			t.Fatalf("no order to load m@v2 within 20 s, got %+v", orders)
		}
	}
}
