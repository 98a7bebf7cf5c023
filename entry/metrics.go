package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"jackdawbarrow"
)

// metrics holds the instruments listed in the package comment.
type metrics struct {
	requests    metric.Int64Counter
	firstToken  metric.Float64Histogram
	duration    metric.Float64Histogram
	tokens      metric.Int64Counter
	retries     metric.Int64Counter
	resumes     metric.Int64Counter
	escalations metric.Int64Counter
	inProgress  metric.Int64UpDownCounter
}

// firstTokenBounds has a bound at 1.1 s, the target for the first token.
var firstTokenBounds = metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.1, 2, 4, 8, 16)

// newMetrics creates the instruments. An instrument that the meter rejects is
// replaced by a no-op: a metrics error must not prevent a VM from serving.
func newMetrics(meter metric.Meter) metrics {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := metrics{
		requests: noop.Int64Counter{}, firstToken: noop.Float64Histogram{}, duration: noop.Float64Histogram{},
		tokens: noop.Int64Counter{}, retries: noop.Int64Counter{}, resumes: noop.Int64Counter{},
		escalations: noop.Int64Counter{}, inProgress: noop.Int64UpDownCounter{},
	}
	counter := func(to *metric.Int64Counter, name, unit string) {
		if c, err := meter.Int64Counter(name, metric.WithUnit(unit)); err == nil {
			*to = c
		}
	}
	counter(&m.requests, "jackdaw.entry.requests", "{request}")
	counter(&m.tokens, "jackdaw.entry.tokens", "{token}")
	counter(&m.retries, "jackdaw.entry.retries", "{attempt}")
	counter(&m.resumes, "jackdaw.entry.resumes", "{stream}")
	counter(&m.escalations, "jackdaw.entry.escalations", "{step}")
	if h, err := meter.Float64Histogram("jackdaw.entry.firstToken", metric.WithUnit("s"), firstTokenBounds); err == nil {
		m.firstToken = h
	}
	if h, err := meter.Float64Histogram("jackdaw.entry.duration", metric.WithUnit("s"), firstTokenBounds); err == nil {
		m.duration = h
	}
	if c, err := meter.Int64UpDownCounter("jackdaw.entry.inProgress", metric.WithUnit("{request}")); err == nil {
		m.inProgress = c
	}
	return m
}

func (m metrics) progress(ctx context.Context, n int64) { m.inProgress.Add(ctx, n) }

func (m metrics) ended(ctx context.Context, api string, code jdaw.Code, took time.Duration) {
	byAPI := attribute.String("api", api)
	m.requests.Add(ctx, 1, metric.WithAttributes(byAPI, attribute.String("code", code.String())))
	m.duration.Record(ctx, took.Seconds(), metric.WithAttributes(byAPI))
}

func (m metrics) used(ctx context.Context, prompt, output int) {
	m.tokens.Add(ctx, int64(prompt), metric.WithAttributes(attribute.String("direction", "prompt")))
	m.tokens.Add(ctx, int64(output), metric.WithAttributes(attribute.String("direction", "output")))
}

func (m metrics) resumed(ctx context.Context, way string) {
	m.resumes.Add(ctx, 1, metric.WithAttributes(attribute.String("way", way)))
}
