package replay_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/owner"
	"jackdawbarrow/replay"
)

// uncheckedOwner grants what each alarm names, regardless of the configuration.
type uncheckedOwner struct{ n int }

func (c *uncheckedOwner) Handle(_ time.Time, ev jdaw.Event) []jdaw.Action {
	a, ok := ev.(alarm)
	if !ok {
		return nil
	}
	var out []jdaw.Action
	for range a.Level {
		c.n++
		out = append(out, owner.Grant{
			Credit: fmt.Sprint("c", c.n), Pool: jdaw.PoolID{Kind: "lm", DataCentre: "dc"}, Upstream: "u", Version: jdaw.ParseModelVersion(a.Name),
		})
	}
	return out
}

// Each rule must be able to fail, also after releases and confirmations that it
// has to count; a rule that cannot fail would accept an owner that violates it.
func TestRules(t *testing.T) {
	version := func(state config.VersionState) config.Document {
		return config.Document{
			DataCentres: []config.DataCentre{{Name: "dc", Region: "r"}},
			Models: []config.Model{{Name: "m", Kind: "lm", Versions: []config.Version{
				{Name: "v1", State: config.VersionActive}, {Name: "v2", State: state},
			}}},
			Rollouts:  []config.Rollout{{Model: "m", Version: "v2", State: config.RolloutRunning}},
			Upstreams: []config.Upstream{{ID: "u", Kind: "lm", DataCentre: "dc", MaxConcurrent: 20, ColdConcurrent: 2}},
		}
	}
	ended := func(outcome jdaw.Outcome, credits ...int) owner.CreditsReleased {
		var ev owner.CreditsReleased
		for _, n := range credits {
			ev.Releases = append(ev.Releases, owner.Released{Credit: fmt.Sprint("c", n), Outcome: outcome})
		}
		return ev
	}
	confirmed := func(failed uint64) owner.CountsConfirmed {
		return owner.CountsConfirmed{Counts: []owner.VersionCounts{{
			Version: jdaw.ParseModelVersion("m@v2"), Pool: jdaw.PoolID{Kind: "lm", DataCentre: "dc"}, Counter: "a/1", Failed: failed,
		}}}
	}
	v1 := func(n int) alarm { return alarm{Name: "m@v1", Level: n} }
	v2 := func(n int) alarm { return alarm{Name: "m@v2", Level: n} }
	running, withdrawn := config.VersionRollout, config.VersionWithdrawn
	cases := map[string]struct {
		rule   replay.Rule
		state  config.VersionState
		events []jdaw.Event
		want   string // in the difference; empty: the rule holds
	}{
		"no grants":          {replay.RuleUpstreamLimit, running, nil, "no credit was granted"},
		"withdrawn":          {replay.RuleWithdrawnVersion, withdrawn, []jdaw.Event{v2(1)}, "m@v2 was granted"},
		"other version":      {replay.RuleWithdrawnVersion, withdrawn, []jdaw.Event{v1(1)}, ""},
		"at the limit":       {replay.RuleUpstreamLimit, running, []jdaw.Event{v1(20)}, ""},
		"above the limit":    {replay.RuleUpstreamLimit, running, []jdaw.Event{v1(21)}, "u had 21 of 20 credits"},
		"limit after an end": {replay.RuleUpstreamLimit, running, []jdaw.Event{v1(20), ended(jdaw.OutcomeOK, 3), v1(1)}, ""},
		"cold":               {replay.RuleColdLimit, running, []jdaw.Event{v1(3)}, "cold limit 2, after 0 successes"},
		"warm":               {replay.RuleColdLimit, running, []jdaw.Event{v1(2), ended(jdaw.OutcomeOK, 1, 2), v1(3)}, ""},
		"failures only":      {replay.RuleColdLimit, running, []jdaw.Event{v1(2), ended(jdaw.OutcomeFailed, 1, 2), v1(3)}, "after 0 successes"},
		"allowed":            {replay.RuleAllowance, running, []jdaw.Event{v2(8), v1(4)}, ""},
		"beyond allowance":   {replay.RuleAllowance, running, []jdaw.Event{v2(9)}, "m@v2 had 9 requests"},
		"ended, unconfirmed": {replay.RuleAllowance, running, []jdaw.Event{v2(8), ended(jdaw.OutcomeFailed, 1), v2(1)}, "m@v2 had 9 requests"},
		"cancelled":          {replay.RuleAllowance, running, []jdaw.Event{v2(8), ended(jdaw.OutcomeCancelled, 1), v2(1)}, ""},
		"confirmed":          {replay.RuleAllowance, running, []jdaw.Event{v2(8), ended(jdaw.OutcomeFailed, 1), confirmed(1), v2(1)}, ""},
		"confirmed twice":    {replay.RuleAllowance, running, []jdaw.Event{v2(8), ended(jdaw.OutcomeFailed, 1), confirmed(1), confirmed(1), v2(2)}, "m@v2 had 9 requests"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			registry := replay.Standard()
			registry.Register("alarm", func(b json.RawMessage) (jdaw.Event, error) {
				var a alarm
				err := json.Unmarshal(b, &a)
				return a, err
			})
			var trace strings.Builder
			rec := replay.NewRecorder(&trace, registry)
			rec.Record(start, config.Adopted{Snapshot: config.NewSnapshot(version(c.state), nil)})
			for _, ev := range c.events {
				rec.Record(start, ev)
			}
			if err := rec.Flush(); err != nil {
				t.Fatal(err)
			}
			log, err := replay.Run(strings.NewReader(trace.String()), replay.Config{Registry: registry, Machines: []jdaw.Machine{&uncheckedOwner{}}})
			if err != nil {
				t.Fatal(err)
			}
			err = log.Check([]replay.Outcome{{Holds: c.rule}})
			if c.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var missed *replay.UnmetError
			if !errors.As(err, &missed) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want a MissedError with %q", err, c.want)
			}
		})
	}
}

