package config_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

const goodSettings = `vm: entry1
dataCentre: oban
region: scot-west
listen: {callers: "127.0.0.1:7001", peers: "127.0.0.1:7101"}
store: {addresses: ["http://127.0.0.1:8500"]}
vmList: http://127.0.0.1:8600
`

// A fault in the settings must name file, line and field, or operators search
// for it on many VMs.
func TestSettingsFaults(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"good":          {goodSettings, ""},
		"unknown field": {goodSettings + "colour: red\n", `s.yaml:7: unknown field "colour"`},
		"all unknown fields and a wrong value": {
			goodSettings + "colour: red\nlog: {level: loud, size: 3}\n",
			"s.yaml:7: unknown field \"colour\"\ns.yaml:8: unknown field \"size\"\ns.yaml:8: log.level: must be one of debug, info, warn, error, not loud",
		},
		"wrong type": {goodSettings + "seeds: 3\n", "s.yaml:7: int was used where sequence is expected"},
		"host name": {
			goodSettings + "ratings: http://ratings.example\n",
			"s.yaml:7: ratings: must name an IP number and no host name, not ratings.example",
		},
		"two faults": {
			"vm: entry1\ndataCentre: oban\nregion: r\nlisten:\n  callers: x\n  peers: 127.0.0.1:1\nstore: {addresses: [\"http://127.0.0.1:1\"]}\n",
			"s.yaml:5: listen.callers: must be IP:port with an IP number, not x\ns.yaml:1: vmList: either vmList or seeds is needed to find the other VMs",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, faults := config.ParseSettings("s.yaml", []byte(tt.text))
			got := ""
			if err := faults.Err(); err != nil {
				got = err.Error()
			}
			if got != tt.want {
				t.Errorf("got:\n%s\nwant:\n%s", got, tt.want)
			}
		})
	}
}

func document() config.Document {
	return config.Document{
		Revision:    4,
		DataCentres: []config.DataCentre{{Name: "oban", Region: "scot-west"}, {Name: "largs", Region: "scot-west"}},
		Models: []config.Model{{
			Name: "small", Kind: "lm", CostPer1000: 1,
			Versions: []config.Version{{Name: "v1", State: config.VersionActive}, {Name: "v2", State: config.VersionActive}},
		}},
		Workspaces: []config.Workspace{{ID: "heats", Allow: []string{"small"}}},
	}
}

