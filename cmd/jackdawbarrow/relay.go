package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
	"jackdawbarrow/gate"
	"jackdawbarrow/logs"
	"jackdawbarrow/platform"
)

// memoryShare is the part of the process's memory limit at which the collector
// works harder; the rest holds stacks, buffers of the kernel and the program.
const memoryShare = 0.7

type relayCommand struct {
	Settings string `required:"" type:"existingfile" env:"JACKDAWBARROW_NODE_FILE" help:"YAML file with the settings of this VM."`
	MaxFDs   int    `name:"max-fds" help:"Limit of the process on descriptors, if the settings state none."`
}

// Run implements the command. It returns after a drain, which SIGINT and
// SIGTERM start.
func (c *relayCommand) Run(ctx context.Context, hangups hangupSource) error {
	if c.MaxFDs < 0 {
		return errors.New("--max-fds must not be negative")
	}
	settings, err := config.LoadRelaySettings(c.Settings)
	if err != nil {
		return err
	}
	settings = platform.ApplyTerms(settings)
	log, err := newLogger(settings.Log)
	if err != nil {
		return err
	}
	out := logs.NewWriter(logs.Config{Out: os.Stdout})
	defer out.Close()
	log.SetOutput(out)
	log.SetFormatter(logs.NewFormatter(logs.FormatterConfig{Next: log.Formatter}))
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	}
	if settings.MaxFDs == 0 {
		settings.MaxFDs = c.MaxFDs
	}
	codec := platform.Codec{}
	p, err := gate.New(gate.Config{
		Settings: settings, Store: platform.NewStore(settings.Store), Decoder: codec, Encoder: codec,
		Protocol: platform.Protocol{}, Directory: codec, Log: log,
	})
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"vm": settings.VM, "callers": settings.Listen.Callers}).Info("started")
	settings = c.await(ctx, hangups, settings, log)
	log.Info("draining; requests in progress are finished")
	p.Drain(settings.Drain())
	log.Info("stopped")
	return nil
}

// await returns when ctx ends. SIGHUP reads the settings again: the log level
// and the drain time take effect, all else with the next start.
func (c *relayCommand) await(ctx context.Context, hangups hangupSource, settings config.RelaySettings, log *logrus.Logger) config.RelaySettings {
	for {
		select {
		case <-ctx.Done():
			return settings
		case <-hangups:
		}
		fresh, err := config.LoadRelaySettings(c.Settings)
		if err != nil {
			log.WithError(err).Error("settings not reloaded; the old ones stay in force")
			continue
		}
		settings = fresh
		if level, err := logrus.ParseLevel(settings.Log.Level); err == nil {
			log.SetLevel(level)
		}
		log.Info("settings reloaded")
	}
}
