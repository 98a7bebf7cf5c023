package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jackdawbarrow/replay"
)

// A replay must take the recorded decisions on every run, or a trace of a fault in
// production cannot be analysed; and the decisions must be those that the design
// specifies. The traces are from TestRecordTraces of package
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

// Traces in the repository must not contain secrets of the recorded run.
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
