package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/strict"
)

// Timeouts of calls: a change waits up to 6 s for its confirmations, an answer
// as long as its outlet can wait.
const (
	adminTimeout  = 20 * time.Second
	callerTimeout = 2 * time.Minute
)

// httpClient returns a client that trusts the authority in the file ca, or
// those of the system if ca is empty.
func httpClient(ca string, timeout time.Duration) (*http.Client, error) {
	if ca == "" {
		return &http.Client{Timeout: timeout, Transport: strict.New(strict.Config{})}, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, errors.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", ca)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Timeout: timeout, Transport: strict.New(strict.Config{Base: transport})}, nil
}
