package demo

import (
	"fmt"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Shape is the size and the names of a deployment.
type Shape struct {
	Name        string
	Region      jdaw.Region
	DataCentres []jdaw.DataCentre
	VMs         int
	EngineKind  string
	Engines     int
	PlainKind   string
	Plains      int
	Models      []ModelShape // from cheap to costly
	Workspaces  []string
	// Large workspaces have three times the weight of the others.
	Large int
}

// ModelShape is a model of a Shape.
type ModelShape struct {
	Name        string
	CostPer1000 float64
	Quality     float64 // mean rating of its answers
	Versions    []string
}

// Authority is the shape of the Clyde Coast Shellfish Events Authority.
func Authority() Shape {
	return Shape{
		Name: "authority", Region: "scot-west",
		DataCentres: []jdaw.DataCentre{"oban", "largs", "stranraer"},
		VMs:         8,
		EngineKind:  "shuck-lm", Engines: 12,
		PlainKind: "steward-desk", Plains: 3,
		Models: []ModelShape{
			{Name: "shuck-small", CostPer1000: 0.2, Quality: 0.8, Versions: []string{"v1", "v2"}},
			{Name: "shuck-large", CostPer1000: 2.0, Quality: 0.95, Versions: []string{"v1"}},
		},
		Workspaces: []string{"scoring", "stewards", "heats", "briefings", "visitors", "registry", "press", "volunteers", "training", "archive"},
		Large:      3,
	}
}

// Consorcio is the shape of the Consorcio Postales del Plata.
func Consorcio() Shape {
	return Shape{
		Name: "consorcio", Region: "plata-sur",
		DataCentres: []jdaw.DataCentre{"aguada", "malvin", "carrasco", "buceo"},
		VMs:         8,
		EngineKind:  "escriba", Engines: 18,
		PlainKind: "caja-tienda", Plains: 4,
		Models: []ModelShape{
			{Name: "escriba-chica", CostPer1000: 0.1, Quality: 0.75, Versions: []string{"v1", "v2"}},
			{Name: "escriba-media", CostPer1000: 0.6, Quality: 0.87, Versions: []string{"v1"}},
			{Name: "escriba-grande", CostPer1000: 2.4, Quality: 0.96, Versions: []string{"v1"}},
		},
		Workspaces: []string{"postal", "naval", "gaucho", "carnaval", "tango", "historia", "arte", "ciencia", "futbol", "puerto"},
		Large:      3,
	}
}

// DataCentreOf spreads VMs and upstreams over the data centres in turn.
func (s Shape) DataCentreOf(i int) jdaw.DataCentre {
	return s.DataCentres[i%len(s.DataCentres)]
}

// VersionNames returns all versions as "model@version".
func (s Shape) VersionNames() []string {
	var names []string
	for _, m := range s.Models {
		for _, v := range m.Versions {
			names = append(names, m.Name+"@"+v)
		}
	}
	return names
}

// Secrets are the keys that callers and operators of a Shape use.
type Secrets struct {
	Workspaces map[jdaw.WorkspaceID]string
	Operator   string
}

// Limits of the stand-ins' upstreams.
const (
	engineConcurrent = 8
	engineCold       = 2
	plainConcurrent  = 16
)

// Document makes the configuration of the shape. The upstream addresses are
// in the order of the upstreams.
func (s Shape) Document(engines, plains []string) (config.Document, Secrets) {
	secrets := Secrets{Workspaces: map[jdaw.WorkspaceID]string{}}
	doc := config.Document{Revision: 1}
	for _, dc := range s.DataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dc, Region: s.Region})
	}
	s.addModels(&doc)
	s.addUpstreams(&doc, engines, plains)
	for i, name := range s.Workspaces {
		id := jdaw.WorkspaceID(name)
		key, hash := config.NewSecret("jw", fmt.Sprintf("w%d", i))
		secrets.Workspaces[id] = key
		doc.Workspaces = append(doc.Workspaces, s.workspace(i, id, hash))
	}
	token, hash := config.NewSecret("jo", "o1")
	secrets.Operator = token
	doc.Operators = []config.Operator{{Name: "ann", Token: hash, Role: config.RoleOperator}}
	doc.SessionKeys = []config.SessionKey{{ID: "k1", Secret: config.RandomHex(32)}}
	return doc, secrets
}

func (s Shape) addModels(doc *config.Document) {
	cascade := config.Cascade{Name: "standard", QualityTarget: 0.7}
	for _, m := range s.Models {
		model := config.Model{Name: m.Name, Kind: s.EngineKind, CostPer1000: m.CostPer1000}
		for _, v := range m.Versions {
			model.Versions = append(model.Versions, config.Version{Name: v, State: config.VersionActive})
		}
		doc.Models = append(doc.Models, model)
		cascade.Models = append(cascade.Models, m.Name)
	}
	doc.Cascades = []config.Cascade{cascade}
	doc.Services = []config.Service{{
		Name: s.PlainKind, Kind: s.PlainKind,
		Calls: []config.Call{{Method: "POST", PathPrefix: "/search", Idempotent: true}},
	}}
}

func (s Shape) addUpstreams(doc *config.Document, engines, plains []string) {
	for i, address := range engines {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: jdaw.UpstreamID(fmt.Sprintf("%s-%d", s.EngineKind, i+1)), Kind: s.EngineKind, Protocol: config.ProtocolEngine,
			DataCentre: s.DataCentreOf(i), Address: address, Versions: s.VersionNames(),
			MaxConcurrent: engineConcurrent, ColdConcurrent: engineCold, ChecksFence: i%2 == 0,
		})
	}
	for i, address := range plains {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: jdaw.UpstreamID(fmt.Sprintf("%s-%d", s.PlainKind, i+1)), Kind: s.PlainKind, Protocol: config.ProtocolService,
			DataCentre: s.DataCentreOf(i), Address: address,
			MaxConcurrent: plainConcurrent, ColdConcurrent: engineCold,
		})
	}
}

func (s Shape) workspace(i int, id jdaw.WorkspaceID, hash config.SecretHash) config.Workspace {
	w := config.Workspace{
		ID: id, Keys: []config.SecretHash{hash}, Services: []string{s.PlainKind}, Cascade: "standard", Weight: 1,
		Outlets: []config.Outlet{
			{Name: "counter", WaitMillis: 10_000, Priority: jdaw.PriorityInteractive},
			{Name: "office", WaitMillis: 60_000, Priority: jdaw.PriorityBatch},
		},
	}
	for _, m := range s.Models {
		w.Allow = append(w.Allow, m.Name)
	}
	if i < s.Large {
		w.Weight = 3
	}
	return w
}
