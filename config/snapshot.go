package config

import (
	"strings"
	"time"

	"jackdawbarrow"
)

// Snapshot indexes one revision of the document together with the suspensions
// in force. It is immutable and shared by all goroutines.
type Snapshot struct {
	Doc         Document
	Suspensions []jdaw.Suspension // in force, that is not resolved by Doc

	models     map[string]Model
	workspaces map[jdaw.WorkspaceID]Workspace
	cascades   map[string]Cascade
	services   map[string]Service
	upstreams  map[jdaw.UpstreamID]Upstream
	pools      map[jdaw.PoolID][]Upstream
	poolIDs    []jdaw.PoolID
	keys       map[string]keyOwner
	rollouts   map[string]Rollout
	regions    map[jdaw.DataCentre]jdaw.Region
	out        map[jdaw.DataCentre]bool
	withdrawn  map[jdaw.ModelVersion]bool
	leaving    map[jdaw.UpstreamID]bool
	draining   map[jdaw.VMID]bool
	allow      map[jdaw.WorkspaceID]map[string]bool
}

type keyOwner struct {
	workspace jdaw.WorkspaceID
	hash      SecretHash
}

// NewSnapshot builds the index. Suspensions that the document resolves are
// left out.
func NewSnapshot(doc Document, suspensions []jdaw.Suspension) *Snapshot {
	s := &Snapshot{
		Doc:        doc,
		models:     map[string]Model{},
		workspaces: map[jdaw.WorkspaceID]Workspace{},
		cascades:   map[string]Cascade{},
		services:   map[string]Service{},
		upstreams:  map[jdaw.UpstreamID]Upstream{},
		pools:      map[jdaw.PoolID][]Upstream{},
		keys:       map[string]keyOwner{},
		rollouts:   map[string]Rollout{},
		regions:    map[jdaw.DataCentre]jdaw.Region{},
		out:        map[jdaw.DataCentre]bool{},
		withdrawn:  map[jdaw.ModelVersion]bool{},
		leaving:    map[jdaw.UpstreamID]bool{},
		draining:   map[jdaw.VMID]bool{},
		allow:      map[jdaw.WorkspaceID]map[string]bool{},
	}
	s.indexModels()
	s.indexWorkspaces()
	s.indexUpstreams()
	s.applySuspensions(suspensions)
	return s
}

func (s *Snapshot) indexModels() {
	for _, m := range s.Doc.Models {
		s.models[m.Name] = m
		for _, v := range m.Versions {
			if v.State == VersionWithdrawn {
				s.withdrawn[jdaw.ModelVersion{Model: m.Name, Version: v.Name}] = true
			}
		}
	}
	for _, c := range s.Doc.Cascades {
		s.cascades[c.Name] = c
	}
	for _, r := range s.Doc.Rollouts {
		s.rollouts[r.Model] = r
	}
	for _, svc := range s.Doc.Services {
		s.services[svc.Name] = svc
	}
}

func (s *Snapshot) indexWorkspaces() {
	for _, w := range s.Doc.Workspaces {
		s.workspaces[w.ID] = w
		for _, k := range w.Keys {
			s.keys[k.ID] = keyOwner{workspace: w.ID, hash: k}
		}
		allow := map[string]bool{}
		for _, a := range w.Allow {
			allow[strings.TrimSuffix(a, "@*")] = true
		}
		s.allow[w.ID] = allow
	}
}

func (s *Snapshot) indexUpstreams() {
	for _, dc := range s.Doc.DataCentres {
		s.regions[dc.Name] = dc.Region
		s.out[dc.Name] = dc.Out
	}
	for _, u := range s.Doc.Upstreams {
		s.upstreams[u.ID] = u
		pool := u.Pool()
		if _, ok := s.pools[pool]; !ok {
			s.poolIDs = append(s.poolIDs, pool)
		}
		s.pools[pool] = append(s.pools[pool], u)
		s.leaving[u.ID] = u.Leaving
	}
	for _, vm := range s.Doc.DrainingVMs {
		s.draining[vm] = true
	}
}

