package config

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// LoadDocument reads and checks a configuration in YAML.
func LoadDocument(file string) (Document, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Document{}, errors.Wrap(err, "read configuration")
	}
	d, faults := ParseDocument(file, b)
	return d, faults.Err()
}

// ParseDocument reads and checks a configuration in YAML or JSON; file is for
// messages only.
func ParseDocument(file string, b []byte) (Document, Faults) {
	var d Document
	faults, ok := parse(file, b, &d, func(c *checker) { d.check(c) })
	if !ok {
		return Document{}, faults
	}
	return d, faults
}

// Check returns every fault of the document.
func (d Document) Check() Faults {
	c := newChecker("", nil)
	d.check(c)
	return c.faults
}

func (d Document) check(c *checker) {
	d.checkDataCentres(c)
	d.checkModels(c)
	d.checkRollouts(c)
	d.checkCascades(c)
	d.checkServices(c)
	d.checkWorkspaces(c)
	d.checkUpstreams(c)
	d.checkKeys(c)
}

func (d Document) checkDataCentres(c *checker) {
	if len(d.DataCentres) == 0 {
		c.fault("$.dataCentres", "at least one data centre is needed")
	}
	seen := map[string]bool{}
	for i, dc := range d.DataCentres {
		path := index("$.dataCentres", i)
		c.name(path+".name", string(dc.Name))
		c.name(path+".region", string(dc.Region))
		c.unique(path+".name", seen, string(dc.Name))
	}
}

func (d Document) checkModels(c *checker) {
	seen := map[string]bool{}
	for i, m := range d.Models {
		path := index("$.models", i)
		c.name(path+".name", m.Name)
		c.unique(path+".name", seen, m.Name)
		c.name(path+".kind", m.Kind)
		if m.CostPer1000 < 0 {
			c.fault(path+".costPer1000", "must not be negative")
		}
		if len(m.Versions) == 0 {
			c.fault(path+".versions", "at least one version is needed")
		}
		versions := map[string]bool{}
		for j, v := range m.Versions {
			at := index(path+".versions", j)
			c.name(at+".name", v.Name)
			c.unique(at+".name", versions, v.Name)
			c.oneOf(at+".state", string(v.State), string(VersionActive), string(VersionRollout), string(VersionWithdrawn))
		}
	}
}

func (d Document) checkRollouts(c *checker) {
	seen := map[string]bool{}
	for i, r := range d.Rollouts {
		path := index("$.rollouts", i)
		c.unique(path+".model", seen, r.Model)
		if !d.hasVersion(r.Model, r.Version) {
			c.fault(path+".version", fmt.Sprintf("model %q has no version %q", r.Model, r.Version))
		}
		if r.SharePercent < 0 || r.SharePercent > 100 {
			c.fault(path+".sharePercent", "must be 0 to 100")
		}
		c.oneOf(path+".state", string(r.State), string(RolloutRunning), string(RolloutHalted))
	}
}

func (d Document) checkCascades(c *checker) {
	seen := map[string]bool{}
	for i, cascade := range d.Cascades {
		path := index("$.cascades", i)
		c.name(path+".name", cascade.Name)
		c.unique(path+".name", seen, cascade.Name)
		if cascade.QualityTarget < 0 || cascade.QualityTarget > 1 {
			c.fault(path+".qualityTarget", "must be 0 to 1")
		}
		if len(cascade.Models) == 0 {
			c.fault(path+".models", "at least one model is needed")
		}
		cost := 0.0
		for j, name := range cascade.Models {
			m, ok := d.model(name)
			if !ok {
				c.fault(index(path+".models", j), fmt.Sprintf("model %q does not exist", name))
				continue
			}
			if m.CostPer1000 < cost {
				c.fault(index(path+".models", j), fmt.Sprintf("model %q is cheaper than the one before; order them from cheap to costly", name))
			}
			cost = m.CostPer1000
		}
	}
}

func (d Document) checkServices(c *checker) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		path := index("$.services", i)
		c.name(path+".name", s.Name)
		c.unique(path+".name", seen, s.Name)
		c.name(path+".kind", s.Kind)
		for j, call := range s.Calls {
			at := index(path+".calls", j)
			c.oneOf(at+".method", call.Method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
			if !strings.HasPrefix(call.PathPrefix, "/") {
				c.fault(at+".pathPrefix", "must begin with /")
			}
		}
	}
}

func (d Document) checkWorkspaces(c *checker) {
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, w := range d.Workspaces {
		path := index("$.workspaces", i)
		c.name(path+".id", string(w.ID))
		c.unique(path+".id", seen, string(w.ID))
		for j, k := range w.Keys {
			c.secret(index(path+".keys", j), k)
			c.unique(index(path+".keys", j)+".id", keys, k.ID)
		}
		for j, a := range w.Allow {
			d.checkAllow(c, index(path+".allow", j), a)
		}
		for j, s := range w.Services {
			if !d.hasService(s) {
				c.fault(index(path+".services", j), fmt.Sprintf("service %q does not exist", s))
			}
		}
		if w.Weight < 0 {
			c.fault(path+".weight", "must not be negative")
		}
		if w.Cascade != "" && !d.hasCascade(w.Cascade) {
			c.fault(path+".cascade", fmt.Sprintf("cascade %q does not exist", w.Cascade))
		}
		d.checkOutlets(c, path, w)
	}
}

