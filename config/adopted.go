package config

// Adopted tells all machines and traffic goroutines of a new snapshot: a
// higher revision or a change in the suspensions in force.
type Adopted struct {
	Snapshot *Snapshot `json:"-"`
}

// EventName implements jdaw.Event.
func (Adopted) EventName() string { return "configAdopted" }

// ActionName implements jdaw.Action.
func (Adopted) ActionName() string { return "configAdopted" }

// Source gives the current snapshot; nil before the first one.
type Source interface {
	Snapshot() *Snapshot
}
