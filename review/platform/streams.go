package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["1"] = repeatedStream }

// repeatedStream lets one runner in eight hang on part of the requests that it runs,
// on a route whose streams may not be resumed.
func repeatedStream(d *deployment, hasTrouble bool) (verdict, error) {
	const (
		runners = 8
		every   = 5 // one request in so many hangs: 0.2, the limit is 0.4
		timeout = 3 * time.Second
		// The runner hangs from hangsAt after the start of the traffic on, for hangsFor.
		hangsAt  = 5 * time.Second
		hangsFor = 6 * time.Second
	)
	var mu sync.Mutex
	var began time.Time
	seen := 0
	for i := range runners {
		cfg := runnerConfig{
			id: fmt.Sprintf("i-lines-%d", i), service: "lines", zone: zones[i%len(zones)], version: "v1", slots: 32,
			work: 60 * time.Millisecond, events: 4,
		}
		if i == 0 && hasTrouble {
			cfg.hangs = func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				if since := time.Since(began); since < hangsAt || since >= hangsAt+hangsFor {
					return false
				}
				seen++
				return seen%every == 0
			}
		}
		if _, err := d.startRunner(cfg); err != nil {
			return verdict{}, err
		}
	}
	d.configure(
		[]map[string]any{route("lines", "streaming", "lines", timeout, 1, false)},
		[]map[string]any{service("lines", 0)},
	)
	if err := d.startMachines(3); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	t := d.newTraffic()
	for i := range 24 {
		t.start(i, "lines", 5*time.Second, 100*time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	all := t.end()
	runs := map[string][]string{}
	for _, r := range d.runs.all() {
		runs[r.id] = append(runs[r.id], fmt.Sprintf("%s at %.1f", r.runner, float64(r.at.Sub(d.rec.start).Microseconds())/1000))
	}
	repeated := 0
	for id, list := range runs {
		if len(list) > 1 {
			repeated++
			d.rec.add("%s has run %d times: %s", id, len(list), strings.Join(list, ", "))
		}
	}
	served := 0
	for _, q := range all {
		if q.isServed() {
			served++
		}
	}
	if served*2 < len(all) {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", served, len(all))
	}
	return verdict{repeated > 0, fmt.Sprintf("%d of %d requests that may run once have run more often", repeated, len(runs))}, nil
}
