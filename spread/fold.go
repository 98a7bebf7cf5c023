package spread

import (
	"slices"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// foldID is the id of the change that folds a suspension. It is the same at
// all VMs, so that two that fold at once cause one change.
func foldID(s jdaw.Suspension) string { return "fold-" + s.ID }

// foldObject names the object that a suspension restricts as a change of the
// same object does. Otherwise neither would see the other as a conflict, and
// an operator's new text of a model could undo the withdrawal of its version.
func foldObject(s jdaw.Suspension) string {
	switch s.Kind {
	case jdaw.SuspendDataCentre:
		return string(config.ObjectDataCentre) + "/" + s.Name
	case jdaw.SuspendVersion:
		return string(config.ObjectModel) + "/" + jdaw.ParseModelVersion(s.Name).Model
	case jdaw.SuspendUpstream:
		return string(config.ObjectUpstream) + "/" + s.Name
	}
	return string(config.ObjectVM) + "/" + s.Name
}

// isOverruled reports whether a change of the same object was accepted after
// the suspension was ordered. The operator may have made it at a VM that did
// not know the suspension yet, and an accepted change is not to be reverted.
// A version is withdrawn for good, so that no change overrules it.
func isOverruled(doc config.Document, s jdaw.Suspension) bool {
	if s.Kind == jdaw.SuspendVersion {
		return false
	}
	object := foldObject(s)
	for _, r := range doc.Changes {
		if r.At.After(s.At) && slices.Contains(r.Objects, object) {
			return true
		}
	}
	return false
}

func isResolved(doc config.Document, id string) bool {
	for _, have := range doc.ResolvedSuspensions {
		if have == id {
			return true
		}
	}
	return false
}

// foldInto returns the next revision of the document, which states the
// restriction of the suspension and names it as resolved. The object may be
// missing by now; then there is nothing left to restrict. The same goes for a
// suspension that a later change has overruled.
func foldInto(doc config.Document, s jdaw.Suspension, at time.Time) config.Document {
	if isOverruled(doc, s) {
		return withResolved(doc, s, at)
	}
	switch s.Kind {
	case jdaw.SuspendDataCentre:
		doc = withDataCentreOut(doc, jdaw.DataCentre(s.Name))
	case jdaw.SuspendVersion:
		doc = withVersionWithdrawn(doc, jdaw.ParseModelVersion(s.Name), s.Reason)
	case jdaw.SuspendUpstream:
		doc = withUpstreamLeaving(doc, jdaw.UpstreamID(s.Name))
	case jdaw.SuspendVM:
		doc = withVMDraining(doc, jdaw.VMID(s.Name))
	}
	return withResolved(doc, s, at)
}

func withResolved(doc config.Document, s jdaw.Suspension, at time.Time) config.Document {
	doc.ResolvedSuspensions = append(append([]string(nil), doc.ResolvedSuspensions...), s.ID)
	return doc.WithRecord(config.ChangeRecord{
		ID: foldID(s), Operator: s.Operator, Objects: []string{foldObject(s)}, At: at,
	})
}

func withDataCentreOut(doc config.Document, name jdaw.DataCentre) config.Document {
	doc.DataCentres = append([]config.DataCentre(nil), doc.DataCentres...)
	for i := range doc.DataCentres {
		if doc.DataCentres[i].Name == name {
			doc.DataCentres[i].Out = true
		}
	}
	return doc
}

// withVersionWithdrawn also halts the version's roll-out, which would send it
// new sessions.
func withVersionWithdrawn(doc config.Document, mv jdaw.ModelVersion, reason string) config.Document {
	doc.Models = append([]config.Model(nil), doc.Models...)
	for i, model := range doc.Models {
		if model.Name != mv.Model {
			continue
		}
		versions := append([]config.Version(nil), model.Versions...)
		for j := range versions {
			if versions[j].Name == mv.Version {
				versions[j].State = config.VersionWithdrawn
				versions[j].Reason = reason
			}
		}
		doc.Models[i].Versions = versions
	}
	doc.Rollouts = append([]config.Rollout(nil), doc.Rollouts...)
	for i, r := range doc.Rollouts {
		if r.Model == mv.Model && r.Version == mv.Version {
			doc.Rollouts[i].State = config.RolloutHalted
		}
	}
	return doc
}

func withUpstreamLeaving(doc config.Document, id jdaw.UpstreamID) config.Document {
	doc.Upstreams = append([]config.Upstream(nil), doc.Upstreams...)
	for i := range doc.Upstreams {
		if doc.Upstreams[i].ID == id {
			doc.Upstreams[i].Leaving = true
		}
	}
	return doc
}

func withVMDraining(doc config.Document, vm jdaw.VMID) config.Document {
	for _, have := range doc.DrainingVMs {
		if have == vm {
			return doc
		}
	}
	doc.DrainingVMs = append(append([]jdaw.VMID(nil), doc.DrainingVMs...), vm)
	return doc
}
