// Package setup generates a configuration from a questionnaire about outlets,
// trades, hours and tolerance for cost and delay.
//
// # Usage
//
//	answers, faults := setup.ParseAnswers("answers.yaml", b) // or setup.Ask(os.Stdin, os.Stdout)
//	result, err := setup.Generate(answers)
//	os.WriteFile("configuration.yaml", result.YAML, 0o600)
//
// The generated file passes the checks of package config and carries the
// reason of each choice as a comment. The keys and tokens are returned apart,
// since the configuration holds only their hashes.
package setup

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Tolerance says what matters more when cost and delay pull apart.
type Tolerance string

// Tolerances.
const (
	PreferCost  Tolerance = "cost"
	Balanced    Tolerance = "balanced"
	PreferDelay Tolerance = "delay"
)

// Answers are the answers to the questionnaire.
type Answers struct {
	Region      jdaw.Region       `yaml:"region"`
	DataCentres []jdaw.DataCentre `yaml:"dataCentres"`
	Prefer      Tolerance         `yaml:"prefer"`
	Quality     float64           `yaml:"quality"` // wanted share of good answers, 0..1
	Models      []ModelAnswer     `yaml:"models"`
	Upstreams   []UpstreamAnswer  `yaml:"upstreams"`
	Services    []ServiceAnswer   `yaml:"services"`
	Teams       []TeamAnswer      `yaml:"teams"`
	Operators   []string          `yaml:"operators"`
}

// ModelAnswer describes a model.
type ModelAnswer struct {
	Name        string  `yaml:"name"`
	Version     string  `yaml:"version"`
	Kind        string  `yaml:"kind"`
	CostPer1000 float64 `yaml:"costPer1000"`
}

// UpstreamAnswer describes the upstreams of one kind in one data centre.
type UpstreamAnswer struct {
	Kind       string          `yaml:"kind"`
	DataCentre jdaw.DataCentre `yaml:"dataCentre"`
	Addresses  []string        `yaml:"addresses"`
	AtOnce     int             `yaml:"atOnce"` // requests that one upstream runs at once
}

// ServiceAnswer describes a plain service.
type ServiceAnswer struct {
	Name string `yaml:"name"`
	Kind string `yaml:"kind"`
	// MayRepeat lists "METHOD /path" of calls that may be sent twice.
	MayRepeat []string `yaml:"mayRepeat"`
}

// TeamAnswer describes a team, which becomes a workspace.
type TeamAnswer struct {
	Name     string         `yaml:"name"`
	Large    bool           `yaml:"large"`
	Models   []string       `yaml:"models"` // empty: all
	Services []string       `yaml:"services"`
	Outlets  []OutletAnswer `yaml:"outlets"`
}

// OutletAnswer describes an outlet.
type OutletAnswer struct {
	Name        string            `yaml:"name"`
	Trade       string            `yaml:"trade"` // counter, bench, office
	Opens       string            `yaml:"opens"`
	Closes      string            `yaml:"closes"`
	TimeZone    string            `yaml:"timeZone"`
	DataCentres []jdaw.DataCentre `yaml:"dataCentres"`
	WaitSeconds float64           `yaml:"waitSeconds"`
}

// Result is a generated configuration.
type Result struct {
	Document config.Document
	YAML     []byte   // with the reasons as comments
	Secrets  []Secret // shown once
}

// Secret is a generated key or token.
type Secret struct {
	Owner string // "workspace heats", "operator ann"
	Value string
}

// coldShare is the part of an upstream's full load that it is given right
// after its start: an eighth, but at least one request.
const coldShare = 8

// largeWeight is the weight of a large team, against 1 of the others.
const largeWeight = 3

// defaultQuality is used when the answers leave the quality out.
const defaultQuality = 0.8

// ParseAnswers reads a file of answers; unknown fields are faults.
func ParseAnswers(file string, b []byte) (Answers, config.Faults) {
	var a Answers
	faults := config.DecodeStrict(file, b, &a)
	return a, faults
}

// Generate makes a configuration. The error lists what the answers lack.
func Generate(a Answers) (Result, error) {
	g := &generator{answers: a, comments: yaml.CommentMap{}}
	g.dataCentres()
	g.models()
	g.cascade()
	g.services()
	g.upstreams()
	g.teams()
	g.operators()
	g.doc.SessionKeys = []config.SessionKey{{ID: "k1", Secret: config.RandomHex(32)}}
	if faults := g.doc.Check(); len(faults) > 0 {
		return Result{}, errors.Wrap(faults.Err(), "the answers do not give a valid configuration")
	}
	out, err := yaml.MarshalWithOptions(g.doc, yaml.WithComment(g.comments))
	if err != nil {
		return Result{}, errors.Wrap(err, "write configuration")
	}
	return Result{Document: g.doc, YAML: out, Secrets: g.secrets}, nil
}

type generator struct {
	answers  Answers
	doc      config.Document
	comments yaml.CommentMap
	secrets  []Secret
}

func (g *generator) reason(path, format string, args ...any) {
	g.comments[path] = []*yaml.Comment{yaml.HeadComment(" " + fmt.Sprintf(format, args...))}
}

func (g *generator) dataCentres() {
	for _, dc := range g.answers.DataCentres {
		g.doc.DataCentres = append(g.doc.DataCentres, config.DataCentre{Name: dc, Region: g.answers.Region})
	}
}