func (d Document) checkAllow(c *checker, path, pattern string) {
	mv := jdaw.ParseModelVersion(pattern)
	if _, ok := d.model(mv.Model); !ok {
		c.fault(path, fmt.Sprintf("model %q does not exist", mv.Model))
		return
	}
	if mv.Version != "" && mv.Version != "*" && !d.hasVersion(mv.Model, mv.Version) {
		c.fault(path, fmt.Sprintf("model %q has no version %q", mv.Model, mv.Version))
	}
}

func (d Document) checkOutlets(c *checker, path string, w Workspace) {
	seen := map[string]bool{}
	for i, o := range w.Outlets {
		at := index(path+".outlets", i)
		c.name(at+".name", o.Name)
		c.unique(at+".name", seen, o.Name)
		if o.WaitMillis <= 0 {
			c.fault(at+".waitMillis", "must be at least 1")
		}
		c.hour(at+".opens", o.Opens)
		c.hour(at+".closes", o.Closes)
		if _, err := time.LoadLocation(o.TimeZone); err != nil {
			c.fault(at+".timeZone", fmt.Sprintf("%q is not an IANA time zone", o.TimeZone))
		}
		for j, dc := range o.DataCentres {
			if !d.hasDataCentre(dc) {
				c.fault(index(at+".dataCentres", j), fmt.Sprintf("data centre %q does not exist", dc))
			}
		}
	}
}

func (d Document) checkUpstreams(c *checker) {
	seen := map[string]bool{}
	for i, u := range d.Upstreams {
		path := index("$.upstreams", i)
		c.name(path+".id", string(u.ID))
		c.unique(path+".id", seen, string(u.ID))
		c.name(path+".kind", u.Kind)
		c.oneOf(path+".protocol", string(u.Protocol), string(ProtocolEngine), string(ProtocolService))
		if !d.hasDataCentre(u.DataCentre) {
			c.fault(path+".dataCentre", fmt.Sprintf("data centre %q does not exist", u.DataCentre))
		}
		c.url(path+".address", u.Address)
		if u.MaxConcurrent < 1 {
			c.fault(path+".maxConcurrent", "must be at least 1")
		}
		if u.ColdConcurrent < 1 || u.ColdConcurrent > u.MaxConcurrent {
			c.fault(path+".coldConcurrent", "must be 1 to maxConcurrent")
		}
		if len(u.Placement) > 0 && len(u.Versions) > 0 {
			c.fault(path+".versions", "must be left out with placement, since the load report then says what is loaded")
		}
		for j, v := range u.Placement {
			mv := jdaw.ParseModelVersion(v)
			if !d.hasVersion(mv.Model, mv.Version) {
				c.fault(index(path+".placement", j), fmt.Sprintf("%q is not a version of a model here", v))
			}
		}
		if u.ColdMillis < 0 {
			c.fault(path+".coldMillis", "must not be negative")
		}
		for j, v := range u.Versions {
			mv := jdaw.ParseModelVersion(v)
			if !d.hasVersion(mv.Model, mv.Version) {
				c.fault(index(path+".versions", j), fmt.Sprintf("%q is not a version of a model here", v))
			}
		}
	}
}

func (d Document) checkKeys(c *checker) {
	for i, k := range d.SessionKeys {
		path := index("$.sessionKeys", i)
		c.name(path+".id", k.ID)
		if b, err := hex.DecodeString(k.Secret); err != nil || len(b) < secretBytes {
			c.fault(path+".secret", "must be 32 bytes in hex")
		}
	}
	seen := map[string]bool{}
	for i, o := range d.Operators {
		path := index("$.operators", i)
		c.name(path+".name", o.Name)
		c.unique(path+".name", seen, o.Name)
		c.secret(path+".token", o.Token)
		c.oneOf(path+".role", string(o.Role), string(RoleViewer), string(RoleOperator), string(RoleOwner))
		if o.Role == RoleOwner && !d.hasWorkspace(o.Workspace) {
			c.fault(path+".workspace", fmt.Sprintf("workspace %q does not exist", o.Workspace))
		}
	}
}

func (c *checker) unique(path string, seen map[string]bool, name string) {
	if seen[name] {
		c.fault(path, fmt.Sprintf("%q stands twice", name))
	}
	seen[name] = true
}

func (c *checker) hour(path, value string) {
	if value == "" {
		return
	}
	if _, err := time.Parse("15:04", value); err != nil {
		c.fault(path, fmt.Sprintf("must be an hour such as 08:30, not %q", value))
	}
}

func (c *checker) secret(path string, s SecretHash) {
	c.name(path+".id", s.ID)
	if strings.Contains(s.ID, "_") {
		c.fault(path+".id", "must not contain an underscore")
	}
	if s.Salt == "" || s.Hash == "" {
		c.fault(path, "needs salt and hash; make them with the command 'jackdawbarrow key'")
	}
}

func (d Document) model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

func (d Document) hasVersion(model, version string) bool {
	m, _ := d.model(model)
	for _, v := range m.Versions {
		if v.Name == version {
			return true
		}
	}
	return false
}

func (d Document) hasCascade(name string) bool {
	for _, c := range d.Cascades {
		if c.Name == name {
			return true
		}
	}
	return false
}

func (d Document) hasService(name string) bool {
	for _, s := range d.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (d Document) hasDataCentre(name jdaw.DataCentre) bool {
	for _, dc := range d.DataCentres {
		if dc.Name == name {
			return true
		}
	}
	return false
}

func (d Document) hasWorkspace(id jdaw.WorkspaceID) bool {
	for _, w := range d.Workspaces {
		if w.ID == id {
			return true
		}
	}
	return false
}
