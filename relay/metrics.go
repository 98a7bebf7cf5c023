package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"jackdawbarrow"
)

// Metrics counts requests by route and result. A nil value counts nothing.
type Metrics struct {
	requests metric.Int64Counter
	duration metric.Float64Histogram
	notices  metric.Int64Counter
	crashes  metric.Int64Counter
	speed    metric.Float64Gauge
	slowdown metric.Float64Gauge
	hedges   metric.Int64Counter
	admitted metric.Int64Counter
	waiting  metric.Int64Gauge
	waits    metric.Float64Histogram
}

// NewMetrics creates the instruments.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	requests, err := m.Int64Counter("relay_requests", metric.WithDescription("requests by route and result code"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_requests")
	}
	duration, err := m.Float64Histogram("relay_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a request's arrival to the end of its answer"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_duration")
	}
	notices, err := m.Int64Counter("relay_upstream_notices", metric.WithDescription("notices of upstreams about themselves by kind"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_upstream_notices")
	}
	crashes, err := m.Int64Counter("relay_crashed_requests",
		metric.WithDescription("requests at an upstream whose process crashed before the end of their answer"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_crashed_requests")
	}
	speed, err := m.Float64Gauge("relay_upstream_speed",
		metric.WithDescription("learned speed of the slowest and the fastest upstream of a service, 1 for the usual one"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_upstream_speed")
	}
	slowdown, err := m.Float64Gauge("relay_upstream_slowdown",
		metric.WithDescription("largest slowdown that an upstream of a service stated lately, 1 for none"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_upstream_slowdown")
	}
	hedges, err := m.Int64Counter("relay_hedges", metric.WithDescription("hedges by service and result: sent, won, wasted"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_hedges")
	}
	admitted, err := m.Int64Counter("relay_queue_decisions",
		metric.WithDescription("decisions about plain requests that asked for a slot, by service and result"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_queue_decisions")
	}
	waiting, err := m.Int64Gauge("relay_queue_waiting", metric.WithDescription("requests that wait for a slot, by service"))
	if err != nil {
		return nil, errors.Wrap(err, "create relay_queue_waiting")
	}
	waits, err := m.Float64Histogram("relay_queue_wait", metric.WithUnit("s"),
		metric.WithDescription("time that granted requests waited for a slot, by service"))
	return &Metrics{
		requests: requests, duration: duration, notices: notices, crashes: crashes, speed: speed, slowdown: slowdown, hedges: hedges,
		admitted: admitted, waiting: waiting, waits: waits,
	}, errors.Wrap(err, "create relay_queue_wait")
}

// speeds records the speeds of the upstreams of a service.
func (m *Metrics) speeds(service string, v serviceSpeeds) {
	if m == nil {
		return
	}
	ctx, name := context.Background(), attribute.String("service", service)
	m.speed.Record(ctx, v.min, metric.WithAttributes(name, attribute.String("bound", "min")))
	m.speed.Record(ctx, v.max, metric.WithAttributes(name, attribute.String("bound", "max")))
	m.slowdown.Record(ctx, v.maxSlowdown, metric.WithAttributes(name))
}

// hedged counts a hedge when it is sent, and by its result when the request ends.
func (m *Metrics) hedged(service string, result hedgeResult) {
	if m != nil {
		m.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("result", string(result))))
	}
}

// crashed counts a request at an upstream that crashed.
func (m *Metrics) crashed() {
	if m != nil {
		m.crashes.Add(context.Background(), 1)
	}
}

// decided counts a decision of the queue: "granted", or why the request got no place.
func (m *Metrics) decided(service, result string, waiting int, waited time.Duration) {
	if m == nil {
		return
	}
	of := attribute.String("service", service)
	m.admitted.Add(context.Background(), 1, metric.WithAttributes(of, attribute.String("result", result)))
	m.waiting.Record(context.Background(), int64(waiting), metric.WithAttributes(of))
	if result == resultGranted {
		m.waits.Record(context.Background(), waited.Seconds(), metric.WithAttributes(of))
	}
}

// noticed counts a notice of an upstream.
func (m *Metrics) noticed(kind noticeKind) {
	if m == nil {
		return
	}
	m.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}

func (m *Metrics) observe(route string, code jdaw.Code, gone bool, took time.Duration) {
	if m == nil {
		return
	}
	result := strconv.Itoa(int(code))
	if gone {
		result = "callerGone"
	}
	attrs := metric.WithAttributes(attribute.String("route", route), attribute.String("result", result))
	m.requests.Add(context.Background(), 1, attrs)
	m.duration.Record(context.Background(), took.Seconds(), attrs)
}
