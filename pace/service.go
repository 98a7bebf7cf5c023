package pace

import (
	"math"
	"math/bits"
	"time"
)

const (
	// minSpeed and maxSpeed are well outside the speeds of upstreams of one service,
	// which differ by about two to one.
	minSpeed = 0.4
	maxSpeed = 2.5
	// priorSamples keeps single durations from moving the speed of an upstream.
	priorSamples = 3
	// halfLife spans tens of requests to an upstream over all VMs.
	halfLife = 20 * time.Second
	// slowdownTime is about as long as a slowdown lasts: it changes several times a
	// second.
	slowdownTime = 400 * time.Millisecond
	// reportTime is about the age at which the backlogs of other VMs say more.
	reportTime = 200 * time.Millisecond
)

// Config configures a Service. Zero values take the defaults.
type Config struct {
	// MinSpeed and MaxSpeed limit base speeds; 0.4 and 2.5.
	MinSpeed, MaxSpeed float64
	// PriorSamples is the number of samples of speed 1 that a base speed starts
	// from; 3.
	PriorSamples float64
	// HalfLife is the time in which samples lose half of their weight; 20 s.
	HalfLife time.Duration
	// SlowdownTime is the time in which a stated slowdown falls to 1; 400 ms.
	SlowdownTime time.Duration
	// ReportTime is the time in which the weight of the stated number of
	// requests falls to 0; 200 ms.
	ReportTime time.Duration
}

// WithDefaults returns the configuration with defaults for zero values.
func (c Config) WithDefaults() Config {
	if c.MinSpeed <= 0 {
		c.MinSpeed = minSpeed
	}
	if c.MaxSpeed <= 0 {
		c.MaxSpeed = maxSpeed
	}
	if c.PriorSamples <= 0 {
		c.PriorSamples = priorSamples
	}
	if c.HalfLife <= 0 {
		c.HalfLife = halfLife
	}
	if c.SlowdownTime <= 0 {
		c.SlowdownTime = slowdownTime
	}
	if c.ReportTime <= 0 {
		c.ReportTime = reportTime
	}
	return c
}

// Kind is a kind of duration.
type Kind string

// Kinds of durations.
const (
	KindFirst  Kind = "first"  // from the dispatch to the first event, per token of work
	KindEvents Kind = "events" // between two events
	KindWhole  Kind = "whole"  // of a plain answer
)

// weight is the number of samples that one duration counts for. Work that other
// VMs sent is known late, so first events say less.
func (k Kind) weight() float64 {
	if k == KindFirst {
		return 0.5
	}
	return 1
}

// Sample is a measured duration.
type Sample struct {
	Kind Kind
	// Name separates durations that aren't comparable, such as those of routes.
	Name string
	// Amount is the work in tokens for KindFirst, 1 otherwise.
	Amount float64
	// Running is the number of requests that the upstream stated to run. The
	// events of a full batch take longer.
	Running  int
	Took     time.Duration
	Slowdown float64 // stated in the response, 0 if it wasn't
}

// level groups similar amounts of work or load: a fixed time per prompt makes
// small ones slower per token.
func level(k Kind, amount float64, running int) int {
	switch k {
	case KindFirst:
		return bits.Len(uint(max(amount, 0)/levelTokens)) / 2
	case KindEvents:
		return bits.Len(uint(max(running, 0)))
	default:
		return 0
	}
}

// levelTokens is half of the work, in tokens, at which the lowest level ends; each
// further one ends at four times as many.
const levelTokens = 1000

const (
	// minUsual is the number of durations required to compare others with them.
	minUsual = 5
	// usualStep is the least weight of a new duration in the usual one.
	usualStep = 0.03
	// maxDeviation limits the deviation of one duration, as a logarithm: a hung
	// request must not move the usual duration by more than one that took five
	// times as long.
	maxDeviation = 1.6
	// reportsAge is the age of the last stated slowdown at which a service counts
	// as one that states none. Single VMs send plain requests at times seconds
	// apart.
	reportsAge = time.Minute
)

type usualKey struct {
	kind  Kind
	name  string
	level int
}

// usual is the typical duration of one kind, as the mean of logarithms.
type usual struct {
	mean, variance float64
	samples        int
}

func (x usual) with(value float64) usual {
	x.samples++
	step := max(1/float64(x.samples), usualStep)
	d := value - x.mean
	if x.samples > minUsual {
		d = min(max(d, -maxDeviation), maxDeviation)
	}
	x.mean += step * d
	x.variance += step * (d*d - x.variance)
	return x
}

// Service is what one VM knows of a service.
type Service struct {
	cfg          Config
	slowdownAt   time.Time // of the last stated slowdown
	hasSlowdowns bool
	usual        map[usualKey]usual
}

// NewService returns a service without upstreams.
func NewService(cfg Config) *Service {
	return &Service{cfg: cfg.WithDefaults(), usual: map[usualKey]usual{}}
}

// Reports reports whether upstreams of the service state their slowdown. The
// decisions of this package are used only for such services.
func (s *Service) Reports(at time.Time) bool {
	return s != nil && s.hasSlowdowns && at.Sub(s.slowdownAt) < reportsAge
}

// find returns the usual duration of a kind, at the nearest level that has enough
// samples.
func (s *Service) find(k Kind, name string, lvl int) (usual, bool) {
	for distance := range maxLevels {
		for _, l := range [2]int{lvl - distance, lvl + distance} {
			if x := s.usual[usualKey{k, name, l}]; x.samples >= minUsual {
				return x, true
			}
		}
	}
	return usual{}, false
}

// maxLevels is above the number of levels that occur.
const maxLevels = 12

// maxUsual limits the usual durations kept. A service has few routes, and few
// levels each.
const maxUsual = 500

// observe adds a duration and returns its speed relative to the usual one, or
// false if there are too few to compare with.
func (s *Service) observe(x Sample) (speed float64, ok bool) {
	if x.Took <= 0 || x.Amount <= 0 {
		return 0, false
	}
	value := math.Log(x.Took.Seconds() / x.Amount)
	if x.Slowdown > 0 && x.Took < s.cfg.SlowdownTime {
		// A slowdown stated at the end of longer work says little of its start.
		value -= math.Log(clampSlowdown(x.Slowdown))
	}
	key := usualKey{x.Kind, x.Name, level(x.Kind, x.Amount, x.Running)}
	known, ok := s.usual[key]
	if !ok && len(s.usual) >= maxUsual {
		return 0, false
	}
	s.usual[key] = known.with(value)
	if known.samples < minUsual {
		return 0, false
	}
	return min(max(math.Exp(known.mean-value), s.cfg.MinSpeed), s.cfg.MaxSpeed), true
}
