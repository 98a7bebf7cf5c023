package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/relay"
)

const (
	// whereTimeout limits the time for the answer of a VM.
	whereTimeout = 10 * time.Second
	// maxWhereAnswer limits the answer in bytes; a thousand upstreams take half of it.
	maxWhereAnswer = 1 << 20
)

type whereCommand struct {
	Metrics      string `required:"" help:"Address IP:port of the VM's metrics listener."`
	Host         string `required:"" help:"Host of the request."`
	Path         string `required:"" help:"Path of the request, beginning with /."`
	Workspace    string `help:"Name of the workspace; never its key."`
	Model        string `help:"Model that the caller names."`
	Prompt       string `help:"Parts of the prompt as ID:TOKENS,..."`
	PromptTokens int    `help:"Tokens of the prompt, by default those of its parts."`
	Session      string `help:"Session of the request."`
	Deadline     string `help:"Time that the caller waits, such as 800ms."`
	ServiceDraw  string `help:"Draw of the service, 0 to 1; random by default."`
	VersionDraw  string `help:"Draw of the version in a roll-out, 0 to 1; random by default."`
	ShareDraw    string `help:"Draw of the queue, 0 to 1; random by default."`
	Salt         string `help:"Number that selects between equal upstreams; random by default."`
	JSON         bool   `name:"json" help:"Print the VM's answer as JSON."`
}

// Run implements the command.
func (c *whereCommand) Run(ctx context.Context) error {
	body, err := c.ask(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Println(string(body))
		return err
	}
	var answer relay.Where
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrap(err, "decode the answer of the VM")
	}
	return writeWhere(os.Stdout, answer)
}

func (c *whereCommand) ask(ctx context.Context) ([]byte, error) {
	query := url.Values{}
	for name, value := range map[string]string{
		"host": c.Host, "path": c.Path, "workspace": c.Workspace, "model": c.Model, "prompt": c.Prompt, "session": c.Session,
		"deadline": c.Deadline, "serviceDraw": c.ServiceDraw, "versionDraw": c.VersionDraw, "shareDraw": c.ShareDraw, "salt": c.Salt,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if c.PromptTokens != 0 {
		query.Set("promptTokens", fmt.Sprint(c.PromptTokens))
	}
	client, err := httpClient("", whereTimeout)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Metrics+"/where?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "make the question")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask the VM")
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereAnswer+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read the answer of the VM")
	case len(body) > maxWhereAnswer:
		return nil, errors.Newf("the answer of the VM exceeds %d bytes", maxWhereAnswer)
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Newf("the VM answered with status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// writeWhere writes an answer for people.
func writeWhere(out io.Writer, a relay.Where) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	line("vm", "%s, revision %d, current %t", a.VM, a.Revision, a.IsCurrent)
	if r := a.Route; r != nil {
		line("route", "%s (%s), prefix %s, limit %d ms", r.Name, r.Kind, r.Prefix, r.LimitMs)
		line("services", "%s", shares(r.Services))
	}
	if a.Service != "" {
		line("workspace", "%s, rank %d", orDash(string(a.Workspace)), a.Rank)
		line("service", "%s", a.Service)
	}
	if r := a.Rollout; r != nil {
		line("roll-out", "to %s, %s, share %.2f, of sessions %.2f; sample %.2f, session %t", r.Version, r.State, r.Share, r.SessionShare, r.Sample, r.IsSession)
	}
	if c := a.Cascade; c != nil {
		line("cascade", "%s, first %s, target %.2f", strings.Join(c.Models, " "), orDash(c.First), c.Target)
	}
	if q := a.Queue; q != nil {
		line("queue", "%d waiting, %d of %d places taken, %d slots, %d in flight of other VMs, wait %d ms", q.Waiting, q.InFlight, q.Places, q.Slots, q.Others, q.WaitMs)
	}
	line("draws", "service %.4f, version %.4f, share %.4f, salt %d", a.Draws.Service, a.Draws.Version, a.Draws.Share, a.Draws.Salt)
	if a.Pick != "" {
		line("pick", "%s, version %s", a.Pick, a.Version)
	}
	if r := a.Refusal; r != nil {
		line("refusal", "%d %s (%d): %s", r.Status, r.Name, r.Code, r.Message)
		if r.RetryAfterMs > 0 {
			line("retry after", "%d ms", r.RetryAfterMs)
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write the answer")
	}
	if len(a.Upstreams) == 0 {
		return nil
	}
	t = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nUPSTREAM\tDC\tVERSION\tSLOTS\tIN USE\tOTHERS\tWORK\tREL. TIME\tSTATED\tSTATE\tRESULT")
	for i := range a.Upstreams {
		writeUpstream(t, &a.Upstreams[i])
	}
	return errors.Wrap(t.Flush(), "write the answer")
}

func writeUpstream(t io.Writer, u *relay.WhereUpstream) {
	work, relative, stated := "-", "-", "-"
	if u.RelativeTime > 0 {
		work, relative = fmt.Sprintf("%.0f", u.Work), fmt.Sprintf("%.2f", u.RelativeTime)
	}
	if s := u.Stated; s != nil {
		stated = fmt.Sprintf("%d+%d of %d, x%.2f, %d ms old", s.Running, s.Waiting, s.Slots, s.Slowdown, s.AgeMs)
	}
	result := "candidate"
	switch {
	case u.IsPick:
		result = "pick"
	case u.LeftOut != "":
		result = "left out: " + string(u.LeftOut)
	}
	if u.LeftOutFirst != "" {
		result += " (first left out: " + string(u.LeftOutFirst) + ")"
	}
	fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n",
		u.ID, orDash(string(u.DataCentre)), u.Version, u.Slots, u.InUse, u.Running, work, relative, stated, orDash(upstreamState(u)), result)
}

// upstreamState names what restricts an upstream, and the home of the prompt.
func upstreamState(u *relay.WhereUpstream) string {
	var list []string
	add := func(is bool, text string) {
		if is {
			list = append(list, text)
		}
	}
	add(u.IsHome, "home")
	add(u.IsCold, "cold")
	add(u.IsOutlier, "outlier")
	add(u.EjectedMs > 0, fmt.Sprintf("ejected for %d ms", u.EjectedMs))
	add(u.IsLeaving, "leaving")
	add(u.PausedMs > 0, fmt.Sprintf("paused for %d ms", u.PausedMs))
	add(u.NoticeMs > 0, fmt.Sprintf("notice %d ms old", u.NoticeMs))
	return strings.Join(list, ", ")
}

func shares(services map[string]float64) string {
	var list []string
	for name, weight := range services {
		list = append(list, fmt.Sprintf("%s %g", name, weight))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
