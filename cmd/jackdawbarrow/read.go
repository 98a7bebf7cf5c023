package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/events"
)

type statusCommand struct {
	adminFlags
}

// Run implements the command.
func (c *statusCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if done, err := c.print(s); done {
		return err
	}
	return printStatus(s)
}

func printStatus(s admin.Status) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "seen by %s at revision %d\n", s.VM, s.Revision)
	if s.Isolated {
		fmt.Fprintln(w, "this VM reaches no other VM and refuses new work")
	}
	fmt.Fprintln(w, "\nVM\tdata centre\tstate\trevision\tcallers")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.VM, m.DataCentre, m.State, m.Revision, m.EntryAddr)
	}
	fmt.Fprintln(w, "\npool\towner\twaiting\tin use\tlimit")
	for _, p := range s.Pools {
		if p.Owner != s.VM {
			fmt.Fprintf(w, "%s\t%s\t\t\t\n", p.Pool, p.Owner)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", p.Pool, p.Owner, p.Waiting, p.InUse, p.Limit)
	}
	for _, r := range s.Rollouts {
		fmt.Fprintf(w, "\nroll-out %s: %s, %g%%, %d answered, %d failed %s\n", r.Version, r.State, r.SharePercent, r.OK, r.Failed, r.Note)
	}
	for _, dc := range s.OutOf {
		fmt.Fprintf(w, "\ndata centre %s is out\n", dc)
	}
	for _, sus := range s.Suspensions {
		fmt.Fprintf(w, "\nsuspension %s: %s %s, by %s %s\n", sus.ID, sus.Kind, sus.Name, sus.Operator, sus.Reason)
	}
	return w.Flush()
}

type showCommand struct {
	adminFlags
}

// Run implements the command.
func (c *showCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	d, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err := c.print(d)
		return err
	}
	b, err := yaml.Marshal(d)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(b)
	return err
}

type ledgerCommand struct {
	adminFlags
}

// Run implements the command.
func (c *ledgerCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return client.Ledger(ctx, os.Stdout)
}

type timelineCommand struct {
	adminFlags
	HTML       string `help:"Write a self-contained page to this file."`
	Limit      int    `help:"Newest events of each VM; 0 means all."`
	Request    string `help:"Only this request id."`
	Workspace  string `help:"Only this workspace."`
	Upstream   string `help:"Only this upstream."`
	DataCentre string `name:"datacentre" help:"Only this data centre."`
}

// Run implements the command.
func (c *timelineCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Events(ctx, c.Limit)
	if err != nil {
		return err
	}
	filter := events.Filter{
		Request: jdaw.RequestID(c.Request), Workspace: jdaw.WorkspaceID(c.Workspace),
		Upstream: jdaw.UpstreamID(c.Upstream), DataCentre: jdaw.DataCentre(c.DataCentre),
	}
	list.Events = filter.Apply(list.Events)
	if c.HTML == "" {
		for _, vm := range list.Missing {
			fmt.Printf("not reached: %s\n", vm)
		}
		return events.WriteText(os.Stdout, list.Events)
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	if err := events.WriteHTML(f, list.Events, list.Missing); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	return f.Close()
}
