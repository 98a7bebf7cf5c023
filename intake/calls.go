package intake

import (
	"context"
	"net"

	"google.golang.org/grpc/stats"
)

// callOverhead is the size of a call's frames beside its message, in bytes.
const callOverhead = 128

// Calls returns a handler for a gRPC server whose connections are of class Peers. The
// bytes that arrive count as held until their message is whole.
func (a *Account) Calls() stats.Handler { return calls{account: a} }

type calls struct{ account *Account }

// TagConn implements [stats.Handler].
func (s calls) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if c := s.account.peer(info.RemoteAddr); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// HandleConn implements [stats.Handler].
func (calls) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements [stats.Handler].
func (calls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements [stats.Handler].
func (s calls) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c := FromContext(ctx)
	if c == nil {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		c.calls.Add(1)
	case *stats.InPayload:
		s.account.dropHeader(c, int64(e.WireLength+callOverhead))
	case *stats.End:
		if c.calls.Add(-1) == 0 {
			s.account.dropHeader(c, wholeHeader)
		}
	}
}

// peer returns the connection from an address, or nil.
func (a *Account) peer(from net.Addr) *Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns[Peers] {
		if c.RemoteAddr().String() == from.String() {
			return c
		}
	}
	return nil
}
