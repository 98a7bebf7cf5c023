package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/demo"
)

type askCommand struct {
	Entry   string `required:"" env:"JACKDAWBARROW_ENTRY" help:"Address of any entry VM, http://IP:port; the entry list is read from it."`
	Key     string `required:"" env:"JACKDAWBARROW_KEY" help:"Workspace key."`
	CA      string `type:"existingfile" env:"JACKDAWBARROW_CA" help:"PEM file with the authority that signed the VMs' certificates."`
	Model   string `default:"cascade" help:"Model, model@version, a cascade's name or 'cascade' for the workspace's own."`
	Outlet  string `help:"Outlet of the workspace."`
	Service string `help:"Plain service to call instead of a model."`
	Path    string `help:"Path of the call of the plain service, beginning with /."`
	IdemKey string `name:"idempotency-key" help:"Makes a call of a plain service run at most once."`
	Text    string `arg:"" help:"Question to the model, or body of the call."`
}

// Run implements the command.
func (c *askCommand) Run(ctx context.Context) error {
	q := demo.Request{
		Key: c.Key, Outlet: c.Outlet, Method: http.MethodPost, Path: "/v1/chat/completions",
		Stream: true, Repeatable: true, Body: demo.ChatBody(c.Model, true, "", c.Text),
	}
	if c.Service != "" {
		q.Path = "/v1/services/" + c.Service + c.Path
		q.Stream, q.Repeatable, q.IdemKey, q.Body = false, false, c.IdemKey, []byte(c.Text)
	}
	caller := demo.NewCaller([]string{c.Entry})
	client, err := httpClient(c.CA, callerTimeout)
	if err != nil {
		return err
	}
	caller.HTTP = client
	reply, err := caller.Do(ctx, q)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	if reply.Code != jdaw.CodeOK {
		return jdaw.Fail(reply.Code, "%s (%s)", reply.Code.Info().Meaning, reply.Ran)
	}
	fmt.Println(reply.Text)
	if reply.Model != "" {
		fmt.Printf("answered by %s\n", reply.Model)
	}
	return nil
}
