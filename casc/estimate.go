package casc

import (
	"encoding/binary"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
)

// Priors of a model without observations.
const (
	// priorAccept is above one half, so that a model without observations is used.
	priorAccept = 0.7
	priorTokens = 500.0
	// priorP95 is the p95 of a model without data.
	priorP95 = 2 * time.Second
	// escalatedFactor lowers the prior after a rejection: rejections of
	// the same request are correlated.
	escalatedFactor = 0.8
)

// shrinkWeight is the number of observations at which a key's own data and the
// estimate of the next wider key have equal weight.
const shrinkWeight = 12.0

// minLatencySamples is the least number of durations for a key's own quantiles
// to be used; below it the p95 rests on less than one sample.
const minLatencySamples = 20

// latencyMaxAge is the age from which on quantiles are ignored. Otherwise a model
// whose latency rose temporarily would never be started again, because its p95
// fits into no deadline and no new durations are measured.
const latencyMaxAge = 30 * time.Minute

// Key identifies an estimate. An empty field stands for all values.
type Key struct {
	Workspace jdaw.WorkspaceID
	Task      string
	Model     string
}

// widen returns the key and its fallbacks, from narrow to wide.
func (k Key) widen() [3]Key {
	return [3]Key{k, {Task: k.Task, Model: k.Model}, {Model: k.Model}}
}

// acrossModels returns the key of the task over all models. The length of an
// answer depends more on the task than on the model.
func (k Key) acrossModels() Key { return Key{Task: k.Task} }

// isWholeModel reports whether the key covers all tasks of a model.
func (k Key) isWholeModel() bool { return k.Workspace == "" && k.Task == "" && k.Model != "" }

// Evidence holds the observations of one key. The counts are decayed.
type Evidence struct {
	Rated             float64 // first steps with a rating
	Accepted          float64
	EscalatedRated    float64 // steps after a rejection with a rating
	EscalatedAccepted float64
	Steps             float64
	Tokens            float64
	Durations         float64
	// Latency is per step; for the key of a whole model, per 1,000 tokens, so
	// that it applies to a task with answers of another length.
	Latency    Quantiles
	MeasuredAt time.Time // last duration
}

// Estimate is the posterior estimate of one model for one request.
type Estimate struct {
	Accept          float64 // probability that a first answer reaches the target
	AcceptEscalated float64 // the same after the rejection of a cheaper answer
	Tokens          float64 // expected number
	Latency         Quantiles
	Weight          float64 // rated first steps of the narrow key itself
	EscalatedWeight float64 // rated escalated steps of the narrow key itself
}

// Snapshot is an immutable set of estimates.
type Snapshot struct {
	// RatedShare is the share of recent answers that got a rating in time; 0
	// if the rating service is down.
	RatedShare float64
	At         time.Time

	evidence map[Key]*Evidence
}

var emptySnapshot = &Snapshot{RatedShare: 1}

var priorLatency = func() Quantiles {
	var q Quantiles
	for i := range q {
		q[i] = time.Duration(float64(priorP95) * quantileShares[i] / quantileShares[indexP95])
	}
	return q
}()

// Len returns the number of keys.
func (s *Snapshot) Len() int { return len(s.evidence) }

// Estimate combines the evidence of the key and its fallbacks. Each wider
// estimate is the Beta prior of the narrower one.
func (s *Snapshot) Estimate(k Key) Estimate {
	var levels [3]*Evidence
	for i, key := range k.widen() {
		levels[i] = s.evidence[key]
	}
	e := Estimate{Accept: priorAccept, Tokens: priorTokens, Latency: priorLatency}
	for i := len(levels) - 1; i >= 0; i-- {
		if ev := levels[i]; ev != nil {
			e.Accept = shrink(ev.Accepted, ev.Rated, e.Accept)
		}
	}
	e.AcceptEscalated = e.Accept * escalatedFactor
	for i := len(levels) - 1; i >= 0; i-- {
		if ev := levels[i]; ev != nil {
			e.AcceptEscalated = shrink(ev.EscalatedAccepted, ev.EscalatedRated, e.AcceptEscalated)
		}
	}
	s.addTokens(&e, k, levels)
	s.addLatency(&e, levels)
	if levels[0] != nil {
		e.Weight = levels[0].Rated
		e.EscalatedWeight = levels[0].EscalatedRated
	}
	return e
}

func (s *Snapshot) addTokens(e *Estimate, k Key, levels [3]*Evidence) {
	wide := s.evidence[k.acrossModels()]
	for _, ev := range [3]*Evidence{wide, levels[1], levels[0]} {
		if ev != nil {
			e.Tokens = shrink(ev.Tokens, ev.Steps, e.Tokens)
		}
	}
}

func (s *Snapshot) addLatency(e *Estimate, levels [3]*Evidence) {
	for i, ev := range levels {
		if ev == nil || ev.Durations < minLatencySamples || s.At.Sub(ev.MeasuredAt) > latencyMaxAge {
			continue
		}
		e.Latency = ev.Latency
		if i == len(levels)-1 {
			e.Latency = ev.Latency.scale(e.Tokens / 1000)
		}
		return
	}
}

// shrink returns the mean of n observations with the given sum and
// shrinkWeight observations of the prior.
func shrink(sum, n, prior float64) float64 {
	return (sum + shrinkWeight*prior) / (n + shrinkWeight)
}

// Digest returns a hash over all evidence, for comparing two replays.
func (s *Snapshot) Digest() uint64 {
	keys := make([]Key, 0, len(s.evidence))
	for k := range s.evidence {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	d := xxhash.New()
	writeFloats(d, s.RatedShare)
	for _, k := range keys {
		_, _ = d.WriteString(string(k.Workspace) + "\x00" + k.Task + "\x00" + k.Model + "\x00")
		ev := s.evidence[k]
		writeFloats(d, ev.Rated, ev.Accepted, ev.EscalatedRated, ev.EscalatedAccepted, ev.Steps, ev.Tokens, ev.Durations)
		for _, q := range ev.Latency {
			writeFloats(d, float64(q))
		}
	}
	return d.Sum64()
}

func (k Key) less(o Key) bool {
	if k.Workspace != o.Workspace {
		return k.Workspace < o.Workspace
	}
	if k.Task != o.Task {
		return k.Task < o.Task
	}
	return k.Model < o.Model
}

func writeFloats(d *xxhash.Digest, values ...float64) {
	var b [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(b[:], math.Float64bits(v))
		_, _ = d.Write(b[:])
	}
}
