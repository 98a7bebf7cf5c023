package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/events"
)

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" type:"existingfile" help:"Logs of all VMs, one file a VM or several VMs in one file."`
}

// Run implements the command.
func (c *explainCommand) Run() error {
	x := events.NewExplanation(jdaw.RequestID(c.Request))
	for _, file := range c.Logs {
		if err := readLog(x, file); err != nil {
			return err
		}
	}
	if n := x.Skipped(); n > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are no log lines and were skipped\n", n)
	}
	list := x.Events()
	if len(list) == 0 {
		return errors.Newf("no line names request %s; it may have reached a VM whose log is missing", c.Request)
	}
	return events.WriteText(os.Stdout, list)
}

func readLog(x *events.Explanation, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }() // it was only read
	return x.Read(f, file)
}
