package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func snapshot(perMinute int) *config.Snapshot {
	doc := config.Document{
		Revision: 1, LoadsPerMinute: perMinute,
		DataCentres: []config.DataCentre{{Name: "oban", Region: "r"}},
		Models: []config.Model{{Name: "m", Kind: "lm", Versions: []config.Version{
			{Name: "v1", State: config.VersionActive}, {Name: "v2", State: config.VersionActive}, {Name: "v3", State: config.VersionWithdrawn},
		}}},
	}
	for i := range 4 {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: jdaw.UpstreamID(fmt.Sprintf("e%d", i)), Kind: "lm", Protocol: config.ProtocolEngine, DataCentre: "oban",
			Address: "http://127.0.0.1:1", MaxConcurrent: 4, ColdConcurrent: 1,
			Placement: []string{"m@v1", "m@v2", "m@v3"}, ChecksFence: i%2 == 0,
		})
	}
	return config.NewSnapshot(doc, nil)
}

func view(self jdaw.VMID, alive ...jdaw.VMID) jdaw.ViewChanged {
	v := &jdaw.View{Self: self}
	for _, vm := range alive {
		v.Members = append(v.Members, jdaw.Member{VM: vm, Region: "r", State: jdaw.MemberAlive})
	}
	return jdaw.ViewChanged{View: v}
}

// simulation runs two issuers on virtual time with the key-value service's
// lease and fake engines.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	issuers []*issuer
	holder  *issuer
	renewed time.Time // last renewal at the key-value service
	fence   uint64
	engines map[jdaw.UpstreamID]*fakeEngine
	queue   []delayed
	loads   []time.Time
}

type issuer struct {
	vm     jdaw.VMID
	m      *Machine
	paused time.Time // until this time
	cut    time.Time // without the key-value service until this time
	inbox  []jdaw.Event
}

type fakeEngine struct {
	versions map[jdaw.ModelVersion]bool
	fence    uint64 // highest fencing token seen
	checks   bool
	stale    int // executed orders of an earlier issuer
}

type delayed struct {
	at time.Time
	do func()
}

func newSimulation(t *testing.T, seed uint64, perMinute int) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, engines: map[jdaw.UpstreamID]*fakeEngine{}}
	snap := snapshot(perMinute)
	for _, u := range snap.Doc.Upstreams {
		w.engines[u.ID] = &fakeEngine{versions: map[jdaw.ModelVersion]bool{{Model: "m", Version: "v3"}: true}, checks: u.ChecksFence}
	}
	for _, vm := range []jdaw.VMID{"a", "b"} {
		i := &issuer{vm: vm, m: NewMachine(MachineConfig{Self: vm, Region: "r"})}
		i.inbox = append(i.inbox, view(vm, "a", "b"), config.Adopted{Snapshot: snap})
		w.issuers = append(w.issuers, i)
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) {
	w.queue = append(w.queue, delayed{at: w.now.Add(d), do: do})
}

// run advances the time tick by tick.
func (w *simulation) run(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		due := w.queue
		w.queue = nil
		for _, q := range due {
			if q.at.After(w.now) {
				w.queue = append(w.queue, q)
				continue
			}
			q.do()
		}
		if each != nil {
			each()
		}
		for _, i := range w.issuers {
			w.step(i)
		}
	}
}

func (w *simulation) step(i *issuer) {
	if w.now.Before(i.paused) {
		return
	}
	events := append([]jdaw.Event{jdaw.Tick{Gap: 100 * time.Millisecond}}, i.inbox...)
	i.inbox = nil
	for _, ev := range events {
		for _, a := range i.m.Handle(w.now, ev) {
			w.execute(i, a)
		}
	}
}

func (w *simulation) latency() time.Duration {
	return time.Duration(w.rng.IntN(400)) * time.Millisecond
}

func (w *simulation) isExpired() bool { return w.now.Sub(w.renewed) >= leaseTime }

func (w *simulation) execute(i *issuer, a jdaw.Action) {
	sentAt := w.now
	switch a := a.(type) {
	case TakeLease:
		w.after(w.latency(), func() {
			ok := !w.now.Before(i.cut) && (w.holder == nil || w.isExpired())
			if ok {
				w.fence++
				w.holder, w.renewed = i, w.now
			}
			i.inbox = append(i.inbox, LeaseAnswered{Held: ok, Lease: string(i.vm), Fence: w.fence, SentAt: sentAt})
		})
	case RenewLease:
		w.after(w.latency(), func() {
			if w.now.Before(i.cut) {
				i.inbox = append(i.inbox, LeaseAnswered{Held: true, SentAt: sentAt}) // what Node posts after an error
				return
			}
			ok := w.holder == i && !w.isExpired()
			if ok {
				w.renewed = w.now
			}
			i.inbox = append(i.inbox, LeaseAnswered{Held: ok, Lease: a.Lease, SentAt: sentAt})
		})
	case DropLease:
		w.after(w.latency(), func() {
			if w.holder == i {
				w.holder = nil
			}
		})
	case ReadVersions:
		w.after(w.latency(), func() {
			read := VersionsRead{Upstream: a.Upstream, OK: true}
			for v := range w.engines[a.Upstream].versions {
				read.Versions = append(read.Versions, v)
			}
			i.inbox = append(i.inbox, read)
		})
	case SendOrder:
		w.send(i, a.Order)
	}
}

