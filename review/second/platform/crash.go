package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPart of a prompt crashes each runner that begins to write an answer on it.
	deadlyPart  = "dead0"
	callerPart  = "ca11e4" // of all requests of the caller
	stableTime  = 3 * time.Second
	crashTime   = 3 * time.Second // until a runner is back
	soundGap    = 60 * time.Millisecond
	deadlyGap   = 1200 * time.Millisecond
	deadlyFor   = 8 * time.Second // before the restarts
	deadlyAfter = 14 * time.Second
	// restartGap is the time from the return of one machine to the stop of the next, so
	// that all others are in touch again.
	restartGap = stableTime + 2*time.Second
	// acceptTime is the time in which a stopped relay without long requests ends.
	acceptTime = 3 * time.Second
	// deadlyAllowed is how many requests may still reach runners, and knownAfter the
	// number of crashes after which the part has to be known.
	deadlyAllowed = 3
	knownAfter    = 5
)

// crashLog records the ends of runners.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// playCrash restarts all relays, one after the other, while requests come with a part
// that crashes runners.
func playCrash(r *record, isTrouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "review-crash-")
	if err != nil {
		return notRun, err
	}
	defer os.RemoveAll(dir)
	st, err := startStore()
	if err != nil {
		return notRun, err
	}
	log, crashes := newRunLog(), &crashLog{}
	names := []string{"oban", "largs", "stranraer"}
	zones := map[string]string{"oban": "west", "largs": "west", "stranraer": "west"}
	var start func(id, zone, address string) error
	start = func(id, zone, address string) error {
		u := &runner{
			id: id, service: "lm", zone: zone, version: "v1", slots: 128, isStreaming: true, eventTime: 40 * time.Millisecond, log: log,
			address: address, crashes: func(q *http.Request) bool { return strings.Contains(q.Header.Get("Prompt-Prefix"), deadlyPart) },
		}
		u.crashed = func(u *runner) {
			crashes.add()
			r.line("runner %s crashes", u.id)
			time.AfterFunc(crashTime, func() {
				st.remove("servers/" + u.id)
				if err := start(u.id+"x", zone, u.address); err != nil {
					r.line("runner %s isn't back: %v", u.id, err)
				}
			})
		}
		if err := u.start(); err != nil {
			return err
		}
		st.put("servers/"+u.id, u.entry("ready"))
		return nil
	}
	for i := range 12 {
		if err := start(fmt.Sprintf("i-lm-%d", i), names[i%len(names)], ""); err != nil {
			return notRun, err
		}
	}
	const key = "key-of-team"
	st.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "query", "host": "h.example", "prefix": "/query/", "kind": "streaming", "service": "lm", "timeoutMs": 10000,
			"targetLatencyMs": 3000, "gapAimMs": 1500, "maxAttempts": 3, "streamResumption": true, "sessionAffinity": true, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "lm", "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants":  []any{map[string]any{"name": "team", "apiKeys": []string{key}}},
	})
	var vms []*vm
	for i, zone := range names {
		v, err := newVM(dir, "front-"+zone+"-1", zone, fmt.Sprintf("127.0.0.%d", 31+i), zones, st.address)
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
	var wg sync.WaitGroup
	stop := make(chan struct{})
	newClient := func(name string, i int) *client {
		zone := names[i%len(names)]
		return &client{
			name: name, zone: zone, directories: nearest(vms, zone), keeps: time.Second, host: "h.example", key: key,
			random: rand.New(rand.NewPCG(uint64(i), 13)),
			report: func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			},
		}
	}
	every := func(gap time.Duration, send func(n int)) {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(gap):
					wg.Go(func() { send(n) })
				}
			}
		})
	}
	var sound, deadly []*client
	for i := range 6 {
		sound = append(sound, newClient(fmt.Sprintf("sound%d", i), i))
		deadly = append(deadly, newClient(fmt.Sprintf("deadly%d", i), i))
	}
	every(soundGap, func(n int) {
		sound[n%len(sound)].send(request{
			path: "/query/x", events: 5 + rand.IntN(15), deadline: 10 * time.Second,
			prompt: fmt.Sprintf("%s:200,%x:300,%x:100", callerPart, 0x5000+n%5, 0x100000+n),
		})
	})
	time.Sleep(stableTime)
	every(deadlyGap, func(n int) {
		// A client retries once: after a failure at once, after a refusal when it says.
		q := request{
			path: "/query/x", events: 10, deadline: 10 * time.Second,
			prompt: fmt.Sprintf("%s:200,%s:300,%x:100", callerPart, deadlyPart, 0x900000+n),
		}
		c := deadly[n%len(deadly)]
		s := c.send(q)
		if s.isWhole && s.status == http.StatusOK {
			return
		}
		time.Sleep(min(s.retryAfter, q.deadline/3))
		c.send(q)
	})
	time.Sleep(deadlyFor)
	if isTrouble {
		for _, v := range vms {
			r.line("SIGTERM to %s", v.name)
			v.stop()
			r.line("%s ended %.3f s after SIGTERM, starts again", v.name, v.endedAt.Sub(v.stoppedAt).Seconds())
			if err := v.start(); err != nil {
				return notRun, err
			}
			v.startedAt = time.Now()
			if err := v.awaitReady(backLimit); err != nil {
				return notRun, err
			}
			r.line("%s is ready", v.name)
			time.Sleep(restartGap)
		}
	} else {
		time.Sleep(time.Duration(len(vms)) * (restartGap + acceptTime))
	}
	time.Sleep(deadlyAfter)
	close(stop)
	wg.Wait()
	if len(all) == 0 {
		return notRun, errors.New("no request was answered")
	}
	return judgeCrash(r, vms, all, log, crashes, isTrouble), nil
}

