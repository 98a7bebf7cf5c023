package config_test

import (
	"testing"

	"jackdawbarrow/config"
)

// Guards against a settings or configuration file that stops the process
// instead of giving a fault.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("dataCentres: [{name: oban, region: r}]\nmodels: [{name: a, kind: b, versions: [{name: v1, state: active}]}]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("workspaces:\n- id: x\n  outlets: [{waitMillis: 1e99}]\n"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = config.ParseSettings("f.yaml", b)
		_, _ = config.ParseDocument("f.yaml", b)
	})
}
