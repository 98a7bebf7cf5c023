package serve_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/serve"
	"jackdawbarrow/wire"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, key: key, file: filepath.Join(t.TempDir(), "ca.pem"), pool: x509.NewCertPool()}
	a.cert, _ = x509.ParseCertificate(der)
	a.pool.AddCert(a.cert)
	a.write(a.file, "CERTIFICATE", der)
	return a
}

// issue writes a key pair; serial tells certificates apart.
func (a *authority) issue(pair config.KeyPair, serial int64) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(pair.Key, "EC PRIVATE KEY", keyDER)
	a.write(pair.Cert, "CERTIFICATE", der)
}

func (a *authority) write(file, kind string, der []byte) {
	a.t.Helper()
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, b, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// Guards against VMs that talk to a peer without a certificate, against plain
// text towards callers, and against a renewed certificate that needs a restart.
func TestTLS(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	pair := config.KeyPair{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	ca.issue(pair, 2)
	shape := demo.Authority()
	shape.VMs, shape.Engines, shape.Plains = 2, 1, 1
	ctx := context.Background()
	standIns, err := demo.StartStandIns(ctx, shape, demo.EngineTiming{Tokens: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer standIns.Close()
	var vms []*serve.Process
	for i := range shape.VMs {
		s := standIns.Settings(i)
		s.TLS = config.TLSSettings{Callers: pair, Admin: pair, Peers: pair, PeersCA: ca.file}
		log := logrus.New()
		log.SetLevel(logrus.ErrorLevel)
		p, err := serve.New(serve.Config{Settings: s, Log: log})
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		standIns.VMList.SetVM(demo.ListedVM(p.Settings()))
		vms = append(vms, p)
	}
	client := &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.pool}, DisableKeepAlives: true},
	}
	caller := demo.NewCaller([]string{vms[0].Settings().Advertise.Callers})
	caller.HTTP = client
	request := demo.Request{
		Key: standIns.Secrets.Workspaces["heats"], Method: http.MethodPost, Path: "/v1/chat/completions",
		Stream: true, Repeatable: true, Body: demo.ChatBody(shape.Models[0].Name, true, "", "Hello"),
	}
	// A request needs copies on the other VM, so an answer shows that the two
	// VMs have authenticated each other.
	within(t, 20*time.Second, "an answer over TLS", func() bool {
		reply, err := caller.Do(ctx, request)
		return err == nil && reply.Code == jdaw.CodeOK
	})
	checkPlainPeerRefused(t, vms[0].Settings().Listen.Peers)

	ca.issue(pair, 3)
	within(t, 10*time.Second, "the renewed certificate", func() bool {
		resp, err := client.Get(vms[0].Settings().Advertise.Callers + "/healthz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64() == 3
	})
}

func checkPlainPeerRefused(t *testing.T, addr string) {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := wire.NewPeerClient(conn).Probe(ctx, &wire.ProbeRequest{Header: &wire.Header{Vm: "stranger"}}); err == nil {
		t.Error("a peer without a certificate was answered")
	}
}

func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
