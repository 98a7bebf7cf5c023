package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/fakes"
)

type fakeCommand struct {
	KeyValue fakeKeyValueCommand `cmd:"" name:"keyvalue" help:"The key-value service."`
	Engine   fakeEngineCommand   `cmd:"" help:"A model engine."`
	Plain    fakePlainCommand    `cmd:"" help:"A plain service."`
	Rating   fakeRatingCommand   `cmd:"" help:"The rating service."`
	VMList   fakeVMListCommand   `cmd:"" name:"vmlist" help:"The list of VMs."`
}

type fakeFlags struct {
	Listen string `required:"" help:"IP:port to listen on."`
}

// serve runs a stand-in until ctx ends.
func (f fakeFlags) serve(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Printf("listening on http://%s\n", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type fakeKeyValueCommand struct {
	fakeFlags
}

// Run implements the command.
func (c *fakeKeyValueCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fakes.NewKeyValue())
}

type fakeEngineCommand struct {
	fakeFlags
	Versions    []string      `required:"" help:"Versions that the engine has loaded, as model@version."`
	Capacity    int           `default:"8" help:"Requests that run at once."`
	FirstToken  time.Duration `default:"40ms" help:"Time to the first token."`
	PerToken    time.Duration `default:"4ms" help:"Time between tokens."`
	Tokens      int           `default:"24" help:"Length of an answer."`
	ColdFor     time.Duration `default:"0s" help:"Time after a start in which more than --cold-capacity requests make the engine fall over."`
	ColdCap     int           `name:"cold-capacity" default:"2" help:"Requests that a cold engine can run at once."`
	ChecksFence bool          `help:"Refuse orders with an old fencing number."`
}

// Run implements the command.
func (c *fakeEngineCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fakes.NewEngine(fakes.EngineConfig{
		Versions: c.Versions, Capacity: c.Capacity, FirstToken: c.FirstToken, PerToken: c.PerToken, Tokens: c.Tokens,
		ColdFor: c.ColdFor, ColdCapacity: c.ColdCap, ReportLag: time.Second, ChecksFence: c.ChecksFence,
	}))
}

type fakePlainCommand struct {
	fakeFlags
	Capacity int           `default:"16" help:"Calls that run at once."`
	Delay    time.Duration `default:"5ms" help:"Duration of a call."`
}

// Run implements the command.
func (c *fakePlainCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fakes.NewPlain(fakes.PlainConfig{Capacity: c.Capacity, Delay: c.Delay}))
}

type fakeRatingCommand struct {
	fakeFlags
	Quality map[string]float64 `help:"Mean rating by model or model@version, as name=0.9;name=0.8."`
}

// Run implements the command.
func (c *fakeRatingCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fakes.NewRating(fakes.RatingConfig{Quality: c.Quality, Noise: 0.08, Seed: 1}))
}

type fakeVMListCommand struct {
	fakeFlags
	Lag time.Duration `default:"0s" help:"Time until a reader sees a change."`
}

// Run implements the command.
func (c *fakeVMListCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fakes.NewVMList(c.Lag))
}
