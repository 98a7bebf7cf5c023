package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["2"] = plannedStops }

// plannedStops stops and starts the machines in turn while clients send small
// requests on kept connections.
func plannedStops(d *deployment, hasTrouble bool) (verdict, error) {
	const (
		machines = 8
		clients  = 240
		timeout  = 2 * time.Second
		gap      = time.Second // between two stops
		length   = 45 * time.Second
	)
	for i := range 6 {
		if _, err := d.startRunner(runnerConfig{
			id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: zones[i%len(zones)], version: "v1", slots: 32, work: 15 * time.Millisecond,
		}); err != nil {
			return verdict{}, err
		}
	}
	d.configure(
		[]map[string]any{route("desk", "safe", "desk", timeout, 3, false), route("entry", "unsafe", "desk", timeout, 1, false)},
		[]map[string]any{service("desk", 0)},
	)
	if err := d.startMachines(machines); err != nil {
		return verdict{}, err
	}
	t := d.newTraffic()
	for i := range clients {
		t.start(i, []string{"desk", "entry"}[i%2], 3*time.Second, 15*time.Millisecond)
	}
	stops := 0
	for began := time.Now(); time.Since(began) < length && len(t.lost()) == 0; {
		for _, m := range d.machines {
			time.Sleep(gap)
			if !hasTrouble {
				continue
			}
			if err := m.restart(); err != nil {
				return verdict{}, err
			}
			stops++
		}
	}
	time.Sleep(time.Second)
	all := t.end()
	lost := t.lost()
	for _, q := range lost {
		d.rec.add("%s on %s has run, and its connection ended without an answer %s after it was sent", q.id, q.route, q.took)
	}
	return verdict{
		len(lost) > 0,
		fmt.Sprintf("%d requests, %d stops; %d requests have run and got no answer, far from their time limits", len(all), stops, len(lost)),
	}, nil
}

// restart stops the process with SIGTERM, and starts it again once it has ended.
// It returns before the process has ended.
func (m *machine) restart() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return nil // starts again
	default:
	}
	m.d.rec.add("%s, which serves %s, gets SIGTERM", m.name, m.front)
	if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ended := m.ended
	go func() {
		<-ended
		if err := m.start(); err != nil {
			m.d.rec.add("%v", err)
		}
	}()
	return nil
}

// lost returns the attempts that a runner ran and whose connections ended without a
// complete answer, well before a time limit.
func (t *traffic) lost() []sent {
	ran := map[string]bool{}
	for _, r := range t.d.runs.all() {
		ran[r.id] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []sent
	for _, q := range t.all {
		if !q.isWhole && q.took < time.Second && ran[q.id] {
			list = append(list, q)
		}
	}
	return list
}
