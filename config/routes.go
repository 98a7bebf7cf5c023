package config

import (
	"strings"
	"time"

	"jackdawbarrow"
)

// RouteKind says what may be repeated.
type RouteKind string

// Kinds of routes.
const (
	RouteSafe      RouteKind = "safe"   // may run more than once
	RouteUnsafe    RouteKind = "unsafe" // may run at most once
	RouteStreaming RouteKind = "streaming"
)

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// IsResumable says that a broken stream may go on at another upstream.
	IsResumable bool
	Timeout     time.Duration // longest time that a caller is kept waiting
	Target      time.Duration // time within which an answer is worth most
	MaxGap      time.Duration // longest pause between events of a good stream
	Rank        int           // 0 is the most urgent
	Models      []string      // to choose from, smallest first; empty if the caller names one
	Shares      []ServiceShare
	MaxAttempts int
	IsPublic    bool // needs no key
}

// IsRepeatable reports whether a request may run more than once.
func (r Route) IsRepeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.IsResumable
}

// ServiceShare is a service that gets a share of a route's requests.
type ServiceShare struct {
	Service string
	Weight  float64
}

// ServiceSpec is a service that upstreams register for.
type ServiceSpec struct {
	Name     string
	ColdTime time.Duration // after a start
	ColdRate float64       // requests per second that a cold upstream bears
	Costs    map[string]float64
}

// KeyGrant is what a workspace key stands for.
type KeyGrant struct {
	Workspace jdaw.WorkspaceID
	Rank      int // goes before the route's rank; -1 for none
}

// CallerLimits bound what a caller may send. A limit of 0 is not stated.
type CallerLimits struct {
	BodyBytes   int64
	HeaderBytes int
	HeaderTime  time.Duration // for the header of a request
	IdleTime    time.Duration // between two requests of a connection
}

// Limits on callers that hold where a configuration states none.
const (
	defaultCallerBodyBytes   = 4 << 20
	defaultCallerHeaderBytes = 16 << 10
	defaultCallerHeaderTime  = 3 * time.Second
	DefaultCallerIdleTime    = 15 * time.Second
)

// WithDefaults returns a copy in which all limits are stated.
func (l CallerLimits) WithDefaults() CallerLimits {
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultCallerBodyBytes
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultCallerHeaderBytes
	}
	if l.HeaderTime <= 0 {
		l.HeaderTime = defaultCallerHeaderTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = DefaultCallerIdleTime
	}
	return l
}

// RouteTable is one immutable version of the routes with all that they name.
type RouteTable struct {
	Revision jdaw.Revision
	Services map[string]ServiceSpec
	Limits   CallerLimits
	Keys     map[string]KeyGrant
	HasKeys  bool
	byHost   map[string][]Route
}

// WithRoutes returns a copy with these routes.
func (t RouteTable) WithRoutes(routes []Route) RouteTable {
	t.byHost = map[string][]Route{}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t
}

// Match returns the route of the host with the longest prefix of path.
func (t *RouteTable) Match(host, path string) (Route, bool) {
	best := -1
	routes := t.byHost[host]
	for i := range routes {
		if !strings.HasPrefix(path, routes[i].Prefix) {
			continue
		}
		if best < 0 || len(routes[i].Prefix) > len(routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return routes[best], true
}