func TestApply(t *testing.T) {
	at := time.Unix(1000, 0)
	upstream, _ := json.Marshal(config.Upstream{
		ID: "u1", Kind: "lm", Protocol: config.ProtocolEngine, DataCentre: "oban", Address: "http://127.0.0.1:9", MaxConcurrent: 4, ColdConcurrent: 1,
	})
	tests := map[string]struct {
		op   config.Op
		code jdaw.Code
		ok   func(d config.Document) bool
	}{
		"data centre out": {
			op: config.Op{Kind: config.OpDataCentreOut, Name: "oban"},
			ok: func(d config.Document) bool { return d.DataCentres[0].Out && !d.DataCentres[1].Out },
		},
		"unknown data centre": {op: config.Op{Kind: config.OpDataCentreOut, Name: "x"}, code: jdaw.CodeUnknownObject},
		"withdraw": {
			op: config.Op{Kind: config.OpWithdrawVersion, Name: "small@v2"},
			ok: func(d config.Document) bool {
				return config.NewSnapshot(d, nil).IsWithdrawn(jdaw.ModelVersion{Model: "small", Version: "v2"})
			},
		},
		"put upstream": {
			op: config.Op{Kind: config.OpPut, Object: config.ObjectUpstream, Name: "u1", Value: upstream},
			ok: func(d config.Document) bool { return len(d.Upstreams) == 1 },
		},
		"put under another name": {
			op:   config.Op{Kind: config.OpPut, Object: config.ObjectUpstream, Name: "u2", Value: upstream},
			code: jdaw.CodeInvalidChange,
		},
		"remove a model in use": {
			op:   config.Op{Kind: config.OpRemove, Object: config.ObjectModel, Name: "small"},
			code: jdaw.CodeInvalidChange,
		},
		"roll out a new version": {
			op: config.Op{Kind: config.OpStartRollout, Name: "small@v3", Share: 5},
			ok: func(d config.Document) bool {
				return len(d.Rollouts) == 1 && d.Models[0].Versions[2] == config.Version{Name: "v3", State: config.VersionRollout}
			},
		},
		"roll out a version of an unknown model": {
			op:   config.Op{Kind: config.OpStartRollout, Name: "x@v3", Share: 5},
			code: jdaw.CodeUnknownObject,
		},
		"finish a roll-out that is not under way": {
			op:   config.Op{Kind: config.OpFinishRollout, Name: "small@v2"},
			code: jdaw.CodeUnknownObject,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := document()
			next, err := before.Apply(config.Change{ID: "c1", Operator: "ann", Ops: []config.Op{tt.op}}, at)
			if tt.code != 0 {
				if err == nil || jdaw.CodeOf(err).Code != tt.code {
					t.Fatalf("want %s, got %v", tt.code, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if next.Revision != 5 || !next.HasChange("c1") || before.HasChange("c1") {
				t.Errorf("revision %d, changes %v", next.Revision, next.Changes)
			}
			if !tt.ok(next) {
				t.Errorf("the change is not in the document: %+v", next)
			}
		})
	}
}

// A suspension must narrow what may run until a document resolves it, or a
// store outage would undo an operator's urgent order.
func TestSuspensionsNarrow(t *testing.T) {
	v1 := jdaw.ModelVersion{Model: "small", Version: "v1"}
	sus := []jdaw.Suspension{{ID: "s1", Kind: jdaw.SuspendVersion, Name: "small@v1"}}
	d := document()
	if config.NewSnapshot(d, sus).IsAllowed("heats", v1) {
		t.Error("a suspended version is allowed")
	}
	d.ResolvedSuspensions = []string{"s1"}
	if !config.NewSnapshot(d, sus).IsAllowed("heats", v1) {
		t.Error("a lifted suspension still applies")
	}
}

func TestOutletHours(t *testing.T) {
	tests := map[string]struct {
		outlet config.Outlet
		at     string
		want   bool
	}{
		"no hours":       {config.Outlet{}, "03:00", true},
		"open":           {config.Outlet{Opens: "08:30", Closes: "17:00"}, "08:30", true},
		"closed":         {config.Outlet{Opens: "08:30", Closes: "17:00"}, "17:00", false},
		"past midnight":  {config.Outlet{Opens: "18:00", Closes: "02:00"}, "01:59", true},
		"after midnight": {config.Outlet{Opens: "18:00", Closes: "02:00"}, "02:00", false},
		"time zone":      {config.Outlet{Opens: "08:00", Closes: "09:00", TimeZone: "America/Montevideo"}, "11:30", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at, _ := time.Parse("2006-01-02 15:04", "2026-12-04 "+tt.at)
			if got := tt.outlet.IsOpen(at); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against limits on callers that no caller could meet, or that bound nothing.
func TestIntakeSettings(t *testing.T) {
	const settings = `vm: vm0
dataCentre: oban
region: west
listen: {callers: "127.0.0.1:1", directory: "127.0.0.1:2", ready: "127.0.0.1:3"}
store: "http://127.0.0.1:4"
`
	cases := map[string]struct{ add, fault string }{
		"defaults":                 {"", ""},
		"all stated":               {"maxFds: 4100\nintake: {connectionShare: 0.4, headerShare: 0.1, bodyRate: 500, bodyWindowSeconds: 20, bodySeconds: 60, unreadSeconds: 30}\n", ""},
		"negative descriptors":     {"maxFds: -1\n", "maxFds"},
		"more than the process's":  {"intake: {connectionShare: 1.5}\n", "intake.connectionShare"},
		"header memory for bodies": {"intake: {headerShare: 0.9}\n", "intake.headerShare"},
		"negative rate":            {"intake: {bodyRate: -1}\n", "intake.bodyRate"},
		"endless body":             {"intake: {bodySeconds: 100000}\n", "intake.bodySeconds"},
		"unknown field":            {"intake: {bodies: 1}\n", "bodies"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, faults := config.ParseRelaySettings("settings.yaml", []byte(settings+c.add))
			err := faults.Err()
			if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%v, want a fault of %q", err, c.fault)
			}
		})
	}
}
