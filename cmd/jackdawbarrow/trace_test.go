package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const recorded = "../../replay/testdata/recorded/"

// The command must run the owner's machine as well as the evaluator's, and must
// fail if a decision or an outcome differs; it would otherwise pass any trace.
func TestReplayCommand(t *testing.T) {
	trace, err := os.ReadFile(recorded + "consorcio-owner-judge.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	stated, err := os.ReadFile(recorded + "consorcio-owner-judge.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ trace, expect, want string }{
		"as recorded":      {string(trace), string(stated), ""},
		"missed outcome":   {string(trace), "- {action: grant, none: true}\n", "grant: want none"},
		"other decision":   {strings.Replace(string(trace), `"action":"grant","fields":{"credit":"`, `"action":"grant","fields":{"credit":"x`, 1), string(stated), "the replay gives grant"},
		"unknown rule":     {string(trace), "- holds: everything\n", `no rule is named "everything"`},
		"rule and a bound": {string(trace), "- {holds: coldLimit, atMost: 1}\n", "holds cannot be combined"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			cmd := replayCommand{Trace: filepath.Join(dir, "trace.jsonl"), Expect: filepath.Join(dir, "expect.yaml")}
			for path, text := range map[string]string{cmd.Trace: c.trace, cmd.Expect: c.expect} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			err := cmd.Run()
			if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
