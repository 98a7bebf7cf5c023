// Command jackdawbarrow runs an entry VM, its tools and its demonstration.
//
// # Usage
//
//	jackdawbarrow serve --settings entry1.yaml
//	jackdawbarrow demo
//	jackdawbarrow --help
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"jackdawbarrow"
)

type commands struct {
	Serve      serveCommand      `cmd:"" help:"Run one entry VM."`
	Ask        askCommand        `cmd:"" help:"Send one request as a caller does."`
	Relay      relayCommand      `cmd:"" help:"Run one entry VM that relays requests to registered upstreams."`
	Demo       demoCommand       `cmd:"" help:"Run a small deployment on loopback with stand-ins and send it work."`
	Fake       fakeCommand       `cmd:"" help:"Run one stand-in of the platform or of an upstream."`
	Setup      setupCommand      `cmd:"" help:"Generate a configuration from answers to a questionnaire."`
	Check      checkCommand      `cmd:"" help:"Check settings and configurations; every fault is shown in one run."`
	Key        keyCommand        `cmd:"" help:"Make a workspace key or an operator token and the hash that goes into the configuration."`
	Init       initCommand       `cmd:"" help:"Store the first configuration of a deployment."`
	Replay     replayCommand     `cmd:"" help:"Replay a recorded trace and check its stated outcomes."`
	Explain    explainCommand    `cmd:"" help:"Tell the life of one request from the logs of all VMs."`
	Where      whereCommand      `cmd:"" help:"Tell where a request would go now, and why, without sending it."`
	Codes      codesCommand      `cmd:"" help:"Print the table of result codes."`
	Completion completionCommand `cmd:"" help:"Print a script for completion in bash and zsh."`

	Status     statusCommand     `cmd:"" group:"admin" help:"Show members, pools, roll-outs and suspensions."`
	Apply      applyCommand      `cmd:"" group:"admin" help:"Create or replace an object from a YAML file."`
	Remove     removeCommand     `cmd:"" group:"admin" help:"Remove an object."`
	DataCentre dataCentreCommand `cmd:"" group:"admin" name:"datacentre" help:"Take a data centre out or bring it back."`
	Version    versionCommand    `cmd:"" group:"admin" help:"Withdraw a version of a model."`
	Rollout    rolloutCommand    `cmd:"" group:"admin" help:"Start, step, halt or finish a roll-out."`
	Drain      drainCommand      `cmd:"" group:"admin" help:"Give a VM or an upstream no new work, or bring it back."`
	Suspension suspensionCommand `cmd:"" group:"admin" help:"Lift a suspension."`
	Show       showCommand       `cmd:"" group:"admin" help:"Show the configuration without secrets."`
	Ledger     ledgerCommand     `cmd:"" group:"admin" help:"Export all bills, one JSON object a line."`
	Timeline   timelineCommand   `cmd:"" group:"admin" help:"Show the merged time line of all VMs."`
}

// Exit codes of the command.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

// run is main without the exit, so that tests can call it as a command.
func run() int {
	// A VM gets SIGHUP when its settings change, also before it has read them and
	// while it drains. The default action would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var c commands
	parser, err := kong.New(&c,
		kong.Name("jackdawbarrow"),
		kong.Description("A model-aware router for versions and cascades."),
		kong.UsageOnError(),
		kong.ExplicitGroups([]kong.Group{{
			Key:         "admin",
			Title:       "Administration (needs --admin and --token):",
			Description: "These commands call the administration API of any entry VM.",
		}}),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	kctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.FatalIfErrorf(err)
		return exitUsage
	}
	if !isVM(kctx.Command()) {
		signal.Stop(hangups)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	kctx.Bind(parser)
	kctx.Bind(hangupSource(hangups))
	if err := kctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawbarrow: "+message(err))
		return exitFailure
	}
	return 0
}

// hangupSource delivers SIGHUP.
type hangupSource <-chan os.Signal

// isVM reports whether a command runs an entry VM, which SIGHUP must not end.
func isVM(command string) bool { return command == "relay" || command == "serve" }

// message leaves out the code of an error that has none.
func message(err error) string {
	if coded := jdaw.CodeOf(err); coded.Code != jdaw.CodeInternal {
		return coded.Error()
	}
	return err.Error()
}
