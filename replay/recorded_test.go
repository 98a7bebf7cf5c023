package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jackdawbarrow/replay"
)

// A recorded process must take the same decisions in a replay, on every run, or
// a trace of a fault in service shows nothing; and the decisions must be those
// that the design page states. The traces are from TestRecordTraces of package
// demo: 8 VMs of each deployment, a version that fails half of its requests.
func TestRecordedProcesses(t *testing.T) {
	paths, err := filepath.Glob("testdata/recorded/*.jsonl")
	if err != nil || len(paths) != 3 {
		t.Fatalf("found traces %v, %v, want 3", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			trace, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			stated, err := os.ReadFile(strings.TrimSuffix(path, ".jsonl") + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			outcomes, err := replay.ParseOutcomes(stated)
			if err != nil {
				t.Fatal(err)
			}
			var first []byte
			for range 10 {
				log, err := replay.Run(bytes.NewReader(trace), replay.Config{Registry: replay.Standard(), NewMachines: replay.ProcessMachines})
				if err != nil {
					t.Fatal(err)
				}
				if err := log.CompareRecorded(); err != nil {
					t.Fatal(err)
				}
				if err := log.Check(outcomes); err != nil {
					t.Fatal(err)
				}
				b, err := log.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if first == nil {
					first = b
				}
				if !bytes.Equal(first, b) {
					t.Fatal("two runs differ")
				}
			}
		})
	}
}

// Traces in the repository must hold no secrets of the run they are from.
func TestRecordedTracesHoldNoSecrets(t *testing.T) {
	paths, err := filepath.Glob("testdata/recorded/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found traces %v, %v", paths, err)
	}
	for _, path := range paths {
		trace, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, field := range []string{`"secret":`, `"salt":`, `"hash":`, `"sessionKeys":`, `"token":`} {
			if bytes.Contains(trace, []byte(field)) {
				t.Errorf("%s holds the field %s", path, field)
			}
		}
	}
}
