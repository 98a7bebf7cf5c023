package demo_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// awaitLimit bounds each wait for a condition; a loaded machine may be slow.
const awaitLimit = 60 * time.Second

// testTiming makes an answer of about 60 ms, so that roll-outs pass quickly.
var testTiming = demo.EngineTiming{FirstToken: 20 * time.Millisecond, PerToken: 2 * time.Millisecond, Tokens: 20}

// system is a deployment in this process.
type system struct {
	t        testing.TB
	seed     uint64
	shape    demo.Shape
	standIns *demo.StandIns
	cluster  *demo.Cluster
	sent     atomic.Uint64
	answered atomic.Uint64
	failed   atomic.Uint64
	lastFail atomic.Value // text
}

// start returns when each VM has answered a request.
func start(t testing.TB, shape demo.Shape, seed uint64, recordDir string) *system {
	t.Helper()
	timing := testTiming
	timing.Seed = seed
	return startTimed(t, shape, timing, recordDir)
}

func startTimed(t testing.TB, shape demo.Shape, timing demo.EngineTiming, recordDir string) *system {
	t.Helper()
	s := &system{t: t, seed: timing.Seed, shape: shape}
	var err error
	s.standIns, err = demo.StartStandIns(t.Context(), shape, timing)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.standIns.Close)
	s.standIns.RecordDir = recordDir
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.cluster, err = demo.StartVMs(s.standIns, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	if err := s.cluster.AwaitReady(t.Context(), awaitLimit); err != nil {
		t.Fatal(err)
	}
	s.await("a member table with all VMs on each VM", func() bool {
		for _, p := range s.cluster.VMs {
			status, err := s.adminOf(p.Settings()).Status(t.Context())
			if err != nil || len(status.Members) != shape.VMs {
				return false
			}
		}
		return true
	})
	for i := range shape.VMs {
		s.await("an answer of each VM", func() bool { return s.ask(s.callerOf(i), shape.Models[0].Name) })
	}
	return s
}

func (s *system) stop() {
	if s.cluster != nil {
		s.cluster.Close()
	}
	s.cluster = nil
}

func (s *system) await(what string, ok func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(awaitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			s.t.Fatalf("waited %s for %s; last failure: %v", awaitLimit, what, s.lastFail.Load())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) adminOf(settings config.Settings) *admin.Client {
	return admin.NewClient(admin.ClientConfig{Address: "http://" + settings.Listen.Admin, Token: s.standIns.Secrets.Operator})
}

func (s *system) change(ops ...config.Op) {
	s.t.Helper()
	_, err := s.adminOf(s.cluster.VMs[0].Settings()).Change(s.t.Context(), config.Change{Ops: ops}, admin.ChangeOptions{})
	if err != nil {
		s.t.Fatal(err)
	}
}

// candidate is the version that the tests roll out.
func (s *system) candidate() string { return s.shape.Models[0].Name + "@v2" }

func (s *system) startRollout(share float64) {
	s.t.Helper()
	s.change(config.Op{Kind: config.OpStartRollout, Name: s.candidate(), Share: share})
}

// callerOf returns a caller of one VM.
func (s *system) callerOf(i int) *demo.Caller {
	c := demo.NewCaller([]string{s.cluster.VMs[i].Settings().Advertise.Callers})
	c.Fixed = true
	return c
}

// ask sends one request; each has another prompt and the workspaces take turns.
func (s *system) ask(c *demo.Caller, model string) bool {
	n := s.sent.Add(1)
	name := s.shape.Workspaces[n%uint64(len(s.shape.Workspaces))]
	reply, err := c.Do(context.Background(), demo.Request{
		Key: s.standIns.Secrets.Workspaces[jdaw.WorkspaceID(name)], Outlet: "counter", Method: http.MethodPost,
		Path: "/v1/chat/completions", Repeatable: true,
		Body: demo.ChatBody(model, false, "Answer visitors in one sentence.", fmt.Sprintf("Question %d of seed %d?", n, s.seed)),
	})
	if err != nil || reply.Code != jdaw.CodeOK {
		s.failed.Add(1)
		s.lastFail.Store(fmt.Sprintf("code %s, error %v", reply.Code, err))
		return false
	}
	s.answered.Add(1)
	return true
}

// load sends requests from each VM's callers until the returned function is
// called, which waits for the last one.
func (s *system) load(callersPerVM int, model string) (stop func()) {
	var wg conc.WaitGroup
	done := make(chan struct{})
	for i := range s.cluster.VMs {
		c := s.callerOf(i)
		for range callersPerVM {
			wg.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						s.ask(c, model)
					}
				}
			})
		}
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// runsOf returns the calls of a version that the engines started to run.
func (s *system) runsOf(version string) []fakes.EngineRun {
	var out []fakes.EngineRun
	for _, e := range s.standIns.Engines {
		for _, r := range e.Log() {
			if r.Version == version {
				out = append(out, r)
			}
		}
	}
	return out
}

// isOut reports whether a VM has the withdrawal of the candidate in force,
// which begins as a suspension and is then written into the configuration.
func (s *system) isOut(c *admin.Client) bool {
	status, err := c.Status(s.t.Context())
	if err != nil {
		return false
	}
	for _, sus := range status.Suspensions {
		if sus.Name == s.candidate() {
			return true
		}
	}
	doc, err := c.Configuration(s.t.Context())
	if err != nil {
		return false
	}
	for _, v := range doc.Models[0].Versions {
		if v.Name == "v2" {
			return v.State == config.VersionWithdrawn
		}
	}
	return false
}

// awaitSuspension waits until all VMs have the suspension in force and returns
// the time at which the evaluator decided on it.
func (s *system) awaitSuspension() time.Time {
	s.t.Helper()
	for _, p := range s.cluster.VMs {
		c := s.adminOf(p.Settings())
		s.await("the suspension on each VM", func() bool { return s.isOut(c) })
	}
	var decided time.Time
	s.await("the judge's event in the time line", func() bool {
		list, err := s.adminOf(s.cluster.VMs[0].Settings()).Events(s.t.Context(), 4000)
		if err != nil {
			s.lastFail.Store(err.Error())
			return false
		}
		for _, e := range list.Events {
			if e.Name == "suspended" && decided.IsZero() {
				decided = time.Unix(0, e.Wall)
			}
		}
		return !decided.IsZero()
	})
	return decided
}
