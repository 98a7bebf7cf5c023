package config

import (
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"jackdawbarrow"
)

// Settings are the values that one process reads at its start. They name this
// process's place; what all processes share is in the [Document].
type Settings struct {
	VM         jdaw.VMID       `yaml:"vm"`
	DataCentre jdaw.DataCentre `yaml:"dataCentre"`
	Region     jdaw.Region     `yaml:"region"`
	Listen     Addresses       `yaml:"listen"`
	// Advertise is what other processes and callers are told; empty fields
	// take the address listened on.
	Advertise Addresses     `yaml:"advertise"`
	Store     StoreSettings `yaml:"store"`
	VMList    string        `yaml:"vmList"`  // URL of the VM list
	Ratings   string        `yaml:"ratings"` // URL of the rating service
	Seeds     []string      `yaml:"seeds"`   // peer addresses used while the VM list is down
	Limits    Limits        `yaml:"limits"`
	TLS       TLSSettings   `yaml:"tls"`
	Log       LogSettings   `yaml:"log"`
	Record    string        `yaml:"record"` // file that control events are recorded to
}

// Addresses are IP:port of the three services of a process.
type Addresses struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	Admin   string `yaml:"admin"`
}

// StoreSettings name the key-value service.
type StoreSettings struct {
	Addresses []string `yaml:"addresses"` // http://IP:port
}

// Limits bound what one process takes in.
type Limits struct {
	BodyBytes int64 `yaml:"bodyBytes"`
	Events    int   `yaml:"events"` // events kept for the time line
}

// TLSSettings name the files for TLS; an empty pair means plain TCP.
type TLSSettings struct {
	Callers KeyPair `yaml:"callers"`
	Admin   KeyPair `yaml:"admin"`
	Peers   KeyPair `yaml:"peers"`
	PeersCA string  `yaml:"peersCA"` // both sides of a peer connection are checked against it
}

// KeyPair names a certificate file and its key file.
type KeyPair struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// IsSet reports whether TLS is on.
func (k KeyPair) IsSet() bool { return k.Cert != "" }

// LogSettings choose the log's level and format.
type LogSettings struct {
	Level  string `yaml:"level"`  // debug, info, warn, error
	Format string `yaml:"format"` // text, json
}

func (s LogSettings) withDefaults(format string) LogSettings {
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Format == "" {
		s.Format = format
	}
	return s
}

func (s LogSettings) check(c *checker) {
	c.oneOf("$.log.level", s.Level, "debug", "info", "warn", "error")
	c.oneOf("$.log.format", s.Format, "text", "json")
}

// Defaults of the settings.
const (
	defaultBodyBytes = 1 << 20
	defaultEvents    = 8192
)

// LoadSettings reads and checks a settings file. The error lists every fault
// with file, line and field.
func LoadSettings(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, faults := ParseSettings(file, b)
	return s, faults.Err()
}

// ParseSettings reads and checks settings in YAML; file is for messages only.
func ParseSettings(file string, b []byte) (Settings, Faults) {
	var s Settings
	faults, ok := parse(file, b, &s, func(c *checker) {
		s = s.WithDefaults()
		s.check(c)
	})
	if !ok {
		return Settings{}, faults
	}
	return s, faults
}

// parse decodes a file into a value and lets check look at it. It returns false
// if the file cannot be decoded.
func parse(file string, b []byte, into any, check func(c *checker)) (Faults, bool) {
	faults, ok := decode(file, b, into)
	if !ok {
		return faults, false
	}
	c := newChecker(file, b)
	check(c)
	return append(faults, c.faults...), true
}

// WithDefaults returns the settings with empty fields filled in.
func (s Settings) WithDefaults() Settings {
	if s.Advertise.Callers == "" && s.Listen.Callers != "" {
		s.Advertise.Callers = "http://" + s.Listen.Callers
		if s.TLS.Callers.IsSet() {
			s.Advertise.Callers = "https://" + s.Listen.Callers
		}
	}
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
	if s.Limits.BodyBytes == 0 {
		s.Limits.BodyBytes = defaultBodyBytes
	}
	if s.Limits.Events == 0 {
		s.Limits.Events = defaultEvents
	}
	s.Log = s.Log.withDefaults("text")
	return s
}

