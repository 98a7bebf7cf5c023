package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
)

// fakeChanger accepts changes, or behaves as in an outage of the key-value
// service.
type fakeChanger struct {
	down      bool
	submitted []config.Change
	suspended []jdaw.Suspension
}

func (f *fakeChanger) Submit(_ context.Context, c config.Change) (admin.Result, error) {
	if f.down {
		return admin.Result{}, jdaw.Fail(jdaw.CodeStoreUnavailable, "the key-value service does not answer")
	}
	f.submitted = append(f.submitted, c)
	return admin.Result{Revision: 2, InForce: 3, Known: 3}, nil
}

func (f *fakeChanger) Suspend(_ context.Context, s jdaw.Suspension) (admin.Result, error) {
	f.suspended = append(f.suspended, s)
	return admin.Result{Revision: 1, InForce: 3, Known: 3}, nil
}

type source struct{ snap *config.Snapshot }

func (s source) Snapshot() *config.Snapshot { return s.snap }

type fixture struct {
	changer *fakeChanger
	address string
	tokens  map[config.Role]string
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{changer: &fakeChanger{}, tokens: map[config.Role]string{}}
	doc := config.Document{
		Revision:    1,
		DataCentres: []config.DataCentre{{Name: "oban", Region: "r"}},
		Models:      []config.Model{{Name: "small", Kind: "lm", Versions: []config.Version{{Name: "v1", State: config.VersionActive}}}},
		Workspaces:  []config.Workspace{{ID: "heats", Allow: []string{"small"}, Weight: 1}, {ID: "press", Allow: []string{"small"}}},
		SessionKeys: []config.SessionKey{{ID: "k1", Secret: strings.Repeat("ab", 32)}},
	}
	for i, role := range []config.Role{config.RoleViewer, config.RoleOperator, config.RoleOwner} {
		token, hash := config.NewSecret("jo", string(rune('a'+i)))
		f.tokens[role] = token
		doc.Operators = append(doc.Operators, config.Operator{Name: string(role), Token: hash, Role: role, Workspace: "heats"})
	}
	h := admin.NewHandler(admin.Config{
		Source: source{config.NewSnapshot(doc, nil)}, Changer: f.changer,
		Status: func() admin.Status { return admin.Status{VM: "entry1"} },
		Events: func(context.Context, int) admin.EventList { return admin.EventList{} },
		Bills: func(context.Context) ([]jdaw.Bill, error) {
			return []jdaw.Bill{{RequestID: "r-1", Workspace: "heats"}, {RequestID: "r-2", Workspace: "press"}}, nil
		},
	})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	f.address = server.URL
	return f
}

func (f *fixture) client(role config.Role) *admin.Client {
	return admin.NewClient(admin.ClientConfig{Address: f.address, Token: f.tokens[role]})
}

func workspaceOp(w config.Workspace) config.Op {
	b, _ := json.Marshal(w)
	return config.Op{Kind: config.OpPut, Object: config.ObjectWorkspace, Name: string(w.ID), Value: b}
}

// Guards against an operator who does more than the role permits.
func TestRoles(t *testing.T) {
	out := config.Op{Kind: config.OpDataCentreOut, Name: "oban"}
	outlet := []config.Outlet{{Name: "bench", WaitMillis: 1000}}
	own := config.Workspace{ID: "heats", Allow: []string{"small"}, Weight: 1, Outlets: outlet}
	heavier := own
	heavier.Weight = 9
	tests := map[string]struct {
		role config.Role
		op   config.Op
		code jdaw.Code
	}{
		"operator changes all":            {config.RoleOperator, out, jdaw.CodeOK},
		"viewer changes nothing":          {config.RoleViewer, out, jdaw.CodeNotAuthorized},
		"owner takes no data centre out":  {config.RoleOwner, out, jdaw.CodeNotAuthorized},
		"owner changes own outlets":       {config.RoleOwner, workspaceOp(own), jdaw.CodeOK},
		"owner raises own weight":         {config.RoleOwner, workspaceOp(heavier), jdaw.CodeNotAuthorized},
		"owner changes another workspace": {config.RoleOwner, workspaceOp(config.Workspace{ID: "press"}), jdaw.CodeNotAuthorized},
		"unknown object":                  {config.RoleOperator, config.Op{Kind: config.OpDataCentreOut, Name: "x"}, jdaw.CodeUnknownObject},
		"unknown kind":                    {config.RoleOperator, config.Op{Kind: "explode", Name: "x"}, jdaw.CodeInvalidChange},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			_, err := f.client(tt.role).Change(context.Background(), config.Change{Ops: []config.Op{tt.op}}, admin.ChangeOptions{})
			got := jdaw.CodeOK
			if err != nil {
				got = jdaw.CodeOf(err).Code
			}
			if got != tt.code {
				t.Errorf("got %s, want %s: %v", got, tt.code, err)
			}
			if accepted := len(f.changer.submitted) > 0; accepted != (tt.code == jdaw.CodeOK) {
				t.Errorf("submitted %v", f.changer.submitted)
			}
		})
	}
}

