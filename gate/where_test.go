package gate

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"jackdawbarrow/relay"
)

// Guards against questions that are answered in part, or whose errors repeat what may
// be a secret.
func TestWhereQueries(t *testing.T) {
	p, _ := startProcess(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	cases := map[string]struct {
		query  string
		status int
		text   string
	}{
		"whole": {
			"host=127.0.0.1&path=/x&workspace=w&model=m&prompt=a:b:100,c:5&promptTokens=105&session=s&deadline=800ms&serviceDraw=0.5&versionDraw=0&shareDraw=0.9&salt=7",
			http.StatusOK, `"pick":"u"`,
		},
		"escaped path":        {"host=127.0.0.1&path=" + url.QueryEscape("/a%2Fb"), http.StatusOK, `"pick":"u"`},
		"no route":            {"host=other&path=/x", http.StatusOK, `"refusal"`},
		"no host":             {"path=/x", http.StatusBadRequest, "host is missing"},
		"no path":             {"host=h", http.StatusBadRequest, "path must"},
		"path without slash":  {"host=h&path=x", http.StatusBadRequest, "path must"},
		"malformed path":      {"host=h&path=" + url.QueryEscape("/%zz"), http.StatusBadRequest, "path must"},
		"key":                 {"host=h&path=/x&key=secret-1", http.StatusBadRequest, `"key" is no parameter`},
		"twice":               {"host=h&host=secret-1&path=/x", http.StatusBadRequest, `"host" is given 2 times`},
		"malformed query":     {"host=%zz&path=/x", http.StatusBadRequest, "malformed"},
		"prompt without size": {"host=h&path=/x&prompt=secret-1", http.StatusBadRequest, "ID:TOKENS"},
		"negative tokens":     {"host=h&path=/x&prompt=a:-1", http.StatusBadRequest, "prompt must state tokens"},
		"huge tokens":         {"host=h&path=/x&promptTokens=99999999999999999999", http.StatusBadRequest, "promptTokens must state tokens"},
		"deadline":            {"host=h&path=/x&deadline=soon", http.StatusBadRequest, "deadline must be"},
		"negative deadline":   {"host=h&path=/x&deadline=-1s", http.StatusBadRequest, "deadline must be"},
		"draw":                {"host=h&path=/x&serviceDraw=1", http.StatusBadRequest, "serviceDraw must be"},
		"no number as a draw": {"host=h&path=/x&shareDraw=NaN", http.StatusBadRequest, "shareDraw must be"},
		"salt":                {"host=h&path=/x&salt=-1", http.StatusBadRequest, "salt must be"},
		"too long":            {"host=h&path=/" + strings.Repeat("x", 16<<10), http.StatusRequestHeaderFieldsTooLarge, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, body := ask(t, p, c.query)
			if status != c.status || !strings.Contains(body, c.text) {
				t.Errorf("status %d, want %d: %s", status, c.status, body)
			}
			if strings.Contains(body, "secret-1") {
				t.Errorf("the answer repeats a value: %s", body)
			}
		})
	}
}

func ask(t *testing.T, p *Process, query string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + p.cfg.Settings.Listen.Metrics + "/where?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against a question that is sent to an upstream, and against other methods and
// bodies.
func TestWhereSendsNothing(t *testing.T) {
	p, _ := startProcess(t, func(http.ResponseWriter, *http.Request) { t.Error("the upstream got a request") })
	status, body := ask(t, p, "host=127.0.0.1&path=/x")
	var w relay.Where
	if err := json.Unmarshal([]byte(body), &w); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v: %s", status, err, body)
	}
	if w.Pick != "u" || w.Version != "v1" || w.Service != "s" || w.Route == nil || w.Route.Name != "r" || len(w.Upstreams) != 1 {
		t.Errorf("answer %s", body)
	}
	resp, err := http.Post("http://"+p.cfg.Settings.Listen.Metrics+"/where?host=127.0.0.1&path=/x", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST got status %d", resp.StatusCode)
	}
	if got := get(p.cfg.Settings.Listen.Ready, "/where?host=127.0.0.1&path=/x"); got != http.StatusNotFound {
		t.Errorf("the readiness listener answered with status %d", got)
	}
}
