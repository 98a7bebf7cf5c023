package replay

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Match selects actions.
type Match struct {
	Action   string `yaml:"action"`
	Field    string `yaml:"field,omitempty"`
	Equals   string `yaml:"equals,omitempty"`
	Contains string `yaml:"contains,omitempty"`
}

// Outcome is one expectation on the actions of a run: either the order of the
// first matches of several selections, or a bound on the matches of one.
type Outcome struct {
	Match `yaml:",inline"`
	// None means that no action matches.
	None    bool `yaml:"none,omitempty"`
	AtLeast *int `yaml:"atLeast,omitempty"` // default 1
	AtMost  *int `yaml:"atMost,omitempty"`
	// Within bounds the first match: "50 requests" or a duration since the
	// first event.
	Within string `yaml:"within,omitempty"`
	// Requests is the object whose requests Within counts; default Equals.
	Requests string  `yaml:"requests,omitempty"`
	Order    []Match `yaml:"order,omitempty"`
	// Holds names a rule that must hold over the whole run.
	Holds Rule `yaml:"holds,omitempty"`
}

// UnmetError lists the expected outcomes that a run did not meet.
type UnmetError struct {
	Differences []string
}

// Error implements error.
func (e *UnmetError) Error() string {
	return fmt.Sprintf("%d expected outcomes not met:\n  %s", len(e.Differences), strings.Join(e.Differences, "\n  "))
}

// ParseOutcomes parses a YAML list of outcomes. Errors contain line and field.
func ParseOutcomes(b []byte) ([]Outcome, error) {
	var out []Outcome
	if err := yaml.UnmarshalWithOptions(b, &out, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "read outcomes")
	}
	for i, o := range out {
		if err := o.validate(); err != nil {
			return nil, errors.Wrapf(err, "outcome %d", i+1)
		}
	}
	return out, nil
}

func (o Outcome) validate() error {
	if o.Holds != "" {
		if o.Action != "" || o.Within != "" || o.None || o.AtLeast != nil || o.AtMost != nil || len(o.Order) > 0 {
			return errors.New("holds cannot be combined with other fields")
		}
		return o.Holds.validate()
	}
	if len(o.Order) > 0 {
		if o.Action != "" || o.Within != "" || o.None || o.AtLeast != nil || o.AtMost != nil {
			return errors.New("order cannot be combined with other fields")
		}
		for _, m := range o.Order {
			if err := m.validate(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := o.Match.validate(); err != nil {
		return err
	}
	if o.None && (o.AtLeast != nil || o.AtMost != nil || o.Within != "") {
		return errors.New("none cannot be combined with atLeast, atMost or within")
	}
	_, _, err := o.bound()
	return err
}

func (m Match) validate() error {
	if m.Action == "" {
		return errors.New("action is missing")
	}
	hasValue := m.Equals != "" || m.Contains != ""
	if hasValue != (m.Field != "") {
		return errors.New("field needs equals or contains, and each of them needs field")
	}
	return nil
}

// bound parses Within as a number of requests or a duration.
func (o Outcome) bound() (requests int, d time.Duration, err error) {
	if o.Within == "" {
		return 0, 0, nil
	}
	if number, ok := strings.CutSuffix(o.Within, " requests"); ok {
		requests, err = strconv.Atoi(number)
		if err != nil || requests < 1 {
			return 0, 0, errors.Newf("within %q: the number of requests must be a whole number above 0", o.Within)
		}
		if o.Requests == "" && o.Equals == "" {
			return 0, 0, errors.Newf("within %q needs requests or equals to name what is counted", o.Within)
		}
		return requests, 0, nil
	}
	d, err = time.ParseDuration(o.Within)
	if err != nil || d <= 0 {
		return 0, 0, errors.Newf(`within %q is neither "<number> requests" nor a duration above 0`, o.Within)
	}
	return 0, d, nil
}

// String describes the selection for messages.
func (m Match) String() string {
	switch {
	case m.Equals != "":
		return fmt.Sprintf("%s with %s = %q", m.Action, m.Field, m.Equals)
	case m.Contains != "":
		return fmt.Sprintf("%s with %s containing %q", m.Action, m.Field, m.Contains)
	}
	return m.Action
}

func (m Match) matches(e Entry) bool {
	if e.Action != m.Action {
		return false
	}
	if m.Field == "" {
		return true
	}
	value, ok := e.Fields[m.Field]
	if !ok || (m.Equals != "" && value != m.Equals) {
		return false
	}
	return strings.Contains(value, m.Contains)
}

// Check compares the run with the outcomes. It returns a *[UnmetError] that
// lists all differences, or nil.
func (l Log) Check(outcomes []Outcome) error {
	var missed []string
	for i, o := range outcomes {
		for _, d := range l.differences(o) {
			missed = append(missed, fmt.Sprintf("outcome %d, %s", i+1, d))
		}
	}
	if len(missed) == 0 {
		return nil
	}
	return &UnmetError{Differences: missed}
}

func (l Log) differences(o Outcome) []string {
	if len(o.Order) > 0 {
		return l.orderDifferences(o.Order)
	}
	if o.Holds != "" {
		return l.rules.differences(o.Holds)
	}
	found := l.find(o.Match)
	n := len(found)
	var out []string
	least := 1
	if o.AtLeast != nil {
		least = *o.AtLeast
	} else if o.None || (o.AtMost != nil && *o.AtMost == 0) {
		least = 0
	}
	if n < least {
		out = append(out, fmt.Sprintf("%s: want at least %d, got %d", o.Match, least, n))
	}
	if o.None && n > 0 {
		out = append(out, fmt.Sprintf("%s: want none, got %d, the first at %s", o.Match, n, stamp(found[0])))
	}
	if o.AtMost != nil && n > *o.AtMost {
		out = append(out, fmt.Sprintf("%s: want at most %d, got %d", o.Match, *o.AtMost, n))
	}
	if n > 0 {
		out = append(out, l.lateness(o, found[0])...)
	}
	return out
}

func (l Log) lateness(o Outcome, first Entry) []string {
	requests, d, err := o.bound()
	if err != nil {
		return []string{err.Error()}
	}
	if requests > 0 {
		name := o.Requests
		if name == "" {
			name = o.Equals
		}
		if got := l.requestsBefore(first.event, name); got > requests {
			return []string{fmt.Sprintf("%s: want within %d requests to %s, got after %d", o.Match, requests, name, got)}
		}
	}
	if got := first.At.Sub(l.start); d > 0 && got > d {
		return []string{fmt.Sprintf("%s: want within %s, got after %s", o.Match, d, got)}
	}
	return nil
}

func (l Log) orderDifferences(order []Match) []string {
	last := -1
	for i, m := range order {
		at := l.index(m)
		if at < 0 {
			return []string{fmt.Sprintf("order: %s does not occur", m)}
		}
		if at < last {
			return []string{fmt.Sprintf("order: %s comes before %s", m, order[i-1])}
		}
		last = at
	}
	return nil
}

func (l Log) index(m Match) int {
	for i, e := range l.Entries {
		if m.matches(e) {
			return i
		}
	}
	return -1
}

func (l Log) find(m Match) []Entry {
	var out []Entry
	for _, e := range l.Entries {
		if m.matches(e) {
			out = append(out, e)
		}
	}
	return out
}

func stamp(e Entry) string { return e.At.Format(time.RFC3339Nano) }
