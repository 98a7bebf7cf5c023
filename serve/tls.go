package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/config"
)

// certificate loads a key pair again when its files change, so that a renewed
// certificate needs no restart.
type certificate struct {
	pair config.KeyPair

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified time.Time
}

func newCertificate(pair config.KeyPair) (*certificate, error) {
	c := &certificate{pair: pair}
	_, err := c.get()
	return c, err
}

func (c *certificate) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modified, err := newestChange(c.pair.Cert, c.pair.Key)
	if err == nil && c.loaded != nil && modified.Equal(c.modified) {
		return c.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(c.pair.Cert, c.pair.Key)
	if err != nil {
		// A half-written renewal must not end service: the old pair stays.
		if c.loaded != nil {
			return c.loaded, nil
		}
		return nil, errors.Wrap(err, "load TLS key pair")
	}
	c.loaded, c.modified = &pair, modified
	return c.loaded, nil
}

func newestChange(files ...string) (time.Time, error) {
	var newest time.Time
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// serverTLS returns the TLS configuration of a listener, nil for plain TCP.
func serverTLS(pair config.KeyPair) (*tls.Config, error) {
	if !pair.IsSet() {
		return nil, nil
	}
	cert, err := newCertificate(pair)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.get() },
	}, nil
}

// peerTLS returns the configurations of both sides of connections between
// VMs, nil for plain TCP. Each side must present a certificate of the CA.
func peerTLS(s config.TLSSettings) (server, client *tls.Config, err error) {
	if !s.Peers.IsSet() {
		return nil, nil, nil
	}
	cert, err := newCertificate(s.Peers)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(s.PeersCA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read CA of peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Newf("%s holds no certificate", s.PeersCA)
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.get() },
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.get() },
	}
	return server, client, nil
}
