package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// StoreKey is the key of the document in the key-value service.
const StoreKey = "jdaw/config"

// maxChangeRecords bounds the list of accepted changes in the document. A
// writer whose answer was lost must read back before so many later changes.
const maxChangeRecords = 64

// Document is the configuration of one deployment.
type Document struct {
	Revision    jdaw.Revision  `json:"revision" yaml:"revision"`
	Changes     []ChangeRecord `json:"changes,omitempty" yaml:"changes,omitempty"`
	DataCentres []DataCentre   `json:"dataCentres" yaml:"dataCentres"`
	Models      []Model        `json:"models" yaml:"models"`
	Rollouts    []Rollout      `json:"rollouts,omitempty" yaml:"rollouts,omitempty"`
	Cascades    []Cascade      `json:"cascades,omitempty" yaml:"cascades,omitempty"`
	Services    []Service      `json:"services,omitempty" yaml:"services,omitempty"`
	Workspaces  []Workspace    `json:"workspaces" yaml:"workspaces"`
	Upstreams   []Upstream     `json:"upstreams" yaml:"upstreams"`
	SessionKeys []SessionKey   `json:"sessionKeys,omitempty" yaml:"sessionKeys,omitempty"`
	Operators   []Operator     `json:"operators,omitempty" yaml:"operators,omitempty"`
	// LoadsPerMinute bounds the loads that the VMs of one region order from the
	// weight store; 0 means 6.
	LoadsPerMinute int         `json:"loadsPerMinute,omitempty" yaml:"loadsPerMinute,omitempty"`
	DrainingVMs    []jdaw.VMID `json:"drainingVMs,omitempty" yaml:"drainingVMs,omitempty"`
	// ResolvedSuspensions are ids of suspensions that this document replaces,
	// either because it states the same or because an operator lifted them.
	ResolvedSuspensions []string `json:"resolvedSuspensions,omitempty" yaml:"resolvedSuspensions,omitempty"`
}

// ChangeRecord names an accepted change.
type ChangeRecord struct {
	ID       string        `json:"id" yaml:"id"`
	Operator string        `json:"operator" yaml:"operator"`
	Revision jdaw.Revision `json:"revision" yaml:"revision"`
	Objects  []string      `json:"objects" yaml:"objects"` // "kind/name"
	At       time.Time     `json:"at" yaml:"at"`
}

// DataCentre is a data centre and whether operators have taken it out.
type DataCentre struct {
	Name   jdaw.DataCentre `json:"name" yaml:"name"`
	Region jdaw.Region     `json:"region" yaml:"region"`
	Out    bool            `json:"out,omitempty" yaml:"out,omitempty"`
}

// VersionState is the state of a model version.
type VersionState string

// States of a version.
const (
	VersionActive    VersionState = "active"
	VersionRollout   VersionState = "rollout"
	VersionWithdrawn VersionState = "withdrawn"
)

// Model is a model with its versions; the first active version is the stable one.
type Model struct {
	Name string `json:"name" yaml:"name"`
	// Kind names the upstreams that serve the model.
	Kind             string    `json:"kind" yaml:"kind"`
	CostPer1000      float64   `json:"costPer1000" yaml:"costPer1000"` // currency units per 1,000 tokens
	Versions         []Version `json:"versions" yaml:"versions"`
	FirstTokenMillis int       `json:"firstTokenMillis,omitempty" yaml:"firstTokenMillis,omitempty"`
}

// Version is one version of a model.
type Version struct {
	Name   string       `json:"name" yaml:"name"`
	State  VersionState `json:"state" yaml:"state"`
	Reason string       `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// RolloutState is the state of a roll-out.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning RolloutState = "running"
	RolloutHalted  RolloutState = "halted"
)

// Rollout sends a share of a model's new sessions and requests to a new version.
type Rollout struct {
	Model        string       `json:"model" yaml:"model"`
	Version      string       `json:"version" yaml:"version"`
	SharePercent float64      `json:"sharePercent" yaml:"sharePercent"`
	State        RolloutState `json:"state" yaml:"state"`
	StartedAt    time.Time    `json:"startedAt,omitempty" yaml:"startedAt,omitempty"`
}

// Cascade is a list of models from cheap to costly with a quality target.
type Cascade struct {
	Name          string   `json:"name" yaml:"name"`
	Models        []string `json:"models" yaml:"models"`
	QualityTarget float64  `json:"qualityTarget" yaml:"qualityTarget"` // 0..1
}

// Service is a plain service behind the router.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Kind names the upstreams that run the service.
	Kind  string `json:"kind" yaml:"kind"`
	Calls []Call `json:"calls" yaml:"calls"`
}

// Call says which calls of a service may be repeated. The longest matching
// prefix wins; a call that matches none is not idempotent unless it is a GET
// or a HEAD.
type Call struct {
	Method     string `json:"method" yaml:"method"`
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix"`
	Idempotent bool   `json:"idempotent" yaml:"idempotent"`
}

