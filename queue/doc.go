// Package queue shares the scarce slots of plain services between workspaces.
//
// It answers the load of a service with few slots behind many VMs: a VM alone sees
// too few of the requests to tell that the slots are taken, and requests pile up at
// the upstreams in the order of their arrival. The queue holds them at the VM
// instead, while no upstream has them and they can still be refused truthfully.
//
// A VM's room is what other VMs leave of the places of a service, and at least one
// request. Places are half again as many as the slots of the usable upstreams. While the
// demand of all VMs exceeds the places, each workspace has a share by max-min
// fairness, and each VM the part of it that matches its part of the workspace's
// demand. Shares bind only while half of the slots or more are taken.
//
// Waiting requests are ordered by workspace, least served first, then by rank and by
// deadline. A request is rejected when it arrives, or while it waits, if its estimated
// wait and the service time exceed the time left.
//
// # Usage
//
//	q := queue.New(queue.Config{Room: room, Others: loads.OthersDemand, IsOn: isOn})
//	place, err := q.Admit(ctx, "desk", queue.Request{Workspace: w, Deadline: deadline})
//	if err != nil {
//		return err // *queue.Rejection, or the error of ctx
//	}
//	defer place.Release(false)
//
// The decisions are those of service, which gets times and draws as arguments and is
// tested without a clock. [Queue] adds locking and waiting.
package queue
