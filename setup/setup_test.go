package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jackdawbarrow/config"
	"jackdawbarrow/setup"
)

// A generated configuration that the checks refuse would leave a new team
// with nothing to start from.
func TestExamplesGiveValidConfigurations(t *testing.T) {
	files, _ := filepath.Glob("../examples/*-answers.yaml")
	if len(files) < 2 {
		t.Fatalf("want the answers of both deployments, got %v", files)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			answers, faults := setup.ParseAnswers(file, b)
			if err := faults.Err(); err != nil {
				t.Fatal(err)
			}
			result, err := setup.Generate(answers)
			if err != nil {
				t.Fatal(err)
			}
			doc, faults := config.ParseDocument("generated.yaml", result.YAML)
			if err := faults.Err(); err != nil {
				t.Fatal(err)
			}
			snap := config.NewSnapshot(doc, nil)
			for _, s := range result.Secrets {
				_, isOperator := snap.Operator(s.Value)
				_, isWorkspace := snap.Authenticate(s.Value)
				if !isOperator && !isWorkspace {
					t.Errorf("the secret of %s opens nothing", s.Owner)
				}
				if strings.Contains(string(result.YAML), s.Value) {
					t.Errorf("the secret of %s stands in the configuration", s.Owner)
				}
			}
			if !strings.Contains(string(result.YAML), "# ") {
				t.Error("no reasons are written beside the choices")
			}
		})
	}
}

func TestGenerateNamesWhatIsWrong(t *testing.T) {
	answers := setup.Answers{
		Region: "r", DataCentres: nil,
		Teams: []setup.TeamAnswer{{Name: "t", Outlets: []setup.OutletAnswer{{Name: "o"}}}},
	}
	_, err := setup.Generate(answers)
	want := "the answers do not give a valid configuration: dataCentres: at least one data centre is needed\n" +
		"workspaces[0].outlets[0].waitMillis: must be at least 1"
	if err == nil || err.Error() != want {
		t.Errorf("got %v\nwant %s", err, want)
	}
}

// Guards against a questionnaire whose defaults give no valid configuration,
// and against an unusable answer that is taken.
func TestAsk(t *testing.T) {
	tests := map[string]struct{ in, wantOut, wantErr string }{
		"defaults and one address": {
			// region, preference, quality, data centres, kind, models, two
			// versions and costs, services, capacity, address, teams and
			// their outlet, operators
			in: strings.Repeat("\n", 11) + "\nhttp://127.0.0.1:9101\n" + strings.Repeat("\n", 7) + "\n",
		},
		"an unusable answer is asked again": {
			in: "\nfast\ndelay\n2\n0.9\n" + strings.Repeat("\n", 8) + "\nhttp://127.0.0.1:9101\n" + strings.Repeat("\n", 8), wantOut: "one of cost, balanced, delay",
		},
		"input that ends": {in: "r\n", wantErr: "the input ended before the last question"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			answers, err := setup.Ask(strings.NewReader(tt.in), &out)
			if tt.wantErr != "" {
				if err == nil || err.Error() != tt.wantErr {
					t.Fatalf("got %v, want %s", err, tt.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatalf("%v after:\n%s", err, out.String())
			}
			if !strings.Contains(out.String(), tt.wantOut) {
				t.Errorf("the dialog lacks %q:\n%s", tt.wantOut, out.String())
			}
			if _, err := setup.Generate(answers); err != nil {
				t.Errorf("%v, from %+v", err, answers)
			}
		})
	}
}