// A replay that differs from the recording in any decision must be reported,
// and so must a trace without decisions, which cannot confirm a replay.
func TestCompareRecorded(t *testing.T) {
	grant := func(credit, version string) string {
		return `{"at":"2026-05-01T09:00:02Z","action":"grant","fields":{"ticket":"0","credit":"` + credit +
			`","pool":"lm/dc","upstream":"u","version":"` + version + `"}}` + "\n"
	}
	const ev = `{"at":"2026-05-01T09:00:02Z","event":"alarm","body":{"name":"m@v1","level":2}}` + "\n"
	cases := map[string]struct{ trace, want string }{
		"same":          {ev + grant("c1", "m@v1") + grant("c2", "m@v1"), ""},
		"other version": {ev + grant("c1", "m@v1") + grant("c2", "m@v2"), "decision 2 was grant"},
		"one less":      {ev + grant("c1", "m@v1"), "the replay gives 2 decisions, 1 were recorded"},
		"one more":      {ev + grant("c1", "m@v1") + grant("c2", "m@v1") + grant("c3", "m@v1"), "the replay ends before decision 3"},
		"none":          {ev, "no decisions"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			registry := replay.NewRegistry()
			registry.Register("alarm", func(b json.RawMessage) (jdaw.Event, error) {
				var a alarm
				err := json.Unmarshal(b, &a)
				return a, err
			})
			log, err := replay.Run(strings.NewReader(c.trace), replay.Config{Registry: registry, Machines: []jdaw.Machine{&uncheckedOwner{}}})
			if err != nil {
				t.Fatal(err)
			}
			err = log.CompareRecorded()
			if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// withSecret stands for the events that carry a whole configuration document.
type withSecret struct {
	Doc config.Document `json:"doc"`
}

func (withSecret) EventName() string { return "spreadPulled" }

// Traces are shared, so events that carry documents with keys must not
// be in them.
func TestRecorderLeavesOutDocuments(t *testing.T) {
	var trace strings.Builder
	rec := replay.NewRecorder(&trace, replay.Standard())
	doc := config.Document{
		SessionKeys: []config.SessionKey{{ID: "k1", Secret: "keep-this-out"}},
		Operators:   []config.Operator{{Name: "ann", Token: config.HashSecret("o1", "operator-token")}},
		Workspaces:  []config.Workspace{{ID: "w", Keys: []config.SecretHash{config.HashSecret("w1", "workspace-key")}}},
	}
	rec.Record(start, withSecret{Doc: doc})
	rec.Record(start, config.Adopted{Snapshot: config.NewSnapshot(doc, nil)})
	if err := rec.Flush(); err != nil {
		t.Fatal(err)
	}
	text := trace.String()
	secrets := []string{"keep-this-out", "spreadPulled", doc.Operators[0].Token.Hash, doc.Workspaces[0].Keys[0].Hash}
	for _, s := range secrets {
		if strings.Contains(text, s) {
			t.Errorf("the trace holds %q", s)
		}
	}
	if !strings.Contains(text, "configAdopted") {
		t.Error("the adopted configuration is missing")
	}
}
