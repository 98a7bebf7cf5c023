package proof

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// keepList is the time for which callers may keep the entry list.
const keepList = 5 * time.Second

// shutdownLoad is the work of TestInvariantGracefulShutdown.
type shutdownLoad struct {
	streams *load // long streams, callers that refresh their entry list
	calls   *load // calls of the plain service that must not be repeated
	holders *load // callers that hold the list from before the SIGTERM
}

// Guards against a shutdown that cuts what runs, refuses callers that still
// hold the old entry list, or leaves nobody to serve when several VMs are
// replaced together.
func TestInvariantGracefulShutdown(t *testing.T) {
	s := start(t, options{shape: smallShape(8), firstToken: 50 * time.Millisecond, perToken: 20 * time.Millisecond, tokens: 240})
	small := s.opts.shape.Models[0].Name
	const together = 5
	serving := append([]*vm(nil), s.vms...)
	for ended, round := 0, 0; ended < times(20); round++ {
		leaving, staying := serving[:together], serving[together:]
		l := s.startShutdownLoad(small, serving)
		time.Sleep(time.Second)
		term := time.Now()
		for _, v := range leaving {
			v.terminate()
		}
		// The new VMs come while the old ones drain.
		var fresh []*vm
		for range leaving {
			fresh = append(fresh, s.startVM(len(s.vms)))
		}
		time.Sleep(time.Until(term.Add(keepList)))
		holders := l.holders.stop()
		for _, v := range leaving {
			if !v.waitEnd(30 * time.Second) {
				t.Fatalf("%s has not ended 30 s after SIGTERM", v.id)
			}
			if !v.cmd.ProcessState.Success() {
				t.Errorf("%s ended with %s:\n%s", v.id, v.cmd.ProcessState, v.log)
			}
			s.listVMs(fakes.VMListChange{Remove: []jdaw.VMID{v.id}})
		}
		took := time.Since(term).Round(10 * time.Millisecond)
		s.checkShutdown(l, holders, term)
		t.Logf("round %d: %d VMs ended within %s of SIGTERM", round, len(leaving), took)
		for _, v := range fresh {
			s.within(20*time.Second, string(v.id)+" serves", func() bool { return s.isServing(v) })
		}
		serving = append(append([]*vm(nil), staying...), fresh...)
		ended += len(leaving)
	}
}

func (s *system) startShutdownLoad(model string, vms []*vm) *shutdownLoad {
	var refreshing, holding, ordering []*demo.Caller
	for range 16 {
		refreshing = append(refreshing, s.caller(vms...))
		ordering = append(ordering, s.caller(vms...))
	}
	for range 8 {
		c := s.caller(vms...)
		c.Fixed = true
		holding = append(holding, c)
	}
	lookUp := func(string) demo.Request {
		return demo.Request{
			Key: s.secrets.Workspaces["heats"], Method: http.MethodGet, Repeatable: true,
			Path: "/v1/services/" + s.opts.shape.PlainKind + "/results/1",
		}
	}
	return &shutdownLoad{
		streams: startLoad(refreshing, s.stream("scoring", model)),
		calls:   startLoad(ordering, func(prompt string) demo.Request { return s.unkeyedOrder(prompt) }),
		holders: startPacedLoad(holding, lookUp, 20*time.Millisecond),
	}
}

// unkeyedOrder is a call without a key, which nobody may repeat.
func (s *system) unkeyedOrder(text string) demo.Request {
	return demo.Request{
		Key: s.secrets.Workspaces["stewards"], Method: http.MethodPost,
		Path: "/v1/services/" + s.opts.shape.PlainKind + "/orders", Body: []byte(fmt.Sprintf(`{"order":%q}`, text)),
	}
}

// checkShutdown stops the load and checks each call.
func (s *system) checkShutdown(l *shutdownLoad, holders []call, term time.Time) {
	s.t.Helper()
	var streams, calls []call
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); streams = l.streams.stop() }()
	go func() { defer wg.Done(); calls = l.calls.stop() }()
	wg.Wait()
	version := s.opts.shape.Models[0].Name + "@v1"
	for _, c := range streams {
		if c.err != nil || c.reply.Code != jdaw.CodeOK {
			s.t.Errorf("stream sent %s after SIGTERM to %s: %s, %v", c.at.Sub(term), c.reply.Entry, c.reply.Code, c.err)
		} else if c.reply.Text != s.answerTo(version, c.prompt) {
			s.t.Errorf("stream sent %s after SIGTERM: %d bytes, not its whole answer", c.at.Sub(term), len(c.reply.Text))
		}
	}
	for _, c := range append(calls, holders...) {
		if c.err != nil || c.reply.Code != jdaw.CodeOK {
			s.t.Errorf("call sent %s after SIGTERM to %s: %s %s, %d tries, %v", c.at.Sub(term), c.reply.Entry, c.reply.Code, c.reply.Ran, c.reply.Tries, c.err)
		}
	}
	s.t.Logf("%d streams, %d calls, %d look-ups by the old list", len(streams), len(calls), len(holders))
}
