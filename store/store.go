// Package store is the client of the platform's key-value service. It speaks
// Consul's published KV HTTP API: check-and-set by index, sessions with a TTL
// and blocking queries.
//
// After an error from a write, it is unknown whether the write took effect. The client
// never sends a write twice: the caller reads the key back and compares an id
// of its own in the value. Reads are attempted once at each address.
//
// # Usage
//
//	kv, err := store.New(store.Config{Addresses: []string{"http://10.0.0.1:8500"}})
//	created, err := kv.Put(ctx, "jdaw/config", value, 0)
//	item, found, err := kv.Watch(ctx, "jdaw/config", item.Index, 30*time.Second)
//
//	lease, err := kv.Lease(ctx, "order-models", 10*time.Second)
//	fence, held, err := kv.Acquire(ctx, "jdaw/order", value, lease)
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/strict"
)

// MaxValueBytes is the largest value that the key-value service takes.
const MaxValueBytes = 1 << 20

// Default timeouts. The service responds within milliseconds; a call that takes
// far longer counts as failed so that the caller can go on without the service.
const (
	defaultReadTimeout  = time.Second
	defaultWriteTimeout = time.Second
	defaultListTimeout  = 10 * time.Second
	// watchMargin is added to the wait of a watch, which the service itself
	// extends by up to a sixteenth.
	watchMargin = 2 * time.Second
)

// ErrValueTooLarge is returned by Put and Acquire before anything is sent.
var ErrValueTooLarge = errors.New("value exceeds 1 MB")

// StatusError is a response of the key-value service with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "key-value service answered " + strconv.Itoa(e.Status) + ": " + e.Body
}

// Config configures a Client.
type Config struct {
	// Addresses are base URLs of the service. The client stays with one until
	// a call to it fails.
	Addresses    []string
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	ListTimeout  time.Duration
}

// Client implements jdaw.Store.
type Client struct {
	cfg  Config
	http *http.Client
	next atomic.Uint64 // index of the address in use, modulo the number of addresses
}

var _ jdaw.Store = (*Client)(nil)

