// Package demo runs a whole deployment on loopback: entry VMs, the platform's
// services and the upstreams as stand-ins, and callers that send work.
//
// All parts run as goroutines of one process, since a process of the system
// starts no other process.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Config{Shape: demo.Authority(), Duration: 10 * time.Second, Out: os.Stdout})
//
// Run returns an error if the ledger and the requests differ.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow/ledger"
	"jackdawbarrow/store"
)

// Config configures a run.
type Config struct {
	Shape    Shape
	Duration time.Duration
	Callers  int // concurrent callers
	Seed     uint64
	Out      io.Writer
	Log      *logrus.Logger
	// RecordDir, if set, takes one trace per VM.
	RecordDir string
}

// Timing of the demo's engines: short enough to watch, long enough to see.
var demoTiming = EngineTiming{FirstToken: 40 * time.Millisecond, PerToken: 4 * time.Millisecond, Tokens: 24}

// Run runs the demo until the duration has passed or ctx ends.
func Run(ctx context.Context, cfg Config) error {
	fmt.Fprintf(cfg.Out, "starting %d entry VMs, %d engines and %d plain services of %s on loopback\n",
		cfg.Shape.VMs, cfg.Shape.Engines, cfg.Shape.Plains, cfg.Shape.Name)
	standIns, err := StartStandIns(ctx, cfg.Shape, demoTiming)
	if err != nil {
		return err
	}
	defer standIns.Close()
	standIns.RecordDir = cfg.RecordDir
	cluster, err := StartVMs(standIns, cfg.Log)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := cluster.AwaitReady(ctx, 20*time.Second); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "ready: callers at %s, administration at %s\n", cluster.EntryAddrs()[0], cluster.AdminAddr())
	fmt.Fprintf(cfg.Out, "operator token for this run: %s\n", standIns.Secrets.Operator)

	report := NewReport()
	send(ctx, cfg, cluster, standIns, report)
	fmt.Fprintln(cfg.Out, "draining all VMs")
	cluster.Drain()

	kv, err := store.New(store.Config{Addresses: []string{standIns.KeyValueAddr}})
	if err != nil {
		return err
	}
	bills, err := ledger.Export(context.WithoutCancel(ctx), kv)
	if err != nil {
		return errors.Wrap(err, "read the ledger")
	}
	billing := report.Compare(bills)
	if err := report.Write(cfg.Out, billing); err != nil {
		return err
	}
	if !billing.IsExact() {
		return errors.Newf("bills and requests differ: %d not billed, %d billed twice, %d not settled",
			len(billing.Unbilled), len(billing.Twice), len(billing.Unsettled))
	}
	fmt.Fprintln(cfg.Out, "each request has exactly one bill")
	return nil
}

// send lets the callers work until the duration has passed or ctx ends.
// Requests in progress are finished.
func send(ctx context.Context, cfg Config, cluster *Cluster, standIns *StandIns, report *Report) {
	end := time.Now().Add(cfg.Duration)
	var wg conc.WaitGroup
	for i := 0; i < cfg.Callers; i++ {
		work := NewWork(cfg.Shape, standIns.Secrets, cfg.Seed+uint64(i))
		caller := NewCaller(cluster.EntryAddrs())
		prefix := fmt.Sprintf("caller%d-", i)
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				job := work.Next()
				if job.Request.IdemKey != "" {
					job.Request.IdemKey = prefix + job.Request.IdemKey
				}
				reply, err := caller.Do(context.WithoutCancel(ctx), job.Request)
				report.Add(job, reply, err)
			}
		})
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		fmt.Fprintf(cfg.Out, "  %d requests sent, %d answered\n", report.Requests(), report.Answered())
	}
	wg.Wait()
}
