package serve

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
	"jackdawbarrow/events"
	"jackdawbarrow/ledger"
	"jackdawbarrow/owner"
	"jackdawbarrow/spread"
	"jackdawbarrow/wire"
)

func (p *Process) adminHandler() http.Handler {
	return admin.NewHandler(admin.Config{
		Source: p.spread, Changer: changer{p.spread}, Status: p.status, Events: p.allEvents,
		Bills: func(ctx context.Context) ([]jdaw.Bill, error) { return ledger.Export(ctx, p.store) },
	})
}

// changer adapts the distribution of the configuration to the API.
type changer struct {
	node *spread.Node
}

func (c changer) Submit(ctx context.Context, change config.Change) (admin.Result, error) {
	// The change is applied again after a conflict and must give the same
	// document each time, including the start of a roll-out.
	at := time.Now()
	result, err := c.node.Submit(ctx, spread.Change{
		ID: change.ID, Base: change.BaseRevision, Objects: change.ObjectNames(),
		Apply: func(d config.Document) (config.Document, error) { return d.Apply(change, at) },
	})
	return resultOf(result), err
}

func (c changer) Suspend(ctx context.Context, s jdaw.Suspension) (admin.Result, error) {
	result, err := c.node.Suspend(ctx, s)
	return resultOf(result), err
}

func resultOf(r spread.Result) admin.Result {
	return admin.Result{Revision: r.Revision, InForce: r.InForce, Known: r.Known, Unconfirmed: r.Unconfirmed}
}

func (p *Process) status() admin.Status {
	view, snap := p.peers.View(), p.spread.Snapshot()
	s := admin.Status{VM: p.settings.VM, Isolated: view.Isolated, Members: view.Members}
	if snap == nil {
		return s
	}
	s.Revision, s.Suspensions = snap.Revision(), snap.Suspensions
	for _, dc := range snap.Doc.DataCentres {
		if snap.IsOut(dc.Name) {
			s.OutOf = append(s.OutOf, dc.Name)
		}
	}
	owned := map[jdaw.PoolID]owner.PoolStats{}
	for _, stats := range p.owner.Stats() {
		owned[stats.Pool] = stats
	}
	for _, pool := range snap.Pools() {
		status := admin.PoolStatus{Pool: pool.String(), Waiting: owned[pool].Waiting, InUse: owned[pool].InUse, Limit: owned[pool].Limit}
		if m, ok := owner.Of(view, snap, pool); ok {
			status.Owner = m.VM
		}
		s.Pools = append(s.Pools, status)
	}
	for _, r := range p.guard.Status() {
		s.Rollouts = append(s.Rollouts, admin.RolloutStatus{
			Version: r.Version.String(), State: string(r.State), OK: r.OK, Failed: r.Failed, Note: r.Text,
		})
	}
	return s
}

// allEvents collects the ring buffers of all VMs at once.
func (p *Process) allEvents(ctx context.Context, limit int) admin.EventList {
	var mu sync.Mutex
	var out admin.EventList
	lists := [][]jdaw.TimelineEvent{p.ring.Last(limit)}
	var wg conc.WaitGroup
	for _, m := range p.peers.View().Members {
		if m.VM == p.settings.VM || m.State == jdaw.MemberDead {
			continue
		}
		wg.Go(func() {
			list, err := p.eventsOf(ctx, m, limit)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Missing = append(out.Missing, m.VM)
				return
			}
			lists = append(lists, list)
		})
	}
	wg.Wait()
	out.Events = events.Merge(lists...)
	return out
}

func (p *Process) eventsOf(ctx context.Context, m jdaw.Member, limit int) ([]jdaw.TimelineEvent, error) {
	c, err := p.peers.Client(m.PeerAddr)
	if err != nil {
		return nil, err
	}
	reply, err := c.Events(ctx, &wire.EventsRequest{Header: p.peers.Header(), Limit: uint32(limit)})
	if err != nil {
		return nil, err
	}
	var list []jdaw.TimelineEvent
	for _, e := range reply.Events {
		list = append(list, fromWireEvent(e))
	}
	return list, nil
}