func (s Settings) check(c *checker) {
	c.name("$.vm", string(s.VM))
	c.name("$.dataCentre", string(s.DataCentre))
	c.name("$.region", string(s.Region))
	c.hostPort("$.listen.callers", s.Listen.Callers)
	c.hostPort("$.listen.peers", s.Listen.Peers)
	if s.Listen.Admin != "" {
		c.hostPort("$.listen.admin", s.Listen.Admin)
	}
	if len(s.Store.Addresses) == 0 {
		c.fault("$.store.addresses", "at least one address of the key-value service is needed")
	}
	for i, a := range s.Store.Addresses {
		c.url(index("$.store.addresses", i), a)
	}
	if s.VMList == "" && len(s.Seeds) == 0 {
		c.fault("$.vmList", "either vmList or seeds is needed to find the other VMs")
	}
	if s.VMList != "" {
		c.url("$.vmList", s.VMList)
	}
	if s.Ratings != "" {
		c.url("$.ratings", s.Ratings)
	}
	for i, a := range s.Seeds {
		c.hostPort(index("$.seeds", i), a)
	}
	if s.Limits.BodyBytes < 0 {
		c.fault("$.limits.bodyBytes", "must be at least 1 byte")
	}
	s.Log.check(c)
	c.keyPair("$.tls.callers", s.TLS.Callers)
	c.keyPair("$.tls.admin", s.TLS.Admin)
	c.keyPair("$.tls.peers", s.TLS.Peers)
	if s.TLS.Peers.IsSet() && s.TLS.PeersCA == "" {
		c.fault("$.tls.peersCA", "is needed with tls.peers, since both sides check each other")
	}
}

// checker collects faults with the lines of their fields.
type checker struct {
	file   string
	tree   *ast.File // nil if the values come from no file
	faults Faults
}

func newChecker(file string, source []byte) *checker {
	c := &checker{file: file}
	if len(source) == 0 {
		return c
	}
	if tree, err := parser.ParseBytes(source, 0); err == nil {
		c.tree = tree
	}
	return c
}

// fault records a fault at a YAML path. A field that is absent has the line
// of its nearest parent.
func (c *checker) fault(path, message string) {
	c.faults = append(c.faults, Fault{
		File:    c.file,
		Line:    c.line(path),
		Field:   strings.TrimPrefix(path, "$."),
		Message: message,
	})
}

func (c *checker) line(path string) int {
	if c.tree == nil {
		return 0
	}
	for path != "$" && path != "" {
		p, err := yaml.PathString(path)
		if err != nil {
			return 0
		}
		node, err := p.FilterFile(c.tree)
		if err == nil && node != nil && node.GetToken() != nil {
			return node.GetToken().Position.Line
		}
		path = parentPath(path)
	}
	return 1
}

func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end <= 0 {
		return "$"
	}
	return path[:end]
}

func (c *checker) name(path, value string) {
	if value == "" {
		c.fault(path, "is needed")
		return
	}
	if strings.ContainsAny(value, "/@ \t\n") {
		c.fault(path, "must not contain a space, / or @: "+value)
	}
}

func (c *checker) hostPort(path, value string) {
	if value == "" {
		c.fault(path, "is needed, as IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(path, "must be IP:port with an IP number, not "+value)
	}
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault(path, "must be http://IP:port or https://IP:port, not "+value)
		return
	}
	if net.ParseIP(u.Hostname()) == nil {
		c.fault(path, "must name an IP number and no host name, not "+u.Hostname())
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.fault(path, "must be one of "+strings.Join(allowed, ", ")+", not "+value)
}

func (c *checker) keyPair(path string, k KeyPair) {
	if (k.Cert == "") != (k.Key == "") {
		c.fault(path, "needs both cert and key")
	}
}