// New makes a client; it opens no connection yet.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, errors.New("the key-value service has no address")
	}
	for _, a := range cfg.Addresses {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errors.Newf("address %q of the key-value service is not an http URL", a)
		}
	}
	if cfg.ReadTimeout == 0 {
		cfg.ReadTimeout = defaultReadTimeout
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.ListTimeout == 0 {
		cfg.ListTimeout = defaultListTimeout
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 16
	c := &Client{cfg: cfg}
	c.http = &http.Client{
		Transport: strict.New(strict.Config{Base: transport}),
		// A followed redirect of a PUT would send the write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// kvPair is a key in the service's JSON.
type kvPair struct {
	Key         string
	Value       []byte
	LockIndex   uint64
	ModifyIndex uint64
	Session     string
}

func (p kvPair) item() jdaw.Item {
	return jdaw.Item{Key: p.Key, Value: p.Value, Index: p.ModifyIndex}
}

type response struct {
	status int
	body   []byte
	index  uint64 // X-Consul-Index
}

// Get implements jdaw.Store.
func (c *Client) Get(ctx context.Context, key string) (jdaw.Item, bool, error) {
	pair, found, _, err := c.getPair(ctx, key, nil, c.cfg.ReadTimeout)
	return pair.item(), found, err
}

// List implements jdaw.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]jdaw.Item, error) {
	a, err := c.read(ctx, kvPath(prefix), url.Values{"recurse": {""}}, c.cfg.ListTimeout)
	if err != nil || a.status == http.StatusNotFound {
		return nil, err
	}
	pairs, err := decodePairs(a.body)
	if err != nil {
		return nil, err
	}
	items := make([]jdaw.Item, 0, len(pairs))
	for _, p := range pairs {
		items = append(items, p.item())
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, nil
}

// Names implements jdaw.Store.
func (c *Client) Names(ctx context.Context, prefix string) ([]string, error) {
	a, err := c.read(ctx, kvPath(prefix), url.Values{"keys": {""}, "separator": {"/"}}, c.cfg.ListTimeout)
	if err != nil || a.status == http.StatusNotFound {
		return nil, err
	}
	var names []string
	if err := json.Unmarshal(a.body, &names); err != nil {
		return nil, errors.Wrapf(err, "decode the names under %s", prefix)
	}
	for i := range names {
		names[i] = strings.TrimPrefix(names[i], prefix)
	}
	sort.Strings(names)
	return names, nil
}

// Put implements jdaw.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, errors.Wrapf(ErrValueTooLarge, "put %s", key)
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.writeBool(ctx, http.MethodPut, kvPath(key), query, value)
}

// Delete implements jdaw.Store. An index of 0 never matches.
func (c *Client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	if index == 0 {
		return false, nil
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.writeBool(ctx, http.MethodDelete, kvPath(key), query, nil)
}

// Watch implements jdaw.Store. It returns at once when a key that had an index
// has been deleted; the caller then watches from index 0, which waits for the
// key to be created.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (jdaw.Item, bool, error) {
	deadline := time.Now().Add(wait)
	after := index
	for {
		left := max(time.Until(deadline), time.Millisecond)
		query := url.Values{
			"index": {strconv.FormatUint(after, 10)},
			"wait":  {strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "ms"},
		}
		pair, found, seen, err := c.getPair(ctx, key, query, left+left/16+watchMargin)
		if err != nil {
			return jdaw.Item{}, false, err
		}
		if found && pair.ModifyIndex > index || !found && index > 0 || !time.Now().Before(deadline) {
			return pair.item(), found, nil
		}
		// The service may answer without a change, and a missing key makes it
		// answer index 0 at once. An index that went back starts over, as the
		// API's documentation asks for.
		if seen < after {
			seen = 0
		}
		after = seen
	}
}

// Lease implements jdaw.Store. The service accepts a ttl from 10 s on. The
// lock delay is 0 because fencing tokens distinguish the holders.
func (c *Client) Lease(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]string{
		"Name": name, "TTL": ttl.String(), "Behavior": "release", "LockDelay": "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "encode session")
	}
	a, err := c.write(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK {
		return "", statusError(a)
	}
	var session struct{ ID string }
	if err := json.Unmarshal(a.body, &session); err != nil || session.ID == "" {
		return "", errors.Newf("create session: unexpected answer %q", a.body)
	}
	return session.ID, nil
}

// RenewLease implements jdaw.Store.
func (c *Client) RenewLease(ctx context.Context, lease string) (bool, error) {
	a, err := c.write(ctx, http.MethodPut, "/v1/session/renew/"+url.PathEscape(lease), nil, nil)
	if err != nil {
		return false, err
	}
	switch a.status {
	case http.StatusOK:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, statusError(a)
}

// Acquire implements jdaw.Store. The fencing token is the key's LockIndex.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, lease string) (uint64, bool, error) {
	if len(value) > MaxValueBytes {
		return 0, false, errors.Wrapf(ErrValueTooLarge, "acquire %s", key)
	}
	held, err := c.writeBool(ctx, http.MethodPut, kvPath(key), url.Values{"acquire": {lease}}, value)
	if err != nil || !held {
		return 0, false, err
	}
	pair, found, _, err := c.getPair(ctx, key, url.Values{"consistent": {""}}, c.cfg.ReadTimeout)
	if err != nil {
		return 0, false, err
	}
	// The lease may have expired since; the LockIndex is then another holder's.
	if !found || pair.Session != lease {
		return 0, false, nil
	}
	return pair.LockIndex, true, nil
}

// Release implements jdaw.Store.
func (c *Client) Release(ctx context.Context, key, lease string) error {
	// A release replaces the value, so the current one is sent with it.
	pair, found, _, err := c.getPair(ctx, key, nil, c.cfg.ReadTimeout)
	if err != nil || !found || pair.Session != lease {
		return err
	}
	_, err = c.writeBool(ctx, http.MethodPut, kvPath(key), url.Values{"release": {lease}}, pair.Value)
	return err
}

func (c *Client) getPair(ctx context.Context, key string, query url.Values, timeout time.Duration) (kvPair, bool, uint64, error) {
	a, err := c.read(ctx, kvPath(key), query, timeout)
	if err != nil {
		return kvPair{}, false, 0, err
	}
	if a.status == http.StatusNotFound {
		return kvPair{}, false, a.index, nil
	}
	pairs, err := decodePairs(a.body)
	if err != nil {
		return kvPair{}, false, 0, err
	}
	if len(pairs) != 1 {
		return kvPair{}, false, 0, errors.Newf("read %s: %d keys in the answer", key, len(pairs))
	}
	return pairs[0], true, a.index, nil
}

// read tries the addresses in turn until one responds.
func (c *Client) read(ctx context.Context, path string, query url.Values, timeout time.Duration) (response, error) {
	var last error
	for range c.cfg.Addresses {
		a, err := c.do(ctx, http.MethodGet, path, query, nil, timeout)
		if err == nil && a.status != http.StatusOK && a.status != http.StatusNotFound {
			err = statusError(a)
		}
		if err == nil {
			return a, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return response{}, last
}

func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	return c.do(ctx, method, path, query, body, c.cfg.WriteTimeout)
}

func (c *Client) writeBool(ctx context.Context, method, path string, query url.Values, body []byte) (bool, error) {
	a, err := c.write(ctx, method, path, query, body)
	if err != nil {
		return false, err
	}
	if a.status != http.StatusOK {
		return false, statusError(a)
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errors.Newf("%s %s: unexpected answer %q", method, path, a.body)
}

// do sends one request to the address in use. After a failure the next call
// goes to the next address.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration) (response, error) {
	at := c.next.Load()
	a, err := c.send(ctx, c.cfg.Addresses[at%uint64(len(c.cfg.Addresses))], method, path, query, body, timeout)
	if err != nil || a.status >= http.StatusInternalServerError {
		c.next.CompareAndSwap(at, at+1)
	}
	return a, err
}

func (c *Client) send(ctx context.Context, address, method, path string, query url.Values, body []byte, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := strings.TrimSuffix(address, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Wrap(err, "make request")
	}
	if method != http.MethodGet {
		// The transport replays a request on a broken idle connection when it
		// can rewind the body. A replayed check-and-set write whose first attempt
		// took effect would be answered as a conflict. A body that is not
		// NoBody and has no GetBody cannot be replayed, also when it is empty.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, errors.Wrapf(err, "%s %s: read answer", method, path)
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	return response{status: resp.StatusCode, body: data, index: index}, nil
}

func decodePairs(body []byte) ([]kvPair, error) {
	var pairs []kvPair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, errors.Wrap(err, "decode answer of the key-value service")
	}
	return pairs, nil
}

func statusError(a response) error {
	return &StatusError{Status: a.status, Body: strings.TrimSpace(string(a.body))}
}

// kvPath escapes each part of the key; the slashes between them stay.
func kvPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}