// Workspace is a team with its keys and permissions.
type Workspace struct {
	ID   jdaw.WorkspaceID `json:"id" yaml:"id"`
	Keys []SecretHash     `json:"keys" yaml:"keys"`
	// Allow lists "model", "model@version" or "model@*"; "model" and
	// "model@*" allow each version that is not withdrawn.
	Allow    []string `json:"allow" yaml:"allow"`
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	Weight   float64  `json:"weight,omitempty" yaml:"weight,omitempty"` // share under load; 0 means 1
	Cascade  string   `json:"cascade,omitempty" yaml:"cascade,omitempty"`
	Outlets  []Outlet `json:"outlets,omitempty" yaml:"outlets,omitempty"`
}

// Outlet is a place with opening hours and a tolerance for delay.
type Outlet struct {
	Name        string            `json:"name" yaml:"name"`
	DataCentres []jdaw.DataCentre `json:"dataCentres,omitempty" yaml:"dataCentres,omitempty"` // in order of preference
	Opens       string            `json:"opens,omitempty" yaml:"opens,omitempty"`             // "08:30"; empty: always open
	Closes      string            `json:"closes,omitempty" yaml:"closes,omitempty"`
	TimeZone    string            `json:"timeZone,omitempty" yaml:"timeZone,omitempty"` // IANA name
	WaitMillis  int               `json:"waitMillis" yaml:"waitMillis"`                 // longest wait for a whole answer
	Priority    jdaw.Priority     `json:"priority,omitempty" yaml:"priority,omitempty"`
}

// UpstreamProtocol says how the router talks to an upstream.
type UpstreamProtocol string

// Protocols of upstreams.
const (
	ProtocolEngine  UpstreamProtocol = "engine"  // OpenAI-compatible model engine
	ProtocolService UpstreamProtocol = "service" // plain HTTP service
)

// Upstream is one model engine or one instance of a plain service.
type Upstream struct {
	ID         jdaw.UpstreamID  `json:"id" yaml:"id"`
	Kind       string           `json:"kind" yaml:"kind"`
	Protocol   UpstreamProtocol `json:"protocol" yaml:"protocol"`
	DataCentre jdaw.DataCentre  `json:"dataCentre" yaml:"dataCentre"`
	Address    string           `json:"address" yaml:"address"` // http://IP:port
	// Versions lists "model@version" that the engine has loaded. Empty means
	// that the engine's load report says it.
	Versions []string `json:"versions,omitempty" yaml:"versions,omitempty"`
	// Placement lists "model@version" that the engine is ordered to have loaded;
	// empty means that it gets no orders. Versions is then left empty.
	Placement      []string `json:"placement,omitempty" yaml:"placement,omitempty"`
	MaxConcurrent  int      `json:"maxConcurrent" yaml:"maxConcurrent"`
	ColdConcurrent int      `json:"coldConcurrent" yaml:"coldConcurrent"`
	// ColdMillis is the time after a start in which the upstream can take no
	// more than ColdConcurrent. 0 means that timely first tokens alone show it.
	ColdMillis int `json:"coldMillis,omitempty" yaml:"coldMillis,omitempty"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty" yaml:"checksFence,omitempty"`
	Leaving     bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Pool returns the pool that the upstream belongs to.
func (u Upstream) Pool() jdaw.PoolID {
	return jdaw.PoolID{Kind: u.Kind, DataCentre: u.DataCentre}
}

// SessionKey signs session tokens and issued idempotency keys. The first key
// signs; the others only verify, so that a rotation breaks no session.
type SessionKey struct {
	ID     string `json:"id" yaml:"id"`
	Secret string `json:"secret" yaml:"secret"` // 32 bytes in hex
}

// Role says what an operator may do.
type Role string

// Roles of operators.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleOwner    Role = "workspaceOwner" // of one workspace
)

// Operator is a user of the administration API.
type Operator struct {
	Name      string           `json:"name" yaml:"name"`
	Token     SecretHash       `json:"token" yaml:"token"`
	Role      Role             `json:"role" yaml:"role"`
	Workspace jdaw.WorkspaceID `json:"workspace,omitempty" yaml:"workspace,omitempty"`
}

// Encode returns the document as JSON.
func (d Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "encode configuration")
}

// DecodeDocument reads the JSON that Encode writes.
func DecodeDocument(b []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(b, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}

// HasChange reports whether the change with this id has been accepted.
func (d Document) HasChange(id string) bool {
	for _, c := range d.Changes {
		if c.ID == id {
			return true
		}
	}
	return false
}
