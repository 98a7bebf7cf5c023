package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"jackdawbarrow/relay"
)

const whereAnswer = `{"vm":"vm1","revision":7,"isCurrent":true,"draws":{"service":0.5,"version":0.2,"share":0.1,"salt":7},
"route":{"name":"orders","prefix":"/o/","kind":"safe","limitMs":780,"services":{"desk":1}},"workspace":"w","rank":2,"service":"desk",
"rollout":{"version":"v2","state":"running","share":0.25,"sessionShare":0.2,"sample":0.2},
"queue":{"waiting":3,"inFlight":12,"places":12,"slots":8,"waitMs":14},
"upstreams":[{"id":"u0","version":"v1","slots":8,"leftOut":"otherVersion"},
{"id":"u1","dataCentre":"oban","version":"v2","slots":8,"inUse":2,"running":5,"work":120,"relativeTime":1.5,"stated":{"running":7,"slots":8,"slowdown":1.5,"ageMs":40},"isPick":true,"leftOutFirst":"ejected","ejectedMs":300}],
"pick":"u1","version":"v2"}`

// Guards against a table that lacks what the VM answered.
func TestWhereTable(t *testing.T) {
	cases := map[string]struct {
		answer string
		want   []string
	}{
		"pick": {whereAnswer, []string{
			"orders (safe)", "w, rank 2", "to v2, running, share 0.25", "3 waiting, 12 of 12 places", "wait 14 ms", "u1, version v2",
			"left out: otherVersion", "pick (first left out: ejected)", "7+0 of 8, x1.50, 40 ms old", "ejected for 300 ms",
		}},
		"refusal": {
			`{"refusal":{"code":1305,"name":"noCapacity","status":429,"message":"no room","retryAfterMs":60}}`,
			[]string{"429 noCapacity (1305): no room", "60 ms"},
		},
		"cascade": {`{"cascade":{"models":["small","large"],"first":"small","target":0.5}}`, []string{"small large, first small, target 0.50"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var w relay.Where
			if err := json.Unmarshal([]byte(c.answer), &w); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := writeWhere(&out, w); err != nil {
				t.Fatal(err)
			}
			for _, text := range c.want {
				if !strings.Contains(out.String(), text) {
					t.Errorf("%q is missing in\n%s", text, out.String())
				}
			}
		})
	}
}

// Guards against a failure of the VM that is taken for an answer, and against
// parameters that are not passed on.
func TestWhereAsks(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		err    string
	}{
		"answer":       {http.StatusOK, whereAnswer, ""},
		"bad question": {http.StatusBadRequest, "host is missing\n", "status 400: host is missing"},
		"too long":     {http.StatusOK, strings.Repeat("x", maxWhereAnswer+1), "exceeds"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if got := r.URL.Query().Encode(); got != "deadline=800ms&host=h&path=%2Fo%2F&prompt=a%3A5&promptTokens=5&workspace=w" {
					t.Errorf("query %s", got)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer srv.Close()
			cmd := whereCommand{
				Metrics: srv.Listener.Addr().String(), Host: "h", Path: "/o/", Workspace: "w", Prompt: "a:5", PromptTokens: 5, Deadline: "800ms",
			}
			body, err := cmd.ask(t.Context())
			if c.err == "" && (err != nil || string(body) != c.body) {
				t.Errorf("%v: %s", err, body)
			}
			if c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Errorf("error %v, want %q", err, c.err)
			}
		})
	}
}
