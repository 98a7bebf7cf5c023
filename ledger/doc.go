// Package ledger records each request so that it is billed exactly once, and
// runs requests with an idempotency key at most once.
//
// Each incarnation of a VM has one journal: numbered slots in the key-value
// service, each created only if it is absent. One goroutine writes them, a
// batch of entries at a time. Before a request is dispatched and before the
// last byte of its answer, the entry is copied to two other VMs (holders),
// which write it if its VM fails before the entry is in a slot. With one other
// VM alive, the entry is held there and, while the key-value service answers,
// written to a slot as well. With no other VM alive, Open and Settle wait until
// the entry is in a slot, so that the last VM can keep serving.
//
// Any VM may end a journal by creating its next slot as a seal. The writer then
// finds its slot taken, takes a new incarnation for new requests, and writes
// the settlements of old ones to slots after the seal. The holders of copies
// seal the journal of a dead VM; one VM also searches for journals without a
// live writer whose holders died as well. 60 s after the seal, [Export] closes
// a journal that has unsettled requests with a final slot; entries after that
// slot are ignored, so an exported bill never changes.
//
// A claim of a caller's own idempotency key is an item in the key-value
// service. A key issued by the system is kept in the memory of its issuing VM
// and needs no call to the key-value service.
//
// # Usage
//
//	l := ledger.New(ledger.Config{VM: "entry1", Incarnation: inc, Store: kv, Views: node, ...})
//	id, err := l.Open(ctx, jdaw.Bill{Workspace: w, Outlet: outlet})
//	if !l.BeginDispatch(id) { ... } // before the first byte to an upstream
//	err = l.Settle(ctx, bill.WithSettlement(jdaw.CodeOK, now)) // before the last byte
//	l.ViewChanged(view) // on each jdaw.ViewChanged
//	bills, err := ledger.Export(ctx, kv)
package ledger
