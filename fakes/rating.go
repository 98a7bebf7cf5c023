package fakes

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RatingConfig configures a Rating.
type RatingConfig struct {
	Quality map[string]float64 // "model@version" or "model"; others have 0.9
	Noise   float64            // standard deviation
	Seed    uint64
}

// RatingFault is the body of POST /fake/fault. Quality, if given, is merged
// into the qualities in force; the other fields replace the faults in force.
type RatingFault struct {
	SlowMillis int                `json:"slowMillis,omitempty"`
	Down       bool               `json:"down,omitempty"`
	Quality    map[string]float64 `json:"quality,omitempty"`
}

// defaultQuality is the quality of versions that the configuration leaves out.
const defaultQuality = 0.9

// Rating is a stand-in of the rating service. A rating depends on the quality
// of the version, the seed and the question and answer only.
type Rating struct {
	cfg RatingConfig
	mux *http.ServeMux

	mu      sync.Mutex
	quality map[string]float64
	fault   RatingFault
	count   int
}

// NewRating makes a stand-in rating service.
func NewRating(cfg RatingConfig) *Rating {
	g := &Rating{cfg: cfg, mux: http.NewServeMux(), quality: map[string]float64{}}
	for k, v := range cfg.Quality {
		g.quality[k] = v
	}
	g.mux.HandleFunc("POST /v1/rate", g.rate)
	g.mux.HandleFunc("POST /fake/fault", g.setFault)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Rating) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// SetFault replaces the faults in force.
func (g *Rating) SetFault(f RatingFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
	for k, v := range f.Quality {
		g.quality[k] = v
	}
}

// Count returns the number of ratings given.
func (g *Rating) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

func (g *Rating) rate(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Task   string `json:"task"`
		Prompt string `json:"prompt"`
		Answer string `json:"answer"`
		Model  string `json:"model"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeFakeError(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	g.mu.Lock()
	fault := g.fault
	quality := g.qualityOf(q.Model, q.Answer)
	g.mu.Unlock()
	time.Sleep(time.Duration(fault.SlowMillis) * time.Millisecond)
	if fault.Down {
		writeFakeError(w, http.StatusServiceUnavailable, "rating service is down", true)
		return
	}
	seed := xxhash.Sum64String(q.Task + "\n" + q.Prompt + "\n" + q.Answer + "\n" + q.Model)
	rng := rand.New(rand.NewPCG(seed, g.cfg.Seed))
	rating := quality + g.cfg.Noise*rng.NormFloat64()
	rating = math.Round(min(1, max(0, rating))*10000) / 10000
	g.mu.Lock()
	g.count++
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"rating": rating})
}

var qualityPattern = regexp.MustCompile(`\[quality (\d\.\d{4})\]$`)

// qualityMark is the last token of an answer whose quality a fault has set.
func qualityMark(q float64) string { return fmt.Sprintf("[quality %.4f]", q) }

func (g *Rating) qualityOf(model, answer string) float64 {
	if m := qualityPattern.FindStringSubmatch(answer); m != nil {
		q, _ := strconv.ParseFloat(m[1], 64)
		return q
	}
	if q, ok := g.quality[model]; ok {
		return q
	}
	for i := range model {
		if model[i] != '@' {
			continue
		}
		if q, ok := g.quality[model[:i]]; ok {
			return q
		}
	}
	return defaultQuality
}

func (g *Rating) setFault(w http.ResponseWriter, r *http.Request) {
	var f RatingFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeFakeError(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	g.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}
