package serve

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"jackdawbarrow"
)

// gauges are the figures of control state; docs/metrics.md lists them.
type gauges struct {
	members, revision, isolated, suspensions, inUse, limit, waiting metric.Int64ObservableGauge
}

// registerGauges has the figures read at each scrape, from what control
// publishes for traffic.
func (p *Process) registerGauges(meter metric.Meter) error {
	var g gauges
	var all []metric.Observable
	var failed error
	gauge := func(to *metric.Int64ObservableGauge, name, unit string) {
		made, err := meter.Int64ObservableGauge(name, metric.WithUnit(unit))
		failed = errors.CombineErrors(failed, err)
		*to = made
		all = append(all, made)
	}
	gauge(&g.members, "jackdaw.peers.members", "{VM}")
	gauge(&g.isolated, "jackdaw.peers.isolated", "1")
	gauge(&g.revision, "jackdaw.config.revision", "1")
	gauge(&g.suspensions, "jackdaw.config.suspensions", "{suspension}")
	gauge(&g.inUse, "jackdaw.owner.inUse", "{credit}")
	gauge(&g.limit, "jackdaw.owner.limit", "{credit}")
	gauge(&g.waiting, "jackdaw.owner.waiting", "{request}")
	if failed != nil {
		return errors.Wrap(failed, "make gauges")
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		p.observe(g, o)
		return nil
	}, all...)
	return errors.Wrap(err, "register gauges")
}

func (p *Process) observe(g gauges, o metric.Observer) {
	view := p.peers.View()
	count := map[jdaw.MemberState]int64{jdaw.MemberAlive: 0, jdaw.MemberSuspect: 0, jdaw.MemberDraining: 0, jdaw.MemberDead: 0}
	for _, m := range view.Members {
		count[m.State]++
	}
	for state, n := range count {
		o.ObserveInt64(g.members, n, metric.WithAttributes(attribute.String("state", string(state))))
	}
	isolated := int64(0)
	if view.Isolated {
		isolated = 1
	}
	o.ObserveInt64(g.isolated, isolated)
	if snap := p.spread.Snapshot(); snap != nil {
		o.ObserveInt64(g.revision, int64(snap.Revision()))
		o.ObserveInt64(g.suspensions, int64(len(snap.Suspensions)))
	}
	for _, s := range p.owner.Stats() {
		pool := metric.WithAttributes(attribute.String("pool", s.Pool.String()))
		o.ObserveInt64(g.inUse, int64(s.InUse), pool)
		o.ObserveInt64(g.limit, int64(s.Limit), pool)
		o.ObserveInt64(g.waiting, int64(s.Waiting), pool)
	}
}
