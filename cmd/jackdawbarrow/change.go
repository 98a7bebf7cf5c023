package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
)

// adminFlags are the flags of all commands that call the administration API.
type adminFlags struct {
	Admin  string `required:"" env:"JACKDAWBARROW_ADMIN" help:"Address of the administration API, http://IP:port."`
	Token  string `required:"" env:"JACKDAWBARROW_TOKEN" help:"Operator token."`
	CA     string `type:"existingfile" env:"JACKDAWBARROW_CA" help:"PEM file with the authority that signed the API's certificate; the system's authorities otherwise."`
	Output string `enum:"table,json,yaml" default:"table" help:"Form of the output: table, json or yaml."`
}

func (f adminFlags) client() (*admin.Client, error) {
	h, err := httpClient(f.CA, adminTimeout)
	if err != nil {
		return nil, err
	}
	return admin.NewClient(admin.ClientConfig{Address: strings.TrimSuffix(f.Admin, "/"), Token: f.Token, HTTP: h}), nil
}

// print writes a value as JSON or YAML and reports whether it did.
func (f adminFlags) print(v any) (bool, error) {
	switch f.Output {
	case "json":
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return true, enc.Encode(v)
	case "yaml":
		b, err := yaml.MarshalWithOptions(v, yaml.UseJSONMarshaler())
		if err != nil {
			return true, err
		}
		_, err = os.Stdout.Write(b)
		return true, err
	}
	return false, nil
}

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	adminFlags
	BaseRevision uint64 `help:"Revision that the change was made from; a later change of the same object is a conflict."`
	DryRun       bool   `help:"Show the difference and change nothing."`
	ID           string `help:"Id of the change; sending the same id again has no further effect."`
}

func (f changeFlags) change(ctx context.Context, ops ...config.Op) error {
	c := config.Change{ID: f.ID, BaseRevision: jdaw.Revision(f.BaseRevision), Ops: ops}
	client, err := f.client()
	if err != nil {
		return err
	}
	result, err := client.Change(ctx, c, admin.ChangeOptions{DryRun: f.DryRun})
	if err != nil {
		return err
	}
	if done, err := f.print(result); done {
		return err
	}
	if result.Difference != "" {
		fmt.Print(result.Difference)
	}
	switch {
	case result.DryRun:
		fmt.Printf("dry run: nothing was changed at revision %d\n", result.Revision)
	case result.Suspended:
		fmt.Printf("suspended (not accepted yet): the key-value service is down; in force on %d of %d VMs, ids %s\n",
			result.InForce, result.Known, strings.Join(result.Suspensions, ", "))
	default:
		fmt.Printf("accepted as revision %d, in force on %d of %d VMs\n", result.Revision, result.InForce, result.Known)
	}
	if len(result.Unconfirmed) > 0 {
		fmt.Printf("not confirmed by: %v\n", result.Unconfirmed)
	}
	return nil
}

type dataCentreCommand struct {
	Out dataCentreOutCommand `cmd:"" help:"Take a data centre out: it gets no new work."`
	In  dataCentreInCommand  `cmd:"" help:"Bring a data centre back; its upstreams return at their cold limits."`
}

type dataCentreOutCommand struct {
	changeFlags
	Name   string `arg:"" help:"Name of the data centre."`
	Reason string `help:"Why, for the record."`
}

// Run implements the command.
func (c *dataCentreOutCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpDataCentreOut, Name: c.Name, Reason: c.Reason})
}

type dataCentreInCommand struct {
	changeFlags
	Name string `arg:"" help:"Name of the data centre."`
}

// Run implements the command.
func (c *dataCentreInCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpDataCentreIn, Name: c.Name})
}

type versionCommand struct {
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a version for good: it gets no new work."`
}

type withdrawCommand struct {
	changeFlags
	Version string `arg:"" help:"model@version."`
	Reason  string `help:"Why, for the record."`
}

