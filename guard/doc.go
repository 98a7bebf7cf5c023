// Package guard runs canary analysis on versions in roll-out and requests the
// suspension of bad ones.
//
// Pool owners report cumulative counts per (version, pool, owner incarnation).
// [Machine] keeps the last counts of each and uses only the difference to them,
// so duplicate, late and reordered reports are not counted twice, and a new
// owner starts from zero under its own incarnation. Every VM may receive counts;
// the evaluator of a version, chosen by rendezvous hash over the serving members
// of the region ([Evaluator]), decides. Owners send their counts to the evaluator in
// their view, so a new evaluator has all counts after one report per owner.
//
// Two sequential tests run in parallel and share the false-alarm rate:
//
//   - failures: a sequential probability ratio test of p0 = 0.02 against
//     p1 = 0.20;
//   - ratings: a test of the mean against the stable version's mean, valid for
//     any distribution of ratings on 0..1.
//
// Both mix over the point at which the version became bad (see [evidence]), so
// a version that fails after thousands of good requests is still detected after
// a few dozen bad ones, and the false-alarm rate holds over the whole run.
//
// [Allowance] limits the requests of an unproven version whose outcomes have not
// been evaluated.
//
// # Usage
//
//	node := guard.New(guard.Config{Suspend: spread.Suspend})
//	l := loop.New(loop.Config{Machines: []jdaw.Machine{node.Machine()}, Execute: node.Execute})
//	l.Post(guard.Counts{Version: mv, Pool: pool, OwnerIncarnation: inc, OK: 20, Failed: 1})
//	for _, s := range node.Status() { ... }
package guard
