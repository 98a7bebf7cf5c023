package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["5"] = crashingPart }

const (
	badPart  = "dead0001"
	goodPart = "900d0001"
	// downTime is the time until a crashed runner is back.
	downTime = 3 * time.Second
)

// crashes ends runners that write on a bad part, and starts them again.
type crashes struct {
	d   *deployment
	mu  sync.Mutex
	at  []time.Time
	gen int
}

// begin starts the next process of a runner.
func (x *crashes) begin(i int) error {
	x.mu.Lock()
	x.gen++
	id := fmt.Sprintf("i-engine-%d-%d", i, x.gen)
	x.mu.Unlock()
	_, err := x.d.startRunner(runnerConfig{
		id: id, service: "engine", zone: zones[i%len(zones)], version: "v1", slots: 32, work: 300 * time.Millisecond, events: 10,
		crashesOn: badPart,
		crashed: func(u *runner) {
			x.mu.Lock()
			x.at = append(x.at, time.Now())
			n := len(x.at)
			x.mu.Unlock()
			x.d.rec.add("%s crashes, crash %d", u.cfg.id, n)
			u.end()
			time.AfterFunc(3*heartbeat, func() { x.d.store.remove("servers/" + u.cfg.id) })
			time.AfterFunc(downTime, func() {
				if err := x.begin(i); err != nil {
					x.d.rec.add("%v", err)
				}
			})
		},
	})
	return err
}

// crashingPart sends requests with a part on which each runner crashes when it has
// written the first event of the answer.
func crashingPart(d *deployment, hasTrouble bool) (verdict, error) {
	const (
		runners = 12
		// allowed is the number of requests that may reach runners later than
		// stableWindow after the fifth crash.
		allowed = 3
	)
	x := &crashes{d: d}
	for i := range runners {
		if err := x.begin(i); err != nil {
			return verdict{}, err
		}
	}
	d.configure(
		[]map[string]any{route("engine", "streaming", "engine", 10*time.Second, 3, true)},
		[]map[string]any{service("engine", 0)},
	)
	if err := d.startMachines(4); err != nil {
		return verdict{}, err
	}
	t := d.newTraffic()
	for i := range 24 {
		c := t.newClient(i)
		c.prompt = "ba5e0001:800," + goodPart + ":400,%s:250"
		t.startClient(c, "engine", 10*time.Second, 500*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if hasTrouble {
		for i := range 3 {
			c := t.newClient(i)
			c.prompt = "ba5e0001:800," + badPart + ":400,%s:250"
			t.startClient(c, "engine", 10*time.Second, 3*time.Second)
		}
	}
	time.Sleep(30 * time.Second)
	all := t.end()
	x.mu.Lock()
	defer x.mu.Unlock()
	late := 0
	if len(x.at) >= 5 {
		from := x.at[4].Add(stableWindow)
		for _, r := range d.runs.all() {
			if r.isBad && r.at.After(from) {
				late++
			}
		}
	}
	served, count := share(all, time.Time{}, time.Now())
	return verdict{
		late > allowed,
		fmt.Sprintf("%d crashes; %d requests with the part reached runners later than %s after the fifth crash, %d may; %d of %d attempts of all kinds were served",
			len(x.at), late, stableWindow, allowed, served, count),
	}, nil
}