// judgeCrash applies the rule BUDGET for parts that crash runners.
func judgeCrash(r *record, vms []*vm, all []sent, log *runLog, crashes *crashLog, isTrouble bool) int {
	byAddr := map[string]*vm{}
	for _, v := range vms {
		byAddr[v.callers] = v
	}
	var fifth time.Time
	if len(crashes.at) >= knownAfter {
		fifth = crashes.at[knownAfter-1]
	}
	late, soundWhole, soundAll := 0, 0, 0
	for _, s := range all {
		runs := log.of(s.id)
		if !strings.Contains(s.prompt, deadlyPart) {
			soundAll++
			if s.isWhole && s.status == http.StatusOK {
				soundWhole++
			}
			continue
		}
		r.line("%s (%s) sent %s to %s: status %d, ended %s %s; runs %d", s.id, s.prompt, r.at(s.sentAt), s.vm, s.status, r.at(s.endedAt), s.cause, len(runs))
		v := byAddr[s.vm]
		for _, b := range runs {
			isLate := !fifth.IsZero() && b.beganAt.After(fifth.Add(stableTime))
			// In touch: no start or SIGTERM of the machine in the last stableWindowMs.
			isInTouch := !isTrouble || v != nil && b.beganAt.Sub(v.startedAt) > stableTime &&
				(b.beganAt.Before(v.stoppedAt) || b.beganAt.After(v.startedAt))
			if isLate {
				r.line("  reached %s at %s, %.3f s after the fifth crash; machine in touch: %t", b.runner, r.at(b.beganAt), b.beganAt.Sub(fifth).Seconds(), isInTouch)
			}
			if isLate && isInTouch {
				late++
			}
		}
	}
	text := fmt.Sprintf("%d crashes, the fifth at %s; requests with the part that reached runners later than %s after it, from machines in touch: %d, allowed %d; %d of %d sound requests answered whole",
		len(crashes.at), r.at(fifth), stableTime, late, deadlyAllowed, soundWhole, soundAll)
	r.line("%s", text)
	fmt.Println(text)
	if late > deadlyAllowed {
		return broken
	}
	return held
}