func (s *Snapshot) applySuspensions(suspensions []jdaw.Suspension) {
	resolved := map[string]bool{}
	for _, id := range s.Doc.ResolvedSuspensions {
		resolved[id] = true
	}
	for _, sus := range suspensions {
		if resolved[sus.ID] {
			continue
		}
		s.Suspensions = append(s.Suspensions, sus)
		switch sus.Kind {
		case jdaw.SuspendDataCentre:
			s.out[jdaw.DataCentre(sus.Name)] = true
		case jdaw.SuspendVersion:
			s.withdrawn[jdaw.ParseModelVersion(sus.Name)] = true
		case jdaw.SuspendUpstream:
			s.leaving[jdaw.UpstreamID(sus.Name)] = true
		case jdaw.SuspendVM:
			s.draining[jdaw.VMID(sus.Name)] = true
		}
	}
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() jdaw.Revision { return s.Doc.Revision }

// Model returns the model with this name.
func (s *Snapshot) Model(name string) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Cascade returns the cascade with this name.
func (s *Snapshot) Cascade(name string) (Cascade, bool) {
	c, ok := s.cascades[name]
	return c, ok
}

// Service returns the plain service with this name.
func (s *Snapshot) Service(name string) (Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Workspace returns the workspace with this id.
func (s *Snapshot) Workspace(id jdaw.WorkspaceID) (Workspace, bool) {
	w, ok := s.workspaces[id]
	return w, ok
}

// Upstream returns the upstream with this id.
func (s *Snapshot) Upstream(id jdaw.UpstreamID) (Upstream, bool) {
	u, ok := s.upstreams[id]
	return u, ok
}

// Pool returns the upstreams of a pool.
func (s *Snapshot) Pool(id jdaw.PoolID) []Upstream { return s.pools[id] }

// Pools returns the ids of all pools in the order of the document.
func (s *Snapshot) Pools() []jdaw.PoolID { return s.poolIDs }

// PoolsOfKind returns the pools of a kind whose data centre is in service.
func (s *Snapshot) PoolsOfKind(kind string) []jdaw.PoolID {
	var out []jdaw.PoolID
	for _, p := range s.poolIDs {
		if p.Kind == kind && !s.IsOut(p.DataCentre) {
			out = append(out, p)
		}
	}
	return out
}

// Region returns the region of a data centre.
func (s *Snapshot) Region(dc jdaw.DataCentre) jdaw.Region { return s.regions[dc] }

// IsOut reports whether the data centre has been taken out.
func (s *Snapshot) IsOut(dc jdaw.DataCentre) bool { return s.out[dc] }

// IsLeaving reports whether the upstream must get no new work.
func (s *Snapshot) IsLeaving(id jdaw.UpstreamID) bool { return s.leaving[id] }

// IsDraining reports whether operators drain the VM.
func (s *Snapshot) IsDraining(vm jdaw.VMID) bool { return s.draining[vm] }

// IsWithdrawn reports whether the version is withdrawn or suspended.
func (s *Snapshot) IsWithdrawn(mv jdaw.ModelVersion) bool { return s.withdrawn[mv] }

// IsAllowed reports whether the workspace may use the version now: the
// version exists, is not withdrawn and one of the workspace's patterns allows it.
func (s *Snapshot) IsAllowed(id jdaw.WorkspaceID, mv jdaw.ModelVersion) bool {
	if s.withdrawn[mv] || !s.hasVersion(mv) {
		return false
	}
	allow := s.allow[id]
	return allow[mv.Model] || allow[mv.String()]
}

// MayUseService reports whether the workspace may use the plain service.
func (s *Snapshot) MayUseService(id jdaw.WorkspaceID, service string) bool {
	for _, name := range s.workspaces[id].Services {
		if name == service {
			return true
		}
	}
	return false
}

// Rollout returns the roll-out of a model, if one is running or halted.
func (s *Snapshot) Rollout(model string) (Rollout, bool) {
	r, ok := s.rollouts[model]
	return r, ok
}

// StableVersion returns the first active version of the model that the
// workspace may use.
func (s *Snapshot) StableVersion(id jdaw.WorkspaceID, model string) (jdaw.ModelVersion, bool) {
	for _, v := range s.models[model].Versions {
		mv := jdaw.ModelVersion{Model: model, Version: v.Name}
		if v.State == VersionActive && s.IsAllowed(id, mv) {
			return mv, true
		}
	}
	return jdaw.ModelVersion{}, false
}

// Authenticate returns the workspace that the secret belongs to.
func (s *Snapshot) Authenticate(secret string) (jdaw.WorkspaceID, bool) {
	owner, ok := s.keys[SecretID(secret)]
	if !ok || !owner.hash.Matches(secret) {
		return "", false
	}
	return owner.workspace, true
}

// Operator returns the operator that the token belongs to.
func (s *Snapshot) Operator(token string) (Operator, bool) {
	id := SecretID(token)
	for _, o := range s.Doc.Operators {
		if o.Token.ID == id && o.Token.Matches(token) {
			return o, true
		}
	}
	return Operator{}, false
}

// Outlet returns the outlet of a workspace.
func (s *Snapshot) Outlet(id jdaw.WorkspaceID, name string) (Outlet, bool) {
	for _, o := range s.workspaces[id].Outlets {
		if o.Name == name {
			return o, true
		}
	}
	return Outlet{}, false
}

// IsOpen reports whether the outlet is open at the given time. Hours that end
// before they begin pass midnight.
func (o Outlet) IsOpen(at time.Time) bool {
	if o.Opens == "" || o.Closes == "" || o.Opens == o.Closes {
		return true
	}
	if loc, err := time.LoadLocation(o.TimeZone); err == nil {
		at = at.In(loc)
	}
	now := at.Format("15:04")
	if o.Opens < o.Closes {
		return now >= o.Opens && now < o.Closes
	}
	return now >= o.Opens || now < o.Closes
}

func (s *Snapshot) hasVersion(mv jdaw.ModelVersion) bool {
	for _, v := range s.models[mv.Model].Versions {
		if v.Name == mv.Version {
			return true
		}
	}
	return false
}
