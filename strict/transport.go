package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

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
	cfg.Base.DialContext = wrapDial(cfg.Base.DialContext)
	return &Transport{base: cfg.Base}
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// wrapDial returns a dialer whose connections are of type *Conn.
func wrapDial(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r.WithContext(withHeadScan(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // closes the connection, since the body is unread
		return nil, errors.Wrapf(err, "response of %s", r.URL.Host)
	}
	return resp, nil
}

// withHeadScan makes the connection that is chosen for a request scan the response's
// head. Under TLS the connection is of another type, and the Conn below it sees no text.
func withHeadScan(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.BeginHead(nil) // fails only for bytes read already
		}
	}})
}

// CloseIdleConnections is called by the method of that name of http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