func (g *generator) models() {
	models := append([]ModelAnswer(nil), g.answers.Models...)
	sort.SliceStable(models, func(i, j int) bool { return models[i].CostPer1000 < models[j].CostPer1000 })
	for _, m := range models {
		g.doc.Models = append(g.doc.Models, config.Model{
			Name: m.Name, Kind: m.Kind, CostPer1000: m.CostPer1000,
			Versions: []config.Version{{Name: m.Version, State: config.VersionActive}},
		})
	}
}

// cascade makes one cascade over the models that the tolerance admits.
func (g *generator) cascade() {
	if len(g.doc.Models) == 0 {
		return
	}
	quality := g.answers.Quality
	if quality == 0 {
		quality = defaultQuality
	}
	models := g.doc.Models
	why := "all models from cheap to costly, since cost and delay weigh alike"
	switch g.answers.Prefer {
	case PreferDelay:
		models = models[max(0, len(models)-2):]
		why = "the two costliest models only, since each step that is rated and repeated adds delay"
	case PreferCost:
		why = "all models from cheap to costly, since cost weighs most and a cheap answer often suffices"
	}
	var names []string
	for _, m := range models {
		names = append(names, m.Name)
	}
	g.doc.Cascades = []config.Cascade{{Name: "standard", Models: names, QualityTarget: quality}}
	g.reason("$.cascades[0].models", "%s", why)
	g.reason("$.cascades[0].qualityTarget", "answers rated below this are asked again at the next model")
}

func (g *generator) services() {
	for _, s := range g.answers.Services {
		svc := config.Service{Name: s.Name, Kind: s.Kind}
		for _, call := range s.MayRepeat {
			method, path, _ := strings.Cut(call, " ")
			svc.Calls = append(svc.Calls, config.Call{Method: method, PathPrefix: path, Idempotent: true})
		}
		g.doc.Services = append(g.doc.Services, svc)
	}
	if len(g.doc.Services) > 0 {
		g.reason("$.services", "calls that are not listed run at most once, except GET and HEAD")
	}
}

func (g *generator) upstreams() {
	plain := map[string]bool{}
	for _, s := range g.answers.Services {
		plain[s.Kind] = true
	}
	for _, u := range g.answers.Upstreams {
		for i, address := range u.Addresses {
			protocol := config.ProtocolEngine
			if plain[u.Kind] {
				protocol = config.ProtocolService
			}
			g.doc.Upstreams = append(g.doc.Upstreams, config.Upstream{
				ID:         jdaw.UpstreamID(fmt.Sprintf("%s-%s-%d", u.Kind, u.DataCentre, i+1)),
				Kind:       u.Kind,
				Protocol:   protocol,
				DataCentre: u.DataCentre,
				Address:    address,
				// A cold upstream falls over under full load.
				MaxConcurrent:  u.AtOnce,
				ColdConcurrent: max(1, u.AtOnce/coldShare),
			})
		}
	}
	if len(g.doc.Upstreams) > 0 {
		g.reason("$.upstreams", "coldConcurrent is an eighth of maxConcurrent: a cold upstream falls over under full load")
	}
}

func (g *generator) teams() {
	for i, t := range g.answers.Teams {
		key, hash := config.NewSecret("jw", "w"+fmt.Sprint(i+1))
		g.secrets = append(g.secrets, Secret{Owner: "workspace " + t.Name, Value: key})
		w := config.Workspace{
			ID: jdaw.WorkspaceID(t.Name), Keys: []config.SecretHash{hash},
			Allow: t.Models, Services: t.Services, Weight: 1,
		}
		if len(w.Allow) == 0 {
			for _, m := range g.doc.Models {
				w.Allow = append(w.Allow, m.Name)
			}
		}
		if len(g.doc.Cascades) > 0 {
			w.Cascade = g.doc.Cascades[0].Name
		}
		if t.Large {
			w.Weight = largeWeight
			g.reason(fmt.Sprintf("$.workspaces[%d].weight", i), "a large team has %d shares when upstreams are short", largeWeight)
		}
		for j, o := range t.Outlets {
			w.Outlets = append(w.Outlets, g.outlet(i, j, o))
		}
		g.doc.Workspaces = append(g.doc.Workspaces, w)
	}
}

func (g *generator) outlet(team, i int, o OutletAnswer) config.Outlet {
	priority, why := jdaw.PriorityNormal, "ordinary priority"
	switch o.Trade {
	case "counter", "bench":
		priority, why = jdaw.PriorityInteractive, "people wait at the "+o.Trade
	case "office":
		priority, why = jdaw.PriorityBatch, "office work can wait"
	}
	g.reason(fmt.Sprintf("$.workspaces[%d].outlets[%d].priority", team, i), "%s", why)
	return config.Outlet{
		Name: o.Name, DataCentres: o.DataCentres, Opens: o.Opens, Closes: o.Closes, TimeZone: o.TimeZone,
		WaitMillis: int(math.Round(o.WaitSeconds * 1000)), Priority: priority,
	}
}

func (g *generator) operators() {
	for i, name := range g.answers.Operators {
		token, hash := config.NewSecret("jo", "o"+fmt.Sprint(i+1))
		g.secrets = append(g.secrets, Secret{Owner: "operator " + name, Value: token})
		g.doc.Operators = append(g.doc.Operators, config.Operator{Name: name, Token: hash, Role: config.RoleOperator})
	}
}
