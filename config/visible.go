package config

import (
	"encoding/json"
	"slices"

	"jackdawbarrow"
)

// hidden replaces secrets in documents that are shown.
const hidden = "hidden"

// WithoutSecrets returns a copy whose hashes and signing keys are hidden.
func (d Document) WithoutSecrets() Document {
	workspaces := append([]Workspace(nil), d.Workspaces...)
	for i := range workspaces {
		keys := append([]SecretHash(nil), workspaces[i].Keys...)
		for j := range keys {
			keys[j] = keys[j].withoutHash()
		}
		workspaces[i].Keys = keys
	}
	d.Workspaces = workspaces
	sessionKeys := append([]SessionKey(nil), d.SessionKeys...)
	for i := range sessionKeys {
		sessionKeys[i].Secret = hidden
	}
	d.SessionKeys = sessionKeys
	operators := append([]Operator(nil), d.Operators...)
	for i := range operators {
		operators[i].Token = operators[i].Token.withoutHash()
	}
	d.Operators = operators
	return d
}

func (s SecretHash) withoutHash() SecretHash {
	return SecretHash{ID: s.ID, Salt: hidden, Hash: hidden}
}

// VisibleTo returns the part of the document that the operator may read: the
// owner of a workspace sees that workspace, the models and the services.
func (d Document) VisibleTo(op Operator) Document {
	if op.Role != RoleOwner {
		return d
	}
	visible := Document{Revision: d.Revision, DataCentres: d.DataCentres, Models: d.Models, Cascades: d.Cascades, Services: d.Services}
	for _, w := range d.Workspaces {
		if w.ID == op.Workspace {
			visible.Workspaces = append(visible.Workspaces, w)
		}
	}
	return visible
}

// IsWithinWorkspace reports whether the step changes this workspace only.
func (op Op) IsWithinWorkspace(id jdaw.WorkspaceID) bool {
	return op.Object == ObjectWorkspace && op.Kind == OpPut && op.Name == string(id)
}

// KeepsLimits reports whether the step's workspace has the same permissions,
// cascade and weight as the document's. They decide over cost and over other
// workspaces' capacity, so the owner of a workspace may not change them.
func (op Op) KeepsLimits(d Document) bool {
	var next Workspace
	if err := json.Unmarshal(op.Value, &next); err != nil {
		return false
	}
	for _, w := range d.Workspaces {
		if w.ID == next.ID {
			return slices.Equal(w.Allow, next.Allow) && slices.Equal(w.Services, next.Services) &&
				w.Weight == next.Weight && w.Cascade == next.Cascade
		}
	}
	return false
}
