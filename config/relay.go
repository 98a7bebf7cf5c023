package config

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// RelaySettings are the values that an entry VM reads at its start if it relays
// requests to upstreams registered in the key-value service.
type RelaySettings struct {
	VM         jdaw.VMID       `yaml:"vm"`
	DataCentre jdaw.DataCentre `yaml:"dataCentre"`
	Region     jdaw.Region     `yaml:"region"`
	// DataCentres are all data centres with their regions.
	DataCentres map[jdaw.DataCentre]jdaw.Region `yaml:"dataCentres"`
	Listen      RelayAddresses                  `yaml:"listen"`
	Store       string                          `yaml:"store"` // http://IP:port
	// DrainSeconds is the time from a stop signal to the end of the process.
	DrainSeconds float64 `yaml:"drainSeconds"`
	MemoryMB     int     `yaml:"memoryMB"` // limit of the process
	// MaxFDs is the limit of the process's open descriptors; 0 takes that of the
	// operating system.
	MaxFDs int `yaml:"maxFds"`
	// ApplyMillis is the time in which a change in the store must be in force.
	ApplyMillis int `yaml:"applyMillis"`
	// Exposure is the largest share of a service's requests that an undecided
	// version may get in its roll-out, 0..1.
	Exposure float64 `yaml:"exposure"`
	// QualityTarget is the confidence, 0..1, that an answer of a cascade must
	// reach.
	QualityTarget float64 `yaml:"qualityTarget"`
	// RankEscalations lets escalations of the most urgent routes go before those
	// of all others at upstreams, whatever the length of their prompts.
	RankEscalations bool            `yaml:"rankEscalations"`
	Hedging         HedgingSettings `yaml:"hedging"`
	Intake          IntakeSettings  `yaml:"intake"`
	// MaxWaiting is the number of requests that may wait at this VM for the slots of
	// one plain service; 0 takes the default.
	MaxWaiting int `yaml:"maxWaiting"`
	// Terms are the platform's names of what it demands of a deployment. Its
	// adapter switches on the settings that they call for.
	Terms []string    `yaml:"terms"`
	Log   LogSettings `yaml:"log"`
}

// HedgingSettings limit the requests for which a second upstream is asked before
// the first has answered.
type HedgingSettings struct {
	// ExtraShare is the largest share of a service's plain requests that get a
	// second upstream, 0..0.25; 0 for none.
	ExtraShare float64 `yaml:"extraShare"`
}

// IntakeSettings bound what callers hold of the process. A value of 0 takes the
// default.
type IntakeSettings struct {
	// ConnectionShare is the part of maxFds for connections of callers, 0..0.9.
	ConnectionShare float64 `yaml:"connectionShare"`
	// HeaderShare is the part of memoryMB for parsed headers, 0..0.5.
	HeaderShare float64 `yaml:"headerShare"`
	// BodyRate is the slowest rate of a body in bytes a second, over
	// BodyWindowSeconds.
	BodyRate          int     `yaml:"bodyRate"`
	BodyWindowSeconds float64 `yaml:"bodyWindowSeconds"`
	// BodySeconds is the longest time of a body.
	BodySeconds float64 `yaml:"bodySeconds"`
	// UnreadSeconds is the longest time in which a caller reads nothing of an answer.
	UnreadSeconds float64 `yaml:"unreadSeconds"`
}

// The largest values of the intake's settings.
const (
	maxConnectionShare = 0.9
	maxHeaderShare     = 0.5
	maxBodyRate        = 1 << 20
	maxIntakeSeconds   = 3600
)

func (s IntakeSettings) check(c *checker) {
	for field, v := range map[string]struct{ value, most float64 }{
		"connectionShare":   {s.ConnectionShare, maxConnectionShare},
		"headerShare":       {s.HeaderShare, maxHeaderShare},
		"bodyRate":          {float64(s.BodyRate), maxBodyRate},
		"bodyWindowSeconds": {s.BodyWindowSeconds, maxIntakeSeconds},
		"bodySeconds":       {s.BodySeconds, maxIntakeSeconds},
		"unreadSeconds":     {s.UnreadSeconds, maxIntakeSeconds},
	} {
		if v.value < 0 || v.value > v.most {
			c.fault("$.intake."+field, fmt.Sprintf("must be between 0 and %g", v.most))
		}
	}
}

