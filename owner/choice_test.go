package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
	"jackdawbarrow/route"
)

const (
	choiceUpstreams = 12
	choiceSlots     = 8
	choiceSeeds     = 8
	choicePrefixes  = 300
	// choiceCache is the number of prefixes that an upstream caches, so that
	// all upstreams together can cache more than there are.
	choiceCache = 40
	// First-token times with a cached and with an absent prefix.
	choiceHit  = 80 * time.Millisecond
	choiceMiss = 400 * time.Millisecond
	// choiceDecode is the mean time after the first token.
	choiceDecode = 1600 * time.Millisecond
	choiceTime   = 300 * time.Second
	choiceWarmUp = 30 * time.Second
)

// BenchmarkChoice compares the choosers at 80 % of the capacity without cache
// hits, with load reports one second late. "credits" gives all choosers the
// owner's exact counts and limits; "reports" has no owner, so each chooser gets
// only the late load reports, and work beyond the slots of an upstream queues
// there.
func BenchmarkChoice(b *testing.B) {
	for range b.N {
		if b.N > 1 {
			b.Skip("one run is the whole measurement")
		}
		var rows []string
		for _, mode := range []string{"credits", "reports"} {
			for _, name := range route.Names() {
				rows = append(rows, measureChoice(b, mode, name))
			}
		}
		fmt.Println("\nmode     chooser           first token ms: mean, p50, p99 median (lowest to highest of the seeds), hits")
		for _, row := range rows {
			fmt.Println(row)
		}
	}
}

func measureChoice(b *testing.B, mode string, name route.Name) string {
	var p50, p99 []time.Duration
	hits, total := 0, 0
	mean, count := time.Duration(0), 0
	for seed := range uint64(choiceSeeds) {
		run := &choiceRun{rng: rand.New(rand.NewPCG(seed, 99))}
		if mode == "credits" {
			run.withOwner(b, name, seed)
		} else {
			run.withReports(b, name, seed)
		}
		p50 = append(p50, quantile(run.firsts, 0.5))
		p99 = append(p99, quantile(run.firsts, 0.99))
		for _, first := range run.firsts {
			mean += first
			count++
		}
		hits += run.hits
		total += run.requests
	}
	slices.Sort(p99)
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("%-8s %-17s %6d %6d %6d (%d to %d) %5.1f %%", mode, name, ms(mean/time.Duration(count)), ms(quantile(p50, 0.5)),
		ms(quantile(p99, 0.5)), ms(p99[0]), ms(p99[len(p99)-1]), 100*float64(hits)/float64(total))
}

// choiceRun is one run with one seed.
type choiceRun struct {
	rng      *rand.Rand
	firsts   []time.Duration
	hits     int
	requests int
}

// arrivals returns a generator of requests: each call returns the time until the
// next one, its prefix and its decoding time. Prefixes are Zipf distributed.
func (c *choiceRun) arrivals() func() (time.Duration, uint64, time.Duration) {
	zipf := rand.NewZipf(c.rng, 1.1, 4, choicePrefixes-1)
	capacity := choiceUpstreams * choiceSlots / (choiceMiss + choiceDecode).Seconds()
	return func() (time.Duration, uint64, time.Duration) {
		gap := time.Duration(c.rng.ExpFloat64() / (0.8 * capacity) * float64(time.Second))
		decode := time.Duration((0.5 + c.rng.Float64()) * float64(choiceDecode))
		return gap, mixPrefix(zipf.Uint64()), decode
	}
}

// mixPrefix spreads the prefix numbers as a hash of the prompt does.
func mixPrefix(n uint64) uint64 { return (n + 1) * 0x9e3779b97f4a7c15 }

// firstToken uses and updates the prefix cache of an upstream.
func (c *choiceRun) firstToken(p *simUpstream, prefix uint64) time.Duration {
	c.requests++
	i := slices.Index(p.cache, prefix)
	if i >= 0 {
		c.hits++
		p.cache = append(slices.Delete(p.cache, i, i+1), prefix)
		return choiceHit
	}
	if len(p.cache) >= choiceCache {
		p.cache = slices.Delete(p.cache, 0, 1)
	}
	p.cache = append(p.cache, prefix)
	return choiceMiss
}

