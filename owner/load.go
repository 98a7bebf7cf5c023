package owner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pollTimeout is below the poll period, so that polls of one upstream do
	// not overlap.
	pollTimeout = 500 * time.Millisecond
	// maxReportBytes bounds a load report.
	maxReportBytes = 64 << 10
)

// LoadDocument is the JSON that an upstream serves at /v1/load.
type LoadDocument struct {
	Incarnation   string    `json:"incarnation"`
	UptimeSeconds float64   `json:"uptimeSeconds"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	Capacity      int       `json:"capacity"`
	Versions      []string  `json:"versions"`
	Leaving       bool      `json:"leaving"`
	MeasuredAt    time.Time `json:"measuredAt"`
	// CacheEvents are recent changes of the prefix cache, if the engine
	// reports them. They may repeat those of the last report.
	CacheEvents []CacheChange `json:"cacheEvents,omitempty"`
}

// FetchLoad reads the load report of an upstream.
func FetchLoad(ctx context.Context, client *http.Client, address string) (LoadDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+"/v1/load", nil)
	if err != nil {
		return LoadDocument{}, errors.Wrap(err, "load report")
	}
	resp, err := client.Do(r)
	if err != nil {
		return LoadDocument{}, errors.Wrap(err, "load report")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return LoadDocument{}, errors.Wrap(err, "load report")
	}
	if resp.StatusCode != http.StatusOK {
		return LoadDocument{}, errors.Newf("load report of %s: status %d", address, resp.StatusCode)
	}
	var doc LoadDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return LoadDocument{}, errors.Wrapf(err, "load report of %s", address)
	}
	return doc, nil
}

// event converts the report to an event.
func (d LoadDocument) event(a PollLoad) LoadReported {
	return LoadReported{
		Pool:        a.Pool,
		Upstream:    a.Upstream,
		Incarnation: d.Incarnation,
		Uptime:      time.Duration(d.UptimeSeconds * float64(time.Second)),
		Running:     d.Running,
		Queued:      d.Queued,
		Capacity:    d.Capacity,
		Versions:    parseVersions(d.Versions),
		Leaving:     d.Leaving,
		MeasuredAt:  d.MeasuredAt,
	}
}
