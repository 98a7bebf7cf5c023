package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fault is one mistake in a settings or configuration file.
type Fault struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line: field: message".
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults are all mistakes found in one run.
type Faults []Fault

// Err returns nil without faults, else an error with one line a fault.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