// RelayAddresses are IP:port of what the process serves.
type RelayAddresses struct {
	Callers   string `yaml:"callers"`
	Directory string `yaml:"directory"`
	Ready     string `yaml:"ready"`
	Metrics   string `yaml:"metrics"`
	// Peers is for other VMs, which read changes of the store here. Without it,
	// each VM reads the store itself.
	Peers string `yaml:"peers"`
}

// Defaults of the relay's settings.
const (
	defaultDrainSeconds  = 8
	defaultQualityTarget = 0.55
	maxHedgeShare        = 0.25
)

// maxMaxWaiting bounds the memory and the processor time that waiting requests take.
const maxMaxWaiting = 4096

// LoadRelaySettings reads and checks a settings file. The error lists every
// fault with file, line and field.
func LoadRelaySettings(file string) (RelaySettings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return RelaySettings{}, errors.Wrap(err, "read settings")
	}
	s, faults := ParseRelaySettings(file, b)
	return s, faults.Err()
}

// ParseRelaySettings reads and checks settings in YAML; file is for messages
// only.
func ParseRelaySettings(file string, b []byte) (RelaySettings, Faults) {
	var s RelaySettings
	faults, ok := parse(file, b, &s, func(c *checker) {
		s = s.withDefaults()
		s.check(c)
	})
	if !ok {
		return RelaySettings{}, faults
	}
	return s, faults
}

func (s RelaySettings) withDefaults() RelaySettings {
	if s.DrainSeconds == 0 {
		s.DrainSeconds = defaultDrainSeconds
	}
	if s.QualityTarget == 0 {
		s.QualityTarget = defaultQualityTarget
	}
	s.Log = s.Log.withDefaults("json")
	return s
}

func (s RelaySettings) check(c *checker) {
	c.name("$.vm", string(s.VM))
	c.name("$.dataCentre", string(s.DataCentre))
	c.name("$.region", string(s.Region))
	c.hostPort("$.listen.callers", s.Listen.Callers)
	c.hostPort("$.listen.directory", s.Listen.Directory)
	c.hostPort("$.listen.ready", s.Listen.Ready)
	if s.Listen.Metrics != "" {
		c.hostPort("$.listen.metrics", s.Listen.Metrics)
	}
	if s.Listen.Peers != "" {
		c.hostPort("$.listen.peers", s.Listen.Peers)
	}
	c.url("$.store", s.Store)
	if s.DrainSeconds < 0 {
		c.fault("$.drainSeconds", "must not be negative")
	}
	if s.MemoryMB < 0 {
		c.fault("$.memoryMB", "must not be negative")
	}
	if s.MaxFDs < 0 {
		c.fault("$.maxFds", "must not be negative")
	}
	if s.ApplyMillis < 0 {
		c.fault("$.applyMillis", "must not be negative")
	}
	if s.Exposure < 0 || s.Exposure > 1 {
		c.fault("$.exposure", "must be between 0 and 1")
	}
	if s.QualityTarget < 0 || s.QualityTarget > 1 {
		c.fault("$.qualityTarget", "must be between 0 and 1")
	}
	if s.Hedging.ExtraShare < 0 || s.Hedging.ExtraShare > maxHedgeShare {
		c.fault("$.hedging.extraShare", "must be between 0 and 0.25")
	}
	if s.MaxWaiting < 0 || s.MaxWaiting > maxMaxWaiting {
		c.fault("$.maxWaiting", fmt.Sprintf("must be between 0 and %d", maxMaxWaiting))
	}
	s.Intake.check(c)
	s.Log.check(c)
}

// Drain returns the time from a stop signal to the end of the process.
func (s RelaySettings) Drain() time.Duration {
	return time.Duration(s.DrainSeconds * float64(time.Second))
}

// ApplyWithin returns the time in which a change in the store must be in force.
func (s RelaySettings) ApplyWithin() time.Duration {
	return time.Duration(s.ApplyMillis) * time.Millisecond
}
