package proof

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// The cold time of the engines and what they can take in it and after it.
const (
	coldTime     = 7 * time.Second // longer than a change of owner
	coldCapacity = 2
	fullCapacity = 8
	// knownAfter is the time after which load reports show a start to an idle
	// owner: they are a second old and are read once a second.
	knownAfter = 2200 * time.Millisecond
	// callersPerVM is enough for all engines when 4 of 8 VMs are gone.
	callersPerVM = 50
)

// coldSystem has 20 pools of one engine each and 8 VMs.
type coldSystem struct {
	*system
	restarts map[*process]int
	starts   map[*process][]time.Time // by which the engine was cold
}

// Guards against a full load for an upstream that can take only a little: 8
// VMs that each know nothing of the others' load, an owner that dies with what
// it knows of the limits, and an upstream that restarts without notice.
func TestInvariantColdUpstream(t *testing.T) {
	pools := times(20)
	s := &coldSystem{restarts: map[*process]int{}, starts: map[*process][]time.Time{}}
	s.system = start(t, options{
		shape: manyPools(pools, 1), firstToken: 40 * time.Millisecond, perToken: 30 * time.Millisecond, tokens: 6,
		coldFor: coldTime, edit: func(d *config.Document) {
			for i := range d.Upstreams {
				d.Upstreams[i].ColdMillis = int(coldTime / time.Millisecond)
			}
		},
	})
	request := s.stream("scoring", s.opts.shape.Models[0].Name)

	// All engines start anew, the load reports show it, then 8 VMs send at
	// once.
	s.restartAll()
	began := time.Now()
	time.Sleep(knownAfter)
	l := startLoad(s.fixedCallers(callersPerVM, s.vms), request)
	s.awaitFull("every engine runs its full load", began)
	s.logFullLoad("8 VMs at once", began)
	s.checkCold("8 VMs at once")

	l.stop()

	s.ownersDie(pools, request)
	t.Run("withoutNotice", func(t *testing.T) {
		s.t = t
		s.restartUnderLoad(request)
	})
}

// restartUnderLoad restarts the engines under full load, one after another.
func (s *coldSystem) restartUnderLoad(request func(string) demo.Request) {
	l := startLoad(s.fixedCallers(callersPerVM, s.vms), request)
	began := time.Now()
	s.awaitFull("every engine runs its full load", began)
	for _, p := range s.engines {
		s.restart(p)
		time.Sleep(50 * time.Millisecond)
	}
	last := time.Now()
	s.awaitFull("every engine runs its full load again", last)
	s.logFullLoad("restart under load", last)
	s.checkCold("restart under load")
	l.stop()
}

// ownersDie kills 4 of 8 VMs in the ramp until as many pools have lost their
// owner as there are pools.
func (s *coldSystem) ownersDie(want int, request func(string) demo.Request) {
	lost := 0
	for round := 0; lost < want; round++ {
		s.restartAll()
		began := time.Now()
		time.Sleep(knownAfter)
		l := startLoad(s.fixedCallers(callersPerVM, s.vms), request)
		time.Sleep(time.Duration(100+300*(round%4)) * time.Millisecond)
		dead := map[jdaw.VMID]bool{}
		before := s.owners(s.vms[0])
		for i := range 4 {
			v := s.vms[1+(round*4+i)%7]
			v.kill()
			dead[v.id] = true
		}
		killed := time.Now()
		for _, owner := range before {
			if dead[owner] {
				lost++
			}
		}
		s.awaitFull("every engine runs its full load after the change of owners", killed.Add(4*time.Second))
		s.logFullLoad(fmt.Sprintf("owners of %d pools die", lost), began)
		l.stop()
		s.checkCold("the owner dies in the ramp")
		for i, v := range s.vms {
			if dead[v.id] {
				s.startVM(i)
			}
		}
		s.awaitReady()
	}
	s.t.Logf("%d pools lost their owner in the ramp", lost)
}

func (s *coldSystem) restartAll() {
	for _, p := range s.engines {
		s.restart(p)
	}
}

func (s *coldSystem) restart(p *process) {
	s.starts[p] = append(s.starts[p], time.Now())
	s.fault(p, fakes.EngineFault{Restart: true})
	s.fault(p, fakes.EngineFault{})
	s.restarts[p]++
}

// awaitFull waits until every engine has run its full load since then.
func (s *coldSystem) awaitFull(what string, since time.Time) {
	s.t.Helper()
	s.within(30*time.Second, what, func() bool { return s.isFull(since) })
}

// isFull reports whether every engine has run its full load since then.
func (s *coldSystem) isFull(since time.Time) bool {
	for _, p := range s.engines {
		if s.fullAt(p, since).IsZero() {
			return false
		}
	}
	return true
}

func (s *coldSystem) fullAt(p *process, since time.Time) time.Time {
	for _, r := range s.runsOf(p) {
		if r.Running == fullCapacity && r.At.After(since) {
			return r.At
		}
	}
	return time.Time{}
}

func (s *coldSystem) logFullLoad(what string, since time.Time) {
	var took []time.Duration
	for _, p := range s.engines {
		took = append(took, s.fullAt(p, since).Sub(since).Round(time.Millisecond))
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	s.t.Logf("%s: time to full load %s to %s, median %s", what, took[0], took[len(took)-1], took[len(took)/2])
}

// checkCold reads from the engines' logs that none ran more than its cold
// capacity in its cold time, and that none has restarted by itself.
func (s *coldSystem) checkCold(what string) {
	s.t.Helper()
	for i, p := range s.engines {
		runs := s.runsOf(p)
		for _, r := range runs {
			for _, at := range s.starts[p] {
				if r.Running > coldCapacity && r.At.After(at) && r.At.Before(at.Add(coldTime)) && r.Incarnation != s.before(p, i, at) {
					s.t.Errorf("%s: engine %d ran %d requests %s after its start", what, i, r.Running, r.At.Sub(at))
				}
			}
		}
		if len(runs) == 0 {
			continue
		}
		if got, want := runs[len(runs)-1].Incarnation, s.incarnation(i, s.restarts[p]); got != want {
			s.t.Errorf("%s: engine %d is incarnation %s, want %s: it fell over", what, i, got, want)
			s.showFall(i, runs)
			s.restarts[p] = incarnationNumber(got, i) - 1
		}
	}
}

func (s *coldSystem) incarnation(i, restarts int) string {
	return fmt.Sprintf("e%d-%d", i, restarts+1)
}

// before is the incarnation that ran until the restart at this time; a request
// may enter it between the test's clock and the restart.
func (s *coldSystem) before(p *process, i int, at time.Time) string {
	for n, start := range s.starts[p] {
		if start.Equal(at) {
			return s.incarnation(i, n)
		}
	}
	return ""
}

func incarnationNumber(name string, i int) int {
	var n int
	_, _ = fmt.Sscanf(name, fmt.Sprintf("e%d-%%d", i), &n)
	return n
}

// showFall logs what ran before the engine changed its incarnation.
func (s *coldSystem) showFall(i int, runs []fakes.EngineRun) {
	var starts []string
	for _, at := range s.starts[s.engines[i]] {
		starts = append(starts, at.Format("05.000"))
	}
	s.t.Logf("engine %d was restarted at %v", i, starts)
	for n, r := range runs {
		if n > 0 && runs[n-1].Incarnation != r.Incarnation {
			for _, near := range runs[max(0, n-4):min(len(runs), n+4)] {
				s.t.Logf("  %s %s running %d", near.At.Format("05.000"), near.Incarnation, near.Running)
			}
		}
	}
}
