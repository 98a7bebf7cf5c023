package config

import (
	"os"
	"path/filepath"
	"testing"
)

const relaySettings = `vm: vm1
dataCentre: dc1
region: r1
listen:
  callers: "127.0.0.1:1"
  directory: "127.0.0.1:2"
  ready: "127.0.0.1:3"
store: "http://127.0.0.1:4"
`

// Guards against extra work that the operator has not asked for, and against a
// share that would be an overload.
func TestHedgingSettings(t *testing.T) {
	cases := map[string]struct {
		text  string
		want  float64
		fails bool
	}{
		"not set":   {"", 0, false},
		"off":       {"hedging: {extraShare: 0}\n", 0, false},
		"on":        {"hedging: {extraShare: 0.05}\n", 0.05, false},
		"largest":   {"hedging: {extraShare: 0.25}\n", 0.25, false},
		"too large": {"hedging: {extraShare: 0.26}\n", 0, true},
		"negative":  {"hedging: {extraShare: -0.01}\n", 0, true},
		"no share":  {"hedging: {extra: 0.05}\n", 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(file, []byte(relaySettings+c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := LoadRelaySettings(file)
			if (err != nil) != c.fails {
				t.Fatalf("error %v, want one: %t", err, c.fails)
			}
			if err == nil && s.Hedging.ExtraShare != c.want {
				t.Errorf("share %v, want %v", s.Hedging.ExtraShare, c.want)
			}
		})
	}
}
