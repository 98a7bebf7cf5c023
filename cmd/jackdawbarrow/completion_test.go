package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against a completion script that bash cannot read, or that offers the
// words of another command.
func TestCompletion(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Skip("no bash on this machine")
	}
	script, err := exec.Command("go", "run", ".", "completion").Output()
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ typed, want string }{
		"command":            {"data", "datacentre"},
		"subcommand":         {"datacentre o", "out"},
		"flag of subcommand": {"datacentre out --dr", "--dry-run"},
		"flag of command":    {"status --adm", "--admin"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			words := strings.Split("jackdawbarrow "+tt.typed, " ")
			call := "COMP_WORDS=(" + strings.Join(words, " ") + ")\nCOMP_CWORD=$((${#COMP_WORDS[@]}-1))\n_jackdawbarrow\necho ${COMPREPLY[@]}\n"
			out, err := exec.Command(bash, "-c", string(script)+call).CombinedOutput()
			if err != nil || strings.TrimSpace(string(out)) != tt.want {
				t.Errorf("got %q, want %q, %v", out, tt.want, err)
			}
		})
	}
}
