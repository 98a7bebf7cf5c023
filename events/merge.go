package events

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"jackdawbarrow"
)

// Merge puts the events of all processes into one causal order: by hybrid
// logical clock, then by VM.
func Merge(lists ...[]jdaw.TimelineEvent) []jdaw.TimelineEvent {
	var all []jdaw.TimelineEvent
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.Wall != b.Wall {
			return a.Wall < b.Wall
		}
		if a.Logical != b.Logical {
			return a.Logical < b.Logical
		}
		return a.VM < b.VM
	})
	return all
}

// Filter selects events; an empty field matches all.
type Filter struct {
	Request    jdaw.RequestID
	Workspace  jdaw.WorkspaceID
	Upstream   jdaw.UpstreamID
	DataCentre jdaw.DataCentre
}

// Apply returns the events that match.
func (f Filter) Apply(list []jdaw.TimelineEvent) []jdaw.TimelineEvent {
	var out []jdaw.TimelineEvent
	for _, e := range list {
		if f.matches(e) {
			out = append(out, e)
		}
	}
	return out
}

func (f Filter) matches(e jdaw.TimelineEvent) bool {
	if f.Request != "" && f.Request != e.RequestID {
		return false
	}
	if f.Workspace != "" && f.Workspace != e.Workspace {
		return false
	}
	if f.Upstream != "" && f.Upstream != e.Upstream {
		return false
	}
	return f.DataCentre == "" || f.DataCentre == e.DataCentre
}

// timeFormat has microseconds, since the steps of one request are less
// than a millisecond apart.
const timeFormat = "15:04:05.000000"

// WriteText writes one line per event.
func WriteText(w io.Writer, list []jdaw.TimelineEvent) error {
	for _, e := range list {
		at := time.Unix(0, e.Wall).UTC().Format(timeFormat)
		_, err := fmt.Fprintf(w, "%s+%d %-10s %-18s %s\n", at, e.Logical, e.VM, e.Name, Details(e))
		if err != nil {
			return err
		}
	}
	return nil
}

// Details returns the fields of an event that are set, as "name=value" pairs,
// and its text.
func Details(e jdaw.TimelineEvent) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", string(e.RequestID))
	add("workspace", string(e.Workspace))
	add("upstream", string(e.Upstream))
	add("dataCentre", string(e.DataCentre))
	if e.Text != "" {
		parts = append(parts, e.Text)
	}
	return strings.Join(parts, " ")
}
