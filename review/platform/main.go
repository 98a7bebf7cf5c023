// Command platform plays the cases of the review: it starts the relays as separate
// processes, and stands in for the platform's store, the runners and the clients.
//
// # Usage
//
//	standin CASE RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2
// if the case could not run. With TROUBLE=0 in the environment, it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRun ends a case that hangs.
	maxRun = 115 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	isBroken bool
	text     string
}

// cases are the cases by the name of their folder.
var cases = map[string]func(d *deployment, hasTrouble bool) (verdict, error){}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.add("not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", args[0], hasTrouble)
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[args[0]](d, hasTrouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.tell("not run: %v", r.err)
			return exitNotRun
		case r.v.isBroken:
			rec.tell("broken: %s", r.v.text)
			return exitBroken
		}
		rec.tell("held: %s", r.v.text)
		return exitHeld
	case <-time.After(maxRun):
		rec.tell("not run: the case took longer than %s", maxRun)
		return exitNotRun
	}
}
