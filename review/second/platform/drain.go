package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const (
	steady    = 8 * time.Second // of clients before SIGTERM
	afterTerm = graceSeconds*time.Second + 2*time.Second
	clients   = 120
	// connsPerClient is the number of requests that a client has under way.
	connsPerClient = 8
	// backLimit is the time in which a restarted machine must be ready.
	backLimit      = 10 * time.Second
	streamDeadline = 25 * time.Second
	// lateAfter is the time from SIGTERM after which a request isn't excused by a
	// runner that is still at work in the last sixth of the grace time.
	lateAfter = 3 * time.Second
	// settled is the time after graceS until which the work counts as planned.
	settled = time.Second
)

// playDrain restarts all relays with SIGTERM, one after the other, while clients use kept connections.
func playDrain(r *record, isTrouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "review-drain-")
	if err != nil {
		return notRun, err
	}
	defer os.RemoveAll(dir)
	st, err := startStore()
	if err != nil {
		return notRun, err
	}
	log := newRunLog()
	zones := map[string]string{"oban": "west", "largs": "west", "stranraer": "west"}
	names := []string{"oban", "largs", "stranraer"}
	for i := range 9 {
		zone := names[i%len(names)]
		u := &runner{
			id: fmt.Sprintf("i-lm-%d", i), service: "lm", zone: zone, version: "v1", slots: 128, isStreaming: true,
			eventTime: 200 * time.Millisecond, log: log,
		}
		if err := u.start(); err != nil {
			return notRun, err
		}
		st.put("servers/"+u.id, u.entry("ready"))
	}
	const key = "key-of-team"
	st.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "query", "host": "h.example", "prefix": "/query/", "kind": "streaming", "service": "lm", "timeoutMs": 25000,
			"targetLatencyMs": 4000, "gapAimMs": 1500, "maxAttempts": 3, "streamResumption": true, "sessionAffinity": true, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "lm", "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants":  []any{map[string]any{"name": "team", "apiKeys": []string{key}}},
	})
	var vms []*vm
	for i := range 6 {
		zone := names[i%len(names)]
		v, err := newVM(dir, fmt.Sprintf("front-%s-%d", zone, 1+i/len(names)), zone, fmt.Sprintf("127.0.0.%d", 11+i), zones, st.address)
		if err != nil {
			return notRun, err
		}
		if err := v.start(); err != nil {
			return notRun, err
		}
		defer v.kill()
		vms = append(vms, v)
		r.line("%s (zone %s) serves clients at %s", v.name, v.zone, v.callers)
	}
	if err := awaitAll(vms); err != nil {
		return notRun, err
	}

	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		zone := names[i/3%len(names)]
		dirs := nearest(vms, zone)
		c := &client{
			name: fmt.Sprintf("c%d", i), zone: zone, directories: dirs, keeps: time.Second, host: "h.example", key: key,
			random: rand.New(rand.NewPCG(uint64(i), 7)),
			report: func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			},
		}
		if i%3 == 0 {
			c.keeps = 3 * time.Second // three times the ttlS of the answers
		}
		for range connsPerClient {
			wg.Go(func() {
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					default:
					}
					c.send(request{path: "/query/x", events: 16 + rand.IntN(20), deadline: streamDeadline})
				}
			})
		}
	}
	time.Sleep(steady)
	if isTrouble {
		for _, v := range vms {
			r.line("SIGTERM to %s", v.name)
			v.stop()
			r.line("%s ended %.3f s after SIGTERM, starts again", v.name, v.endedAt.Sub(v.stoppedAt).Seconds())
			if err := v.start(); err != nil {
				return notRun, err
			}
			if err := v.awaitReady(backLimit); err != nil {
				return notRun, err
			}
			r.line("%s is ready", v.name)
		}
	} else {
		time.Sleep(afterTerm)
	}
	close(stop)
	wg.Wait()
	if len(all) == 0 {
		return notRun, errors.New("no request was answered")
	}
	return judgeDrain(r, vms, all, log, isTrouble), nil
}

// nearest returns the directories in the order in which a client of a zone asks them.
func nearest(vms []*vm, zone string) []string {
	var near, far []string
	for _, v := range vms {
		if v.zone == zone {
			near = append(near, v.directory)
		} else {
			far = append(far, v.directory)
		}
	}
	return append(near, far...)
}

// judgeDrain applies the rule LOST around the SIGTERM of a machine, with its excuses.
func judgeDrain(r *record, vms []*vm, all []sent, log *runLog, isTrouble bool) int {
	byAddr := map[string]*vm{}
	for _, v := range vms {
		byAddr[v.callers] = v
	}
	whole, cut, lost := 0, 0, 0
	for _, s := range all {
		runs := log.of(s.id)
		r.line("%s sent %s to %s kept=%t, %d events: status %d, %d events came, whole=%t, ended %s %s; runs %d",
			s.id, r.at(s.sentAt), s.vm, s.isKept, s.events, s.status, s.pieces, s.isWhole, r.at(s.endedAt), s.cause, len(runs))
		if s.isWhole {
			whole++
			continue
		}
		cut++
		v := byAddr[s.vm]
		since := s.sentAt.Sub(v.stoppedAt)
		isPlanned := isTrouble && since > 0 && s.endedAt.Sub(v.stoppedAt) < graceSeconds*time.Second+settled
		if !isPlanned || len(runs) == 0 {
			continue
		}
		last := runs[len(runs)-1]
		if since <= lateAfter {
			r.line("  cut, excused or not judged: sent %.3f s after SIGTERM", since.Seconds())
			continue
		}
		if s.endedAt.Sub(s.sentAt) >= streamDeadline {
			continue
		}
		lost++
		r.line("  LOST: sent %.3f s after SIGTERM, passed on to %s at %s, cut by the relay after %d of %d events, %.3f s after SIGTERM",
			since.Seconds(), last.runner, r.at(last.beganAt), s.pieces, s.events, s.endedAt.Sub(v.stoppedAt).Seconds())
	}
	r.line("%d requests, %d answered whole, %d not, %d LOST", len(all), whole, cut, lost)
	fmt.Printf("%d requests, %d answered whole, %d not, %d LOST\n", len(all), whole, cut, lost)
	if !isTrouble && cut > 0 {
		return broken
	}
	if lost > 0 {
		return broken
	}
	return held
}