func (c *choiceRun) withOwner(b *testing.B, name route.Name, seed uint64) {
	doc := document(choiceUpstreams)
	for i := range doc.Upstreams {
		doc.Upstreams[i].MaxConcurrent = choiceSlots
		doc.Upstreams[i].ColdConcurrent = 2
	}
	s := newSim(b, seed, doc, 1)
	vm := s.vms[0]
	vm.d.m = owner.New(owner.Config{Self: "vm0", Incarnation: "inc-vm0", NewChooser: func() route.Chooser {
		chooser, err := route.New(name, seed)
		if err != nil {
			b.Fatal(err)
		}
		return chooser
	}})
	s.post(0, config.Adopted{Snapshot: s.snap})
	s.setView(0, view("vm0", 1))
	s.reportLag = time.Second
	s.firstRun = c.firstToken
	next := c.arrivals()
	var arrive func()
	arrive = func() {
		gap, prefix, decode := next()
		s.request(0, owner.AcquireRequested{Workspace: "a", Wait: time.Minute, Prefix: prefix}, decode,
			func(first time.Duration, refused *owner.Refuse) {
				if refused == nil && s.now.After(epoch.Add(choiceWarmUp)) {
					c.firsts = append(c.firsts, first)
				}
			})
		s.after(gap, arrive)
	}
	s.after(3*time.Second, arrive)
	s.runUntil(choiceTime)
}

// withReports runs without an owner: the chooser gets loads that are one to
// two seconds old, and upstreams queue requests beyond their slots.
func (c *choiceRun) withReports(b *testing.B, name route.Name, seed uint64) {
	chooser, err := route.New(name, seed)
	if err != nil {
		b.Fatal(err)
	}
	s := newSim(b, seed, config.Document{Revision: 1}, 0)
	candidates := make([]route.Candidate, choiceUpstreams)
	upstreams := make([]*simUpstream, choiceUpstreams)
	queues := make([][]func(), choiceUpstreams)
	recent := make([]map[uint64]time.Time, choiceUpstreams)
	for i := range upstreams {
		upstreams[i] = &simUpstream{}
		recent[i] = map[uint64]time.Time{}
		candidates[i] = route.Candidate{Hash: jdaw.RendezvousWeight("u", jdaw.VMID(fmt.Sprint(i))), Limit: 1 << 20, Usable: true}
	}
	var report func()
	report = func() {
		for i, p := range upstreams {
			load := p.running + p.queued
			s.after(time.Second, func() { candidates[i].InUse = load })
		}
		s.after(time.Second, report)
	}
	report()
	start := func(i int, prefix uint64, decode time.Duration, arrived time.Time) {
		p := upstreams[i]
		first := c.firstToken(p, prefix)
		if s.now.After(epoch.Add(choiceWarmUp)) {
			c.firsts = append(c.firsts, s.now.Sub(arrived)+first)
		}
		s.after(first+decode, func() {
			p.running--
			if len(queues[i]) == 0 {
				return
			}
			run := queues[i][0]
			queues[i] = queues[i][1:]
			p.queued--
			p.running++
			run()
		})
	}
	next := c.arrivals()
	var arrive func()
	arrive = func() {
		gap, prefix, decode := next()
		for i := range candidates {
			candidates[i].Cached = 0
			if _, ok := recent[i][prefix]; ok {
				candidates[i].Cached = 1
			}
		}
		i := chooser.Choose(prefix, candidates)
		recent[i][prefix] = s.now
		arrived := s.now
		if p := upstreams[i]; p.running < choiceSlots {
			p.running++
			start(i, prefix, decode, arrived)
		} else {
			p.queued++
			queues[i] = append(queues[i], func() { start(i, prefix, decode, arrived) })
		}
		s.after(gap, arrive)
	}
	s.after(0, arrive)
	s.runUntil(choiceTime)
}
