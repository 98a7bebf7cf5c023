// Package meter creates the metrics of a process.
//
// # Usage
//
//	m, handler, err := meter.New()
//	requests, err := m.Int64Counter("requests")
//	http.Handle("/metrics", handler)
package meter

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// New returns the meter of a process and the handler of /metrics. Each
// process has its own registry, so that several can run in one test.
func New() (metric.Meter, http.Handler, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, nil, errors.Wrap(err, "create metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return provider.Meter("jackdawbarrow"), promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}
