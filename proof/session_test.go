package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
)

// sessions is a system whose cheapest model has a stable version and one new
// version per roll-out, which a third of the engines do not have.
type sessions struct {
	*system
	model    string
	versions []string
	prompts  int
}

// pinnedSession is a session as its caller knows it.
type pinnedSession struct {
	id      string
	version string
	token   string
}

// Guards against sessions that change their version: VMs that decide apart
// from each other, a new version that is full or missing in one data centre,
// roll-out steps, the death of the VM that began the session, and a withdrawn
// version that is replaced in silence.
func TestInvariantSessionVersion(t *testing.T) {
	const stable = "v1"
	rollouts := times(20)
	const last = "last"
	shape := smallShape(4)
	shape.Engines = 6
	model := &shape.Models[0]
	model.Versions = []string{stable}
	for i := range rollouts {
		model.Versions = append(model.Versions, fmt.Sprintf("r%d", i+1))
	}
	model.Versions = append(model.Versions, last)
	s := &sessions{model: model.Name, versions: model.Versions}
	s.system = start(t, options{
		shape: shape, firstToken: 10 * time.Millisecond, perToken: time.Millisecond, tokens: 6,
		edit: func(d *config.Document) {
			for i := range d.Models[0].Versions[1:] {
				d.Models[0].Versions[i+1].State = config.VersionRollout
			}
			for i := range d.Upstreams {
				if i%3 == 2 && d.Upstreams[i].Protocol == config.ProtocolEngine {
					d.Upstreams[i].Versions = []string{model.Name + "@" + stable, shape.Models[1].Name + "@v1"}
				}
			}
		},
	})
	onNew := 0
	for i := range rollouts {
		name := fmt.Sprintf("r%d", i+1)
		all := s.rollOut(name)
		for _, p := range all {
			if p.version == name {
				onNew++
			}
		}
	}
	t.Logf("%d roll-outs, %d sessions on a new version withdrawn later", rollouts, onNew)
	if onNew == 0 {
		t.Error("no session was on a new version")
	}
	s.vmDies(last, rollouts)
}

// rollOut takes a version from its first step to its withdrawal.
func (s *sessions) rollOut(name string) []pinnedSession {
	s.t.Helper()
	mv := s.model + "@" + name
	s.must(config.Op{Kind: config.OpStartRollout, Name: mv, Share: 40})
	all := s.begin(name+"-a", 8)
	s.must(config.Op{Kind: config.OpStepRollout, Name: mv, Share: 90})
	s.checkKept(all, s.vms)
	all = append(all, s.begin(name+"-b", 8)...)
	s.must(config.Op{Kind: config.OpStepRollout, Name: mv, Share: 10})
	s.checkKept(all, s.vms)
	s.must(config.Op{Kind: config.OpWithdrawVersion, Name: mv, Reason: "test"})
	s.checkWithdrawn(all, name)
	return all
}

func (s *sessions) must(op config.Op) {
	s.t.Helper()
	if _, err := s.change(s.vms[0], op); err != nil {
		s.t.Fatalf("%s %s: %v", op.Kind, op.Name, err)
	}
}

// begin sends the first request of n sessions at two VMs each, all at once,
// and checks that the two agree.
func (s *sessions) begin(prefix string, n int) []pinnedSession {
	s.t.Helper()
	out := make([]pinnedSession, 2*n)
	var wg sync.WaitGroup
	for i := range out {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%s%d", prefix, i/2)
			out[i] = s.first(s.vms[(i/2+i%2*(1+i%3))%len(s.vms)], id)
		}()
	}
	wg.Wait()
	for i := 0; i < len(out); i += 2 {
		if out[i].version != out[i+1].version {
			s.t.Errorf("session %s began with %s at one VM and with %s at another", out[i].id, out[i].version, out[i+1].version)
		}
	}
	return out
}

func (s *sessions) first(v *vm, id string) pinnedSession {
	prompt := "first of " + id
	q := s.chat("scoring", s.model, prompt)
	q.NewSession = id
	reply, err := s.to(v).Do(context.Background(), q)
	if err != nil || reply.Code != jdaw.CodeOK || reply.Session == "" {
		s.t.Errorf("first request of session %s: %+v, %v", id, reply, err)
	}
	return pinnedSession{id: id, version: s.versionOf(prompt, reply), token: reply.Session}
}

// versionOf tells by the answer which version ran.
func (s *sessions) versionOf(prompt string, reply demo.Reply) string {
	for _, v := range s.versions {
		if reply.Text == s.answerTo(s.model+"@"+v, prompt) {
			return v
		}
	}
	return "none"
}

func (s *sessions) next(v *vm, p pinnedSession, prompt string) (demo.Reply, error) {
	q := s.chat("scoring", s.model, prompt)
	q.Session = p.token
	return s.to(v).Do(context.Background(), q)
}

// checkKept sends a further request of each session, all at once and each at
// another VM.
func (s *sessions) checkKept(all []pinnedSession, vms []*vm) {
	s.t.Helper()
	s.prompts++
	prompt := fmt.Sprintf("next %d", s.prompts)
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := s.next(vms[(i+s.prompts)%len(vms)], p, prompt)
			if err != nil || reply.Code != jdaw.CodeOK {
				s.t.Errorf("session %s on %s: %s, %v", p.id, p.version, reply.Code, err)
				return
			}
			if got := s.versionOf(prompt, reply); got != p.version {
				s.t.Errorf("session %s moved from %s to %s", p.id, p.version, got)
			}
		}()
	}
	wg.Wait()
}

// checkWithdrawn checks that the sessions of the version are refused at each
// VM and run nowhere, and that the others go on.
func (s *sessions) checkWithdrawn(all []pinnedSession, name string) {
	s.t.Helper()
	before := len(s.engineRuns())
	var others []pinnedSession
	for i, p := range all {
		if p.version != name {
			others = append(others, p)
			continue
		}
		v := s.vms[i%len(s.vms)]
		reply, err := s.next(v, p, "after the withdrawal")
		if err != nil || reply.Code != jdaw.CodeSessionVersionWithdrawn || reply.Ran != jdaw.NotRun {
			s.t.Errorf("%s: session %s on the withdrawn %s: %s, %s, %v", v.id, p.id, name, reply.Code, reply.Ran, err)
		}
	}
	if after := len(s.engineRuns()); after != before {
		s.t.Errorf("%d refused requests were run", after-before)
	}
	s.checkKept(others, s.vms)
}

// vmDies begins sessions at one VM, kills it and goes on at the others. A
// first request that was cut begins the session anew with the same version.
func (s *sessions) vmDies(name string, n int) {
	s.t.Helper()
	s.must(config.Op{Kind: config.OpStartRollout, Name: s.model + "@" + name, Share: 50})
	dying, others := s.vms[1], []*vm{s.vms[0], s.vms[2], s.vms[3]}
	var all []pinnedSession
	for i := range n {
		all = append(all, s.first(dying, fmt.Sprintf("dies%d", i)))
	}
	dying.kill()
	s.must(config.Op{Kind: config.OpStepRollout, Name: s.model + "@" + name, Share: 50})
	s.checkKept(all, others)
	for _, p := range all {
		if again := s.first(others[0], p.id); again.version != p.version {
			s.t.Errorf("session %s began with %s and again with %s after the VM died", p.id, p.version, again.version)
		}
	}
	var list []string
	for _, p := range all {
		list = append(list, p.version)
	}
	s.t.Logf("versions of the sessions whose VM died: %s", strings.Join(list, " "))
}
