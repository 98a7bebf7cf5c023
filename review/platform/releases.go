package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["4"] = releases }

const (
	releaseServices = 4
	releaseRunners  = 4
	releaseGap      = time.Second
	// releaseBurst is the number of requests that the clients have at once at each
	// runner through each machine.
	releaseBurst = 16
	releaseTime  = 90 * time.Second
	knockers     = 8
)

// releases replaces the runners of each service one after the other, again and
// again.
func releases(d *deployment, hasTrouble bool) (verdict, error) {
	var routes, services []map[string]any
	fleets := make([][]*runner, releaseServices)
	started := 0
	begin := func(s int) error {
		started++
		name := fmt.Sprintf("desk%d", s)
		u, err := d.startRunner(runnerConfig{
			id: fmt.Sprintf("i-%s-%d", name, started), service: name, zone: zones[started%len(zones)], version: "v1", slots: 48,
			work: 200 * time.Millisecond,
		})
		fleets[s] = append(fleets[s], u)
		return err
	}
	for s := range releaseServices {
		name := fmt.Sprintf("desk%d", s)
		routes = append(routes, route(name, "safe", name, 3*time.Second, 3, false))
		services = append(services, service(name, 0))
		for range releaseRunners {
			if err := begin(s); err != nil {
				return verdict{}, err
			}
		}
	}
	d.configure(routes, services)
	if err := d.startMachines(2); err != nil {
		return verdict{}, err
	}
	t := d.newTraffic()
	var wg sync.WaitGroup
	defer wg.Wait()
	d.burst(t, &wg)
	k := newKnocking(d)
	replaced := 0
	for end := time.Now().Add(releaseTime); time.Now().Before(end); time.Sleep(releaseGap) {
		if hasTrouble {
			for s := range releaseServices {
				if err := begin(s); err != nil {
					return verdict{}, err
				}
				old := fleets[s][0]
				fleets[s] = fleets[s][1:]
				wg.Add(1)
				go func() {
					defer wg.Done()
					old.leave(drainTime + 500*time.Millisecond)
				}()
				replaced++
			}
		}
		for _, m := range d.machines {
			d.rec.add("%s has %d descriptors of %d", m.name, m.descriptors(), maxFds)
		}
		if k.longest() >= stableWindow {
			break
		}
	}
	all := t.end()
	served, _ := share(all, time.Time{}, time.Now())
	longest := k.longest()
	return verdict{
		longest >= stableWindow,
		fmt.Sprintf("%d runners were replaced, %d of %d requests were served; for %s, a machine that said that it is ready took no new connection while %d clients tried",
			replaced, served, len(all), longest.Round(time.Millisecond), knockers),
	}, nil
}

// burst sends requests to all services at once, each second.
func (d *deployment) burst(t *traffic, wg *sync.WaitGroup) {
	n := releaseServices * releaseRunners * releaseBurst * len(d.machines)
	for i := range n {
		c := t.newClient(i)
		wg.Add(1)
		t.wg.Add(1)
		go func() {
			defer wg.Done()
			defer t.wg.Done()
			for at := time.Now().Truncate(time.Second); ; {
				at = at.Add(time.Second)
				select {
				case <-t.stop:
					return
				case <-time.After(time.Until(at)):
				}
				c.request(fmt.Sprintf("desk%d", i%releaseServices), 2500*time.Millisecond)
			}
		}()
	}
}

// knocking are clients that open a new connection to each machine twice a second.
type knocking struct {
	mu sync.Mutex
	// since is the time since which a machine has taken no connection, by name, and
	// longestOf the longest such span while it said that it is ready.
	since     map[string]time.Time
	longestOf map[string]time.Duration
}

func newKnocking(d *deployment) *knocking {
	k := &knocking{since: map[string]time.Time{}, longestOf: map[string]time.Duration{}}
	for _, m := range d.machines {
		k.since[m.name] = time.Now()
		for range knockers {
			go func() {
				for {
					started := time.Now()
					k.report(d, m, started, m.takesConnection())
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
		go func() {
			for {
				if !m.isReady() {
					d.rec.add("%s does not say that it is ready", m.name)
					k.restart(m.name)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	return k
}

func (k *knocking) restart(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.since[name] = time.Now()
}

func (k *knocking) report(d *deployment, m *machine, started time.Time, isTaken bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if isTaken {
		k.since[m.name] = time.Now()
		return
	}
	d.rec.add("%s takes no connection of a client that tried from %.1f on", m.name, float64(started.Sub(d.rec.start).Microseconds())/1000)
	k.longestOf[m.name] = max(k.longestOf[m.name], time.Since(k.since[m.name]))
}

func (k *knocking) longest() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	longest := time.Duration(0)
	for _, span := range k.longestOf {
		longest = max(longest, span)
	}
	return longest
}

// takesConnection opens a new connection and reports whether the machine reads a
// request on it within a second.
func (m *machine) takesConnection() bool {
	nc, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(nc, "POST /none/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: knock\r\nContent-Length: 0\r\n\r\n", host); err != nil {
		return false
	}
	n, err := nc.Read(make([]byte, 1))
	return err == nil && n > 0
}
