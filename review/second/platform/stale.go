package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	applyTime = applyMillis * time.Millisecond
	// watchGiveUp is the time after which a relay has surely given up a watch whose
	// connection went silent, and is in touch again.
	watchGiveUp = 3200 * time.Millisecond
	staleGap    = 50 * time.Millisecond // between two requests
	// turnedAway is the machine that the store turns away: the one of the two others
	// that the first machine asks for changes.
	turnedAway = 1
)

// playStale takes a key away while one relay, whose watch went silent before, hears of
// changes from another one that the store turns away.
func playStale(r *record, isTrouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "review-stale-")
	if err != nil {
		return notRun, err
	}
	defer os.RemoveAll(dir)
	st, err := startStore()
	if err != nil {
		return notRun, err
	}
	log := newRunLog()
	names := []string{"oban", "largs", "stranraer"}
	zones := map[string]string{"oban": "west", "largs": "west", "stranraer": "west"}
	for i, zone := range names {
		u := &runner{id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: zone, version: "v1", slots: 16, workTime: 10 * time.Millisecond, log: log}
		if err := u.start(); err != nil {
			return notRun, err
		}
		st.put("servers/"+u.id, u.entry("ready"))
	}
	const kept, taken = "key-that-stays", "key-that-goes"
	configure := func(version, idleMillis int, keys ...string) {
		st.put("op/config", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "order", "host": "h.example", "prefix": "/order/", "kind": "unsafe", "service": "desk", "timeoutMs": 1500,
				"targetLatencyMs": 300, "maxAttempts": 1, "priority": 2,
			}},
			"services": []any{map[string]any{"name": "desk", "healthPath": "/health"}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": idleMillis},
			"tenants":  []any{map[string]any{"name": "team", "apiKeys": keys}},
		})
		r.line("the store acknowledges version %d with the keys %v", version, keys)
	}
	configure(3, 10000, kept, taken)
	var vms []*vm
	var doors []*door
	for i, zone := range names {
		d, err := st.open()
		if err != nil {
			return notRun, err
		}
		v, err := newVM(dir, "front-"+zone+"-1", zone, fmt.Sprintf("127.0.0.%d", 51+i), zones, d.address)
		if err != nil {
			return notRun, err
		}
		if err := v.start(); err != nil {
			return notRun, err
		}
		defer v.kill()
		vms, doors = append(vms, v), append(doors, d)
		r.line("%s (zone %s) serves clients at %s", v.name, v.zone, v.callers)
	}
	if err := awaitAll(vms); err != nil {
		return notRun, err
	}
	if isTrouble {
		began := make(chan struct{})
		var once sync.Once
		doors[0].setOnWatch(func() bool {
			isFirst := false
			once.Do(func() {
				isFirst = true
				close(began)
			})
			return isFirst
		})
		<-began
		r.line("the connection of %s with its watch goes silent", vms[0].name)
	}
	time.Sleep(watchGiveUp)
	configure(5, 9000, kept, taken)
	time.Sleep(100 * time.Millisecond)
	if isTrouble {
		doors[turnedAway].setSilent()
		r.line("the store answers %s no more", vms[turnedAway].name)
		time.Sleep(50 * time.Millisecond)
	}
	configure(9, 9000, kept)
	revoked := time.Now()

	var mu sync.Mutex
	var all []sent
	c := &client{
		name: "c", zone: "oban", directories: []string{vms[0].directory}, keeps: time.Second, host: "h.example", key: taken,
		random: rand.New(rand.NewPCG(1, 3)), only: vms[0].callers,
		report: func(s sent) {
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		},
	}
	for time.Since(revoked) < 7*time.Second {
		c.send(request{path: "/order/x", deadline: 1500 * time.Millisecond})
		time.Sleep(staleGap)
	}
	if len(all) == 0 {
		return notRun, fmt.Errorf("no request was answered")
	}
	late, refused := 0, 0
	var last time.Duration
	for _, s := range all {
		since := s.sentAt.Sub(revoked)
		runs := log.of(s.id)
		r.line("%s sent %s, %.3f s after the key was taken away: status %d, runs %d", s.id, r.at(s.sentAt), since.Seconds(), s.status, len(runs))
		if s.status == http.StatusUnauthorized {
			refused++
		}
		if len(runs) > 0 && since > applyTime {
			late++
			last = since
		}
	}
	text := fmt.Sprintf("%d requests with the key that was taken away, %d refused with 401; %d ran though they were sent later than %s after the acknowledgement, the last one %.3f s after it",
		len(all), refused, late, applyTime, last.Seconds())
	r.line("%s", text)
	fmt.Println(text)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