// Guards against a dry run that changes something.
func TestDryRunShowsTheDifferenceOnly(t *testing.T) {
	f := newFixture(t)
	c := config.Change{Ops: []config.Op{{Kind: config.OpDataCentreOut, Name: "oban"}}}
	result, err := f.client(config.RoleOperator).Change(context.Background(), c, admin.ChangeOptions{DryRun: true})
	if err != nil {
		t.Fatal(err)
	}
	if !result.DryRun || len(f.changer.submitted) > 0 || !strings.Contains(result.Difference, "+  out: true") {
		t.Errorf("%+v, submitted %v", result, f.changer.submitted)
	}
}

// Guards against an urgent order that is lost in an outage, and against one
// that widens what may run without the key-value service.
func TestChangesInAnOutage(t *testing.T) {
	tests := map[string]struct {
		ops  []config.Op
		code jdaw.Code
	}{
		"narrowing":          {[]config.Op{{Kind: config.OpDataCentreOut, Name: "oban"}, {Kind: config.OpWithdrawVersion, Name: "small@v1"}}, jdaw.CodeOK},
		"widening":           {[]config.Op{{Kind: config.OpDataCentreIn, Name: "oban"}}, jdaw.CodeStoreUnavailable},
		"narrowing and more": {[]config.Op{{Kind: config.OpDataCentreOut, Name: "oban"}, {Kind: config.OpDataCentreIn, Name: "oban"}}, jdaw.CodeStoreUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.changer.down = true
			result, err := f.client(config.RoleOperator).Change(context.Background(), config.Change{ID: "c1", Ops: tt.ops}, admin.ChangeOptions{})
			if tt.code != jdaw.CodeOK {
				if err == nil || jdaw.CodeOf(err).Code != tt.code || len(f.changer.suspended) > 0 {
					t.Errorf("got %v, suspended %v", err, f.changer.suspended)
				}
				return
			}
			if err != nil || !result.Suspended || len(f.changer.suspended) != len(tt.ops) {
				t.Errorf("got %+v, %v, suspended %v", result, err, f.changer.suspended)
			}
		})
	}
}

// Guards against secrets in what the API shows, and against an owner who sees
// other workspaces.
func TestWhatIsVisible(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for _, role := range []config.Role{config.RoleViewer, config.RoleOperator, config.RoleOwner} {
		d, err := f.client(role).Configuration(ctx)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := json.Marshal(d)
		if bytes.Contains(b, []byte(strings.Repeat("ab", 32))) {
			t.Errorf("%s sees the session key", role)
		}
		if role == config.RoleOwner && len(d.Workspaces) != 1 {
			t.Errorf("the owner of one workspace sees %d", len(d.Workspaces))
		}
	}
	var bills bytes.Buffer
	if err := f.client(config.RoleOwner).Ledger(ctx, &bills); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(bills.String(), "press") || !strings.Contains(bills.String(), "heats") {
		t.Errorf("the owner of heats got the bills %s", bills.String())
	}
	wrong := admin.NewClient(admin.ClientConfig{Address: f.address, Token: "jo_a_00"})
	if _, err := wrong.Status(ctx); err == nil || jdaw.CodeOf(err).Code != jdaw.CodeWrongKey {
		t.Errorf("a wrong token got %v", err)
	}
}

// Guards against a body that stops the process or that makes an invalid
// configuration.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"ops":[{"kind":"put","object":"workspace","name":"a","value":{"id":"a","weight":-1}}]}`))
	f.Add([]byte(`{"ops":[{"kind":"remove","object":"model","name":"small"}]}`))
	f.Add([]byte(`{"ops":[{"kind":"startRollout","name":"small@","share":1e300}]}`))
	doc := config.Document{
		Revision: 1, DataCentres: []config.DataCentre{{Name: "oban", Region: "r"}},
		Models: []config.Model{{Name: "small", Kind: "lm", Versions: []config.Version{{Name: "v1", State: config.VersionActive}}}},
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var c config.Change
		if json.Unmarshal(body, &c) != nil {
			return
		}
		next, err := doc.Apply(c, time.Unix(0, 0))
		if err != nil {
			return
		}
		if faults := next.Check(); len(faults) > 0 {
			t.Errorf("an accepted change is invalid: %v", faults)
		}
	})
}
