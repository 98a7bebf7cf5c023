package main

import (
	"fmt"
	"time"
)

func init() { cases["3"] = oddEntry }

// oddEntry leaves one entry of another writer among those of the runners, and then
// kills all machines, as at the end of a day.
func oddEntry(d *deployment, hasTrouble bool) (verdict, error) {
	for i := range 4 {
		if _, err := d.startRunner(runnerConfig{
			id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: zones[i%len(zones)], version: "v1", slots: 8, work: 15 * time.Millisecond,
		}); err != nil {
			return verdict{}, err
		}
	}
	d.configure([]map[string]any{route("desk", "safe", "desk", 2*time.Second, 3, false)}, []map[string]any{service("desk", 0)})
	if err := d.startMachines(4); err != nil {
		return verdict{}, err
	}
	t := d.newTraffic()
	for i := range 12 {
		t.start(i, "desk", 3*time.Second, 150*time.Millisecond)
	}
	from := time.Now()
	time.Sleep(5 * time.Second)
	if hasTrouble {
		address, err := freeAddr(d.ip(0))
		if err != nil {
			return verdict{}, err
		}
		// coldRemainingMs, sequence and born are missing.
		d.store.put("servers/a-note", map[string]any{
			"service": "desk", "address": address, "zone": zones[0], "version": "v0", "slots": 8, "state": "ready",
		})
		d.rec.add("another writer leaves servers/a-note")
	}
	time.Sleep(5 * time.Second)
	until := time.Now()
	if err := d.killAll(time.Second); err != nil {
		return verdict{}, err
	}
	return d.recovery(t, from, until, time.Now())
}

// recovery lets the traffic go on until some time after the machines had to be
// recovered, and compares the shares that were served.
func (d *deployment) recovery(t *traffic, from, until, back time.Time) (verdict, error) {
	time.Sleep(recoverTime + 12*time.Second)
	all := t.end()
	before, countBefore := share(all, from, until)
	after, countAfter := share(all, back.Add(recoverTime), time.Now())
	if before*4 < countBefore || countBefore == 0 || countAfter == 0 {
		return verdict{}, fmt.Errorf("%d of %d were served before the fault, %d attempts after it", before, countBefore, countAfter)
	}
	return verdict{
		after*4 < countAfter,
		fmt.Sprintf("%d of %d requests were served before all machines were killed, %d of %d of those sent later than %s after they were back",
			before, countBefore, after, countAfter, recoverTime),
	}, nil
}
