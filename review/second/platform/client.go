package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one client attempt and what became of it.
type sent struct {
	id, vm  string // vm is the address
	prompt  string
	events  int
	sentAt  time.Time // of its last byte
	endedAt time.Time
	isKept  bool // on a connection that had served a request before
	status  int  // 0: no header
	pieces  int
	isWhole bool
	cause   string
	// retryAfter is what a refusal says.
	retryAfter time.Duration
}

// client is a client process: it keeps the directory's answer and open connections.
type client struct {
	name, zone  string
	directories []string      // nearest first
	keeps       time.Duration // for which an answer of the directory is kept
	host, key   string
	only        string // the one address to use, if set
	random      *rand.Rand
	report      func(sent)

	mu         sync.Mutex
	addresses  []string
	resolvedAt time.Time
	idle       []*clientConn
	next       int
}

// request is what a client sends.
type request struct {
	path     string
	events   int // of the stream; 0 for a plain request
	prompt   string
	deadline time.Duration
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	addr string
	used int
}

const (
	connectLimit = time.Second
	resolveLimit = time.Second
	// streamSilence is the gap after which clients abandon a stream: four times the
	// target of the route, which is longer than two seconds.
	streamSilence = 16 * time.Second
)

// list returns the addresses, asking the directory when the last answer is too old.
func (c *client) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.resolvedAt) < c.keeps {
		return c.addresses
	}
	for _, dir := range c.directories[:min(len(c.directories), 3)] {
		if found, err := c.resolve(dir); err == nil && len(found) > 0 {
			c.addresses, c.resolvedAt = found, time.Now()
			break
		}
	}
	return c.addresses
}

func (c *client) resolve(dir string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveLimit)
	defer cancel()
	target := fmt.Sprintf("http://%s/resolve?name=%s&region=west&zone=%s", dir, c.host, c.zone)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	q.Close = true
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d, %w", resp.StatusCode, err)
	}
	return body.Addresses, nil
}

// conn returns an idle connection to one of the addresses, or a new one. Open
// connections to other addresses are closed.
func (c *client) conn() (*clientConn, error) {
	addrs := c.list()
	if c.only != "" {
		addrs = []string{c.only}
	}
	if len(addrs) == 0 {
		return nil, fmt.Errorf("the directory names no address")
	}
	c.mu.Lock()
	var found *clientConn
	var kept []*clientConn
	for _, known := range c.idle {
		switch {
		case !strings.Contains(" "+strings.Join(addrs, " ")+" ", " "+known.addr+" "):
			_ = known.Close()
		case found == nil:
			found = known
		default:
			kept = append(kept, known)
		}
	}
	c.idle = kept
	addr := addrs[c.random.IntN(len(addrs))]
	c.mu.Unlock()
	if found != nil {
		return found, nil
	}
	nc, err := net.DialTimeout("tcp", addr, connectLimit)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, r: bufio.NewReader(nc), addr: addr}, nil
}

// send sends one request and returns what became of it.
func (c *client) send(q request) sent {
	c.mu.Lock()
	c.next++
	n := c.next
	s := sent{id: fmt.Sprintf("%s-%d", c.name, n), events: q.events, prompt: q.prompt}
	c.mu.Unlock()
	if s.prompt == "" {
		s.prompt = fmt.Sprintf("%x:300,%x:100", n%7, 1000+n)
	}
	conn, err := c.conn()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return s
	}
	s.vm, s.isKept = conn.addr, conn.used > 0
	body := strings.Repeat("x", 900)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.path, c.host, s.id, q.deadline.Milliseconds(), c.key)
	if q.events > 0 {
		head += fmt.Sprintf("Model: m0\r\nToken-Usage: 400,%d\r\nLength-Hint: %d\r\nPrompt-Prefix: %s\r\n", 3*q.events, q.events, s.prompt)
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	_, err = io.WriteString(conn, head+body)
	s.sentAt = time.Now()
	if err == nil {
		err = c.read(conn, &s)
	}
	s.endedAt = time.Now()
	if err != nil {
		s.cause = err.Error()
	}
	c.report(s)
	if err != nil || conn.used < 0 {
		_ = conn.Close()
		return s
	}
	conn.used++
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return s
}

// read reads the answer. It sets conn.used to -1 if the connection ends with it.
func (c *client) read(conn *clientConn, s *sent) error {
	resp, err := http.ReadResponse(conn.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	s.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		s.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if n, err := strconv.Atoi(id); err == nil {
				s.pieces = n
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	s.isWhole = true
	if resp.Close {
		conn.used = -1
	}
	return nil
}
