package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Config configures a Transport.
type Config struct {
	// Base makes the requests. The Transport takes it over. Nil stands for a copy of
	// http.DefaultTransport.
	Base *http.Transport
}

// Transport is a http.RoundTripper that fails in place of an invalid response.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport.
func New(cfg Config) *Transport {
	if cfg.Base == nil {
		cfg.Base = http.DefaultTransport.(*http.Transport).Clone()
	}
	return &Transport{base: cfg.Base}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // closes the connection, since the body is unread
		return nil, errors.Wrapf(err, "response of %s", r.URL.Host)
	}
	return resp, nil
}

// CloseIdleConnections is called by the method of that name of http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
