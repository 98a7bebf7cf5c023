package owner_test

import (
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/owner"
)

// BenchmarkSaturated measures one release, which serves a waiting request, and
// one request that has to wait, with 1,000 requests waiting.
func BenchmarkSaturated(b *testing.B) {
	const upstreams = 600
	d := startedOwner(b, document(upstreams))
	acquire := owner.AcquireRequested{
		From: "vm1", Incarnation: "inc-vm1", Revision: 5, Pool: poolID,
		Versions: []jdaw.ModelVersion{v1}, Wait: time.Hour,
	}
	request := func(i int) []jdaw.Action {
		acquire.Ticket = uint64(i)
		acquire.Workspace = []jdaw.WorkspaceID{"a", "b", "c"}[i%3]
		return d.m.Handle(d.now, acquire)
	}
	var held []owner.Grant
	i := 0
	for ; len(held) < 2*upstreams; i++ {
		held = append(held, request(i)[0].(owner.Grant))
	}
	for range 1000 {
		i++
		request(i)
	}
	release := owner.CreditsReleased{From: "vm1", Releases: make([]owner.Released, 1)}
	b.ReportAllocs()
	for b.Loop() {
		i++
		g := &held[i*7919%len(held)]
		release.Releases[0] = owner.Released{Credit: g.Credit, Pool: poolID, Upstream: g.Upstream, Outcome: jdaw.OutcomeUnused}
		d.now = d.now.Add(time.Millisecond)
		*g = d.m.Handle(d.now, release)[0].(owner.Grant)
		request(i)
	}
}

// BenchmarkDecision measures one request and one release at 75 % load. The
// bytes per operation must not grow with the number of upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{15, 60, 150, 300, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			doc := document(n)
			for i := range doc.Upstreams {
				doc.Upstreams[i].ColdConcurrent = 8
			}
			d := startedOwner(b, doc)
			var held []owner.Grant
			for i := range 6 * n {
				t := d.request(func(q *owner.AcquireRequested) { q.Prefix = uint64(i%500) + 1 })
				held = append(held, d.mustGrant(t))
			}
			release := owner.CreditsReleased{From: "vm1", Releases: make([]owner.Released, 1)}
			acquire := owner.AcquireRequested{
				From: "vm1", Incarnation: "inc-vm1", Revision: 5, Pool: poolID, Workspace: "a",
				Versions: []jdaw.ModelVersion{v1}, Wait: time.Second,
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				g := &held[i*7919%len(held)]
				release.Releases[0] = owner.Released{
					Credit: g.Credit, Pool: poolID, Upstream: g.Upstream, Version: v1,
					Outcome: jdaw.OutcomeOK, FirstToken: 100 * time.Millisecond,
				}
				d.now = d.now.Add(time.Millisecond)
				d.m.Handle(d.now, release)
				acquire.Ticket = uint64(i)
				acquire.Prefix = uint64(i%500) + 1
				*g = d.m.Handle(d.now, acquire)[0].(owner.Grant)
			}
		})
	}
}
