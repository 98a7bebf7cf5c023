package setup

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// Ask puts the questionnaire to a person: questions go to out, answers come
// from in. An empty answer takes the default shown in brackets; an answer that
// cannot be used is asked for again.
func Ask(in io.Reader, out io.Writer) (Answers, error) {
	d := &dialog{in: bufio.NewScanner(in), out: out}
	a := Answers{
		Region:  jdaw.Region(d.word("Name of the region", "region1")),
		Prefer:  Tolerance(d.choice("What weighs more, cost or delay", string(Balanced), string(PreferCost), string(Balanced), string(PreferDelay))),
		Quality: d.number("Wanted quality of answers, from 0 to 1", defaultQuality, 0, 1),
	}
	for _, dc := range d.words("Data centres, separated by commas", "dc1") {
		a.DataCentres = append(a.DataCentres, jdaw.DataCentre(dc))
	}
	d.askModels(&a)
	d.askServices(&a)
	d.askUpstreams(&a)
	d.askTeams(&a)
	a.Operators = d.words("Operators, separated by commas", "operator")
	return a, d.err
}

// dialog asks until the input ends; err is set once and stops all questions.
type dialog struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

func (d *dialog) line(question, preset string) string {
	if d.err != nil {
		return preset
	}
	if preset != "" {
		question += " [" + preset + "]"
	}
	fmt.Fprintf(d.out, "%s: ", question)
	if !d.in.Scan() {
		d.err = errors.New("the input ended before the last question")
		return preset
	}
	if answer := strings.TrimSpace(d.in.Text()); answer != "" {
		return answer
	}
	return preset
}

// until asks again until ok accepts the answer.
func (d *dialog) until(question, preset, hint string, ok func(answer string) bool) string {
	for {
		answer := d.line(question, preset)
		if d.err != nil || ok(answer) {
			return answer
		}
		fmt.Fprintf(d.out, "  %s\n", hint)
	}
}

func (d *dialog) word(question, preset string) string {
	return d.until(question, preset, "a name without spaces, / or @", isName)
}

func isName(s string) bool { return s != "" && !strings.ContainsAny(s, " /@,") }

func (d *dialog) words(question, preset string) []string {
	answer := d.until(question, preset, "names without spaces, / or @, separated by commas", func(s string) bool {
		for _, w := range splitWords(s) {
			if !isName(w) {
				return false
			}
		}
		return len(splitWords(s)) > 0
	})
	return splitWords(answer)
}

func splitWords(s string) []string {
	var out []string
	for _, w := range strings.Split(s, ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

func (d *dialog) choice(question, preset string, allowed ...string) string {
	options := strings.Join(allowed, ", ")
	return d.until(question+" ("+options+")", preset, "one of "+options, func(s string) bool {
		for _, a := range allowed {
			if s == a {
				return true
			}
		}
		return false
	})
}

func (d *dialog) number(question string, preset, least, most float64) float64 {
	answer := d.until(question, strconv.FormatFloat(preset, 'g', -1, 64), fmt.Sprintf("a number from %g to %g", least, most), func(s string) bool {
		v, err := strconv.ParseFloat(s, 64)
		return err == nil && v >= least && v <= most
	})
	v, err := strconv.ParseFloat(answer, 64)
	if err != nil {
		return preset
	}
	return v
}

// Bounds of the numbers asked for.
const (
	maxCost   = 1e6
	maxAtOnce = 100_000
	maxWait   = 24 * 60 * 60 // seconds
)

func (d *dialog) askModels(a *Answers) {
	kind := d.word("Kind of the model engines", "lm")
	for _, name := range d.words("Models, separated by commas, from cheap to costly", "small,large") {
		a.Models = append(a.Models, ModelAnswer{
			Name: name, Kind: kind,
			Version:     d.word("  Version of "+name, "v1"),
			CostPer1000: d.number("  Cost of 1,000 tokens of "+name, 1, 0, maxCost),
		})
	}
	a.Upstreams = append(a.Upstreams, UpstreamAnswer{Kind: kind})
}

func (d *dialog) askServices(a *Answers) {
	answer := d.line("Plain services, separated by commas, or none", "none")
	if answer == "none" {
		return
	}
	for _, name := range splitWords(answer) {
		a.Services = append(a.Services, ServiceAnswer{
			Name: name, Kind: name,
			MayRepeat: splitCalls(d.line("  Calls of "+name+" that may be repeated, such as POST /search, separated by commas", "")),
		})
		a.Upstreams = append(a.Upstreams, UpstreamAnswer{Kind: name})
	}
}

func splitCalls(s string) []string {
	var out []string
	for _, call := range strings.Split(s, ",") {
		if call = strings.TrimSpace(call); call != "" {
			out = append(out, call)
		}
	}
	return out
}

// askUpstreams replaces the entries that name only a kind.
func (d *dialog) askUpstreams(a *Answers) {
	kinds := a.Upstreams
	a.Upstreams = nil
	for _, k := range kinds {
		atOnce := int(d.number("Requests that one upstream of "+k.Kind+" runs at once", 8, 1, maxAtOnce))
		for _, dc := range a.DataCentres {
			answer := d.line(fmt.Sprintf("  Addresses of %s in %s, such as http://10.0.0.7:8000, separated by commas", k.Kind, dc), "")
			if addresses := splitCalls(answer); len(addresses) > 0 {
				a.Upstreams = append(a.Upstreams, UpstreamAnswer{Kind: k.Kind, DataCentre: dc, Addresses: addresses, AtOnce: atOnce})
			}
		}
	}
}

func (d *dialog) askTeams(a *Answers) {
	for _, name := range d.words("Teams, separated by commas", "team1") {
		t := TeamAnswer{Name: name, Large: d.choice("  Is "+name+" large", "no", "yes", "no") == "yes"}
		for _, s := range a.Services {
			t.Services = append(t.Services, s.Name)
		}
		for _, outlet := range d.words("  Outlets of "+name+", separated by commas", "main") {
			t.Outlets = append(t.Outlets, d.askOutlet(outlet))
		}
		a.Teams = append(a.Teams, t)
	}
}

func (d *dialog) askOutlet(name string) OutletAnswer {
	o := OutletAnswer{
		Name:        name,
		Trade:       d.choice("    Trade of "+name, "counter", "counter", "bench", "office"),
		WaitSeconds: d.number("    Longest wait for an answer at "+name+", in seconds", 10, 0.001, maxWait),
	}
	if hours := d.line("    Opening hours of "+name+", such as 08:00-18:00, or always", "always"); hours != "always" {
		o.Opens, o.Closes, _ = strings.Cut(hours, "-")
		o.TimeZone = d.line("    Time zone of "+name, "UTC")
	}
	return o
}