// Run implements the command.
func (c *withdrawCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpWithdrawVersion, Name: c.Version, Reason: c.Reason})
}

type rolloutCommand struct {
	Start  rolloutStartCommand  `cmd:"" help:"Send a share of new sessions to a version."`
	Step   rolloutStepCommand   `cmd:"" help:"Change the share."`
	Halt   rolloutHaltCommand   `cmd:"" help:"Send no new sessions to the version; existing ones keep it."`
	Finish rolloutFinishCommand `cmd:"" help:"Make the version the stable one."`
}

type rolloutStartCommand struct {
	changeFlags
	Version string  `arg:"" help:"model@version."`
	Share   float64 `required:"" help:"Share of new sessions in percent."`
}

// Run implements the command.
func (c *rolloutStartCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpStartRollout, Name: c.Version, Share: c.Share})
}

type rolloutStepCommand struct {
	changeFlags
	Version string  `arg:"" help:"model@version."`
	Share   float64 `required:"" help:"Share of new sessions in percent."`
}

// Run implements the command.
func (c *rolloutStepCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpStepRollout, Name: c.Version, Share: c.Share})
}

type rolloutHaltCommand struct {
	changeFlags
	Version string `arg:"" help:"model@version."`
}

// Run implements the command.
func (c *rolloutHaltCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpHaltRollout, Name: c.Version})
}

type rolloutFinishCommand struct {
	changeFlags
	Version string `arg:"" help:"model@version."`
}

// Run implements the command.
func (c *rolloutFinishCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpFinishRollout, Name: c.Version})
}

type drainCommand struct {
	changeFlags
	Kind string `arg:"" enum:"vm,upstream" help:"vm or upstream."`
	Name string `arg:"" help:"Name of the VM or upstream."`
	Undo bool   `help:"Bring it back."`
}

// Run implements the command.
func (c *drainCommand) Run(ctx context.Context) error {
	kinds := map[string][2]config.OpKind{
		"vm":       {config.OpDrainVM, config.OpUndrainVM},
		"upstream": {config.OpDrainUpstream, config.OpUndrainUpstream},
	}
	kind := kinds[c.Kind][0]
	if c.Undo {
		kind = kinds[c.Kind][1]
	}
	return c.change(ctx, config.Op{Kind: kind, Name: c.Name})
}

type suspensionCommand struct {
	Lift liftCommand `cmd:"" help:"Lift a suspension."`
}

type liftCommand struct {
	changeFlags
	SuspensionID string `arg:"" help:"Id of the suspension, as status shows it."`
}

// Run implements the command.
func (c *liftCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpLiftSuspension, Name: c.SuspensionID})
}

type applyCommand struct {
	changeFlags
	Object string `arg:"" enum:"dataCentre,model,cascade,service,workspace,upstream,sessionKey,operator" help:"Kind of the object: dataCentre, model, cascade, service, workspace, upstream, sessionKey or operator."`
	Name   string `arg:"" help:"Name or id of the object."`
	File   string `arg:"" type:"existingfile" help:"YAML file with the object."`
}

// Run implements the command.
func (c *applyCommand) Run(ctx context.Context) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read object")
	}
	value, err := yaml.YAMLToJSON(b)
	if err != nil {
		return errors.Wrapf(err, "%s", c.File)
	}
	return c.change(ctx, config.Op{Kind: config.OpPut, Object: config.ObjectKind(c.Object), Name: c.Name, Value: value})
}

type removeCommand struct {
	changeFlags
	Object string `arg:"" enum:"dataCentre,model,rollout,cascade,service,workspace,upstream,sessionKey,operator" help:"Kind of the object."`
	Name   string `arg:"" help:"Name or id of the object."`
}

// Run implements the command.
func (c *removeCommand) Run(ctx context.Context) error {
	return c.change(ctx, config.Op{Kind: config.OpRemove, Object: config.ObjectKind(c.Object), Name: c.Name})
}
