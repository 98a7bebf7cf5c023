package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one client attempt.
type sent struct {
	id      string
	route   string
	at      time.Time
	status  int // 0: no answer
	isWhole bool
	retry   time.Duration // Retry-After
	took    time.Duration // until the answer or the end of the connection
}

// isServed reports whether the attempt had a complete success of a runner.
func (q sent) isServed() bool { return q.status == http.StatusOK && q.isWhole }

// traffic is what the clients sent.
type traffic struct {
	d    *deployment
	next atomic.Int64
	wg   sync.WaitGroup
	stop chan struct{}

	mu  sync.Mutex
	all []sent
}

func (d *deployment) newTraffic() *traffic { return &traffic{d: d, stop: make(chan struct{})} }

// end stops all clients and returns the attempts.
func (t *traffic) end() []sent {
	close(t.stop)
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all
}

func (t *traffic) add(q sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, q)
}

// client asks the directory where to connect, and keeps its connections.
type client struct {
	t         *traffic
	http      http.Client
	zone      string
	prompt    string // Prompt-Prefix, with %s for the request's own part
	addresses []string
	failed    map[string]bool // addresses that have failed the client since the last answer
	until     time.Time       // the addresses are used without asking again
}

func (t *traffic) newClient(i int) *client {
	return &client{
		t: t, zone: zones[i%len(zones)],
		http: http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: 12 * time.Second}},
	}
}

// start lets a client send requests on a route, one at a time, with a pause between
// two of them.
func (t *traffic) start(i int, route string, deadline, pause time.Duration) {
	t.startClient(t.newClient(i), route, deadline, pause)
}

func (t *traffic) startClient(c *client, route string, deadline, pause time.Duration) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
			}
			c.request(route, deadline)
		}
	}()
}

// request sends a request, and once more if it was refused as not run.
func (c *client) request(route string, deadline time.Duration) {
	end := time.Now().Add(deadline)
	for range 2 {
		q := c.attempt(route, time.Until(end))
		c.t.add(q)
		isRefused := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests
		left := time.Until(end)
		if !isRefused || left <= 0 {
			return
		}
		time.Sleep(min(q.retry, left/3))
	}
}

// resolve asks up to three machines, nearest first, for the addresses.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	var near, far []*machine
	for _, m := range c.t.d.machines {
		if m.zone == c.zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	asker := http.Client{Timeout: time.Second, Transport: c.http.Transport}
	q := url.Values{"name": {host}, "region": {region}, "zone": {c.zone}}.Encode()
	for i, m := range append(near, far...) {
		if i == 3 {
			break
		}
		resp, err := asker.Get("http://" + m.directory + "/resolve?" + q)
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || err != nil || len(list.Addresses) == 0 {
			c.t.d.rec.add("the directory of %s answers %d with %d addresses", m.name, resp.StatusCode, len(list.Addresses))
			continue
		}
		c.failed = map[string]bool{}
		c.addresses, c.until = list.Addresses, time.Now().Add(time.Duration(min(list.TTLS, 5)*float64(time.Second)))
		return
	}
}

// attempt sends one client attempt.
func (c *client) attempt(route string, deadline time.Duration) sent {
	c.resolve()
	q := sent{id: fmt.Sprintf("q%06d", c.t.next.Add(1)), route: route, at: time.Now()}
	var usable []string
	for _, a := range c.addresses {
		if !c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.t.d.rec.add("%s on %s can't be sent: the client has no address that has not failed it", q.id, route)
		return q
	}
	address := usable[rand.IntN(len(usable))]
	err := c.send(&q, address, deadline)
	q.took = time.Since(q.at)
	if q.status == 0 {
		c.failed[address] = true
	}
	c.t.d.rec.add("%s on %s, sent at %.1f to %s: status %d, whole %v, %v", q.id, route,
		float64(q.at.Sub(c.t.d.rec.start).Microseconds())/1000, address, q.status, q.isWhole, err)
	return q
}

func (c *client) send(q *sent, address string, deadline time.Duration) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+q.route+"/"+q.id, bytes.NewReader([]byte("body of "+q.id)))
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("Request-Id", q.id)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.prompt != "" {
		req.Header.Set("Prompt-Prefix", fmt.Sprintf(c.prompt, q.id))
		req.Header.Set("Token-Usage", "1450,80")
		req.Header.Set("Model", "small")
	}
	sender := http.Client{Transport: c.http.Transport, Timeout: deadline}
	resp, err := sender.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	q.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		q.retry = time.Duration(s * float64(time.Second))
	}
	_, err = io.Copy(io.Discard, resp.Body)
	q.isWhole = err == nil && (resp.StatusCode != http.StatusOK || resp.Header.Get("Server-Signature") != "")
	return err
}

// share returns the attempts that were sent in a span, and how many of them were
// served.
func share(all []sent, from, to time.Time) (served, count int) {
	for _, q := range all {
		if q.at.Before(from) || !q.at.Before(to) {
			continue
		}
		count++
		if q.isServed() {
			served++
		}
	}
	return served, count
}
