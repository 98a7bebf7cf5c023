package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/strict"
)

// changeTimeout is above the 6 s that a change waits for its confirmations.
const changeTimeout = 20 * time.Second

// ClientConfig configures a Client.
type ClientConfig struct {
	Address string // http://IP:port
	Token   string
	HTTP    *http.Client
}

// Client calls the administration API.
type Client struct {
	cfg ClientConfig
}

// NewClient makes a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: changeTimeout, Transport: strict.New(strict.Config{})}
	}
	return &Client{cfg: cfg}
}

// Change makes a change or, with DryRun, shows what it would change.
func (c *Client) Change(ctx context.Context, change config.Change, opts ChangeOptions) (Result, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return Result{}, errors.Wrap(err, "encode change")
	}
	path := "/admin/v1/changes"
	if opts.DryRun {
		path += "?dryRun=true"
	}
	var result Result
	err = c.call(ctx, http.MethodPost, path, body, &result)
	return result, err
}

// Status returns the VM's view of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil, &s)
	return s, err
}

// Configuration returns the configuration without secrets.
func (c *Client) Configuration(ctx context.Context) (config.Document, error) {
	var d config.Document
	err := c.call(ctx, http.MethodGet, "/admin/v1/configuration", nil, &d)
	return d, err
}

// Events returns the merged time line; limit bounds the events of each VM, 0
// means all.
func (c *Client) Events(ctx context.Context, limit int) (EventList, error) {
	var list EventList
	err := c.call(ctx, http.MethodGet, "/admin/v1/events?limit="+strconv.Itoa(limit), nil, &list)
	return list, err
}

// Ledger copies all bills to w, one JSON object a line.
func (c *Client) Ledger(ctx context.Context, w io.Writer) error {
	resp, err := c.do(ctx, http.MethodGet, "/admin/v1/ledger", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(w, resp.Body)
	return errors.Wrap(err, "read ledger")
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "read answer")
}

// do returns a successful response, or the coded error of a refusal.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	resp, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "call the administration API")
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	var refusal errorBody
	if err := json.NewDecoder(resp.Body).Decode(&refusal); err != nil {
		return nil, errors.Newf("the administration API answered %s", resp.Status)
	}
	return nil, jdaw.Fail(jdaw.Code(refusal.Error.Code), "%s", refusal.Error.Message)
}
