package demo_test

import (
	"flag"
	"testing"

	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

var recordDir = flag.String("record", "", "directory for the traces of TestRecordTraces")

// TestRecordTraces records the traces of package replay from a short run of
// each deployment: 8 VMs start, a version that fails half of its requests is
// rolled out, and its evaluator suspends it. It runs only with -record; the traces
// of the VMs that replay/testdata holds are copied from there.
func TestRecordTraces(t *testing.T) {
	if *recordDir == "" {
		t.Skip("no -record directory")
	}
	for _, shape := range []demo.Shape{demo.Authority(), demo.Consorcio()} {
		t.Run(shape.Name, func(t *testing.T) {
			dir := *recordDir + "/" + shape.Name
			s := start(t, shape, 1, dir)
			for _, e := range s.standIns.Engines {
				e.SetFault(fakes.EngineFault{FailShare: map[string]float64{s.candidate(): 0.5}})
			}
			stop := s.load(1, shape.Models[0].Name)
			s.startRollout(50)
			s.awaitSuspension()
			from := s.sent.Load()
			s.await("requests after the suspension", func() bool { return s.sent.Load() >= from+30 })
			stop()
			for range 10 {
				s.ask(s.callerOf(0), "cascade")
			}
			s.stop()
		})
	}
}
