package serve

import (
	"context"

	"jackdawbarrow"
	"jackdawbarrow/entry"
	"jackdawbarrow/guard"
	"jackdawbarrow/ledger"
	"jackdawbarrow/wire"
)

// peerServer composes the gRPC methods of the slices.
type peerServer struct {
	wire.UnimplementedPeerServer
	p *Process
}

func (s *peerServer) Probe(ctx context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.p.peers.Probe(ctx, in)
}

func (s *peerServer) ProbeFor(ctx context.Context, in *wire.ProbeForRequest) (*wire.ProbeForReply, error) {
	return s.p.peers.ProbeFor(ctx, in)
}

func (s *peerServer) Join(ctx context.Context, in *wire.JoinRequest) (*wire.JoinReply, error) {
	return s.p.peers.Join(ctx, in)
}

func (s *peerServer) Hint(ctx context.Context, in *wire.HintRequest) (*wire.HintReply, error) {
	return s.p.spread.Hint(ctx, in)
}

func (s *peerServer) Pull(ctx context.Context, in *wire.PullRequest) (*wire.PullReply, error) {
	return s.p.spread.Pull(ctx, in)
}

func (s *peerServer) Acquire(ctx context.Context, in *wire.AcquireRequest) (*wire.AcquireReply, error) {
	return s.p.owner.Acquire(ctx, in)
}

func (s *peerServer) ReleaseCredits(ctx context.Context, in *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return s.p.owner.ReleaseCredits(ctx, in)
}

func (s *peerServer) Renew(ctx context.Context, in *wire.RenewRequest) (*wire.RenewReply, error) {
	return s.p.owner.Renew(ctx, in)
}

func (s *peerServer) Outstanding(ctx context.Context, in *wire.OutstandingRequest) (*wire.OutstandingReply, error) {
	return s.p.owner.Outstanding(ctx, in)
}

func (s *peerServer) Outcomes(ctx context.Context, in *wire.OutcomesRequest) (*wire.OutcomesReply, error) {
	return s.p.owner.Outcomes(ctx, in)
}

func (s *peerServer) Copy(ctx context.Context, in *wire.CopyRequest) (*wire.CopyReply, error) {
	return s.p.ledger.Copy(ctx, in)
}

func (s *peerServer) KeyStatus(ctx context.Context, in *wire.KeyStatusRequest) (*wire.KeyStatusReply, error) {
	return s.p.ledger.KeyStatus(ctx, in)
}

// Forward runs a keyed request at its home.
func (s *peerServer) Forward(ctx context.Context, in *wire.ForwardRequest) (*wire.ForwardReply, error) {
	answer := s.p.entry.HandleForward(ctx, entry.Forwarded{
		Workspace: jdaw.WorkspaceID(in.Workspace), Key: in.Key, Method: in.Method, Path: in.Path,
		Outlet: in.Outlet, ContentType: in.ContentType, Body: in.Body,
	})
	return &wire.ForwardReply{
		Header: s.p.peers.Header(), Status: uint32(answer.Status), Body: answer.Body,
		ContentType: answer.ContentType, RequestId: string(answer.RequestID),
	}, nil
}

// Events gives the newest events of this VM's ring buffer.
func (s *peerServer) Events(_ context.Context, in *wire.EventsRequest) (*wire.EventsReply, error) {
	reply := &wire.EventsReply{Header: s.p.peers.Header()}
	for _, e := range s.p.ring.Last(int(in.Limit)) {
		reply.Events = append(reply.Events, toWireEvent(e))
	}
	return reply, nil
}

// verifyKey tells an issued idempotency key from a caller's own.
func (p *Process) verifyKey(w jdaw.WorkspaceID, key string) (entry.KeyIssuer, bool, error) {
	if !ledger.IsIssuedKey(key) {
		return entry.KeyIssuer{}, false, nil
	}
	k, err := p.ledger.VerifyKey(w, key)
	if err != nil {
		return entry.KeyIssuer{}, true, err
	}
	return entry.KeyIssuer{VM: k.VM, Incarnation: k.Incarnation, Self: p.ledger.IsHome(k)}, true, nil
}

// forward sends a keyed request to the VM that issued its key. A process knows
// the keys of all of its incarnations, so one that answers is asked, whatever the
// member table says of it.
func (p *Process) forward(ctx context.Context, home entry.KeyIssuer, q entry.Forwarded) (entry.ForwardAnswer, error) {
	m, ok := p.peers.View().Member(home.VM)
	isKnown := ok && m.State != jdaw.MemberDead && m.Incarnation == home.Incarnation
	if !isKnown && (!ok || !p.peers.IsRunning(ctx, m.PeerAddr)) {
		return entry.ForwardAnswer{}, jdaw.Fail(jdaw.CodeKeyHomeDead, "the VM %s that issued the key is gone; whether the request ran is not known", home.VM)
	}
	c, err := p.peers.Client(m.PeerAddr)
	if err != nil {
		return entry.ForwardAnswer{}, jdaw.Fail(jdaw.CodeOutcomeUnknown, "the VM %s that issued the key could not be reached", home.VM)
	}
	reply, err := c.Forward(ctx, &wire.ForwardRequest{
		Header: p.peers.Header(), Workspace: string(q.Workspace), Key: q.Key, Method: q.Method, Path: q.Path,
		Outlet: q.Outlet, ContentType: q.ContentType, Body: q.Body,
	})
	if err != nil {
		return entry.ForwardAnswer{}, jdaw.Fail(jdaw.CodeOutcomeUnknown, "the VM %s that issued the key did not answer; the request may have run there", home.VM)
	}
	return entry.ForwardAnswer{
		Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Body, RequestID: jdaw.RequestID(reply.RequestId),
	}, nil
}

// judgeCounts gives outcome counts to the guard.
func (p *Process) judgeCounts(in *wire.OutcomesRequest) {
	for _, c := range in.Counts {
		p.post(guard.Counts{
			Version: jdaw.ParseModelVersion(c.Version), Pool: jdaw.ParsePoolID(c.Pool),
			OwnerIncarnation: jdaw.Incarnation(c.OwnerIncarnation), OK: c.Ok, Failed: c.Failed,
			Rated: c.Rated, RatingSum: c.RatingSum, RatingSquareSum: c.RatingSquareSum,
			Revision: jdaw.Revision(in.GetHeader().GetRevision()),
		})
	}
}
