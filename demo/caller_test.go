package demo

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"jackdawbarrow"
)

// Guards against a repeatable request that is lost while a data centre leaves:
// both attempts of a caller with an old entry list went to VMs of that data
// centre.
func TestCallerAsksAgainWhenAnEntryLeaves(t *testing.T) {
	staying := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"choices":[{"message":{"content":"answer"}}]}`)
	}))
	defer staying.Close()
	out := false
	var leaving [2]*httptest.Server
	for i := range leaving {
		leaving[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/entries" {
				list := []string{leaving[0].URL, leaving[1].URL}
				if out {
					list = []string{staying.URL}
				}
				fmt.Fprint(w, `{"keepSeconds":60,"entries":[`)
				for n, address := range list {
					if n > 0 {
						fmt.Fprint(w, ",")
					}
					fmt.Fprintf(w, `{"address":%q}`, address)
				}
				fmt.Fprint(w, `]}`)
				return
			}
			code := jdaw.CodeDataCentreOut
			w.WriteHeader(code.Info().Status)
			fmt.Fprintf(w, `{"error":{"code":%d,"ran":"notRun"}}`, code)
		}))
		defer leaving[i].Close()
	}
	c := NewCaller([]string{leaving[0].URL, leaving[1].URL})
	c.entry(context.Background()) // takes the list of before
	out = true
	reply, err := c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/v1/chat/completions", Repeatable: true})
	if err != nil || reply.Code != jdaw.CodeOK || reply.Text != "answer" || reply.Tries != 2 {
		t.Errorf("got %+v, %v", reply, err)
	}
}
