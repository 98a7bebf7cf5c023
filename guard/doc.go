// Package guard judges versions that are being rolled out and has bad ones
// suspended.
//
// Pool owners report cumulative counts per (version, pool, owner incarnation).
// [Machine] keeps the last counts of each and uses only what has been added
// since, so repeated, late and reordered reports count nothing twice, and a new
// owner starts from zero under its own incarnation. Every VM may receive counts;
// the judge of a version, chosen by rendezvous hash over the serving members of
// the region ([Judge]), decides. Owners send their counts to the judge in their
// view, so a new judge has all of them after one report of each owner.
//
// Two tests run side by side and share the false-alarm rate:
//
//   - failures: a sequential probability ratio test of p0 = 0.02 against
//     p1 = 0.20;
//   - ratings: a test of the mean against the stable version's mean, valid for
//     any distribution of ratings on 0..1.
//
// Both mix over the point at which the version turned bad (see [evidence]), so
// a version that fails after thousands of good requests is still found after a
// few dozen bad ones, and the false-alarm rate holds over the whole run.
//
// [Allowance] bounds how many requests of an unproven version may be under way
// before their outcomes have been judged.
//
// # Usage
//
//	node := guard.New(guard.Config{Suspend: spread.Suspend})
//	l := loop.New(loop.Config{Machines: []jdaw.Machine{node.Machine()}, Execute: node.Execute})
//	l.Post(guard.Counts{Version: mv, Pool: pool, OwnerIncarnation: inc, OK: 20, Failed: 1})
//	for _, s := range node.Status() { ... }
package guard
