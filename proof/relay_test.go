package proof

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// relay forwards TCP connections to a VM or a stand-in and can cut them. It
// stands in for the network between two processes: a VM's advertised peer
// address and its address of the key-value service are relays.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   func(source netip.Addr) bool
	conns map[net.Conn]netip.Addr
}

func startRelay(t testing.TB, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]netip.Addr{}}
	t.Cleanup(func() {
		_ = l.Close()
		r.setCut(func(netip.Addr) bool { return true })
	})
	go r.accept()
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// setCut refuses the connections of sources for which cut returns true, the
// open ones included. nil ends the cut.
func (r *relay) setCut(cut func(source netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for c, source := range r.conns {
		if cut != nil && cut(source) {
			_ = c.Close()
		}
	}
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if !r.open(in, source) {
		return
	}
	defer r.closed(in)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.open(out, source) {
		return
	}
	defer r.closed(out)
	go func() {
		_, _ = io.Copy(out, in) // ends when either side closes
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
}

// open registers a connection unless it is cut.
func (r *relay) open(c net.Conn, source netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut != nil && r.cut(source) {
		return false
	}
	r.conns[c] = source
	return true
}

func (r *relay) closed(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