// send delivers an order after a random delay below the order timeout.
func (w *simulation) send(i *issuer, o Order) {
	if !w.now.Before(o.ValidUntil) {
		i.inbox = append(i.inbox, OrderAnswered{Upstream: o.Upstream, Result: OrderUnsent})
		return
	}
	w.after(time.Duration(w.rng.Int64N(int64(orderTimeout))), func() {
		e := w.engines[o.Upstream]
		result := OrderDone
		switch {
		case o.Fence < e.fence && e.checks:
			result = OrderFenced
		case o.Fence < e.fence:
			e.stale++
		}
		if result == OrderDone {
			e.fence = max(e.fence, o.Fence)
			e.versions[o.Version] = o.Kind == KindLoad
			if o.Kind == KindUnload {
				delete(e.versions, o.Version)
			} else {
				w.loads = append(w.loads, w.now)
			}
		}
		i.inbox = append(i.inbox, OrderAnswered{Upstream: o.Upstream, Result: result})
	})
}

// injectFaults changes the elected issuer, pauses issuers, disconnects them
// from the key-value service, and clears the versions of engines so that orders
// are always due.
func (w *simulation) injectFaults() {
	if w.rng.IntN(150) == 0 {
		alive := [][]jdaw.VMID{{"a"}, {"b"}, {"a", "b"}}[w.rng.IntN(3)]
		for _, i := range w.issuers {
			i.inbox = append(i.inbox, view(i.vm, alive...))
		}
	}
	i := w.issuers[w.rng.IntN(2)]
	switch w.rng.IntN(400) {
	case 0:
		i.paused = w.now.Add(time.Duration(w.rng.IntN(40)) * time.Second)
	case 1, 2:
		// The other VM takes over the lease while this one keeps running.
		i.cut = w.now.Add(40 * time.Second)
		for _, other := range w.issuers {
			alive := []jdaw.VMID{"a", "b"}
			if other != i {
				alive = []jdaw.VMID{other.vm}
			}
			other.inbox = append(other.inbox, view(other.vm, alive...))
		}
	}
	if w.rng.IntN(10) == 0 {
		for _, e := range w.engines {
			clear(e.versions)
		}
	}
}

// Guards against an order of an earlier issuer that takes effect at an engine
// that ignores fencing tokens: the lease changes hands while orders are in
// flight, and its holder is paused or loses the key-value service.
func TestOrdersOfTwoIssuersDoNotCross(t *testing.T) {
	leases := uint64(0)
	for seed := range uint64(30) {
		w := newSimulation(t, seed, 600)
		w.run(20*time.Minute, w.injectFaults)
		for id, e := range w.engines {
			if e.stale > 0 {
				t.Errorf("seed %d: %s executed %d orders of an earlier issuer", seed, id, e.stale)
			}
		}
		leases += w.fence
	}
	if leases < 100 {
		t.Errorf("%d changes of the issuer are too few for a meaningful test", leases)
	}
}

// Guards against engines that never reach their placement, and against a
// withdrawn version that is loaded or not unloaded.
func TestPlacementIsReached(t *testing.T) {
	w := newSimulation(t, 1, 60)
	w.run(3*time.Minute, nil)
	for id, e := range w.engines {
		want := map[jdaw.ModelVersion]bool{{Model: "m", Version: "v1"}: true, {Model: "m", Version: "v2"}: true}
		if fmt.Sprint(e.versions) != fmt.Sprint(want) {
			t.Errorf("%s has %v, want %v", id, e.versions, want)
		}
	}
}

// Guards against a change of issuer that doubles the load rate at the weight
// store.
func TestLoadsStayWithinTheRate(t *testing.T) {
	const perMinute = 6
	for seed := range uint64(20) {
		w := newSimulation(t, seed, perMinute)
		alive := []jdaw.VMID{"a", "b"}
		w.run(10*time.Minute, func() {
			// The issuer changes about every 10 s.
			if w.rng.IntN(100) == 0 {
				alive[0], alive[1] = alive[1], alive[0]
				for _, i := range w.issuers {
					i.inbox = append(i.inbox, view(i.vm, alive[0]))
				}
			}
			for _, e := range w.engines {
				clear(e.versions)
			}
		})
		if w.fence < 10 || len(w.loads) < 5 {
			t.Fatalf("seed %d: %d changes of the issuer, %d loads: too few for a meaningful test", seed, w.fence, len(w.loads))
		}
		for i, at := range w.loads {
			n := 0
			for _, other := range w.loads[i:] {
				if other.Sub(at) < time.Minute {
					n++
				}
			}
			// Orders take up to 5 s to arrive, so a minute at the engines may
			// contain those sent within 65 s, plus the burst of the token bucket.
			if limit := perMinute*65/60 + 1 + maxBurst; n > limit {
				t.Fatalf("seed %d: %d loads in a minute, more than %d", seed, n, limit)
			}
		}
	}
}
