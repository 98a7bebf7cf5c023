package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/serve"
)

// drainTimeout is longer than the longest wait of an outlet in the examples.
const drainTimeout = 5 * time.Minute

type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"YAML file with the settings of this VM."`
}

// Run implements the command. It returns after a drain, which SIGINT and
// SIGTERM start.
func (c *serveCommand) Run(ctx context.Context) error {
	settings, err := config.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(settings.Log)
	if err != nil {
		return err
	}
	p, err := serve.New(serve.Config{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"vm": settings.VM, "callers": p.Settings().Listen.Callers}).Info("serving")
	select {
	case <-ctx.Done():
	case <-p.Draining():
	}
	log.Info("draining; requests in progress are finished")
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	p.Drain(drain)
	return nil
}

// logTime has milliseconds: the lines of one request are closer than a second.
const logTime = "2006-01-02T15:04:05.000Z07:00"

func newLogger(s config.LogSettings) (*logrus.Logger, error) {
	log := logrus.New()
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log.SetLevel(level)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTime})
	}
	return log, nil
}

type initCommand struct {
	Store         string `required:"" help:"Address of the key-value service, http://IP:port."`
	Configuration string `arg:"" type:"existingfile" help:"YAML file with the configuration."`
}

// Run implements the command.
func (c *initCommand) Run(ctx context.Context) error {
	doc, err := config.LoadDocument(c.Configuration)
	if err != nil {
		return err
	}
	if doc.Revision == 0 {
		doc.Revision = 1
	}
	if err := demo.StoreDocument(ctx, c.Store, doc); err != nil {
		return err
	}
	fmt.Printf("stored as revision %d\n", doc.Revision)
	return nil
}

type demoCommand struct {
	Consorcio bool          `help:"Run the shape of the Consorcio instead of the Authority's."`
	Duration  time.Duration `default:"10s" help:"Time in which requests are sent."`
	Callers   int           `default:"16" help:"Concurrent callers."`
	Seed      uint64        `default:"1" help:"Seed of the requests."`
	Verbose   bool          `help:"Show the log of the entry VMs."`
	Record    string        `type:"existingdir" help:"Directory for one trace per VM."`
}

// Run implements the command.
func (c *demoCommand) Run(ctx context.Context) error {
	shape := demo.Authority()
	if c.Consorcio {
		shape = demo.Consorcio()
	}
	log := logrus.New()
	if !c.Verbose {
		log.SetLevel(logrus.ErrorLevel)
	}
	return demo.Run(ctx, demo.Config{
		Shape: shape, Duration: c.Duration, Callers: c.Callers, Seed: c.Seed, Out: os.Stdout, Log: log, RecordDir: c.Record,
	})
}
