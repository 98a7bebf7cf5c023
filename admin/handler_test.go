package admin_test

import (
	"context"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
)

// changer keeps what it was given. It refuses changes while down.
type changer struct {
	down        bool
	change      config.Change
	suspensions []jdaw.Suspension
}

func (c *changer) Submit(_ context.Context, change config.Change) (admin.Result, error) {
	c.change = change
	if c.down {
		return admin.Result{}, jdaw.Fail(jdaw.CodeStoreUnavailable, "down")
	}
	return admin.Result{Revision: 2}, nil
}

func (c *changer) Suspend(_ context.Context, s jdaw.Suspension) (admin.Result, error) {
	c.suspensions = append(c.suspensions, s)
	return admin.Result{}, nil
}

func startAdmin(t *testing.T, c *changer, edit func(*config.Document), suspensions ...jdaw.Suspension) *admin.Client {
	doc, secrets := demo.Authority().Document([]string{"http://127.0.0.1:1"}, []string{"http://127.0.0.1:2"})
	if edit != nil {
		edit(&doc)
	}
	h := admin.NewHandler(admin.Config{Source: source{config.NewSnapshot(doc, suspensions)}, Changer: c})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return admin.NewClient(admin.ClientConfig{Address: srv.URL, Token: secrets.Operator})
}

// Guards against a return that leaves the suspension of the same object in
// force, so that the accepted order has no effect.
func TestReturnLiftsSuspensions(t *testing.T) {
	suspensions := []jdaw.Suspension{
		{ID: "s1", Kind: jdaw.SuspendDataCentre, Name: "oban"},
		{ID: "s2", Kind: jdaw.SuspendDataCentre, Name: "largs"},
		{ID: "s3", Kind: jdaw.SuspendUpstream, Name: "shuck-lm-1"},
		{ID: "s4", Kind: jdaw.SuspendVM, Name: "entry1"},
		{ID: "s5", Kind: jdaw.SuspendVM, Name: "oban"},
	}
	tests := map[string]struct {
		op   config.Op
		want []config.Op
	}{
		"data centre":     {config.Op{Kind: config.OpDataCentreIn, Name: "oban"}, []config.Op{{Kind: config.OpLiftSuspension, Name: "s1"}}},
		"upstream":        {config.Op{Kind: config.OpUndrainUpstream, Name: "shuck-lm-1"}, []config.Op{{Kind: config.OpLiftSuspension, Name: "s3"}}},
		"VM":              {config.Op{Kind: config.OpUndrainVM, Name: "entry1"}, []config.Op{{Kind: config.OpLiftSuspension, Name: "s4"}}},
		"not suspended":   {config.Op{Kind: config.OpDataCentreIn, Name: "stranraer"}, nil},
		"taken out again": {config.Op{Kind: config.OpDataCentreOut, Name: "oban"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &changer{}
			client := startAdmin(t, c, nil, suspensions...)
			if _, err := client.Change(context.Background(), config.Change{Ops: []config.Op{tt.op}}, admin.ChangeOptions{}); err != nil {
				t.Fatal(err)
			}
			if want := append([]config.Op{tt.op}, tt.want...); !reflect.DeepEqual(c.change.Ops, want) {
				t.Errorf("got %+v, want %+v", c.change.Ops, want)
			}
		})
	}
}

// Guards against a suspension that a change from before it would overrule,
// because the clock of the VM that made the change is ahead.
func TestSuspensionIsLaterThanKnownChanges(t *testing.T) {
	ahead := time.Now().Add(time.Hour).UTC()
	c := &changer{down: true}
	client := startAdmin(t, c, func(d *config.Document) {
		d.Changes = []config.ChangeRecord{{ID: "c1", Revision: 1, Objects: []string{"dataCentre/oban"}, At: ahead}}
	})
	result, err := client.Change(context.Background(), config.Change{
		Ops: []config.Op{{Kind: config.OpDataCentreOut, Name: "oban"}},
	}, admin.ChangeOptions{})
	if err != nil || !result.Suspended || len(c.suspensions) != 1 {
		t.Fatalf("got %+v, %v and %+v", result, err, c.suspensions)
	}
	if !c.suspensions[0].At.After(ahead) {
		t.Errorf("the suspension is of %s and the change before it of %s", c.suspensions[0].At, ahead)
	}
}
