// Package config holds the configuration document that operators change and
// the settings that each process reads at its start.
//
// The document is an immutable value. It is stored as JSON under [StoreKey] in
// the key-value service and changed only through [Document.Apply], which
// raises its revision by one and records the change's id, so that a writer
// whose answer was lost finds out by reading whether its change was accepted.
//
// # Usage
//
//	settings, err := config.LoadSettings("entry1.yaml")
//	doc, faults := config.LoadDocument("configuration.yaml")
//	next, err := doc.Apply(config.Change{ID: "c1", Operator: "ann", Ops: ops}, now)
//	snap := config.NewSnapshot(next, suspensions)
//	if !snap.IsAllowed("heats", jdaw.ParseModelVersion("shuck-small@v2")) { ... }
//
// Traffic goroutines read a [Snapshot], which indexes one revision together
// with the suspensions in force and answers every question about permission.
package config
