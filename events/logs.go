package events

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"path"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// beliefTime is the time before a request in which changes of what a VM
// believed are shown with it.
const beliefTime = 30 * time.Second

// logFields are those of a log line.
type logFields map[string]any

func (f logFields) text(name string) string {
	switch v := f[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

func (f logFields) isTrue(name string) bool { b, _ := f[name].(bool); return b }

// logLine is one line of a VM's log.
type logLine struct {
	vm     jdaw.VMID
	at     time.Time
	name   string
	fields logFields
}

// Explanation collects from the logs of all VMs what touched one request.
type Explanation struct {
	id      string
	lines   []logLine
	beliefs []logLine // what VMs believed; not of a request
	skipped int       // lines that are not JSON
}

// NewExplanation returns an explanation of a request without any lines.
func NewExplanation(id jdaw.RequestID) *Explanation { return &Explanation{id: string(id)} }

// Read takes the log of one or more VMs: JSON lines as a process writes them,
// or with words before the JSON of which the last is the VM. source names the
// VM if neither the line nor such a word does.
func (x *Explanation) Read(r io.Reader, source string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		// Most lines are of other requests and need not be decoded.
		if bytes.Contains(line, []byte(`"request":`)) && !bytes.Contains(line, []byte(x.id)) {
			continue
		}
		x.add(line, source)
	}
	return errors.Wrapf(scanner.Err(), "read %s", source)
}

func (x *Explanation) add(line []byte, source string) {
	begin := bytes.IndexByte(line, '{')
	l := logLine{}
	if begin < 0 || json.Unmarshal(line[begin:], &l.fields) != nil {
		x.skipped++
		return
	}
	l.name = l.fields.text("msg")
	l.vm = jdaw.VMID(strings.TrimSuffix(path.Base(source), path.Ext(source)))
	if words := bytes.Fields(line[:begin]); len(words) > 0 {
		l.vm = jdaw.VMID(words[len(words)-1])
	}
	if vm := l.fields.text("vm"); vm != "" {
		l.vm = jdaw.VMID(vm)
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields.text("time"))
	if err != nil {
		x.skipped++
		return
	}
	l.at = at
	switch {
	case l.fields.text("request") == x.id:
		x.lines = append(x.lines, l)
	case l.fields["request"] == nil:
		x.beliefs = append(x.beliefs, l)
	}
}

// Events returns the life of the request over all VMs in order, with what each
// VM believed at the time. It is empty if no line names the request.
func (x *Explanation) Events() []jdaw.TimelineEvent {
	var list []jdaw.TimelineEvent
	for vm, span := range x.spans() {
		for _, l := range x.beliefsOf(vm, span) {
			list = append(list, l.event(describeBelief(l, span.from)))
		}
	}
	for _, l := range x.lines {
		e := l.event(describe(l))
		e.RequestID = jdaw.RequestID(x.id)
		list = append(list, e)
	}
	return Merge(list)
}

// Skipped returns the number of lines that could not be read.
func (x *Explanation) Skipped() int { return x.skipped }

type span struct{ from, to time.Time }

// spans returns the time in which each VM had the request.
func (x *Explanation) spans() map[jdaw.VMID]span {
	spans := map[jdaw.VMID]span{}
	for _, l := range x.lines {
		// A line tells of what began earlier by the time taken.
		from := l.at.Add(-l.took())
		s, ok := spans[l.vm]
		if !ok {
			s = span{from, l.at}
		}
		if from.Before(s.from) {
			s.from = from
		}
		if l.at.After(s.to) {
			s.to = l.at
		}
		spans[l.vm] = s
	}
	return spans
}

// beliefsOf returns the last state of the VM before the request, and what else
// it noted from shortly before the request to its end.
func (x *Explanation) beliefsOf(vm jdaw.VMID, s span) []logLine {
	var found []logLine
	last := -1
	for i, l := range x.beliefs {
		if l.vm != vm || l.at.After(s.to) {
			continue
		}
		isState := l.name == "state in force"
		if isState && !l.at.After(s.from) {
			if last < 0 || !l.at.Before(x.beliefs[last].at) {
				last = i
			}
			continue
		}
		if isState || l.at.After(s.from.Add(-beliefTime)) {
			found = append(found, l)
		}
	}
	if last >= 0 {
		found = append(found, x.beliefs[last])
	}
	return found
}

func (l logLine) took() time.Duration {
	ms, _ := l.fields["tookMs"].(float64)
	return time.Duration(ms) * time.Millisecond
}

func (l logLine) event(text string) jdaw.TimelineEvent {
	return jdaw.TimelineEvent{
		VM: l.vm, Wall: l.at.UnixNano(), Name: l.name, Text: text,
		Workspace: jdaw.WorkspaceID(l.fields.text("workspace")), Upstream: jdaw.UpstreamID(l.fields.text("upstream")),
	}
}

// describe says in words what a line of a request decided, and from what.
func describe(l logLine) string {
	f := l.fields
	switch l.name {
	case "attempt failed":
		next := "no other attempt is allowed"
		if f.isTrue("mayRetry") {
			next = "another attempt is allowed"
		}
		return fmt.Sprintf("attempt %s at %s (version %s, one of %s that could take it, %s of this VM's requests there) ended as %s after %s ms by revision %s; %s; %s",
			f.text("attempt"), f.text("address"), f.text("version"), f.text("candidates"), f.text("inUse"), f.text("outcome"), f.text("tookMs"), f.text("revision"), next, attemptCause(f))
	case "answer dropped for a larger model":
		return describeStep(f) + ": the answer is dropped and a larger model is asked"
	case "request ended":
		return describeEnd(l)
	}
	return describeFields(l)
}

func describeStep(f logFields) string {
	text := fmt.Sprintf("model %s answers with confidence %s, target %s, %s ms are left",
		f.text("model"), f.text("confidence"), f.text("target"), f.text("remainingMs"))
	if wait := f.text("queueMs"); wait != "" {
		text += fmt.Sprintf(", a larger model would wait for %s ms", wait)
	}
	return text
}

func describeEnd(l logLine) string {
	f := l.fields
	number, _ := f["code"].(float64)
	code := jdaw.Code(number)
	end := "with result " + code.String()
	if f.isTrue("callerGone") {
		end = "because the caller left"
	}
	text := fmt.Sprintf("route %s to service %s ended %s and status %s after %s ms and %s attempts",
		f.text("route"), f.text("service"), end, f.text("status"), f.text("tookMs"), f.text("attempts"))
	if first := f.text("firstEventMs"); first != "" {
		text += fmt.Sprintf("; %s events, the first %s ms after the last attempt began", f.text("events"), first)
	}
	if f.text("confidence") != "" {
		text += "; " + describeStep(f) + " when it was passed on"
	}
	if cause := f.text("cause"); cause != "" {
		text += "; " + cause
	}
	return text
}

func describeBelief(l logLine, from time.Time) string {
	text := describeFields(l)
	if age := from.Sub(l.at); age > 0 {
		text = fmt.Sprintf("%d ms before the request: %s", age.Milliseconds(), text)
	}
	return text
}

func attemptCause(f logFields) string {
	if cause := f.text("cause"); cause != "" {
		return cause
	}
	return "the upstream answered with status " + f.text("status")
}

// describeFields lists the fields that say something beyond the line's name.
func describeFields(l logLine) string {
	var names []string
	for name := range l.fields {
		switch name {
		case "msg", "time", "level", "vm", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = name + "=" + l.fields.text(name)
	}
	return strings.Join(names, " ")
}
