package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// call is one request of a load with what its caller saw.
type call struct {
	prompt string
	reply  demo.Reply
	err    error
	at     time.Time // of the send
}

// load is a number of callers that send requests without a pause.
type load struct {
	stopped chan struct{}
	wg      sync.WaitGroup

	mu    sync.Mutex
	calls []call
}

// startLoad starts one caller per element. Each request has its own prompt,
// which request gets.
func startLoad(callers []*demo.Caller, request func(prompt string) demo.Request) *load {
	return startPacedLoad(callers, request, 0)
}

// startPacedLoad is startLoad with a pause after each request.
func startPacedLoad(callers []*demo.Caller, request func(prompt string) demo.Request, pause time.Duration) *load {
	l := &load{stopped: make(chan struct{})}
	for i, c := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for n := 0; !l.isStopped(); n++ {
				l.send(c, fmt.Sprintf("caller %d asks question %d", i, n), request)
				time.Sleep(pause)
			}
		}()
	}
	return l
}

func (l *load) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

func (l *load) send(c *demo.Caller, prompt string, request func(prompt string) demo.Request) {
	done := call{prompt: prompt, at: time.Now()}
	done.reply, done.err = c.Do(context.Background(), request(prompt))
	l.mu.Lock()
	l.calls = append(l.calls, done)
	l.mu.Unlock()
	if done.err != nil || done.reply.Code != jdaw.CodeOK {
		time.Sleep(20 * time.Millisecond) // a refusal comes at once
	}
}

// stop ends the load and returns all calls.
func (l *load) stop() []call {
	close(l.stopped)
	l.wg.Wait()
	return l.calls
}

// count returns the number of calls that have ended.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// failures counts the calls without an answer by what their callers saw.
func failures(calls []call) map[string]int {
	out := map[string]int{}
	for _, c := range calls {
		switch {
		case c.err != nil:
			out["connection lost"]++
		case c.reply.Code != jdaw.CodeOK:
			out[c.reply.Code.String()]++
		}
	}
	return out
}

// fixedCallers returns n callers at each of the VMs.
func (s *system) fixedCallers(n int, vms []*vm) []*demo.Caller {
	var out []*demo.Caller
	for _, v := range vms {
		for range n {
			out = append(out, s.to(v))
		}
	}
	return out
}

// stream returns a function that makes streamed requests of a model.
func (s *system) stream(workspace, model string) func(prompt string) demo.Request {
	return func(prompt string) demo.Request { return s.chat(workspace, model, prompt) }
}

// answerTo is the whole answer of a version to a prompt sent by chat.
func (s *system) answerTo(version, prompt string) string {
	return fakes.Answer(version, "system\nAnswer briefly.\nuser\n"+prompt+"\n", s.opts.tokens)
}

// runsOf returns the log of one engine.
func (s *system) runsOf(p *process) []fakes.EngineRun {
	s.t.Helper()
	var runs []fakes.EngineRun
	s.read(p.url(0)+"/fake/log", &runs)
	return runs
}

// owners returns the owner of each pool as the VM sees it.
func (s *system) owners(v *vm) map[string]jdaw.VMID {
	s.t.Helper()
	status, err := s.admin(v).Status(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	out := map[string]jdaw.VMID{}
	for _, p := range status.Pools {
		out[p.Pool] = p.Owner
	}
	return out
}

// manyPools has a data centre and thus a pool for each engine, so that a VM
// that fails takes several pools with it.
func manyPools(pools, enginesPerPool int) demo.Shape {
	s := smallShape(8)
	s.DataCentres = nil
	for i := range pools {
		s.DataCentres = append(s.DataCentres, jdaw.DataCentre(fmt.Sprintf("dc%d", i)))
	}
	s.Engines, s.Plains = pools*enginesPerPool, 1
	return s
}
