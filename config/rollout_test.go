package config_test

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
)

// Guards against a withdrawn version that comes back through the roll-out that
// its suspension left halted, and against a model that can have no further
// roll-out because of it.
func TestRolloutOfWithdrawnVersion(t *testing.T) {
	doc, _ := demo.Authority().Document([]string{"http://127.0.0.1:1"}, []string{"http://127.0.0.1:2"})
	doc.Models[0].Versions = append(doc.Models[0].Versions, config.Version{Name: "v3", State: config.VersionRollout})
	doc.Models[0].Versions[1].State = config.VersionWithdrawn
	doc.Rollouts = []config.Rollout{{Model: "shuck-small", Version: "v2", SharePercent: 20, State: config.RolloutHalted}}
	tests := map[string]struct {
		op   config.Op
		want jdaw.Code
	}{
		"step":          {config.Op{Kind: config.OpStepRollout, Name: "shuck-small@v2", Share: 50}, jdaw.CodeInvalidChange},
		"finish":        {config.Op{Kind: config.OpFinishRollout, Name: "shuck-small@v2"}, jdaw.CodeInvalidChange},
		"start again":   {config.Op{Kind: config.OpStartRollout, Name: "shuck-small@v2", Share: 5}, jdaw.CodeInvalidChange},
		"halt":          {config.Op{Kind: config.OpHaltRollout, Name: "shuck-small@v2"}, jdaw.CodeOK},
		"start another": {config.Op{Kind: config.OpStartRollout, Name: "shuck-small@v3", Share: 5}, jdaw.CodeOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			next, err := doc.Apply(config.Change{ID: "c", Ops: []config.Op{tt.op}}, time.Now())
			code := jdaw.CodeOK
			if err != nil {
				code = jdaw.CodeOf(err).Code
			}
			if code != tt.want {
				t.Fatalf("got %s (%v), want %s", code, err, tt.want)
			}
			if err == nil && next.Models[0].Versions[1].State != config.VersionWithdrawn {
				t.Errorf("the withdrawn version is %s", next.Models[0].Versions[1].State)
			}
		})
	}
}
