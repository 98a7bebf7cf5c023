package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// play is one case. It writes its record and returns the result.
type play func(r *record, isTrouble bool) (int, error)

var cases = map[string]play{"drain": playDrain, "crash": playCrash, "stale": playStale}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "review-standin-2 CASE --dir DIR")
		return notRun
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ContinueOnError)
	dir := flags.String("dir", ".", "folder of the case, for record.txt")
	if err := flags.Parse(os.Args[2:]); err != nil {
		return notRun
	}
	out, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	r := &record{out: out, began: time.Now()}
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return result
}
