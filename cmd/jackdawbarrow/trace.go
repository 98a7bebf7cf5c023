package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/replay"
)

type replayCommand struct {
	Trace  string `required:"" type:"existingfile" help:"Trace that a process recorded (setting 'record')."`
	Expect string `required:"" type:"existingfile" help:"YAML file with the stated outcomes."`
}

// Run implements the command.
func (c *replayCommand) Run() error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return errors.Wrap(err, "open trace")
	}
	defer func() { _ = f.Close() }() // it was only read
	b, err := os.ReadFile(c.Expect)
	if err != nil {
		return errors.Wrap(err, "read outcomes")
	}
	outcomes, err := replay.ParseOutcomes(b)
	if err != nil {
		return errors.Wrapf(err, "%s", c.Expect)
	}
	log, err := replay.Run(f, replay.Config{Registry: replay.Standard(), NewMachines: replay.ProcessMachines, SkipUnknown: true})
	if err != nil {
		return err
	}
	if err := log.Check(outcomes); err != nil {
		return err
	}
	if len(log.Recorded) > 0 {
		if err := log.CompareRecorded(); err != nil {
			return err
		}
		fmt.Printf("all %d recorded decisions are the same\n", len(log.Recorded))
	}
	fmt.Printf("all %d stated outcomes hold\n", len(outcomes))
	return nil
}
