package serve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"jackdawbarrow"
	"jackdawbarrow/peers"
	"jackdawbarrow/wire"
)

// listeners are the open addresses of a process.
type listeners struct {
	callers, peers, admin net.Listener
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.callers, l.peers, l.admin} {
		if x != nil {
			_ = x.Close() // nothing was accepted yet
		}
	}
}

// listen opens the addresses and writes the ports that were chosen into the
// settings, so that port 0 can be used in tests and in the demo.
func (p *Process) listen() (*listeners, error) {
	l := &listeners{}
	s := &p.settings
	var err error
	if l.callers, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if l.peers, err = net.Listen("tcp", s.Listen.Peers); err != nil {
		l.close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	if s.Listen.Admin != "" {
		if l.admin, err = net.Listen("tcp", s.Listen.Admin); err != nil {
			l.close()
			return nil, errors.Wrap(err, "listen for administration")
		}
		s.Listen.Admin = l.admin.Addr().String()
	}
	s.Listen.Callers = l.callers.Addr().String()
	s.Listen.Peers = l.peers.Addr().String()
	*s = s.WithDefaults()
	return l, nil
}

// buildPeers makes the node of the member table and the gRPC server.
func (p *Process) buildPeers(inc jdaw.Incarnation) error {
	s := p.settings
	server, client, err := peerTLS(s.TLS)
	if err != nil {
		return err
	}
	p.peers = peers.New(peers.Config{
		Self: jdaw.Member{
			VM: s.VM, Incarnation: inc, DataCentre: s.DataCentre, Region: s.Region,
			PeerAddr: s.Advertise.Peers, EntryAddr: s.Advertise.Callers,
		},
		Seeds: s.Seeds, ListURL: s.VMList, Post: p.post, Log: p.log, TLS: client, LocalAddr: s.Listen.Peers,
	})
	options := append(peers.ServerOptions(), grpc.ChainUnaryInterceptor(p.observeHeader))
	if server != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(server)))
	}
	p.grpc = grpc.NewServer(options...)
	return nil
}

// observeHeader takes the clock and the revision of every message that arrives.
func (p *Process) observeHeader(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if m, ok := req.(interface{ GetHeader() *wire.Header }); ok {
		p.peers.Observe(m.GetHeader())
	}
	return handle(ctx, req)
}

// start serves the three addresses.
func (p *Process) start(l *listeners) error {
	wire.RegisterPeerServer(p.grpc, &peerServer{p: p})
	callers, err := serverTLS(p.settings.TLS.Callers)
	if err != nil {
		return err
	}
	adminTLS, err := serverTLS(p.settings.TLS.Admin)
	if err != nil {
		return err
	}
	p.wg.Go(func() { _ = p.grpc.Serve(l.peers) }) // ends with Close
	p.serveHTTP(p.servers[0], l.callers, callers)
	if l.admin != nil {
		p.serveHTTP(p.servers[1], l.admin, adminTLS)
	}
	return nil
}

func (p *Process) serveHTTP(srv *http.Server, l net.Listener, cfg *tls.Config) {
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	p.wg.Go(func() { _ = srv.Serve(l) }) // ends with Close
}
