package gate

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observePool serves the numbers of connections to upstreams.
func (p *Process) observePool(m metric.Meter) error {
	_, err := m.Int64ObservableGauge("upstream_connections", metric.WithDescription("connections to upstreams by state"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			stats := p.pool.Stats()
			o.Observe(int64(stats.Idle), metric.WithAttributes(attribute.String("state", "idle")))
			o.Observe(int64(max(stats.Open-stats.Idle, 0)), metric.WithAttributes(attribute.String("state", "inUse")))
			return nil
		}))
	return errors.Wrap(err, "create upstream_connections")
}
