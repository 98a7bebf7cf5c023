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

// maxLogLine is the largest log line in bytes.
const maxLogLine = 1 << 20

// contextWindow is the time before a request whose state changes of the VM are
// shown with it.
const contextWindow = 30 * time.Second

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

// Explanation collects the log lines of all VMs that concern one request.
type Explanation struct {
	id      string
	lines   []logLine
	context []logLine // state of the VMs; not of a request
	skipped int       // lines that are not JSON
}

// NewExplanation returns an explanation of a request without any lines.
func NewExplanation(id jdaw.RequestID) *Explanation { return &Explanation{id: string(id)} }

// Read takes the log of one or more VMs: JSON lines as a process writes them,
// or with words before the JSON of which the last is the VM. source is the VM
// if neither the line nor such a word names it.
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
		x.context = append(x.context, l)
	}
}

// Events returns the events of the request on all VMs in order, with the state of
// each VM at the time. It is empty if no line names the request.
func (x *Explanation) Events() []jdaw.TimelineEvent {
	var list []jdaw.TimelineEvent
	for vm, span := range x.spans() {
		for _, l := range x.contextOf(vm, span) {
			list = append(list, l.event(describeContext(l, span.from)))
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

// spans returns the time during which each VM handled the request.
func (x *Explanation) spans() map[jdaw.VMID]span {
	spans := map[jdaw.VMID]span{}
	for _, l := range x.lines {
		// A line is logged at the end, so its start is earlier by tookMs.
		from := l.at.Add(-l.duration())
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

// contextOf returns the last state of the VM before the request, and what else
// it logged from contextWindow before the request to its end.
func (x *Explanation) contextOf(vm jdaw.VMID, s span) []logLine {
	var found []logLine
	last := -1
	for i, l := range x.context {
		if l.vm != vm || l.at.After(s.to) {
			continue
		}
		isState := l.name == "state in force"
		if isState && !l.at.After(s.from) {
			if last < 0 || !l.at.Before(x.context[last].at) {
				last = i
			}
			continue
		}
		if isState || l.at.After(s.from.Add(-contextWindow)) {
			found = append(found, l)
		}
	}
	if last >= 0 {
		found = append(found, x.context[last])
	}
	return found
}

func (l logLine) duration() time.Duration {
	ms, _ := l.fields["tookMs"].(float64)
	return time.Duration(ms) * time.Millisecond
}

func (l logLine) event(text string) jdaw.TimelineEvent {
	return jdaw.TimelineEvent{
		VM: l.vm, Wall: l.at.UnixNano(), Name: l.name, Text: text,
		Workspace: jdaw.WorkspaceID(l.fields.text("workspace")), Upstream: jdaw.UpstreamID(l.fields.text("upstream")),
	}
}

// describe renders the decision in a line of a request and its inputs as text.
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
	case "hedge sent":
		return fmt.Sprintf("no answer from %s after %s ms, later than most (%s ms): %s at %s is asked as well",
			f.text("first"), f.text("waitedMs"), f.text("delayMs"), f.text("upstream"), f.text("address"))
	case "hedge ended":
		return fmt.Sprintf("result of the second attempt, at %s: %s after %s ms", f.text("upstream"), f.text("result"), f.text("tookMs"))
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

func describeContext(l logLine, from time.Time) string {
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

// describeFields lists the fields except those common to all lines.
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
