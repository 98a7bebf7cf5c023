package fleet

import (
	"context"
	"testing"
	"time"

	"jackdawbarrow"
)

// Guards against a quarantine that ends with an outage of the store, one that
// outlasts its removal, and one that a reload forgets or keeps.
func TestQuarantineInTheStore(t *testing.T) {
	key := jdaw.PromptPartKeyOf(service, "bad")
	event := QuarantineSeen{Quarantine: jdaw.Quarantine{Part: jdaw.NewSuspectPart(service, "bad"), Service: service}}
	cases := map[string]struct {
		events                 []jdaw.Event
		isInForce, isRewritten bool
	}{
		"seen":                   {events: []jdaw.Event{event, Synced{}}, isInForce: true},
		"removed":                {events: []jdaw.Event{event, Synced{}, QuarantineGone{Key: key}, Synced{}}},
		"there after a reload":   {events: []jdaw.Event{event, Synced{}, Reloading{Outage: time.Minute}, event, Synced{Reloaded: true}}, isInForce: true},
		"gone after a reload":    {events: []jdaw.Event{event, Synced{}, Reloading{}, Synced{Reloaded: true}}},
		"expired in an outage":   {events: []jdaw.Event{event, Synced{}, Reloading{Outage: 3 * time.Second}, Synced{Reloaded: true}}, isRewritten: true},
		"expired after its end":  {events: []jdaw.Event{event, Synced{}, Reloading{Outage: 3 * time.Second}, event, Synced{Reloaded: true}, QuarantineGone{Key: key}, Synced{}}, isRewritten: true},
		"written again, removed": {events: []jdaw.Event{event, Synced{}, Reloading{Outage: 3 * time.Second}, Synced{Reloaded: true}, event, Synced{}}, isInForce: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newTestMachine("a", "a")
			st := lastState(m.Handle(start, Synced{Reloaded: true}))
			for _, ev := range c.events {
				if next := lastState(m.Handle(start, ev)); next != nil {
					st = next
				}
			}
			_, isInForce := st.Quarantined[key]
			_, isRewritten := st.LapsedQuarantines[key]
			if isInForce != c.isInForce || isRewritten != c.isRewritten {
				t.Errorf("in force %v, to be written again %v, want %v and %v", isInForce, isRewritten, c.isInForce, c.isRewritten)
			}
		})
	}
}

// Guards against a quarantine in the store that other VMs do not understand, and
// against odd entries.
func TestQuarantineEntry(t *testing.T) {
	store := &fakeStore{}
	n := New(Config{
		Self: Member{VM: "a"}, Store: store, Encoder: encoder{}, Decoder: nopDecoder{}, Post: func(jdaw.Event) {}, Log: discardLog(),
	})
	defer n.Close()
	part := jdaw.NewSuspectPart(service, "bad")
	if err := n.writeQuarantine(context.Background(), jdaw.Quarantine{Part: part, Service: service, Crashes: 3}); err != nil {
		t.Fatal(err)
	}
	name := quarantineKey(part.Key)
	ev, err := decodeInternal(jdaw.Change{Key: name, Value: []byte(`{"service":"drafts","part":"bad","crashes":3}`)})
	seen, ok := ev.(QuarantineSeen)
	if err != nil || !ok || seen.Quarantine.Part != part || seen.Quarantine.Service != service {
		t.Errorf("decoded %+v, %v", ev, err)
	}
	if ev, err := decodeInternal(jdaw.Change{Key: name, Removed: true}); err != nil || ev != (QuarantineGone{Key: part.Key}) {
		t.Errorf("a removal is decoded as %+v, %v", ev, err)
	}
	for _, c := range []jdaw.Change{{Key: quarantinePrefix + "no key", Removed: true}, {Key: quarantinePrefix + "xyz", Value: []byte("{}")}} {
		if ev, err := decodeInternal(c); ev != nil || err == nil {
			t.Errorf("%s is decoded as %+v, %v", c.Key, ev, err)
		}
	}
	if ev, err := decodeInternal(jdaw.Change{Key: name, Value: []byte("{")}); err == nil || ev == nil {
		t.Errorf("an odd value is decoded as %+v, %v; want the quarantine and an error", ev, err)
	}
}
